package attach

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
)

var start = time.Unix(1000, 0)

func upstream(id string, startTime, sequence uint64) fleet.Upstream {
	return fleet.Upstream{ID: id, StartTime: startTime, Sequence: sequence, Service: "desk", Address: id + ":1", Slots: 6}
}

func sourceOf(attached bool, upstreams ...fleet.Upstream) *source {
	s := &source{attached: attached, records: map[string]fleet.Upstream{}}
	for _, u := range upstreams {
		s.records[u.ID] = u
	}
	return s
}

func TestNewestIncarnationOfUpstreamCounts(t *testing.T) {
	draining := upstream("d1", 5, 9)
	draining.Draining = true
	merged := merge(map[string]*source{
		"k1": sourceOf(true, upstream("d1", 5, 7), upstream("d2", 4, 100)),
		"k2": sourceOf(true, draining, upstream("d2", 6, 1)),
	})
	assert.True(t, merged[0].Draining)
	assert.EqualValues(t, 6, merged[1].StartTime)
}

func TestUpstreamIsSilentOnlyIfAllAttachedKeepersReportIt(t *testing.T) {
	silent, announced := upstream("d1", 5, 9), upstream("d1", 5, 8)
	silent.Silent = true
	assert.False(t, merge(map[string]*source{"k1": sourceOf(true, silent), "k2": sourceOf(true, announced)})[0].Silent)
	assert.True(t, merge(map[string]*source{"k1": sourceOf(true, silent), "k2": sourceOf(false, announced)})[0].Silent, "the record of a lost keeper is stale")
	assert.False(t, merge(map[string]*source{"k2": sourceOf(false, announced)})[0].Silent, "without an attached keeper the last records count")
}

func TestDeregistrationAtOneKeeperCounts(t *testing.T) {
	gone := upstream("d1", 5, 8)
	gone.Deregistered = true
	assert.True(t, merge(map[string]*source{"k1": sourceOf(true, upstream("d1", 5, 9)), "k2": sourceOf(true, gone)})[0].Deregistered)
}

func member(id string, rank int, state fleet.GroupState) fleet.Upstream {
	u := upstream(id, 1, 1)
	u.Service = "pool"
	u.Group = fleet.Membership{Group: "big.2.x", Epoch: 3, Rank: rank, State: state}
	return u
}

func TestTargetsAreOpenHeadsAndPlainUpstreams(t *testing.T) {
	doc := &document.Document{Services: map[string]*document.Service{
		"desk": {Name: "desk"}, "pool": {Name: "pool", Engine: &document.Engine{Slots: 17}},
	}}
	leaving := upstream("d2", 1, 1)
	leaving.Draining = true
	silent := member("e2", 1, fleet.Ready)
	silent.Silent = true
	targets := targetsOf(doc, []fleet.Upstream{
		upstream("d1", 1, 1), leaving, member("e1", 0, fleet.Open), member("e2", 1, fleet.Ready), member("e3", 0, fleet.Ready),
		{ID: "x", Service: "unknown"},
	})
	assert.Len(t, targets, 2)
	assert.Equal(t, "d1", targets[0].ID)
	assert.Equal(t, Target{ID: "e1", StartTime: 1, Address: "e1:1", Service: "pool", Model: "big", Group: "big.2.x", Slots: 17}, targets[1])
	targets = targetsOf(doc, []fleet.Upstream{member("e1", 0, fleet.Open), silent})
	assert.True(t, targets[0].Suspected, "a member is silent")
	assert.Empty(t, targetsOf(nil, []fleet.Upstream{upstream("d1", 1, 1)}))
}

func TestSourceAppliesFullAndIncrementalUpdates(t *testing.T) {
	s := &source{}
	one, two := upstream("d1", 1, 1), upstream("d2", 1, 1)
	s.apply(&peerpb.FleetUpdate{Full: true, Upstreams: []*peerpb.UpstreamRecord{fleet.Encode(&one, start), fleet.Encode(&two, start)}}, start)
	s.apply(&peerpb.FleetUpdate{Forgotten: []string{"d1"}}, start)
	assert.Len(t, s.records, 1)
	s.apply(&peerpb.FleetUpdate{Full: true}, start)
	assert.Empty(t, s.records)
}

