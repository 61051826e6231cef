//go:build review

package main

import (
	"fmt"
	"os"
)

// A scenario returns what broke the rule; nothing if it held. An error means that the case could not run.
type scenario func(d *deployment, trouble bool) ([]string, error)

var scenarios = map[string]struct {
	keepers, entries int
	run              scenario
}{
	"farewell": {3, 2, farewell},
	"uploads":  {3, 1, uploads},
	"latejoin": {3, 1, lateJoin},
	"badpart":  {3, 2, badPrompt},
}

func main() { os.Exit(run()) }

// run returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-stand SCENARIO BINARY RECORD")
		return 2
	}
	s, known := scenarios[os.Args[1]]
	r, err := newRecord(os.Args[3])
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "unknown scenario or record not written:", err)
		return 2
	}
	d, err := newDeployment(os.Args[2], r, s.keepers, s.entries)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.stop()
	broken, err := s.run(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		r.add("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.add("held")
	fmt.Println("held")
	return 0
}
