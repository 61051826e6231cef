package attach

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// attachedTo returns an attachment with the given number of keepers in two failure domains, attached to the best
// maxLinks of them, each of which confirmed the configuration the given time ago; 0 means never.
func attachedTo(keepers int, now time.Time, confirmed ...time.Duration) *Attachment {
	a := New(Options{NodeID: "entry-1", FailureDomain: "fd-0", Seeds: func() []string { return nil }})
	for i := range keepers {
		a.keepers = append(a.keepers, keeperAddress{address: fmt.Sprintf("k%d", i), failureDomain: fmt.Sprintf("fd-%d", i%2)})
	}
	for i, address := range a.rankedKeepers(now)[:maxLinks] {
		l := &link{attachment: a, address: address, stop: func() {}, attachedAt: now.Add(-10 * time.Second)}
		l.attached.Store(true)
		a.links[address] = l
		if confirmed[i] > 0 {
			token := a.freshness.token(now.Add(-confirmed[i]))
			l.freshness.confirm(token)
			a.freshness.confirm(token)
		}
	}
	return a
}

// Guards against an entry all of whose keepers confirm nothing, as they are in a minority, removed or behind, while others
// could: these keepers go on sending updates, so that none of the links ends.
func TestEntryWithoutConfirmationsTriesFurtherKeepers(t *testing.T) {
	now := start.Add(time.Hour)
	for name, test := range map[string]struct {
		keepers   int
		confirmed []time.Duration
		further   int
	}{
		"all confirm":              {6, []time.Duration{time.Second, time.Second, time.Second}, 0},
		"one confirms":             {6, []time.Duration{0, time.Second, 9 * time.Second}, 0},
		"none confirms":            {6, []time.Duration{9 * time.Second, 9 * time.Second, 9 * time.Second}, 1},
		"none has ever confirmed":  {6, []time.Duration{0, 0, 0}, 1},
		"there is no other keeper": {3, []time.Duration{0, 0, 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := attachedTo(test.keepers, now, test.confirmed...)
			assert.Len(t, a.missingLinks(now), test.further)
		})
	}
}

// The further keepers are kept until those that the entry prefers confirm again, and are bounded.
func TestFurtherKeepersAreKeptUntilPreferredOnesConfirm(t *testing.T) {
	now := start.Add(time.Hour)
	a := attachedTo(9, now, 0, 0, 0)
	preferred := a.rankedKeepers(now)[:maxLinks]
	stopped := map[string]bool{}
	for range 8 {
		for _, address := range a.missingLinks(now) {
			l := &link{attachment: a, address: address, attachedAt: now, stop: func() { stopped[address] = true }}
			l.attached.Store(true)
			a.links[address] = l
		}
		now = now.Add(linkCheckInterval)
	}
	assert.Len(t, a.links, 2*maxLinks)
	a.closeSurplusLinks(now)
	assert.Empty(t, stopped, "no preferred keeper confirms")
	a.links[preferred[1]].freshness.confirm(a.freshness.token(now))
	a.closeSurplusLinks(now)
	assert.Len(t, stopped, maxLinks)
	for _, address := range preferred {
		assert.False(t, stopped[address])
	}
}

// Operators must be able to tell from the log which keepers failed to confirm an entry's configuration, and for how long.
func TestUnconfirmedConfigurationIsLogged(t *testing.T) {
	var log strings.Builder
	now := start.Add(time.Hour)
	a := attachedTo(6, now, 500*time.Millisecond, 900*time.Millisecond, 0)
	a.opts.Log, a.opts.MaxChangeAge = zerolog.New(&log), 2*time.Second
	addresses := a.rankedKeepers(now)
	a.links[addresses[1]].attached.Store(false)
	a.newest.Store(7)
	a.logConfirmation(now)
	assert.Empty(t, log.String())
	for range 3 {
		now = now.Add(time.Second)
		a.logConfirmation(now)
	}
	assert.Equal(t, 1, strings.Count(log.String(), "configuration_unconfirmed"), "once for each period")
	for _, text := range []string{
		`"newest_reported":7`, `"age_ms":2500`, addresses[0] + " version 0 confirmed 2500 ms ago", addresses[1] + " not attached", addresses[2] + " version 0 never confirmed",
	} {
		assert.Contains(t, log.String(), text)
	}
	a.freshness.confirm(a.freshness.token(now))
	a.logConfirmation(now)
	a.logConfirmation(now)
	assert.Equal(t, 1, strings.Count(log.String(), "configuration_confirmed"))
	assert.Contains(t, log.String(), `"unconfirmed_for_ms":1500`)
	assert.NotContains(t, describeNever(now), "unconfirmed", "an entry that starts has nothing to confirm yet")
}

// describeNever returns what an entry logs that has no configuration yet.
func describeNever(now time.Time) string {
	var log strings.Builder
	a := attachedTo(3, now, 0, 0, 0)
	a.opts.Log, a.opts.MaxChangeAge = zerolog.New(&log), 2*time.Second
	a.logConfirmation(now)
	return log.String()
}

// Guards against entries that all attach to twice as many keepers after a restart of all VMs, as no keeper confirms yet: the
// further links make the keepers later.
func TestFurtherKeepersAreNotTriedWhileOneWithLeaderMayConfirm(t *testing.T) {
	now := start.Add(time.Hour)
	for name, test := range map[string]struct {
		leaderKnown bool
		attached    time.Duration
		further     int
	}{
		"no leader":                     {false, 2 * time.Second, 1},
		"leader known for a short time": {true, 2 * time.Second, 0},
		"leader known, but no answer":   {true, 4 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			a := attachedTo(6, now, 0, 0, 0)
			for _, l := range a.links {
				l.attachedAt = now.Add(-test.attached)
				l.leaderKnown.Store(test.leaderKnown)
			}
			assert.Len(t, a.missingLinks(now), test.further)
		})
	}
}

// Guards against entries that attach to all keepers after a restart of all VMs: each keeper refused a link before it served, and
// so ranked behind the others for a time.
func TestRestartOfAllKeepersDoesNotDoubleLinks(t *testing.T) {
	now := start.Add(time.Hour)
	a := attachedTo(6, now, 0, 0, 0)
	preferred := a.rankedKeepers(now)[:maxLinks]
	for _, address := range preferred {
		a.recordFailure(address, now.Add(-100*time.Millisecond))
		a.links[address].attached.Store(false)
		a.links[address].attachedAt = now.Add(-50 * time.Millisecond)
	}
	assert.Empty(t, a.missingLinks(now), "the links to the preferred keepers have just begun")
	for _, address := range preferred {
		a.links[address].attached.Store(true)
		a.recordAttached(address)
	}
	assert.Equal(t, preferred, a.rankedKeepers(now)[:maxLinks], "a keeper that serves again is no failed one")
	for _, address := range preferred {
		a.links[address].attached.Store(false)
		a.links[address].attachedAt = now.Add(-2 * beginTimeout)
		a.recordFailure(address, now)
	}
	assert.Len(t, a.missingLinks(now), maxLinks, "the preferred keepers do not serve")
}
