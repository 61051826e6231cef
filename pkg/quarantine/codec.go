package quarantine

import (
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Encode returns the evidence that was added after a version of the table, nil if there is none,
// and the table's version now.
func (t *Table) Encode(now time.Time, after uint64) (*peerpb.CrashEvidence, uint64) {
	known, version := t.Since(after)
	if known.isEmpty() {
		return nil, version
	}
	e := &peerpb.CrashEvidence{}
	for _, c := range known.Crashes {
		record := &peerpb.CrashRecord{
			Upstream: c.Upstream, BornMs: c.StartTime, Service: c.Service, Parts: c.Contents, AgeMs: age(now, c.At),
			AfterCrash: c.AfterCrash, ServiceAnswered: &c.ServiceAnswered, AnsweredParts: c.Answered, Trial: c.Trial,
		}
		if c.Unbegun {
			e.UnbegunCrashes = append(e.UnbegunCrashes, record)
		} else {
			e.Crashes = append(e.Crashes, record)
		}
	}
	for _, s := range known.Successes {
		e.Successes = append(e.Successes, &peerpb.PartSuccess{Part: s.Content, AgeMs: age(now, s.At)})
	}
	for _, r := range known.Trials {
		e.Trials = append(e.Trials, &peerpb.ContentTrial{Content: r.Content, Number: r.Number, NodeId: r.Node, AgeMs: age(now, r.At), Begun: r.Begun, BegunBefore: r.BegunBefore})
	}
	for _, w := range known.Wishes {
		e.Wishes = append(e.Wishes, &peerpb.TrialWish{Content: w.Content, NodeId: w.Node, AgeMs: age(now, w.At)})
	}
	return e, version
}

// Merge adds the evidence that another node sent, and reports whether any of it was new. A service counts as
// answered before crashes of which an older node tells, as it would refuse their contents, too.
func (t *Table) Merge(now time.Time, e *peerpb.CrashEvidence) bool {
	changed := false
	merge := func(records []*peerpb.CrashRecord, unbegun bool) {
		for _, c := range records {
			added := t.AddCrash(now, Crash{
				Upstream: c.GetUpstream(), StartTime: c.GetBornMs(), Service: c.GetService(), Contents: c.GetParts(), At: before(now, c.GetAgeMs()), Unbegun: unbegun,
				AfterCrash: c.GetAfterCrash(), ServiceAnswered: c.ServiceAnswered == nil || c.GetServiceAnswered(), Answered: c.GetAnsweredParts(), Trial: c.GetTrial(),
			})
			changed = changed || added
		}
	}
	merge(e.GetCrashes(), false)
	merge(e.GetUnbegunCrashes(), true)
	for _, s := range e.GetSuccesses() {
		added := t.AddSuccess(Success{s.GetPart(), before(now, s.GetAgeMs())})
		changed = changed || added
	}
	for _, r := range e.GetTrials() {
		added := t.addTrial(Trial{
			Content: shortened(r.GetContent()), Number: r.GetNumber(), Node: r.GetNodeId(), At: before(now, r.GetAgeMs()), Begun: r.GetBegun(), BegunBefore: r.GetBegunBefore(),
		})
		changed = changed || added
	}
	for _, w := range e.GetWishes() {
		if now.Sub(before(now, w.GetAgeMs())) <= wishTime {
			// Ages are known to some milliseconds only: half an interval keeps nodes from telling each other the same wish again.
			added := t.addWish(Wish{shortened(w.GetContent()), w.GetNodeId(), before(now, w.GetAgeMs())}, wishInterval/2)
			changed = changed || added
		}
	}
	return changed
}

func before(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

func age(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }
