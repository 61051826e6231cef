package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against idle connections that keep the memory of the last body that they brought.
func TestKeptConnectionsHoldNoBodies(t *testing.T) {
	const bodyBytes = defaultMaxBodyBytes - 1
	h := newHarness(t)
	text := fmt.Sprintf("POST /lookup HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	before := liveHeapBytes()
	var conns []net.Conn
	for range 16 {
		conn, err := h.net.dial(t.Context(), "gateway")
		require.NoError(t, err)
		conns = append(conns, conn)
		// The pipe between the two keeps the last write.
		for rest := text; rest != ""; rest = rest[min(len(rest), 64<<10):] {
			_, err = io.WriteString(conn, rest[:min(len(rest), 64<<10)])
			require.NoError(t, err)
		}
		reader := bufio.NewReader(conn)
		requireUnauthorized(t, reader)
		// The server is done with a request when it reads the next one.
		_, err = io.WriteString(conn, "GET /lookup HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		requireUnauthorized(t, reader)
	}
	assert.Less(t, liveHeapBytes(), before+4*bodyBytes)
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func requireUnauthorized(t *testing.T, reader *bufio.Reader) {
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, http.StatusUnauthorized, resp.StatusCode)
}

// liveHeapBytes returns the heap in use without what pools hold: they lose it at the second collection.
func liveHeapBytes() uint64 {
	for range 3 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
