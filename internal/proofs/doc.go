// Package proofs checks that docs/PROOFS.md names only tests and models that exist.
package proofs

import (
	"regexp"
	"strings"

	"github.com/samber/lo"
)

var (
	testReference  = regexp.MustCompile("`((?:pkg|internal)/[a-z0-9/]+)\\.((?:Test|Fuzz)[A-Za-z0-9_]+)(?:/[^`]*)?`")
	modelReference = regexp.MustCompile("`(spec/[a-z]+\\.pml)(?: ([A-Z_]+))?`")
)

// Test is a reference to a test function in a package's folder.
type Test struct{ Folder, Name string }

// Model is a reference to a specification and, unless Fault is empty, to one of its
// injected faults.
type Model struct{ File, Fault string }

// Tests returns the tests that a page names.
func Tests(page string) []Test {
	found := lo.Map(testReference.FindAllStringSubmatch(page, -1), func(m []string, _ int) Test { return Test{m[1], m[2]} })
	return lo.Uniq(found)
}

// Models returns the specifications and injected faults that a page names.
func Models(page string) []Model {
	found := lo.Map(modelReference.FindAllStringSubmatch(page, -1), func(m []string, _ int) Model { return Model{m[1], m[2]} })
	return lo.Uniq(found)
}

// Declares reports whether Go source declares the test function.
func Declares(source, name string) bool { return strings.Contains(source, "func "+name+"(") }
