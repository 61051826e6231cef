//go:build review

// Command stand3 runs the scripts of the third review: the system's own processes, with stand-ins for workers, clients and the operator.
package main

import (
	"flag"
	"fmt"
	"os"
)

// outcome of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	binary := flag.String("binary", "target/mastic-platformd", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "the file of the record")
	subnet := flag.Int("subnet", 173, "third byte of the loopback addresses")
	flag.Parse()
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	run := map[string]func(*record, string, int, bool) int{"idlelimit": runIdleLimit}[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "name a script")
		os.Exit(notRun)
	}
	code := run(rec, *binary, *subnet, trouble)
	rec.add("exit %d", code)
	rec.close()
	os.Exit(code)
}
