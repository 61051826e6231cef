// Command mastic-soak runs a small region of real processes on loopback, with seeded fault
// injection, callers and an operator, and checks the system's invariants. The same seed
// gives the same faults; the timing of processes and the network varies.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Binary           string        `arg:"--binary" default:"bin/mastic-platformd" help:"the daemon to run"`
	First            uint64        `arg:"--first" default:"1" help:"first seed"`
	Seeds            int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Faults           time.Duration `arg:"--faults" default:"12s" help:"duration of fault injection"`
	Subnet           int           `arg:"--subnet" default:"50" help:"third byte of the loopback addresses"`
	Entries          int           `arg:"--entries" default:"3" help:"number of entries"`
	Engines          int           `arg:"--engines" default:"6" help:"number of engines that answer with streams"`
	Grouped          int           `arg:"--grouped" default:"6" help:"number of engines that form groups; 0 for none"`
	GroupsMustServe  bool          `arg:"--groups-must-serve" help:"count it as a violation if streams of groups are not served at the start or the end"`
	Callers          int           `arg:"--callers" default:"24" help:"number of callers of streams"`
	OnlyFullDisks    bool          `arg:"--only-full-disks" help:"inject only full disks of keepers, one after another"`
	OnlySilences     bool          `arg:"--only-silences" help:"inject only silences of sound upstreams, planned restarts and changes of the configuration"`
	OnlyStops        bool          `arg:"--only-stops" help:"stop entries and keepers as planned, one after another and at once, and count the requests that get no whole answer"`
	OnlyReplacements bool          `arg:"--only-replacements" help:"replace keepers by empty ones at other addresses, and take another one's disk once the successor counts"`
	Keepers          int           `arg:"--keepers" default:"3" help:"number of keepers with --only-replacements"`
	OnlyLosses       bool          `arg:"--only-losses" help:"end engines in groups as they begin answers, have upstreams want no work for a time, lose power everywhere at the end, and count what is refused and repeated"`
	OnlyRetries      bool          `arg:"--only-retries" help:"have most requests fail while entries restart and keepers stand still, and count the repeats"`
	KnownRed         string        `arg:"--known-red" help:"list of known failures to pass over and print; none by default"`
	KeepAll          bool          `arg:"--keep" help:"also keep the folders of seeds without a violation"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed := 0
	for seed := args.First; seed < args.First+uint64(args.Seeds); seed++ {
		play := soak
		switch {
		case args.OnlyStops:
			play = soakStops
		case args.OnlyRetries:
			play = soakRetries
		case args.OnlyLosses:
			play = soakLosses
		case args.OnlyReplacements:
			play = soakReplacements
		}
		result, err := play(&args, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(2)
		}
		for _, v := range result.violations {
			fmt.Printf("seed %d: %s\n", seed, v)
		}
		for _, v := range result.knownRed {
			fmt.Printf("seed %d: known red, passed over: %s: %s\n", seed, youngEntry, v)
		}
		if len(result.violations) > 0 {
			failed++
		}
		if len(result.violations)+len(result.knownRed) > 0 || result.fewStreams {
			fmt.Printf("seed %d: the logs are kept in %s\n", seed, result.folder)
		} else if !args.KeepAll {
			if err := os.RemoveAll(result.folder); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}
	fmt.Printf("%d seeds, %d with a violation\n", args.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// result is the outcome of one seed.
type result struct {
	folder string
	// violations describes the broken invariants.
	violations []string
	// knownRed describes those that are listed in KNOWN-RED.txt.
	knownRed []string
	// fewStreams is true if streams of groups were not served, or callers finished hardly any
	// stream during the faults. The logs are kept then, also without a violation.
	fewStreams bool
}

// soak runs one seed.
func soak(args *arguments, seed uint64) (*result, error) {
	sys, err := args.startSystem("", seed, usualTiming)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	r, op := sys.region, sys.op
	kiosk := sys.startPlain(kioskService, kioskCount, newCrashLedger())
	if err := sys.startParts(args, seed, deskCount, args.Grouped, true); err != nil {
		return nil, err
	}
	service, engines, entryLinks, streams := sys.desk, sys.engines, sys.links, sys.streams
	c := &callers{region: r}
	if !c.waitServed() || !streams.waitServed("start", streamKinds(false)) {
		return sys.notServing(), nil
	}
	groupsServed := args.Grouped == 0 || streams.waitServed("start-groups", groupKinds())
	service.faultsActive.Store(!args.OnlySilences)
	engines.faultsActive.Store(!args.OnlySilences)
	finished := streams.counts.finished.Load()
	until := time.Now().Add(args.Faults)
	var all sync.WaitGroup
	all.Go(func() { op.run(before(until)) })
	all.Go(func() { sys.checks.run(before(until)) })
	all.Go(func() { c.run(before(until)) })
	all.Go(func() { streams.run(args.Callers, until) })
	if args.Grouped > 0 && seed%crashSeedStep == 0 {
		all.Go(func() { streams.runCrashing(until) })
	}
	kioskCalls := &kioskCallers{callers: callers{region: r}, service: kiosk, interval: crashingIntervalOf(seed)}
	all.Go(func() { kioskCalls.runBesideFaults(seed, until) })
	leaving := &departures{region: r, service: service}
	odd := &oddWriter{region: r, service: service}
	injected := &concurrentFaults{region: r, engines: engines, service: service, entryLinks: entryLinks}
	switch {
	case args.OnlySilences:
		injected.runSilences(seed, until)
	case args.OnlyFullDisks:
		f := &faults{region: r, service: service, random: faultSource(seed)}
		f.runSequence(until, []func(){f.fillDisks})
	default:
		all.Go(func() { leaving.run(seed, until) })
		all.Go(func() { odd.run(seed, until) })
		injected.run(seed, until)
	}
	all.Wait()
	served := streams.counts.finished.Load() - finished
	service.faultsActive.Store(false)
	engines.faultsActive.Store(false)
	changed := op.changesAcknowledged()
	violations := append(service.violations(c.answers()), service.givenUp(c.answers())...)
	violations = append(append(violations, changed...), service.limitViolations()...)
	var crashViolations []string
	var calm sync.WaitGroup
	calm.Go(func() { crashViolations = kioskCalls.check() })
	if !c.waitServed() {
		violations = append(violations, "requests are not served again after the faults")
	}
	if !streams.waitServed("end", streamKinds(false)) {
		violations = append(violations, "streams are not served again after the faults")
	}
	if args.Grouped > 0 {
		violations = append(violations, streams.checkQuarantine(seed%crashSeedStep == 1)...)
	}
	calm.Wait()
	violations = append(violations, crashViolations...)
	violations = append(violations, leaving.check(seed, c)...)
	violations = append(violations, odd.accepted...)
	groupsServed = groupsServed && (args.Grouped == 0 || streams.waitServed("end-groups", groupKinds()))
	if !groupsServed {
		fmt.Printf("seed %d: streams of groups were not served at the start or the end\n", seed)
		if args.GroupsMustServe {
			violations = append(violations, "streams of groups are not served at the start or the end")
		}
	}
	violations = append(violations, streams.violations()...)
	violations = append(violations, streams.executedDespiteRefusal()...)
	given, knownRed, err := streams.givenUp(args.KnownRed)
	if err != nil {
		return nil, err
	}
	violations = append(violations, given...)
	violations = append(violations, engines.runs.violations()...)
	fmt.Printf("seed %d: %s; failures: %s; crashes by a prompt: %d; %s\n", seed, &streams.counts, engines.runs.failureCounts(), engines.crashes.arrivals.Load(), kiosk.crashing.counts())
	repeated, margins := r.repeats.check()
	violations = append(violations, repeated...)
	fmt.Printf("seed %d: %s\n", seed, margins)
	done, err := sys.finish(seed, violations)
	if err != nil {
		return nil, err
	}
	done.knownRed, done.fewStreams = knownRed, !groupsServed || served < int64(args.Callers)
	return done, nil
}

const (
	// startTimeout and endTimeout bound the waits for service before and after the faults;
	// both are many times what a region needs, so that a busy machine gives the same result.
	startTimeout = 60 * time.Second
	endTimeout   = 60 * time.Second
)
