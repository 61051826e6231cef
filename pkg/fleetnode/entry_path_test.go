package fleetnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/forward"
	"github.com/masticmount/masticmount/pkg/grouping"
	"github.com/masticmount/masticmount/pkg/tunnel"
)

// cutKind is how an entry loses its path to the upstreams.
type cutKind string

const (
	// cutRefused resets open connections and refuses new ones.
	cutRefused cutKind = "refused"
	// cutHung leaves open and new connections without an answer.
	cutHung cutKind = "hung"
	// cutHalf lets open connections live and refuses new ones.
	cutHalf cutKind = "half"
)

// uplink is an entry's path to the upstreams.
type uplink struct {
	kind atomic.Pointer[cutKind]
	mu   sync.Mutex
	// conns are the open connections: the entry's side and the upstream's.
	conns map[net.Conn]net.Conn
	// healed is closed when the last cut ends.
	healed chan struct{}
}

func newUplink() *uplink { return &uplink{conns: map[net.Conn]net.Conn{}} }

func (u *uplink) cut(kind cutKind) {
	u.mu.Lock()
	u.healed = make(chan struct{})
	u.mu.Unlock()
	u.kind.Store(&kind)
	if kind != cutRefused {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for near, far := range u.conns {
		_, _ = near.Close(), far.Close()
	}
}

func (u *uplink) heal() {
	u.kind.Store(nil)
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.healed)
}

// waitHealed returns when the last cut has ended.
func (u *uplink) waitHealed() {
	u.mu.Lock()
	healed := u.healed
	u.mu.Unlock()
	<-healed
}

// dial connects through a proxy that the cut affects.
func (u *uplink) dial(ctx context.Context, address string) (net.Conn, error) {
	switch kind := u.kind.Load(); {
	case kind == nil:
	case *kind == cutHung:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = proxy.Close() }()
	entrySide, err := (&net.Dialer{}).DialContext(ctx, "tcp", proxy.Addr().String())
	if err != nil {
		return nil, err
	}
	near, err := proxy.Accept()
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.conns[near] = far
	u.mu.Unlock()
	go u.copy(near, far)
	go u.copy(far, near)
	return entrySide, nil
}

// copy forwards one direction; a hung connection loses what is sent, and its end is seen on the other side once it is healed.
func (u *uplink) copy(from, to net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if kind := u.kind.Load(); kind != nil && *kind == cutHung {
			if err == nil {
				continue
			}
			n = 0
			u.waitHealed()
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			_, _ = from.Close(), to.Close()
			return
		}
	}
}

// countingUpstream counts the runs of each request.
type countingUpstream struct {
	mu   sync.Mutex
	runs map[string]int
}

func (u *countingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Test-Id")
	u.mu.Lock()
	u.runs[r.URL.Path+" "+id]++
	u.mu.Unlock()
	w.Header().Set("Test-Id", id)
	w.Header().Set("Test-Signature", "s")
	_, _ = io.WriteString(w, "answer to "+id)
}

func testDecode(content []byte) (*document.Document, error) {
	route := func(name string, kind document.Idempotency) document.Route {
		return document.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Idempotency: kind, Timeout: 3 * time.Second, MaxAttempts: 2,
			Public: true, Services: []document.WeightedService{{Service: "desk", Weight: 1}},
		}
	}
	d := &document.Document{
		Version: uint64(content[0]), Services: map[string]*document.Service{"desk": {Name: "desk"}},
		Routes: []document.Route{route("once", document.AtMostOnce), route("repeat", document.Idempotent)},
	}
	return d, d.Index()
}

type noOrders struct{}

func (noOrders) SendOrder(context.Context, grouping.Order) grouping.Result { return grouping.Result{} }

// lastHost numbers the loopback addresses of this process's nodes.
var lastHost atomic.Uint32

// freeAddress returns a loopback address that no other node and no outgoing connection uses.
func freeAddress() string {
	n := lastHost.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:18511", 1+os.Getpid()%250, n/250, 1+n%250)
}

// pathRegion is a keeper and entries before three plain upstreams.
type pathRegion struct {
	t         *testing.T
	upstream  *countingUpstream
	addresses []string
	uplinks   []*uplink
	requests  atomic.Int64
	// stopKeeper ends the keeper.
	stopKeeper func()
}

