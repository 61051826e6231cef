// Package demo runs scenarios against a running system and checks the results. It
// sends requests as callers do and configuration changes as operators do.
package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/masticmount/masticmount/pkg/cli"
)

// Options are the addresses, files and tokens of the running system.
type Options struct {
	// Callers and Admins are the addresses of the nodes' listeners for callers and for
	// administration, in the same order.
	Callers []string
	Admins  []string
	// Services are the addresses of the fake plain services.
	Services []string
	// PIDFiles hold the nodes' process identifiers, in the same order. While a file
	// of the same name with the suffix .hold exists, a killed node stays down.
	PIDFiles []string
	// DataFolders are the nodes' data folders, in the same order.
	DataFolders []string
	// OperatorToken and CallerToken authenticate at the two interfaces.
	OperatorToken string
	CallerToken   string
}

// Step is one step of a scenario.
type Step struct {
	name string
	// run returns a summary of what it observed, or an error if a check failed.
	run func() (seen string, err error)
}

// Demo runs steps against one system.
type Demo struct {
	opts   Options
	admins []*cli.Client
	caller *caller
}

// New returns a demo of a running system.
func New(opts Options) (*Demo, error) {
	d := &Demo{opts: opts, caller: newCaller(opts.CallerToken)}
	for _, address := range opts.Admins {
		client, err := cli.NewClient("http://"+address, opts.OperatorToken, "")
		if err != nil {
			return nil, err
		}
		d.admins = append(d.admins, client)
	}
	return d, nil
}

// MainSteps returns the steps of the main scenario.
func (d *Demo) MainSteps() []Step {
	return []Step{
		{"groups of four VMs whole in each failure domain", d.groupsWhole},
		{"captions streamed through every node", d.streamCaptions},
		{"lookups answered through every node", d.sendLookups},
		{"licence grant sent twice with the same key runs once", d.grantOnce},
		{"limit raised and in force on every node", d.raiseRateLimit},
		{"draining service gets no new work after 2 s", d.drainService},
		{"member killed, group repaired", d.repairGroup},
		{"keeper killed: changes still accepted, keeper catches up", d.killKeeper},
		{"planned stop under load truncates no stream", d.plannedStop},
	}
}

// Run executes the steps in order, prints a table and returns the number of failures.
func Run(steps []Step, out io.Writer) int {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "STEP\tRESULT\tTIME\tSEEN")
	failed := 0
	for _, s := range steps {
		start := time.Now()
		seen, err := s.run()
		result := "ok"
		if err != nil {
			result, seen = "FAILED", err.Error()
			failed++
		}
		fmt.Fprintf(w, "%s\t%s\t%.1fs\t%s\n", s.name, result, time.Since(start).Seconds(), seen)
	}
	_ = w.Flush()
	return failed
}

// waitFor calls check until it returns nil or the limit has passed. It returns the
// elapsed time and the last error.
func waitFor(limit time.Duration, check func() error) (time.Duration, error) {
	start := time.Now()
	for {
		err := check()
		took := time.Since(start)
		if err == nil || took > limit {
			return took, err
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the time between two polls of the system.
const pollInterval = 50 * time.Millisecond
