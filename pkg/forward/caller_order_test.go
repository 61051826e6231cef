package forward

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
)

// socketHarness runs an entry over TCP before one plain upstream with a single slot, whose requests end when the test says so.
type socketHarness struct {
	t       *testing.T
	entry   *Entry
	address string
	// received gets the identifier of each request that reaches the upstream, which answers one for each value of proceed.
	received chan string
	proceed  chan struct{}
}

func newSocketHarness(t *testing.T) *socketHarness {
	h := &socketHarness{t: t, received: make(chan string, 64), proceed: make(chan struct{})}
	upstream := httptest.NewServer(http.HandlerFunc(h.serveUpstream))
	t.Cleanup(upstream.Close)
	address := upstream.Listener.Addr().String()
	view := &attach.View{
		Document: testDocument(t),
		Targets:  []attach.Target{{ID: "a", StartTime: 1, Address: address, Service: "desk", FailureDomain: "fd", Slots: 1}},
	}
	client := dispatch.NewClientWith(dispatch.Options{Protocol: dispatch.Protocol{RequestID: testHeaderNames.RequestID}})
	t.Cleanup(client.Close)
	h.entry = New(Options{
		FailureDomain: "fd", View: func() *attach.View { return view }, ConfigAge: func() time.Duration { return 0 }, MaxConfigAge: time.Minute,
		HeaderNames: testHeaderNames, Log: zerolog.Nop(), Client: client,
	})
	h.entry.UpdateView(view)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.address = listener.Addr().String()
	go func() { _ = h.entry.Serve(disconnect.WrapListener(listener)) }()
	t.Cleanup(func() { _ = h.entry.server.Shutdown() })
	return h
}

func (h *socketHarness) serveUpstream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testHeaderNames.RequestID)
	h.received <- id
	select {
	case <-h.proceed:
	case <-r.Context().Done():
	}
	w.Header().Set(testHeaderNames.RequestID, id)
	w.Header().Set(testHeaderNames.Signature, "p")
	_, _ = w.Write([]byte("ok"))
}

// call sends a request of a caller that waits for a time. The channel gets its answer.
func (h *socketHarness) call(id string, left time.Duration) <-chan reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/repeat/x", strings.NewReader("text"))
	require.NoError(h.t, err)
	req.Host = "h"
	req.Header.Set(testHeaderNames.RequestID, id)
	req.Header.Set(testHeaderNames.Key, "secret")
	req.Header.Set(testHeaderNames.TimeLeft, fmt.Sprint(left.Milliseconds()))
	answered := make(chan reply, 1)
	go func() {
		defer close(answered)
		resp, err := http.DefaultClient.Do(req)
		if assert.NoError(h.t, err, id) {
			_ = resp.Body.Close()
			answered <- reply{resp.StatusCode, resp.Header, resp.Close}
		}
	}()
	return answered
}

// awaitWaiting waits until a number of requests wait for the upstream.
func (h *socketHarness) awaitWaiting(n int) {
	require.Eventually(h.t, func() bool {
		h.entry.mu.Lock()
		defer h.entry.mu.Unlock()
		return len(h.entry.waiters) == n
	}, time.Minute, time.Millisecond)
}

// Callers with the same work are served in the order in which they came, whatever part of the route's timeout they have left: less
// of it does not show that they were here before.
func TestCallersAreServedInOrderOfArrival(t *testing.T) {
	const timeout = 5 * time.Second
	for name, left := range map[string][]time.Duration{
		"all of the timeout":      {timeout, timeout},
		"a part of it, then all":  {4 * time.Second, timeout},
		"a little less, then all": {4600 * time.Millisecond, timeout},
		"all, then a part":        {timeout, 4 * time.Second},
		"hardly different":        {4649 * time.Millisecond, 4651 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSocketHarness(t)
			answers := []<-chan reply{h.call("running", timeout)}
			require.Equal(t, "running", <-h.received)
			for i, l := range left {
				answers = append(answers, h.call(fmt.Sprint("caller-", i), l))
				h.awaitWaiting(i + 1)
			}
			for i := range left {
				h.proceed <- struct{}{}
				assert.Equal(t, fmt.Sprint("caller-", i), <-h.received)
			}
			h.proceed <- struct{}{}
			for _, answered := range answers {
				assert.Equal(t, http.StatusOK, (<-answered).StatusCode)
			}
		})
	}
}
