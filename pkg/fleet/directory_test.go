package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const interval = time.Second

func announcement(id string, startTime, sequence uint64) Upstream {
	return Upstream{ID: id, StartTime: startTime, Sequence: sequence, Address: "a:1", Service: "s", AnnouncedAt: start}
}

func TestNewestAnnouncementIsKept(t *testing.T) {
	d := NewDirectory(interval)
	require.True(t, d.Observe(announcement("e1", 10, 4)))
	assert.False(t, d.Observe(announcement("e1", 10, 3)), "late")
	assert.False(t, d.Observe(announcement("e1", 9, 8)), "of an earlier incarnation")
	assert.True(t, d.Observe(announcement("e1", 11, 1)), "a later incarnation starts its own sequence")
	u, _ := d.Get("e1")
	assert.EqualValues(t, 11, u.StartTime)
}

func TestAddressBelongsToLatestIncarnation(t *testing.T) {
	d := NewDirectory(interval)
	require.True(t, d.Observe(announcement("old", 10, 9)))
	require.True(t, d.Observe(announcement("new", 20, 1)))
	_, known := d.Get("old")
	assert.False(t, known)
	assert.False(t, d.Observe(announcement("old", 10, 10)), "a late announcement of the earlier incarnation")
	u, _ := d.Get("new")
	assert.Equal(t, "a:1", u.Address)
}

func TestDeregistrationHoldsForIncarnation(t *testing.T) {
	d := NewDirectory(interval)
	d.Observe(announcement("e1", 10, 4))
	gone, known := d.Deregister("e1", start)
	require.True(t, known)
	assert.True(t, gone.Deregistered)
	d.Observe(announcement("e1", 10, 5))
	u, _ := d.Get("e1")
	assert.True(t, u.Deregistered)
	d.Observe(announcement("e1", 12, 1))
	u, _ = d.Get("e1")
	assert.False(t, u.Deregistered, "a new incarnation with the same identifier")
	_, known = d.Deregister("nobody", start)
	assert.False(t, known)
}

func TestSilentUpstreamsExpire(t *testing.T) {
	d := NewDirectory(interval)
	d.Observe(announcement("e1", 10, 4))
	silent, removed := d.Expire(start.Add(2 * interval))
	assert.Empty(t, silent)
	assert.Empty(t, removed)
	silent, _ = d.Expire(start.Add(3 * interval))
	assert.Equal(t, []string{"e1"}, silent)
	back := announcement("e1", 10, 5)
	back.AnnouncedAt = start.Add(4 * interval)
	require.True(t, d.Observe(back))
	u, _ := d.Get("e1")
	assert.False(t, u.Silent)
	_, removed = d.Expire(start.Add(time.Minute))
	assert.Equal(t, []string{"e1"}, removed)
	assert.Empty(t, d.All())
}

func TestRecordRoundTrip(t *testing.T) {
	u := announcement("e1", 10, 4)
	u.Staged, u.Slots, u.Draining, u.FabricDomain = []string{"m"}, 17, true, "f"
	u.Group = Membership{Group: "g", Epoch: 1 << 40, Rank: 2, State: Ready}
	now := start.Add(300 * time.Millisecond)
	assert.Equal(t, u, Decode(Encode(&u, now), now))
}

// A deregistration goes to one keeper, whose newest announcement of the upstream may be
// older than that of the keepers it is relayed to. They must still apply it.
func TestRelayedDeregistrationAppliesToLaterAnnouncement(t *testing.T) {
	d := NewDirectory(interval)
	d.Observe(announcement("e1", 10, 5))
	deregistration := announcement("e1", 10, 4)
	deregistration.Deregistered = true
	d.Observe(deregistration)
	u, _ := d.Get("e1")
	assert.True(t, u.Deregistered)
}

func TestRelayedDeregistrationAppliesToSameIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		startTime, sequence uint64
		gone                bool
	}{
		"the same announcement":     {10, 5, true},
		"a later one":               {10, 6, true},
		"of an earlier incarnation": {9, 7, false},
	} {
		d := NewDirectory(interval)
		d.Observe(announcement("e1", 10, 5))
		deregistration := announcement("e1", test.startTime, test.sequence)
		deregistration.Deregistered = true
		d.Observe(deregistration)
		u, _ := d.Get("e1")
		assert.Equal(t, test.gone, u.Deregistered, name)
	}
}

func TestDeregistrationIsKeptAfterSilence(t *testing.T) {
	d := NewDirectory(interval)
	d.Observe(announcement("e1", 10, 4))
	d.Deregister("e1", start)
	d.Expire(start.Add(4 * interval))
	d.Observe(announcement("e1", 10, 5))
	u, known := d.Get("e1")
	require.True(t, known)
	assert.True(t, u.Deregistered, "a late announcement")
}

func TestDeregistrationRoundTrip(t *testing.T) {
	for name, u := range map[string]Upstream{"draining": {ID: "e1", Draining: true}, "gone": {ID: "e1", Deregistered: true}, "neither": {ID: "e1"}} {
		record := Decode(Encode(&u, start), start)
		assert.Equal(t, u.Draining, record.Draining, name)
		assert.Equal(t, u.Deregistered, record.Deregistered, name)
	}
}