// The age must count from the sending of the token, not from the arrival of the answer.
func TestFreshnessCountsFromToken(t *testing.T) {
	var f freshness
	assert.Equal(t, neverConfirmed, f.age(start))
	token := f.token(start)
	f.confirm(token)
	assert.Equal(t, 3*time.Second, f.age(start.Add(3*time.Second)))
	f.confirm(f.token(start.Add(-time.Second)))
	assert.Equal(t, 3*time.Second, f.age(start.Add(3*time.Second)), "the confirmation of an older token changes nothing")
}

func TestLinksGoToKnownKeepers(t *testing.T) {
	a := New(Options{NodeID: "n", FailureDomain: "fd-a", Seeds: func() []string { return []string{"s1", "s2"} }})
	assert.ElementsMatch(t, []string{"s1", "s2"}, a.missingLinks(start))
	a.keepers = []keeperAddress{{"k1", "fd-a"}, {"k2", "fd-b"}, {"s1", "fd-c"}}
	missing := a.missingLinks(start)
	assert.Len(t, missing, maxLinks)
	assert.Equal(t, "k1", missing[0], "the keeper in the entry's failure domain")
	for _, address := range missing {
		a.links[address] = &link{attachedAt: start}
	}
	assert.Empty(t, a.missingLinks(start))
}

func TestKeepersInOwnFailureDomainArePreferred(t *testing.T) {
	keepers := []keeperAddress{{"a1", "fd-a"}, {"a2", "fd-a"}, {"a3", "fd-a"}, {"b1", "fd-b"}, {"c1", "fd-c"}, {"seed", ""}}
	local := []string{"a1", "a2", "a3"}
	firstFar := map[string]bool{}
	for node := range 40 {
		order := rankKeepers(fmt.Sprint(node), "fd-a", keepers, nil, start)
		require.Len(t, order, len(keepers))
		assert.Contains(t, local, order[0])
		assert.Contains(t, local, order[1])
		assert.NotContains(t, local, order[2], "one link goes to another failure domain")
		assert.Contains(t, local, order[5])
		firstFar[order[2]] = true
	}
	assert.Len(t, firstFar, 3, "entries spread over the other keepers")
	failed := map[string]time.Time{"a1": start, "a2": start}
	order := rankKeepers("n", "fd-a", keepers, failed, start.Add(time.Second))
	assert.Equal(t, "a3", order[0])
	assert.ElementsMatch(t, []string{"a1", "a2"}, order[4:], "keepers in backoff come last")
	assert.Contains(t, []string{"a1", "a2"}, rankKeepers("n", "fd-a", keepers[:2], failed, start.Add(time.Second))[0])
	assert.Equal(t, rankKeepers("n", "fd-a", keepers, nil, start), rankKeepers("n", "fd-a", keepers, failed, start.Add(failureBackoff)))
}

// Links to other keepers than the best must stay open until the best are all attached and one of them confirms.
func TestSurplusLinksCloseOnceBestAreAttached(t *testing.T) {
	a := New(Options{NodeID: "n", FailureDomain: "fd-a", Seeds: func() []string { return nil }})
	a.keepers = []keeperAddress{{"a1", "fd-a"}, {"a2", "fd-a"}, {"b1", "fd-b"}, {"old", "fd-a"}}
	ended := map[string]bool{}
	for _, address := range []string{"a1", "a2", "b1", "old"} {
		a.links[address] = &link{address: address, stop: func() { ended[address] = true }}
	}
	best := a.rankedKeepers(start)[:maxLinks]
	a.links[best[0]].attached.Store(true)
	a.links[best[1]].attached.Store(true)
	a.links[best[0]].freshness.confirm(a.freshness.token(start))
	a.closeSurplusLinks(start)
	assert.Empty(t, ended)
	a.links[best[2]].attached.Store(true)
	a.closeSurplusLinks(start)
	assert.Len(t, ended, 1)
	assert.NotContains(t, best, lo.Keys(ended)[0])
}

