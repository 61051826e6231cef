package attach

import (
	"fmt"
	"testing"
	"time"

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
