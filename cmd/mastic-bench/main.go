// Command mastic-bench runs the measurements and prints them as a table.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/bench"
)

type arguments struct {
	Suites []string `arg:"positional" help:"names of suites; none means all"`
	Save   string   `arg:"--save" help:"folder for JSON records"`
	List   bool     `arg:"--list" help:"list the suites and exit"`
	Watch  int      `arg:"--watch-idle" help:"measure the idle process with this identifier instead of running the suites"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	if args.Watch != 0 {
		idle := bench.Suite{Name: "idle", Run: func(ctx context.Context, r *bench.Report) error {
			return bench.WatchIdle(ctx, r, args.Watch)
		}}
		return runSuite(idle, args.Save)
	}
	for _, suite := range bench.Suites() {
		if args.List {
			fmt.Println(suite.Name)
			continue
		}
		if len(args.Suites) > 0 && !lo.Contains(args.Suites, suite.Name) {
			continue
		}
		if err := runSuite(suite, args.Save); err != nil {
			return err
		}
	}
	return nil
}

func runSuite(suite bench.Suite, folder string) error {
	report := bench.NewReport()
	if err := suite.Run(context.Background(), report); err != nil {
		return fmt.Errorf("suite %s: %w", suite.Name, err)
	}
	report.Print(os.Stdout)
	if folder == "" {
		return nil
	}
	return report.Save(folder, suite.Name)
}