func TestPrimaryLinkIsInOwnFailureDomain(t *testing.T) {
	a := New(Options{NodeID: "n", FailureDomain: "fd-a"})
	a.choosePrimary("far", "fd-b")
	assert.True(t, a.isPrimary("far"), "without a primary link any keeper is chosen")
	a.choosePrimary("near", "fd-a")
	assert.True(t, a.isPrimary("near"))
	a.choosePrimary("far", "fd-b")
	assert.True(t, a.isPrimary("near"))
	a.choosePrimary("near-too", "fd-a")
	assert.True(t, a.isPrimary("near"), "no change between keepers in the same failure domain")
	a.removeLink(&link{address: "near", stop: func() {}})
	assert.False(t, a.isPrimary("near"))
}

func TestOlderDocumentAndConfirmationOfOtherVersionAreIgnored(t *testing.T) {
	decode := document.Decoder(func(content []byte) (*document.Document, error) {
		return &document.Document{Version: uint64(content[0])}, nil
	})
	a := New(Options{NodeID: "n", Decode: decode})
	update := func(version byte, content bool, token uint64) {
		f := &peerpb.FleetUpdate{DocumentVersion: uint64(version), ConfirmedToken: token}
		if content {
			packed, err := document.Pack([]byte{version})
			assert.NoError(t, err)
			f.Document = packed
		}
		a.apply(updateOf("k", f))
	}
	update(7, true, uint64(start.UnixNano()))
	assert.EqualValues(t, 7, a.doc.VersionOrZero())
	assert.Zero(t, a.freshness.age(start))
	update(5, true, 0)
	assert.EqualValues(t, 7, a.doc.VersionOrZero())
	update(9, false, uint64(start.Add(time.Second).UnixNano()))
	assert.Equal(t, time.Second, a.freshness.age(start.Add(time.Second)), "the confirmation of a version that is not in force here does not count")
}

func updateOf(keeper string, f *peerpb.FleetUpdate) update {
	return update{keeper: keeper, fleet: f, at: start}
}

func TestFirstUpdateThatIsNotFull(t *testing.T) {
	one := upstream("d1", 1, 1)
	s := &source{}
	s.apply(&peerpb.FleetUpdate{Forgotten: []string{"d2"}, Upstreams: []*peerpb.UpstreamRecord{fleet.Encode(&one, start)}}, start)
	assert.Len(t, s.records, 1)
}

// The queue of updates can be full when a link ends. The loss of the link must be queued
// as soon as there is space, as its records would count as current otherwise.
func TestLinkLossIsQueuedWhenQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		// No connection can be made to this address.
		const keeper = "%"
		a := New(Options{NodeID: "n", Dialer: peers.NewDialer(nil)})
		for a.updates.Push(updateOf(keeper, &peerpb.FleetUpdate{Full: true})) {
		}
		linkCtx, stop := context.WithCancel(ctx)
		stop()
		go (&link{attachment: a, address: keeper}).run(ctx, linkCtx)
		synctest.Wait()
		for range updateQueueSize {
			a.apply(<-a.updates.Chan())
		}
		assert.True(t, a.sources[keeper].attached)
		<-time.After(time.Second)
		require.Equal(t, 1, a.updates.Len())
		a.apply(<-a.updates.Chan())
		assert.False(t, a.sources[keeper].attached)
	})
}

// Draining or deregistration of an incarnation must still count when the link to the only
// keeper that reported it is lost.
func TestDeregistrationCountsAfterReportingKeeperIsLost(t *testing.T) {
	gone, draining := upstream("d1", 5, 8), upstream("d1", 5, 9)
	gone.Deregistered, draining.Draining = true, true
	for name, test := range map[string]struct {
		lost, attached fleet.Upstream
		leaving        bool
	}{
		"gone":                          {gone, upstream("d1", 5, 8), true},
		"gone, announced later":         {gone, upstream("d1", 5, 9), true},
		"draining":                      {draining, upstream("d1", 5, 8), true},
		"gone, and started again since": {gone, upstream("d1", 6, 1), false},
	} {
		merged := merge(map[string]*source{"k1": sourceOf(false, test.lost), "k2": sourceOf(true, test.attached)})
		assert.Equal(t, test.leaving, merged[0].Leaving(), name)
	}
	assert.Empty(t, merge(map[string]*source{"k1": sourceOf(false, gone), "k2": sourceOf(true)}), "removed by all attached keepers")
}

