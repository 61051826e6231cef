// Package evidence holds the crash evidence of one process: a quarantine.Table for several
// goroutines, with a clock and with the log lines and metrics of its findings.
package evidence

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/quarantine/report"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// storeInterval is the time between two searches for evidence that has expired or is to be stored.
const storeInterval = time.Second

// Options configure a Store.
type Options struct {
	// Clock returns the time of evidence; nil uses the time since the VM's boot.
	Clock func() time.Time
	// Folder is the data folder of a keeper; empty stores nothing.
	Folder string
	// NodeID identifies this process to the others.
	NodeID string
	// Leads reports whether this process grants the trials of quarantined contents: only one of all may. nil means never.
	Leads func() bool
	// Metrics may be nil.
	Metrics *telemetry.Registry
	Log     zerolog.Logger
}

// Store is the evidence that a process knows. It is safe for concurrent use.
type Store struct {
	opts Options

	mu    sync.Mutex
	table *quarantine.Table
	// crashedAt is the time of the last crash that is known.
	crashedAt time.Time
	// leadsSince is when this process was first seen to grant trials; zero while it does not.
	leadsSince time.Time
	// unstored is true while the folder lacks a change.
	unstored bool
	// subscribers are called after each change, without the lock.
	subscribers []func()
}

// New returns a store without evidence.
func New(opts Options) *Store {
	if opts.Clock == nil {
		opts.Clock = boottime.Now
	}
	opts.Metrics = cmp.Or(opts.Metrics, telemetry.New(""))
	return &Store{opts: opts, table: quarantine.NewTable()}
}

// Now returns the time of the store's clock.
func (s *Store) Now() time.Time { return s.opts.Clock() }

// Subscribe has f called after each change of the evidence, and about once a second. f must not block.
func (s *Store) Subscribe(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Check returns the evidence on which a request with the given contents is refused; false when it
// may be sent.
func (s *Store) Check(contents []string) (quarantine.Finding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Check(s.opts.Clock(), contents)
}

// BeginTrial returns the quarantined content as whose trial a request with the given contents is sent now, and whether a crash confirms
// the evidence against it; begun is false if the request may not be sent.
func (s *Store) BeginTrial(contents []string) (content string, confirms, begun bool) {
	s.change(func(now time.Time) bool {
		if content, begun = s.table.GrantedTrial(now, s.opts.NodeID, contents); begun {
			confirms, begun = s.table.BeginTrial(now, s.opts.NodeID, content, contents)
		}
		return begun
	})
	return content, confirms, begun
}

// RecordWish records that this process refused a request on a finding, and returns the time after which a trial may have shown
// whether its content is the cause.
func (s *Store) RecordWish(f *quarantine.Finding) (retryAfter time.Duration) {
	s.change(func(now time.Time) bool {
		retryAfter = s.table.RetryAfter(now, f)
		recorded, _ := s.table.RecordWish(now, f, s.opts.NodeID)
		return recorded
	})
	return retryAfter
}

// CheckHeld returns the evidence on which a whole request is held until finding.Until; false when it
// is not held.
func (s *Store) CheckHeld(request string) (finding quarantine.Finding, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock()
	finding, _ = s.table.Suspect(now, request)
	return finding, finding.Until.After(now)
}

// Suspect returns the evidence against a whole request under which upstreams ended since its last
// success; false when there is none.
func (s *Store) Suspect(request string) (quarantine.Finding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Suspect(s.opts.Clock(), request)
}

// Crashed reports whether an incarnation of an upstream is known to have ended.
func (s *Store) Crashed(upstream string, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Crashed(s.opts.Clock(), upstream, incarnation)
}

// AddCrashes records crashes that this process found out.
func (s *Store) AddCrashes(crashes []quarantine.Crash) {
	s.change(func(now time.Time) bool {
		changed := false
		for _, c := range crashes {
			s.recordCrash(c.At)
			changed = s.table.AddCrash(now, c) || changed
		}
		return changed
	})
}

// ObserveSuccess records that an upstream of a service answered a request with the given contents beyond the
// beginning.
func (s *Store) ObserveSuccess(service string, contents []string) {
	s.change(func(now time.Time) bool { return s.table.ObserveSuccess(now, service, contents) })
}

// Merge adds the evidence of another process.
func (s *Store) Merge(e *peerpb.CrashEvidence) {
	if e != nil {
		s.change(func(now time.Time) bool {
			for _, c := range e.GetCrashes() {
				s.recordCrash(now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond))
			}
			return s.table.Merge(now, e)
		})
	}
}

