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
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 101 X", "HTTP/1.1 999 X", "HTTP/9.9 200 OK"} {
		t.Run(line, func(t *testing.T) {
			assert.Equal(t, fault.NoQuorum, fault.From(statusFrom(t, line+"\r\nContent-Length: 2\r\n\r\n{}")).Kind)
		})
	}
	require.NoError(t, statusFrom(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
}

// Guards against a change that counts as accepted because of an answer in which the name of a field is no token.
func TestInvalidFieldNameIsNoSuccess(t *testing.T) {
	const sized, chunked = "Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nBad Name: v\r\n" + sized, "HTTP/1.1 200 OK\r\nBad : v\r\n" + sized, "HTTP/1.1 200 OK\r\nBad\x00: v\r\n" + sized,
		"HTTP/1.1 103 X\r\nBad Name: v\r\n\r\nHTTP/1.1 200 OK\r\n" + sized,
		"HTTP/1.1 200 OK\r\n" + chunked + "Bad Name: v\r\n\r\n", "HTTP/1.1 200 OK\r\n" + chunked + "Good: v\r\nBad : v\r\n\r\n",
	} {
		assert.Equal(t, fault.NoQuorum, fault.From(statusFrom(t, response)).Kind, "%q", response)
	}
	require.NoError(t, statusFrom(t, "HTTP/1.1 200 OK\r\n"+chunked+"Good: v\r\n\r\n"))
}

// statusFrom returns the error of a call to a node that sends the response.
func statusFrom(t *testing.T, response string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		_, _ = io.Copy(io.Discard, conn)
	}()
	client, err := NewClient("http://"+listener.Addr().String(), "token", "")
	require.NoError(t, err)
	_, err = client.Status()
	return err
}
