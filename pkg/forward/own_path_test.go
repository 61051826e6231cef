package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An entry whose own path was lost reported the groups of its silent streams as stalled, and sound groups were dissolved.
func TestSilenceIsNotReportedUntilOwnPathIsProven(t *testing.T) {
	for _, proven := range []bool{false, true} {
		first := fmt.Sprintf(streamHead, "p") + chunk(event(1))
		upstream := pausingStream(1, time.Second)
		inBubble(t, map[string]script{"a:1": upstream, "b:1": waitForClose(first)}, func(h *harness) {
			for i := range h.view.Targets {
				h.view.Targets[i].Group = fmt.Sprintf("big.4.%d", i)
			}
			h.entry.UpdateView(h.view)
			h.entry.opts.PathProven = func(time.Time) bool { return proven }
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _, _ = h.call("POST", "/stream/x", "prompt")
			}()
			<-time.After(eventGapTimeout / 2)
			h.entry.mu.Lock()
			for _, s := range h.entry.placer.targets {
				// The boot time does not follow the bubble's clock.
				s.answeredAt = time.Time{}
			}
			h.entry.mu.Unlock()
			<-time.After(eventGapTimeout)
			h.entry.mu.Lock()
			stalled := len(h.entry.reports.stalled)
			h.entry.mu.Unlock()
			assert.Equal(t, proven, stalled > 0)
			<-done
		})
	}
}

// Targets that failed before the loss of the entry's path was noticed stayed in backoff after another path was found.
func TestFailuresAreForgivenOncePathIsKnownToBeLost(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"))
	target := groupTarget("one", "fd-a")
	p.RecordFailure(start, &target)
	assert.Nil(t, p.Claim(start, testWork(1, 0)))
	p.ForgiveFailures(start)
	assert.NotNil(t, p.Claim(start, testWork(1, 0)))
}
