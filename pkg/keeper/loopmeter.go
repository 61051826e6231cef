package keeper

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"github.com/masticmount/masticmount/pkg/regionlog"
)

const (
	// lateTick is the delay of a tick, a heartbeat interval, from which the log loop counts as late.
	lateTick = heartbeatTicks * tickInterval
	// lagReportInterval is the least time between two lines on a late log loop.
	lagReportInterval = time.Second
)

// loopMeter measures how late the log loop is and what it does meanwhile.
type loopMeter struct {
	tickedAt, reportedAt time.Time
	// processor is the processor time of the process at the last report.
	processor time.Duration
	period    loopPeriod
}

// loopPeriod is what the log loop did since the last report.
type loopPeriod struct {
	// lateTicks are the ticks that were late, worst is the longest delay.
	lateTicks int
	worst     time.Duration
	events    int
	// handling, syncing and applyWait are the times for events, for the disk, and for room in the queue of the apply loop.
	handling, syncing, applyWait time.Duration
}

// tick records a tick at now and reports whether a line is due.
func (m *loopMeter) tick(now time.Time) bool {
	if m.tickedAt.IsZero() {
		m.tickedAt, m.reportedAt, m.processor = now, now, processorTime()
	}
	late := now.Sub(m.tickedAt) - tickInterval
	m.tickedAt = now
	if late >= lateTick {
		m.period.lateTicks++
		m.period.worst = max(m.period.worst, late)
	}
	return m.period.lateTicks > 0 && now.Sub(m.reportedAt) >= lagReportInterval
}

// timed runs fn and adds its duration to total.
func timed(total *time.Duration, fn func() error) error {
	began := time.Now()
	err := fn()
	*total += time.Since(began)
	return err
}

// reset begins a new period and returns the last one, its length and the processor time that the process used in it.
func (m *loopMeter) reset(now time.Time) (period loopPeriod, length, processor time.Duration) {
	used := processorTime()
	period, length, processor = m.period, now.Sub(m.reportedAt), used-m.processor
	m.period, m.reportedAt, m.processor = loopPeriod{}, now, used
	return period, length, processor
}

// processorTime returns the processor time of this process; 0 if it is unknown.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportLag logs what a late log loop was busy with.
func (l *logLoop) reportLag(now time.Time) {
	period, length, processor := l.meter.reset(now)
	s := l.published
	l.keeper.opts.Log.Warn().Dur("period_ms", length).Int("late_ticks", period.lateTicks).Dur("latest_ms", period.worst).
		Dur("processor_ms", processor).Int("goroutines", runtime.NumGoroutine()).Int("events", period.events).Int("queued", l.keeper.events.Len()).
		Dur("handling_ms", period.handling).Dur("sync_ms", period.syncing).Dur("apply_wait_ms", period.applyWait).
		Str("role", s.Role.String()).Uint64("last", s.Last).Uint64("commit", s.Commit).Uint64("applied", l.keeper.applied.get()).Msg("log_loop_late")
}

// reportBehind logs, on the leader, the members that have lacked committed entries since the last call.
func (l *logLoop) reportBehind(s regionlog.Status) {
	if s.Role != regionlog.Leader {
		l.commitReported = 0
		return
	}
	for id, match := range s.Match {
		if match >= l.commitReported || id == s.Identity {
			continue
		}
		l.keeper.opts.Log.Info().Uint64("member", id).Uint64("match", match).Uint64("commit", s.Commit).
			Dur("silent_ms", time.Duration(s.SilentTicks[id])*tickInterval).
			Uint64("entry_bytes", s.Sent.EntryBytes).Uint64("repeated_bytes", s.Sent.RepeatedBytes).Msg("keeper_behind")
	}
	l.commitReported = s.Commit
}
