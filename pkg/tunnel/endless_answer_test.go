package tunnel

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a handshake that reads a head without end into memory: the address of an entry that is gone may be another
// process's.
func TestHandshakeReadsNoHeadWithoutEnd(t *testing.T) {
	for name, answer := range map[string]struct{ head, repeated string }{
		"bytes instead of a head": {"", strings.Repeat("\x00\xff", 1<<10)},
		"status line":             {"HTTP/1.1 200 ", strings.Repeat("x", 1<<10)},
		"one header field":        {"HTTP/1.1 200 X\r\nA: ", strings.Repeat("b", 1<<10)},
		"header fields":           {"HTTP/1.1 200 X\r\n", strings.Repeat("A: b\r\n", 170)},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			read := make(chan int)
			go func() {
				go func() { _, _ = io.Copy(io.Discard, far) }()
				sent, err := io.WriteString(far, answer.head)
				for err == nil && sent < 16*maxHandshakeBytes {
					var n int
					n, err = io.WriteString(far, answer.repeated)
					sent += n
				}
				_ = far.Close()
				read <- sent
			}()
			d := &Dialer{}
			assert.NoError(t, near.SetDeadline(time.Now().Add(time.Minute)))
			assert.Error(t, d.handshake(near, Peer{}, "a:1"))
			_ = near.Close()
			assert.LessOrEqual(t, <-read, 2*maxHandshakeBytes)
		})
	}
}

// Guards against a tunnel that is taken for open because of an answer whose status line is none.
func TestHandshakeNeedsValidStatusLine(t *testing.T) {
	assertOpens(t, map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK": true, "HTTP/9.9 200 OK": false, "HTTP/1.1 000 OK": false, "HTTP/1.1 101 X": false,
	})
}

// Guards against a tunnel that is taken for open because of an answer in whose head the name of a field is no token.
func TestHandshakeNeedsValidFieldNames(t *testing.T) {
	assertOpens(t, map[string]bool{
		"HTTP/1.1 200 OK\r\nGood-Name: v": true, "HTTP/1.1 200 OK\r\nBad Name: v": false, "HTTP/1.1 200 OK\r\nBad : v": false, "HTTP/1.1 200 OK\r\nBad\x00: v": false,
		"HTTP/1.1 103 X\r\nBad Name: v\r\n\r\nHTTP/1.1 200 OK": false,
	})
}

// assertOpens checks for each head of an answer whether a handshake opens a tunnel.
func assertOpens(t *testing.T, heads map[string]bool) {
	t.Helper()
	for head, opened := range heads {
		near, far := net.Pipe()
		go func() {
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, _ = io.WriteString(far, head+"\r\n\r\n")
		}()
		assert.NoError(t, near.SetDeadline(time.Now().Add(time.Minute)))
		assert.Equal(t, opened, (&Dialer{}).handshake(near, Peer{}, "a:1") == nil, head)
		_ = near.Close()
	}
}