func (s *Store) recordCrash(at time.Time) {
	if at.After(s.crashedAt) {
		s.crashedAt = at
	}
}

// CrashedWithin reports whether any upstream is known to have ended in the last d.
func (s *Store) CrashedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Clock().Sub(s.crashedAt) < d
}

// Encode returns the evidence that was added after a version of the store, nil if there is none,
// and its version now.
func (s *Store) Encode(after uint64) (e *peerpb.CrashEvidence, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Encode(s.opts.Clock(), after)
}

// Load reads the evidence in the folder. Without it a restart of all nodes would let each content
// crash upstreams again.
func (s *Store) Load() {
	if s.opts.Folder == "" {
		return
	}
	stored, downtime, err := Read(s.opts.Folder)
	if err != nil {
		s.opts.Log.Error().Err(err).Msg("crash_evidence_not_read")
		return
	}
	s.change(func(now time.Time) bool { return s.table.Merge(now.Add(-downtime), stored) })
}

// Run stores changes, deletes evidence that has expired and logs the quarantines that end by time,
// until ctx ends.
func (s *Store) Run(ctx context.Context) {
	tick := time.NewTicker(storeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.mu.Lock()
			s.report(s.opts.Clock())
			s.grantTrials(s.opts.Clock())
			subscribers := s.subscribers
			s.mu.Unlock()
			// A quarantine may begin by time.
			for _, notify := range subscribers {
				notify()
			}
			s.store()
		case <-ctx.Done():
			s.store()
			return
		}
	}
}

// store writes the evidence to the folder if it has changed. A failed write is repeated with the
// next call.
func (s *Store) store() {
	s.mu.Lock()
	unstored := s.unstored && s.opts.Folder != ""
	s.unstored = false
	s.mu.Unlock()
	if !unstored {
		return
	}
	e, _ := s.Encode(0)
	if err := Write(s.opts.Folder, e); err != nil {
		s.opts.Log.Error().Err(err).Msg("crash_evidence_not_stored")
		s.mu.Lock()
		s.unstored = true
		s.mu.Unlock()
	}
}

// grantTrials grants the trials that are due, if this process does that; the caller holds the lock. One that has just begun to lead may
// not know what the one before it granted.
func (s *Store) grantTrials(now time.Time) {
	leads := s.opts.Leads != nil && s.opts.Leads()
	if !leads {
		s.leadsSince = time.Time{}
		return
	}
	if s.leadsSince.IsZero() {
		s.leadsSince = now
	}
	if now.Sub(s.leadsSince) < storeInterval {
		return
	}
	for _, t := range s.table.GrantTrials(now) {
		s.unstored = true
		s.opts.Metrics.Add("quarantine.trials_granted", 1)
		s.opts.Log.Info().Str("part", t.Content).Str("entry", t.Node).Uint32("number", t.Number).Uint32("begun_before", t.BegunBefore).Msg("quarantine_trial_granted")
	}
}

func (s *Store) report(now time.Time) { report.Changes(now, s.table, s.opts.Metrics, s.opts.Log) }

func (s *Store) change(f func(now time.Time) bool) {
	s.mu.Lock()
	now := s.opts.Clock()
	if !f(now) {
		s.mu.Unlock()
		return
	}
	s.unstored = true
	s.report(now)
	subscribers := s.subscribers
	s.mu.Unlock()
	for _, notify := range subscribers {
		notify()
	}
}
