package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// memoryConn answers each write with the same response.
type memoryConn struct {
	net.Conn
	response string
	unread   strings.Reader
}

func (c *memoryConn) Write(p []byte) (int, error) {
	c.unread.Reset(c.response)
	return len(p), nil
}
func (c *memoryConn) Read(p []byte) (int, error)      { return c.unread.Read(p) }
func (c *memoryConn) Close() error                    { return nil }
func (c *memoryConn) SetDeadline(time.Time) error     { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error { return nil }

// BenchmarkResponse reads responses on a connection that is used again.
func BenchmarkResponse(b *testing.B) {
	fields := "Server: engine\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nCache-Control: no-cache\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
	for name, response := range map[string]string{
		"length":      withField(ok("r", strings.Repeat("x", 800)), strings.TrimSuffix(fields, "\r\n")),
		"1000 chunks": withField(chunkedHead, strings.TrimSuffix(fields, "\r\n")) + strings.Repeat("40\r\n"+strings.Repeat("x", 64)+"\r\n", 1000) + "0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			client := NewClientWith(Options{Dial: func(context.Context, string) (net.Conn, error) { return &memoryConn{response: response}, nil }})
			buffer := make([]byte, 4<<10)
			call := testCall("r")
			b.ReportAllocs()
			for b.Loop() {
				r, err := client.Begin(context.Background(), call)
				for err == nil {
					_, err = r.Read(buffer)
				}
				if !errors.Is(err, io.EOF) {
					b.Fatal(err)
				}
				r.Finish()
			}
		})
	}
}
