package control

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/grouping"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/state"
)

// openSingleKeeper opens the only keeper of a region on a data folder. It takes a snapshot after each entry.
func openSingleKeeper(t *testing.T, folder string) *Control {
	c, _ := openKeeper(t, folder, 1)
	return c
}

// openKeeper opens the only keeper of a region, which takes a snapshot after the given number of entries. It returns a count of
// the documents that were decoded.
func openKeeper(t *testing.T, folder string, snapshotEntries uint64) (c *Control, decoded *atomic.Int64) {
	machine := state.New()
	decoded = &atomic.Int64{}
	k := keeper.New(keeper.Options{
		Machine: machine, NodeID: "k", Address: "k", Folder: folder, Keepers: []keeper.Peer{{NodeID: "k", Address: "k"}},
		OnApplied: func(uint64) { c.Applied() }, SnapshotEntries: snapshotEntries, Log: zerolog.Nop(),
	})
	c = New(Options{
		Keeper: k, Machine: machine, Address: "k", AnnounceInterval: time.Second, StallTimeout: 4 * time.Second, OrderSender: rejectOrders{}, Log: zerolog.Nop(),
		Decode: func(content []byte) (*document.Document, error) {
			decoded.Add(1)
			return &document.Document{Version: uint64(content[0])}, nil
		},
	})
	require.NoError(t, k.Open())
	return c, decoded
}

// withLeader runs a test with the only keeper of a region after it became leader.
func withLeader(t *testing.T, test func(t *testing.T, c *Control, folder string)) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := openSingleKeeper(t, folder)
		<-time.After(5 * time.Second)
		test(t, c, folder)
	})
}

func TestAcknowledgedDocumentIsCommitted(t *testing.T) {
	withLeader(t, func(t *testing.T, c *Control, folder string) {
		require.NoError(t, c.Replace(t.Context(), 7, []byte{7}))
		synctest.Wait()
		assert.EqualValues(t, 7, c.documentVersion())
		content, err := c.Read(t.Context())
		require.NoError(t, err)
		assert.Equal(t, []byte{7}, content)
		c.opts.Keeper.Close()
		require.Error(t, c.Replace(t.Context(), 8, []byte{8}), "the keeper is closed")
		_, err = c.Read(t.Context())
		require.Error(t, err, "no quorum after the keeper is closed")

		again := openSingleKeeper(t, folder)
		defer again.opts.Keeper.Close()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go again.Run(ctx)
		synctest.Wait()
		assert.EqualValues(t, 7, again.documentVersion(), "in force before a leader is elected")
		<-time.After(5 * time.Second)
		content, err = again.Read(ctx)
		require.NoError(t, err)
		assert.Equal(t, []byte{7}, content, "after a restart")
	})
}

// Two goroutines put documents in force. The one that finishes decoding last may hold the
// older document and must not replace the newer one.
func TestLateDecodeDoesNotReplaceNewerDocument(t *testing.T) {
	c := newControl(t)
	change := func(version byte) *peerpb.DocumentChange {
		packed, err := document.Pack([]byte{version})
		require.NoError(t, err)
		return &peerpb.DocumentChange{Version: uint64(version), Content: packed}
	}
	decode := c.opts.Decode
	c.opts.Decode = func(content []byte) (*document.Document, error) {
		if content[0] == 8 {
			c.putInForce(change(9))
		}
		return decode(content)
	}
	c.putInForce(change(8))
	assert.EqualValues(t, 9, c.documentVersion())
	assert.EqualValues(t, 9, c.document.VersionOrZero())
}

// A token is confirmed only after a quorum read, and only once the document that was read
// is in force. Tokens requested during the read wait for the next one.
func TestConfirmationNeedsQuorumAndPutsDocumentInForce(t *testing.T) {
	withLeader(t, func(t *testing.T, c *Control, _ string) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go c.serveConfirmations(ctx)
		require.NoError(t, c.Replace(ctx, 7, []byte{7}))
		synctest.Wait()
		c.mu.Lock()
		c.content, c.document = nil, nil
		c.mu.Unlock()
		s := &subscriber{wake: make(chan struct{}, 1)}
		decode := c.opts.Decode
		c.opts.Decode = func(content []byte) (*document.Document, error) {
			c.confirmations.request(s, 7)
			return decode(content)
		}
		c.confirmations.request(s, 5)
		<-s.wake
		assert.EqualValues(t, 5, c.confirmations.confirmed(s), "a token requested during the read is not confirmed")
		assert.EqualValues(t, 7, c.documentVersion())
		<-time.After(time.Second)
		assert.EqualValues(t, 7, c.confirmations.confirmed(s))
		c.opts.Keeper.Close()
		c.confirmations.request(s, 9)
		<-time.After(5 * time.Second)
		assert.EqualValues(t, 7, c.confirmations.confirmed(s), "no quorum after the keeper is closed")
	})
}

// Draining and deregistration, however they are reported, must reach the entries, the other
// keepers and the entries of the other keepers.
func TestDeregistrationsArePropagated(t *testing.T) {
	for name, leave := range map[string]func(c *Control) error{
		"draining": func(c *Control) error {
			u := announcement(2)
			u.Draining = true
			return c.Announce(u)
		},
		"gone, announced": func(c *Control) error {
			u := announcement(2)
			u.Deregistered = true
			return c.Announce(u)
		},
		"deregistered": func(c *Control) error { return c.Deregister("e1") },
	} {
		t.Run(name, func(t *testing.T) {
			withLeader(t, func(t *testing.T, c *Control, _ string) {
				defer c.opts.Keeper.Close()
				require.NoError(t, c.Announce(announcement(1)))
				link := &relayLink{batches: ring.New[*peerpb.RelayBatch](4, ring.DropOldest)}
				c.relays.links["other"] = link
				version := c.changes.version
				require.NoError(t, leave(c))
				records, _ := c.upstreamsSince(version, start)
				require.Len(t, records, 1, "entries")
				assert.True(t, records[0].GetDraining() || records[0].GetGone())
				require.Equal(t, 1, link.batches.Len(), "other keepers")
				relayed := (<-link.batches.Chan()).GetUpstreams()[0]
				assert.True(t, relayed.GetDraining() || relayed.GetGone())

				other := newControl(t)
				other.record(fleet.Decode(fleet.Encode(ptr(announcement(1)), start), start))
				version = other.changes.version
				other.record(fleet.Decode(relayed, start))
				records, _ = other.upstreamsSince(version, start)
				require.Len(t, records, 1, "entries of other keepers")
				assert.True(t, records[0].GetDraining() || records[0].GetGone())
			})
		})
	}
}

func ptr(u fleet.Upstream) *fleet.Upstream { return &u }

// A keeper that has just started does not know the upstream. It must either refuse a
// deregistration, so that another keeper gets it, or apply it to the announcements of the
// same incarnation that follow.
func TestDeregistrationAtRestartedKeeperIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		if c.Deregister("e1") != nil {
			return
		}
		c.record(announcement(2))
		u, known := c.directory.Get("e1")
		require.True(t, known)
		assert.True(t, u.Deregistered, "the acknowledged deregistration is lost")
	})
}

// A committed document that this keeper can't decode may revoke a key of the document in
// force, so the document in force must not be confirmed as the newest.
func TestUndecodableDocumentIsNotConfirmed(t *testing.T) {
	withLeader(t, func(t *testing.T, c *Control, _ string) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		defer c.opts.Keeper.Close()
		go c.serveConfirmations(ctx)
		require.NoError(t, c.Replace(ctx, 7, []byte{7}))
		synctest.Wait()
		c.opts.Decode = func([]byte) (*document.Document, error) { return nil, assert.AnError }
		require.NoError(t, c.Replace(ctx, 8, []byte{8}))
		s := &subscriber{wake: make(chan struct{}, 1)}
		c.confirmations.request(s, 5)
		<-time.After(5 * time.Second)
		u := c.nextUpdate(s, true)
		assert.False(t, u.GetConfirmedToken() == 5 && u.GetDocumentVersion() == 7, "version 8 is committed")
	})
}

