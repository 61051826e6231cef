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
