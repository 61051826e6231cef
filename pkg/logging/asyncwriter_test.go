package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// stalledWriter is an output that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		const sent = 3 * queueCapacity
		for i := range sent {
			_, _ = fmt.Fprintf(w, "line=%d\n", i)
		}
		synctest.Wait()
		close(out.release)
		w.Close()
		lines := strings.Count(out.written.String(), "line=")
		// The writer may report some dropped lines before it stalls.
		dropped := 0
		for line := range strings.Lines(out.written.String()) {
			var n int
			if _, err := fmt.Sscanf(line, "level=warn event=log_lines_dropped count=%d", &n); err == nil {
				dropped += n
			}
		}
		assert.Equal(t, sent-lines, dropped, "each dropped line is reported once")
		assert.GreaterOrEqual(t, lines, queueCapacity)
	})
}

func TestNoLinesDroppedWhenOutputKeepsUp(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	for i := range queueCapacity / 2 {
		_, _ = fmt.Fprintf(w, "line=%d\n", i)
	}
	w.Close()
	assert.Equal(t, queueCapacity/2, strings.Count(out.String(), "\n"))
}

// A process must end within the grace period of the users' platform even if its log is
// no longer read.
func TestCloseDoesNotWaitForStalledOutput(t *testing.T) {
	const gracePeriod = 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		_, _ = fmt.Fprintln(w, "line")
		closed := make(chan struct{})
		go func() { w.Close(); close(closed) }()
		select {
		case <-closed:
		case <-time.After(gracePeriod):
			t.Error("Close waits for the stalled output")
		}
		close(out.release)
	})
}

// Write must copy the line because the caller reuses its buffer.
func TestWriteCopiesLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		line := []byte("line=1\n")
		for i := range 3 {
			line[5] = byte('1' + i)
			_, _ = w.Write(line)
		}
		close(out.release)
		w.Close()
		assert.Equal(t, "line=1\nline=2\nline=3\n", out.written.String())
	})
}

// Lines must be accepted although the writer is already blocked.
func TestWriteDoesNotBlockWhileOutputIsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		_, _ = fmt.Fprintln(w, "line")
		synctest.Wait()
		written := make(chan struct{})
		go func() {
			for range 2 * queueCapacity {
				_, _ = fmt.Fprintln(w, "line")
			}
			close(written)
		}()
		select {
		case <-written:
		case <-time.After(time.Second):
			t.Error("Write waits for the output")
		}
		close(out.release)
		w.Close()
	})
}
