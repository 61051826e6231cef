package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"
)

// system is the region of one seed with everything around it.
type system struct {
	region *region
	folder string
	op     *operator
	checks *configChecks
	// The parts of startParts.
	desk    *plainService
	engines *engineSet
	links   []*link
	streams *streamCallers
	// closers end the parts, the last one started first.
	closers []func()
}

// startSystem starts a region for a seed of a mode.
func (a *arguments) startSystem(mode string, seed uint64, t timing) (*system, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("mastic-soak%s-%d-", mode, seed))
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs(a.Binary)
	if err != nil {
		return nil, err
	}
	r, err := startRegion(binary, folder, a.Subnet, a.Entries, t)
	if err != nil {
		return nil, err
	}
	op := &operator{region: r}
	return &system{region: r, folder: folder, op: op, checks: &configChecks{region: r, operator: op, probes: map[string]int{}, served: map[string]int{}}, closers: []func(){r.stop}}, nil
}

func (s *system) close() {
	for _, end := range slices.Backward(s.closers) {
		end()
	}
}

func (s *system) startPlain(name string, count int, crashing *crashLedger) *plainService {
	service := newPlainService(s.region, name, count, crashing)
	s.closers = append(s.closers, service.stop)
	return service
}

// startParts starts the desk, engines and a link in front of each entry, which breaks connections while the engines' faults
// are active if linkFaults is true, and publishes the first configuration.
func (s *system) startParts(args *arguments, seed uint64, desks, grouped int, linkFaults bool) (err error) {
	s.desk = s.startPlain(deskService, desks, nil)
	if s.engines, err = newEngineSet(s.region, seed, args.Engines, grouped); err != nil {
		return err
	}
	s.closers = append(s.closers, s.engines.stop)
	active := new(atomic.Bool)
	if linkFaults {
		active = &s.engines.faultsActive
	}
	s.links, err = newEntryLinks(s.region, seed, active)
	for _, l := range s.links {
		s.closers = append(s.closers, l.stop)
	}
	if err != nil {
		return err
	}
	s.streams = &streamCallers{engines: s.engines, entryAddresses: addresses(s.links), entryLinks: s.links, entries: s.region.entries, kinds: streamKinds(grouped > 0)}
	return s.op.publishInitial()
}

// notServing is the result of a seed whose region does not serve at the start.
func (s *system) notServing() *result {
	return &result{folder: s.folder, violations: []string{"the region does not serve at the start"}}
}

// finish returns the result of a seed: the given violations and those that every mode looks for.
func (s *system) finish(seed uint64, violations []string) (*result, error) {
	violations = append(violations, s.checks.finish()...)
	violations = append(violations, s.op.violations()...)
	fmt.Printf("seed %d: configuration: %s\n", seed, s.checks)
	logged, err := s.region.logViolations()
	if err != nil {
		return nil, err
	}
	return &result{folder: s.folder, violations: slices.Concat(violations, s.region.violations(), logged)}, nil
}

// must ends the soak on an error of the machine that it runs on.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// between returns a random duration of at least from and less than to.
func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// before returns a function that reports whether a time has not come.
func before(until time.Time) func() bool { return func() bool { return time.Now().Before(until) } }
