// Package mechanism names the scheduling and grouping mechanisms that an ablation
// measurement can disable one by one to determine the effect of each. They are always
// enabled otherwise.
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Name identifies a mechanism.
type Name string

// The mechanisms.
const (
	// SecondWeights makes a spare engine load the weights of a second model in addition to
	// those of its last group's model.
	SecondWeights Name = "second-weights"
	// Moves reassigns engines from groups of one model to another model that lacks groups.
	Moves Name = "moves"
	// FullDomains uses all engines of a fabric domain for its first groups; without it a
	// fifth of them is kept as spares.
	FullDomains Name = "full-domains"
	// Allowances divide the free slots of a model among the entries.
	Allowances Name = "allowances"
	// RandomTarget selects randomly among the best targets; without it each entry uses the
	// best one.
	RandomTarget Name = "spread-draw"
	// SlowTargets ranks targets last whose streams pause for longer than those of others.
	SlowTargets Name = "slow-targets"
	// StartupRetryDelay sets the Retry-After of a starting entry to the time until it is
	// expected to serve.
	StartupRetryDelay Name = "start-retry"
	// SharedRetryBudget lets an entry use the unused retry budget of other entries.
	SharedRetryBudget Name = "pooled-repeats"
)

// all lists the names that Parse accepts.
var all = []Name{
	SecondWeights, Moves, FullDomains, Allowances, RandomTarget, SlowTargets, StartupRetryDelay, SharedRetryBudget,
}

// Set selects the enabled mechanisms: it holds those that are disabled, so the zero value
// enables all.
type Set map[Name]bool

// Parse returns the set that enables all mechanisms except those in a comma-separated list
// of names.
func Parse(names string) (Set, error) {
	s := Set{}
	for name := range strings.SplitSeq(names, ",") {
		switch {
		case name == "":
		case !slices.Contains(all, Name(name)):
			return nil, fmt.Errorf("unknown mechanism %q; the mechanisms are %v", name, all)
		default:
			s[Name(name)] = true
		}
	}
	return s, nil
}

// Enabled reports whether a mechanism is enabled.
func (s Set) Enabled(name Name) bool { return !s[name] }