func TestLeavingUpstreamsAreNotTargets(t *testing.T) {
	doc := &document.Document{Services: map[string]*document.Service{"desk": {Name: "desk"}}}
	for name, leave := range map[string]func(u *fleet.Upstream){
		"draining": func(u *fleet.Upstream) { u.Draining = true },
		"gone":     func(u *fleet.Upstream) { u.Deregistered = true },
	} {
		u := upstream("d1", 1, 1)
		leave(&u)
		assert.Empty(t, targetsOf(doc, []fleet.Upstream{u}), name)
	}
}

// A document must be visible to requests before its confirmation counts.
func TestConfirmationWaitsForDocumentInForce(t *testing.T) {
	a := New(Options{NodeID: "n", Decode: func(content []byte) (*document.Document, error) {
		return &document.Document{Version: uint64(content[0])}, nil
	}})
	a.SetHandlers(Handlers{View: func(*View) {}, Evidence: func(time.Time, *peerpb.CrashEvidence) {}})
	packed, err := document.Pack([]byte{9})
	require.NoError(t, err)
	a.apply(updateOf("k", &peerpb.FleetUpdate{DocumentVersion: 9, Document: packed, ConfirmedToken: uint64(start.UnixNano())}))
	if a.freshness.age(start) != neverConfirmed {
		assert.EqualValues(t, 9, a.View().Document.VersionOrZero(), "confirmed before it is visible to requests")
	}
	a.publish()
	assert.EqualValues(t, 9, a.View().Document.VersionOrZero())
}

func TestUndecodableDocumentIsNotConfirmed(t *testing.T) {
	a := New(Options{NodeID: "n", Decode: func([]byte) (*document.Document, error) { return nil, assert.AnError }})
	packed, err := document.Pack([]byte{9})
	require.NoError(t, err)
	a.apply(updateOf("k", &peerpb.FleetUpdate{DocumentVersion: 9, Document: packed, ConfirmedToken: uint64(start.UnixNano())}))
	assert.Zero(t, a.doc.VersionOrZero())
	assert.Equal(t, neverConfirmed, a.freshness.age(start))
}

// The age must count from the token of an update, not from the update's arrival.
func TestFreshnessCountsFromUpdateToken(t *testing.T) {
	a := New(Options{NodeID: "n"})
	f := &peerpb.FleetUpdate{ConfirmedToken: uint64(start.UnixNano())}
	a.apply(update{keeper: "k", fleet: f, at: start.Add(3 * time.Second)})
	assert.Equal(t, 3*time.Second, a.freshness.age(start.Add(3*time.Second)))
}

// Guards against an entry that serves its first requests before it knows which parts of prompts
// crash engines.
func TestCrashEvidenceIsAppliedBeforeFirstDocument(t *testing.T) {
	a := New(Options{NodeID: "n", Decode: func(content []byte) (*document.Document, error) {
		return &document.Document{Version: uint64(content[0])}, nil
	}})
	applied := 0
	a.SetHandlers(Handlers{View: func(*View) {}, Evidence: func(_ time.Time, e *peerpb.CrashEvidence) {
		assert.Nil(t, a.View().Document, "no request is served before")
		applied += len(e.GetCrashes())
	}})
	packed, err := document.Pack([]byte{9})
	require.NoError(t, err)
	a.apply(updateOf("k", &peerpb.FleetUpdate{
		DocumentVersion: 9, Document: packed, CrashEvidence: &peerpb.CrashEvidence{Crashes: []*peerpb.CrashRecord{{Upstream: "e"}}},
	}))
	assert.Equal(t, 1, applied)
	assert.NotNil(t, a.View().Document)
}
