package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

func TestAStalledReaderBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{release: make(chan struct{})}
		b := NewBounded(out)
		const sent = 3 * boundedLines
		for i := range sent {
			_, _ = fmt.Fprintf(b, "line=%d\n", i)
		}
		synctest.Wait()
		close(out.release)
		b.Close()
		lines := strings.Count(out.got.String(), "line=")
		assert.Contains(t, out.got.String(), fmt.Sprintf("event=log_lines_dropped count=%d", sent-lines))
		assert.GreaterOrEqual(t, lines, boundedLines)
	})
}

func TestNothingIsLostWhileTheReaderKeepsUp(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out)
	for i := range boundedLines / 2 {
		_, _ = fmt.Fprintf(b, "line=%d\n", i)
	}
	b.Close()
	assert.Equal(t, boundedLines/2, strings.Count(out.String(), "\n"))
}
