package attach

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// recordedStream records when reports with crash evidence were sent.
type recordedStream struct {
	grpc.BidiStreamingClient[peerpb.EntryReport, peerpb.FleetUpdate]
	began time.Time
	sent  []time.Duration
}

func (s *recordedStream) Send(r *peerpb.EntryReport) error {
	if r.GetCrashEvidence() != nil {
		s.sent = append(s.sent, time.Since(s.began))
	}
	return nil
}

// Guards against a request that crashes one more upstream while the evidence waits for the next
// report.
func TestUrgentEvidenceIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{})
		var crashed atomic.Bool
		a.SetHandlers(Handlers{Report: func(_ time.Time, _ bool, _ *Sent, r *peerpb.EntryReport) {
			if crashed.Swap(false) {
				r.CrashEvidence = &peerpb.CrashEvidence{}
			}
		}})
		l := &link{attachment: a, address: "keeper", urgent: make(chan struct{}, 1)}
		a.links[l.address] = l
		stream := &recordedStream{began: time.Now()}
		ctx, cancel := context.WithCancelCause(t.Context())
		go l.sendReports(ctx, stream, cancel)
		<-time.After(reportInterval + 10*time.Millisecond)
		crashed.Store(true)
		a.ReportNow()
		synctest.Wait()
		assert.Equal(t, []time.Duration{reportInterval + 10*time.Millisecond}, stream.sent)
		cancel(nil)
		synctest.Wait()
	})
}

// Guards against an entry that refuses nothing although its keepers confirm all the time, as the time within which a change has
// to be in force is shorter than the usual time between two confirmations.
func TestConfirmationsFollowTheBoundOnChanges(t *testing.T) {
	for bound, want := range map[time.Duration]time.Duration{
		0: confirmInterval, 2250 * time.Millisecond: confirmInterval, 1800 * time.Millisecond: confirmInterval, 900 * time.Millisecond: 450 * time.Millisecond,
	} {
		assert.Equal(t, want, New(Options{MaxChangeAge: bound}).ConfirmInterval(), bound)
	}
}
