package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A GET that ran and whose connection then ended was sent again by the caller's transport, refused
// by the entry's next incarnation, and reported as one that was refused and ran.
func TestCallerSendsEachRequestOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		runs, lengths := map[string]int{}, map[string]string{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			id := req.Header.Get("X-Request-Id")
			runs[id]++
			lengths[id] = fmt.Sprint(req.ContentLength, req.TransferEncoding)
			if id == "lost" && runs[id] == 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "ran %s", id)
		}))
		connections := 0
		transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			connections++
			return (&net.Dialer{}).DialContext(ctx, network, server.Listener.Addr().String())
		}}
		send := func(id string) answer {
			return sendPlain(transport, &node{ip: "127.0.0.1"}, id, plainRequest{method: method, path: "/lookup/x"})
		}
		assert.Equal(t, answer{status: http.StatusOK, body: "ran first"}, send("first"), method)
		assert.Equal(t, answer{}, send("lost"), method)
		assert.Equal(t, 1, connections, "%s: the connection is persistent", method)
		assert.Equal(t, answer{status: http.StatusOK, body: "ran last"}, send("last"), method)
		assert.Equal(t, map[string]int{"first": 1, "lost": 1, "last": 1}, runs, method)
		assert.Equal(t, map[string]string{"first": "0 []", "lost": "0 []", "last": "0 []"}, lengths, method)
		transport.CloseIdleConnections()
		server.Close()
	}
}
