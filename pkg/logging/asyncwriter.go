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
	// the grace period that a process has to exit after it is asked to stop.
	closeTimeout = 500 * time.Millisecond
)

// AsyncWriter is an io.Writer that forwards log lines from a bounded queue in a goroutine of
// its own, so that logging never blocks the caller.
type AsyncWriter struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	// reported is the number of dropped lines that were already logged.
	reported uint64
	stop     context.CancelFunc
	stopped  chan struct{}
}

// NewAsyncWriter returns a writer that forwards to out. Close writes the queued lines.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	ctx, stop := context.WithCancel(context.Background())
	w := &AsyncWriter{out: out, lines: ring.New[[]byte](queueCapacity, ring.RejectNew), stop: stop, stopped: make(chan struct{})}
	go func() {
		defer close(w.stopped)
		w.run(ctx)
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	w.lines.Push(append([]byte(nil), p...))
	return len(p), nil
}

// Close stops the writer. It returns once the queued lines are written, at the latest
// after closeTimeout.
func (w *AsyncWriter) Close() {
	w.stop()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.stopped:
	case <-timer.C:
	}
}

func (w *AsyncWriter) run(ctx context.Context) {
	for {
		line, ok := w.lines.Pop(ctx)
		if !ok {
			w.write(nil)
			return
		}
		w.write(line)
	}
}

// write writes a line together with the lines queued behind it, and reports dropped
// lines. An error of the output cannot be logged, so it is ignored and the batch is lost.
func (w *AsyncWriter) write(batch []byte) {
	for more := true; more; {
		for more && len(batch) < batchBytes {
			select {
			case line := <-w.lines.Chan():
				batch = append(batch, line...)
			default:
				more = false
			}
		}
		if dropped := w.lines.Dropped(); dropped > w.reported {
			batch = fmt.Appendf(batch, "level=warn event=log_lines_dropped count=%d\n", dropped-w.reported)
			w.reported = dropped
		}
		if len(batch) > 0 {
			_, _ = w.out.Write(batch)
		}
		batch = batch[:0]
	}
}
