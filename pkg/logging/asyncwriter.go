package logging

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/masticmount/masticmount/pkg/ring"
)

const (
	// queueCapacity is the capacity of the queue of log lines. Lines beyond it are dropped
	// and counted: a stalled reader of the log must not block requests.
	queueCapacity = 4096
	// batchBytes is the size from which a batch is written without adding further lines.
	batchBytes = 32 << 10
	// closeTimeout limits how long Close waits for a stalled reader. It is a small part of
	// the grace period in which a process must end after it is told to stop.
	closeTimeout = 500 * time.Millisecond
)

// AsyncWriter is an io.Writer that forwards log lines from a bounded queue in a goroutine of
// its own, so that logging never blocks the caller.
type AsyncWriter struct {
	out      io.Writer
	lines    *ring.Ring[[]byte]
	reported uint64
	stop     context.CancelFunc
	stopped  chan struct{}
}

// NewAsyncWriter returns a writer that forwards to out. Close writes the queued lines.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	ctx, stop := context.WithCancel(context.Background())
	b := &AsyncWriter{out: out, lines: ring.New[[]byte](queueCapacity, ring.RejectNew), stop: stop, stopped: make(chan struct{})}
	go func() {
		defer close(b.stopped)
		b.run(ctx)
	}()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	b.lines.Push(append([]byte(nil), p...))
	return len(p), nil
}

// Close stops the writer. It returns once the queued lines are written, at the latest
// after closeTimeout.
func (b *AsyncWriter) Close() {
	b.stop()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-b.stopped:
	case <-timer.C:
	}
}

func (b *AsyncWriter) run(ctx context.Context) {
	for {
		line, ok := b.lines.Pop(ctx)
		if !ok {
			b.write(nil)
			return
		}
		b.write(line)
	}
}

// write writes a line together with the lines queued behind it, and reports dropped
// lines. An error of the output cannot be logged; the next write tries again.
func (b *AsyncWriter) write(batch []byte) {
	for more := true; more; {
		for more && len(batch) < batchBytes {
			select {
			case line := <-b.lines.Chan():
				batch = append(batch, line...)
			default:
				more = false
			}
		}
		if dropped := b.lines.Dropped(); dropped > b.reported {
			batch = fmt.Appendf(batch, "level=warn event=log_lines_dropped count=%d\n", dropped-b.reported)
			b.reported = dropped
		}
		if len(batch) > 0 {
			_, _ = b.out.Write(batch)
		}
		batch = batch[:0]
	}
}
