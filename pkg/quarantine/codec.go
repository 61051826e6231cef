package quarantine

import (
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Encode returns the evidence that was added after a version of the table, nil if there is none,
// and the table's version now.
func (t *Table) Encode(now time.Time, after uint64) (*peerpb.CrashEvidence, uint64) {
	crashes, successes, version := t.Since(after)
	if len(crashes)+len(successes) == 0 {
		return nil, version
	}
	e := &peerpb.CrashEvidence{}
	for _, c := range crashes {
		e.Crashes = append(e.Crashes, &peerpb.CrashRecord{
			Upstream: c.Upstream, BornMs: c.StartTime, Service: c.Service, Parts: c.Contents, AgeMs: age(now, c.At),
			AfterCrash: c.AfterCrash, ServiceAnswered: &c.ServiceAnswered, AnsweredParts: c.Answered,
		})
	}
	for _, s := range successes {
		e.Successes = append(e.Successes, &peerpb.PartSuccess{Part: s.Content, AgeMs: age(now, s.At)})
	}
	return e, version
}

// Merge adds the evidence that another node sent, and reports whether any of it was new. A service counts as
// answered before crashes of which an older node tells, as it would refuse their contents, too.
func (t *Table) Merge(now time.Time, e *peerpb.CrashEvidence) bool {
	changed := false
	for _, c := range e.GetCrashes() {
		added := t.AddCrash(now, Crash{
			Upstream: c.GetUpstream(), StartTime: c.GetBornMs(), Service: c.GetService(), Contents: c.GetParts(), At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond),
			AfterCrash: c.GetAfterCrash(), ServiceAnswered: c.ServiceAnswered == nil || c.GetServiceAnswered(), Answered: c.GetAnsweredParts(),
		})
		changed = changed || added
	}
	for _, s := range e.GetSuccesses() {
		added := t.AddSuccess(Success{s.GetPart(), now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)})
		changed = changed || added
	}
	return changed
}

func age(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }
