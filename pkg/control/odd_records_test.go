package control

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

// Guards against odd records that an older keeper accepted and sends on.
func TestOddRecordsOfOtherKeepersAreIgnored(t *testing.T) {
	c := newControl(t)
	require.True(t, c.record(announcement(1)))
	for name, change := range map[string]func(u *fleet.Upstream){
		"port 0":        func(u *fleet.Upstream) { u.Address = "10.0.0.1:0" },
		"largest start": func(u *fleet.Upstream) { u.StartTime = ^uint64(0) },
		"largest epoch": func(u *fleet.Upstream) { u.Group = fleet.Membership{Group: "m.1.x", Epoch: ^uint64(0)} },
		"largest rank":  func(u *fleet.Upstream) { u.Group.Rank = 1<<32 - 1 },
		"many slots":    func(u *fleet.Upstream) { u.Slots = 1<<32 - 1 },
	} {
		odd := announcement(7)
		change(&odd)
		c.recordRelayed(odd)
		u, known := c.directory.Get("e1")
		require.True(t, known, name)
		assert.EqualValues(t, 1, u.Sequence, name)
	}
	c.recordRelayed(announcement(2))
	u, _ := c.directory.Get("e1")
	assert.EqualValues(t, 2, u.Sequence)
}

// Guards against an announcement of a service that nobody configured, which takes the place of an upstream in use
// by its identifier or its address.
func TestUnknownServiceDoesNotDisplaceUpstreamInUse(t *testing.T) {
	c := newControl(t)
	c.document = &document.Document{Version: 1, Services: map[string]*document.Service{"pool": {Name: "pool"}, "desk": {Name: "desk"}}}
	require.NoError(t, c.Announce(announcement(1)))
	holds := func() bool {
		u, known := c.directory.Get("e1")
		return known && u.Service == "pool"
	}
	same := announcement(5)
	same.Service = "other"
	require.NoError(t, c.Announce(same))
	assert.True(t, holds(), "an incarnation does not change its service")
	next := same
	next.StartTime = 9
	require.Error(t, c.Announce(next))
	assert.True(t, holds(), "by the identifier")
	next.ID = "e2"
	require.Error(t, c.Announce(next))
	assert.True(t, holds(), "by the address")
	next.Address = "e2:1"
	require.NoError(t, c.Announce(next), "it displaces nothing")

	configured := announcement(1)
	configured.StartTime, configured.Service = 9, "desk"
	require.NoError(t, c.Announce(configured))
	assert.False(t, holds(), "the next incarnation may serve another configured service")
}
