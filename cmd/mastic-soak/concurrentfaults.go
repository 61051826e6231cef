package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// The numbers of fault sequences that run concurrently on entries, engines and links.
	entrySequences  = 2
	engineSequences = 2
	linkSequences   = 1
)

// concurrentFaults runs several fault sequences at once, each with its own seeded random
// source, so that faults overlap.
type concurrentFaults struct {
	region     *region
	engines    *engineSet
	service    *plainService
	entryLinks []*link
}

// run injects faults until a time and leaves everything running.
func (c *concurrentFaults) run(seed uint64, until time.Time) {
	var all sync.WaitGroup
	for name, count := range map[string]int{"entries": entrySequences, "engines": engineSequences, "links": linkSequences} {
		for _, f := range c.sequences(seed, name, count) {
			kinds := map[string][]func(){
				"entries": {f.kill, f.term, f.freeze, f.killTwo},
				"engines": {f.silence, f.restart, f.drain},
				"links":   {f.resetEngineLink, f.resetEntryLink},
			}
			all.Go(func() { f.runSequence(until, kinds[name]) })
		}
	}
	all.Go(func() { c.runSilences(seed, until) })
	all.Go(func() { c.runLimits(seed, until) })
	all.Go(func() { (&faults{region: c.region, service: c.service, random: faultSource(seed)}).run(until) })
	all.Wait()
}

// sequences returns the fault sequences of a kind, each with its own random source.
func (c *concurrentFaults) sequences(seed uint64, name string, count int) []*faultSequence {
	var all []*faultSequence
	for i := range count {
		random := randomSource(seed, fmt.Sprintf("%s %d", name, i))
		all = append(all, &faultSequence{faults: faults{region: c.region, random: random}, concurrent: c})
	}
	return all
}

// faultSequence injects the faults of one sequence.
type faultSequence struct {
	faults
	concurrent *concurrentFaults
}

func (f *faultSequence) kill()   { f.killNode(f.entry()) }
func (f *faultSequence) term()   { f.terminateNode(f.entry()) }
func (f *faultSequence) freeze() { f.freezeNode(f.entry()) }

// killTwo kills and restarts two entries at once, so that both must fetch all state at the
// same time.
func (f *faultSequence) killTwo() {
	var both sync.WaitGroup
	for _, n := range []*node{f.entry(), f.entry()} {
		both.Go(func() { f.killNode(n) })
	}
	both.Wait()
}

func (f *faultSequence) engine() *engine {
	return f.concurrent.engines.all[f.random.IntN(len(f.concurrent.engines.all))]
}

func (f *faultSequence) silence() { f.during(&f.engine().silent, 500*time.Millisecond, 3*time.Second) }
func (f *faultSequence) restart() { f.engine().restart() }

func (f *faultSequence) drain()           { f.during(&f.engine().draining, 500*time.Millisecond, 2*time.Second) }
func (f *faultSequence) resetEngineLink() { f.engine().link.resetAll() }

func (f *faultSequence) resetEntryLink() {
	f.concurrent.entryLinks[f.random.IntN(len(f.concurrent.entryLinks))].resetAll()
}