// Guards against a keeper that is busy for seconds after a restart, and late for the entries that wait, as it decodes each document of its log.
func TestRestartedKeeperDecodesOnlyNewestDocument(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		const versions = 60
		c, _ := openKeeper(t, folder, 1000)
		<-time.After(5 * time.Second)
		for version := range byte(versions) {
			require.NoError(t, c.Replace(t.Context(), uint64(version)+1, []byte{version + 1}))
		}
		c.opts.Keeper.Close()
		again, decoded := openKeeper(t, folder, 1000)
		defer again.opts.Keeper.Close()
		<-time.After(5 * time.Second)
		assert.EqualValues(t, versions, again.documentVersion())
		assert.LessOrEqual(t, decoded.Load(), int64(3), "one for each batch of the log")
	})
}

// Guards against a configuration that ages at the entries although the keeper can confirm it again: a quorum read that failed
// must be repeated for the tokens that wait, not only for the next one.
func TestFailedConfirmationIsRepeated(t *testing.T) {
	withLeader(t, func(t *testing.T, c *Control, _ string) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		defer c.opts.Keeper.Close()
		var log strings.Builder
		var unreadable atomic.Bool
		unreadable.Store(true)
		decode := c.opts.Decode
		c.opts.Log, c.opts.Decode = zerolog.New(&log), func(content []byte) (*document.Document, error) {
			if unreadable.Load() {
				return nil, assert.AnError
			}
			return decode(content)
		}
		go c.serveConfirmations(ctx)
		require.NoError(t, c.Replace(ctx, 8, []byte{8}))
		s := &subscriber{wake: make(chan struct{}, 1)}
		c.confirmations.request(s, 5)
		<-time.After(300 * time.Millisecond)
		assert.Zero(t, c.confirmations.confirmed(s))
		unreadable.Store(false)
		<-time.After(minConfirmInterval + confirmTimeout)
		assert.EqualValues(t, 5, c.confirmations.confirmed(s))
		stop()
		synctest.Wait()
		assert.Equal(t, 1, strings.Count(log.String(), "configuration_not_confirmed"), "once while reads fail")
		assert.Contains(t, log.String(), "committed version 8 can't be decoded by this keeper, version 0 is in force")
	})
}

// An entry that has just started can't serve requests without a document, and no link of
// it is primary before the first update. It must be sent the document on any link.
func TestEntryWithoutDocumentGetsItOnAnyLink(t *testing.T) {
	c := newControl(t)
	packed, err := document.Pack([]byte{9})
	require.NoError(t, err)
	c.putInForce(&peerpb.DocumentChange{Version: 9, Content: packed})
	started, holding := &subscriber{}, &subscriber{}
	holding.reportedVersion.Store(8)
	assert.NotEmpty(t, c.nextUpdate(started, true).GetDocument())
	assert.Empty(t, c.nextUpdate(started, false).GetDocument(), "sent once on a link")
	assert.Empty(t, c.nextUpdate(holding, true).GetDocument(), "the primary link sends it")
}

// orderRecorder is an OrderSender that records the orders sent.
type orderRecorder struct{ sent chan grouping.Order }

func (r orderRecorder) SendOrder(_ context.Context, o grouping.Order) grouping.Result {
	r.sent <- o
	return grouping.Result{Order: o, Outcome: grouping.Accepted}
}

// Orders that still wait when the term ends must not be sent: the next coordinator decides
// about those engines.
func TestOrdersOfEndedTermAreNotSent(t *testing.T) {
	for name, test := range map[string]struct{ given, leads uint64 }{
		"the same term": {3, 3}, "lost leadership": {3, 0}, "elected again": {3, 5},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newControl(t)
			sent := make(chan grouping.Order, 1)
			c.opts.OrderSender = orderRecorder{sent}
			require.True(t, c.orders.Push(queuedOrder{grouping.Order{Kind: grouping.Join, Upstream: "e1"}, test.given}))
			c.leaderTerm.Store(test.leads)
			ctx, stop := context.WithCancel(t.Context())
			go c.sendOrders(ctx)
			synctest.Wait()
			assert.Len(t, sent, map[bool]int{true: 1}[test.given == test.leads], name)
			done := (<-c.inbox.Chan()).(orderDone)
			assert.Equal(t, test.given == test.leads, done.result.Outcome == grouping.Accepted, name)
			assert.Equal(t, test.given, done.term, name)
			stop()
		})
	}
}
