package cli

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
)

// Guards against a command that keeps a response without end in memory until it is killed.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	for name, response := range map[string]struct {
		head, repeated string
		kind           fault.Kind
	}{
		"no HTTP":         {"", strings.Repeat("\x00\xff", 1<<15), fault.NoQuorum},
		"header fields":   {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 1<<13), fault.NoQuorum},
		"body to the end": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<16), fault.Internal},
		"body in chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n", fault.Internal},
		"one chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", strings.Repeat("x", 1<<16), fault.Internal},
		"error":           {"HTTP/1.1 500 X\r\n\r\n", strings.Repeat("x", 1<<16), fault.Internal},
		"interim":         {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<11), fault.NoQuorum},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			sent := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					close(sent)
					return
				}
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				total, err := io.WriteString(conn, response.head)
				for err == nil && total < 4*maxResponseBytes {
					var n int
					n, err = io.WriteString(conn, response.repeated)
					total += n
				}
				_ = conn.Close()
				sent <- total
			}()
			client, err := NewClient("http://"+listener.Addr().String(), "token", "")
			require.NoError(t, err)
			_, err = client.Status()
			assert.Equal(t, response.kind, fault.From(err).Kind, "%v", err)
			_ = listener.Close()
			assert.Less(t, <-sent, 2*maxResponseBytes)
		})
	}
}

// Guards against a change that counts as accepted because of an answer whose status is none.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 101 X", "HTTP/1.1 999 X", "HTTP/9.9 200 OK", "HTTP/1.1 200 OK"} {
		t.Run(line, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, line+"\r\nContent-Length: 2\r\n\r\n{}")
				_, _ = io.Copy(io.Discard, conn)
			}()
			client, err := NewClient("http://"+listener.Addr().String(), "token", "")
			require.NoError(t, err)
			_, err = client.Status()
			if line == "HTTP/1.1 200 OK" {
				require.NoError(t, err)
				return
			}
			assert.Equal(t, fault.NoQuorum, fault.From(err).Kind, "%v", err)
		})
	}
}