func startPathRegion(t *testing.T, entries int) *pathRegion {
	r := &pathRegion{t: t, upstream: &countingUpstream{runs: map[string]int{}}}
	// Created first, so that it is removed after the nodes have stopped.
	folder := t.TempDir()
	ctx, stop := context.WithCancel(context.Background())
	var nodes sync.WaitGroup
	t.Cleanup(func() {
		stop()
		nodes.Wait()
	})
	keeperAddress := freeAddress()
	keeper := NewKeeper(KeeperOptions{
		Address: keeperAddress, FailureDomain: "fd", Seeds: []string{keeperAddress}, DataFolder: folder, Bootstrap: true,
		AnnounceInterval: time.Second, StallTimeout: 4 * time.Second, Decode: testDecode, OrderSender: noOrders{}, Log: zerolog.Nop(),
	})
	keeperCtx, stopKeeper := context.WithCancel(ctx)
	r.stopKeeper = stopKeeper
	nodes.Go(func() { assert.NoError(t, keeper.Run(keeperCtx)) })
	names := forward.HeaderNames{
		RequestID: "Test-Id", TimeLeft: "Test-Left", Key: "Test-Key", Account: "Test-Account", ExpectedUpstream: "Test-Expect", Signature: "Test-Signature",
		LastEvent: "Last-Event-Id", Model: "Test-Model", Priority: "Test-Priority", Tokens: func(func(string) []byte) (int, int) { return 0, 0 },
	}
	var nodesUnderTest []*Entry
	for i := range entries {
		link, address := newUplink(), freeAddress()
		r.uplinks, r.addresses = append(r.uplinks, link), append(r.addresses, address)
		entry := NewEntry(EntryOptions{
			NodeID: fmt.Sprintf("entry-%d", i), FailureDomain: "fd", ListenAddress: address, PeerAddress: freeAddress(), DialUpstream: link.dial,
			Seeds: func() []string { return []string{keeperAddress} }, Decode: testDecode, HeaderNames: names,
			Protocol: dispatch.Protocol{RequestID: "Test-Id"}, MaxConfigAge: time.Minute, MaxChangeAge: 2 * time.Second, StopTimeout: time.Second, Log: zerolog.Nop(),
		})
		nodesUnderTest = append(nodesUnderTest, entry)
		nodes.Go(func() { assert.NoError(t, entry.Run(ctx)) })
	}
	var servers []string
	for range 3 {
		server := httptest.NewServer(r.upstream)
		t.Cleanup(server.Close)
		servers = append(servers, strings.TrimPrefix(server.URL, "http://"))
	}
	born := uint64(time.Now().UnixMilli())
	require.Eventually(t, func() bool {
		control := keeper.Control()
		return control != nil && control.Replace(ctx, 1, []byte{1}) == nil
	}, 20*time.Second, 50*time.Millisecond)
	nodes.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			for i, address := range servers {
				control := keeper.Control()
				if control == nil {
					continue
				}
				_ = control.Announce(fleet.Upstream{
					ID: fmt.Sprintf("desk-%d", i), StartTime: born, Sequence: sequence, Service: "desk", Address: address, FailureDomain: "fd", Slots: 6,
				})
			}
			select {
			case <-time.After(500 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	})
	for i, entry := range nodesUnderTest {
		dialer := do.MustInvoke[*tunnel.Dialer](entry.injector)
		require.Eventually(t, func() bool { return dialer.Peers() == entries-1 }, 20*time.Second, 10*time.Millisecond)
		require.Eventually(t, func() bool { return r.call(i, "repeat") == http.StatusOK }, 20*time.Second, 50*time.Millisecond)
	}
	return r
}

// call sends one request to an entry on a new connection and returns the status; 0 without a whole answer.
func (r *pathRegion) call(entry int, route string) int {
	id := fmt.Sprintf("r%d", r.requests.Add(1))
	conn, err := net.Dial("tcp", r.addresses[entry])
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(conn, "GET /%s/x HTTP/1.1\r\nHost: h\r\nTest-Id: %s\r\nConnection: close\r\n\r\n", route, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && string(body) != "answer to "+id {
		return 0
	}
	return resp.StatusCode
}

// serve sends requests to an entry and returns how many of them were served.
func (r *pathRegion) serve(entry, requests int) (served int) {
	var all sync.WaitGroup
	var ok atomic.Int64
	for i := range requests {
		route := "repeat"
		if i%2 == 0 {
			route = "once"
		}
		all.Go(func() {
			if r.call(entry, route) == http.StatusOK {
				ok.Add(1)
			}
		})
		if i%4 == 3 {
			all.Wait()
		}
	}
	all.Wait()
	return int(ok.Load())
}

// Callers of an entry that had lost its links to all upstreams were refused, although other entries reached them.
func TestEntryWithoutPathToUpstreamsServesItsCallers(t *testing.T) {
	for _, kind := range []cutKind{cutRefused, cutHung, cutHalf} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			r := startPathRegion(t, 3)
			require.Equal(t, 20, r.serve(0, 20))
			r.uplinks[0].cut(kind)
			// What is under way when the path is lost may fail.
			r.serve(0, 20)
			assert.Equal(t, 60, r.serve(0, 60), "while the path is lost")
			assert.Equal(t, 20, r.serve(1, 20), "at another entry")
			r.uplinks[0].heal()
			assert.Equal(t, 60, r.serve(0, 60), "after it is back")
			for id, runs := range r.upstream.runs {
				if strings.HasPrefix(id, "/once/") {
					assert.Equal(t, 1, runs, id)
				}
				assert.LessOrEqual(t, runs, 2, id)
			}
		})
	}
}

// All entries of a failure domain but one, and then all, lose their path.
func TestEntriesWithoutPathAreServedByThoseThatHaveOne(t *testing.T) {
	r := startPathRegion(t, 4)
	for i := range 3 {
		r.uplinks[i].cut(cutRefused)
		r.serve(i, 20)
	}
	for i := range 3 {
		assert.Equal(t, 40, r.serve(i, 40), "entry %d", i)
	}
	r.uplinks[3].cut(cutRefused)
	began := time.Now()
	for i := range 4 {
		r.serve(i, 8)
	}
	assert.Less(t, time.Since(began), 20*time.Second, "no loop between entries without a path")
	for i := range 4 {
		r.uplinks[i].heal()
	}
	for i := range 4 {
		require.Eventually(t, func() bool { return r.serve(i, 8) == 8 }, 20*time.Second, 50*time.Millisecond, "entry %d", i)
	}
}
