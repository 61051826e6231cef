//go:build review

package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

var cases = map[string]func(w *world, trouble bool) (int, error){}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2], os.Args[3], os.Args[4]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(notRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	w.stop()
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[code])
	os.Exit(code)
}
