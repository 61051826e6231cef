// Command knownred runs the tests and ignores only the failures that KNOWN-RED.txt
// lists. It prints each failure that it ignores.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"github.com/samber/lo"
)

const listPath = "KNOWN-RED.txt"

func main() {
	if len(os.Args) < 3 || os.Args[1] != "--" {
		fmt.Fprintln(os.Stderr, "usage: knownred -- COMMAND [ARGUMENT ...]")
		os.Exit(2)
	}
	list, err := os.ReadFile(listPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var output bytes.Buffer
	cmd := exec.Command(os.Args[2], os.Args[3:]...)
	cmd.Stdout = io.MultiWriter(os.Stdout, &output)
	cmd.Stderr = cmd.Stdout
	runErr := cmd.Run()
	os.Exit(verdict(runErr == nil, failures(output.String()), knownTests(list), os.Stdout))
}

// failures returns the names of the top-level tests that failed and of the packages
// that failed without a failed test, such as at a build error.
func failures(output string) []string {
	var failed []string
	lines := bufio.NewScanner(strings.NewReader(output))
	lines.Buffer(nil, 1<<20)
	pending := 0
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case strings.HasPrefix(lines.Text(), "--- FAIL: "):
			failed = append(failed, fields[2])
			pending++
		case len(fields) >= 2 && fields[0] == "FAIL" && pending == 0:
			failed = append(failed, fields[1])
		case len(fields) >= 2 && (fields[0] == "FAIL" || fields[0] == "ok"):
			pending = 0
		}
	}
	return failed
}

// knownTests returns the test names listed as known to fail.
func knownTests(list []byte) []string {
	var known []string
	for line := range strings.Lines(string(list)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && !strings.HasPrefix(line, "#") {
			known = append(known, fields[1])
		}
	}
	return known
}

// verdict prints the failures and returns the exit code.
func verdict(passed bool, failed, known []string, out io.Writer) int {
	if passed {
		return 0
	}
	unknown, _ := lo.Difference(failed, known)
	for _, name := range lo.Intersect(failed, known) {
		fmt.Fprintf(out, "known red, passed over: %s\n", name)
	}
	for _, name := range unknown {
		fmt.Fprintf(out, "failed: %s\n", name)
	}
	if len(failed) == 0 || len(unknown) > 0 {
		return 1
	}
	return 0
}
