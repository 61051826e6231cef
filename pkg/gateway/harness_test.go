package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/masticmount/masticmount/pkg/admission"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/limits"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const testToken = "school-token"

// network provides in-memory connections by address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*fasthttputil.InmemoryListener
	// dialError returns the error of opening a connection to an address; it may be nil.
	dialError func(address string) error
}

func (n *network) serve(t *testing.T, address string, app *fiber.App) {
	listener := fasthttputil.NewInmemoryListener()
	n.mu.Lock()
	n.listeners[address] = listener
	n.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = app.Listener(disconnect.WrapListener(listener), fiber.ListenConfig{DisableStartupMessage: true})
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	if n.dialError != nil {
		if err := n.dialError(address); err != nil {
			return nil, err
		}
	}
	if listener == nil {
		return nil, fmt.Errorf("no listener at %s", address)
	}
	return listener.Dial()
}

// harness is a gateway with fake upstreams, connected in memory.
type harness struct {
	t    *testing.T
	net  *network
	gw   *Gateway
	view *atomic.Pointer[domain.View]
	http *http.Client
	logs lockedBuffer
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newHarness(t *testing.T, change ...func(*Options)) *harness {
	h := &harness{t: t, net: &network{listeners: map[string]*fasthttputil.InmemoryListener{}}, view: &atomic.Pointer[domain.View]{}}
	h.view.Store(&domain.View{})
	h.startGateway("gateway", change...)
	return h
}

// another returns another gateway before the same upstreams.
func (h *harness) another(change ...func(*Options)) *harness {
	other := &harness{t: h.t, net: h.net, view: h.view}
	other.startGateway(fmt.Sprint("gateway", len(h.net.listeners)), change...)
	return other
}

func (h *harness) startGateway(address string, change ...func(*Options)) {
	t := h.t
	config := testConfig(t)
	opts := Options{
		Config: func() *state.Config { return config }, View: h.view.Load, Limiter: limits.New(), Claims: claims.NewMemory(),
		Client: dispatch.NewClientWith(dispatch.Options{Dial: h.net.dial}), Metrics: telemetry.New(""), Log: zerolog.New(&h.logs),
		Scheduler: &scheduling.Baseline{Queue: admission.NewFIFO(64, 64), Router: routing.NewLeastOutstanding(), View: h.view.Load},
	}
	for _, f := range change {
		f(&opts)
	}
	h.gw = New(opts)
	h.net.serve(t, address, h.gw.App())
	h.http = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return h.net.dial(ctx, address)
	}}}
	t.Cleanup(func() {
		h.http.CloseIdleConnections()
		opts.Client.Close()
	})
}

func testConfig(t *testing.T) *state.Config {
	digest := sha256.Sum256([]byte(testToken))
	var objects []*peerpb.ConfigObject
	add := func(kind api.Kind, name string, spec any) {
		raw, err := json.Marshal(spec)
		require.NoError(t, err)
		objects = append(objects, &peerpb.ConfigObject{Kind: string(kind), Name: name, Spec: raw})
	}
	add(api.KindAccount, "school", api.AccountSpec{TokenSHA256: []string{hex.EncodeToString(digest[:])}})
	add(api.KindRoute, "captions", api.RouteSpec{Path: "/v1/", Requests: "model=captioner", Groups: "use=captions", Class: "caption"})
	add(api.KindRoute, "grants", api.RouteSpec{Path: "/grants", Groups: "use=desk", NonIdempotent: true, Class: "grant"})
	add(api.KindRoute, "lookups", api.RouteSpec{Path: "/lookup", Groups: "use=desk", Class: "lookup"})
	config, err := state.Compile(1, objects)
	require.NoError(t, err)
	return config
}

// changeGroup publishes a view in which f has modified the named group.
func (h *harness) changeGroup(name string, modify func(*domain.Group)) {
	view := &domain.View{}
	for _, g := range h.view.Load().Groups {
		copied := *g
		if g.Name == name {
			modify(&copied)
		}
		view.Groups = append(view.Groups, &copied)
	}
	h.view.Store(view)
	h.gw.monitor.check()
}

func (h *harness) addGroup(name, service, use string, kind api.UpstreamKind, app *fiber.App) {
	if app != nil {
		h.net.serve(h.t, name, app)
	}
	view := &domain.View{Groups: append([]*domain.Group(nil), h.view.Load().Groups...)}
	view.Groups = append(view.Groups, &domain.Group{
		Name: name, Service: service, Kind: kind, Labels: map[string]string{"use": use}, Generation: 1, Whole: true,
		Members: []domain.Member{{ID: name, Address: name}},
	})
	h.view.Store(view)
}

// addEngine adds a group with one engine; pace may be nil.
func (h *harness) addEngine(name string, faults fakes.Faults, pace func(ctx context.Context, token int)) *fakes.Engine {
	if pace == nil {
		pace = func(context.Context, int) {}
	}
	engine := fakes.NewEngine(fakes.EngineOptions{Describe: api.Announcement{ID: name}, Slots: 64, Pace: pace})
	engine.Set(faults)
	h.addGroup(name, "captioner", "captions", api.UpstreamEngine, engine.App())
	return engine
}

func (h *harness) addService(name string, faults fakes.Faults) *fakes.Service {
	service := fakes.NewService(api.Announcement{ID: name})
	service.Set(faults)
	h.addGroup(name, "licence-desk", "desk", api.UpstreamService, service.App())
	return service
}

// answer is a response as the client received it.
type answer struct {
	status  int
	outcome string
	header  http.Header
	body    string
	// closing is true if the connection is closed after the response.
	closing bool
}

// kind returns the error kind of a problem body.
func (a answer) kind() string {
	var p struct {
		Title string `json:"title"`
	}
	_ = json.Unmarshal([]byte(a.body), &p)
	return p.Title
}

func (h *harness) send(method, path, body string, headers ...string) answer {
	return h.readRemaining(h.open(context.Background(), method, path, body, headers...), "")
}

// pendingAnswer is a response whose body is not read yet.
type pendingAnswer struct {
	answer
	unread io.ReadCloser
}

// readRemaining reads the unread part of a body after prefix.
func (h *harness) readRemaining(r pendingAnswer, prefix string) answer {
	remaining, err := io.ReadAll(r.unread)
	require.NoError(h.t, err)
	r.body = prefix + string(remaining)
	return r.answer
}

// readUntil reads from body up to and including the text until.
func readUntil(t *testing.T, body io.Reader, until string) string {
	var received []byte
	for !bytes.Contains(received, []byte(until)) {
		var next [1]byte
		_, err := body.Read(next[:])
		require.NoError(t, err)
		received = append(received, next[0])
	}
	return string(received)
}

// sendRaw sends a possibly incomplete request verbatim and reads the response.
func (h *harness) sendRaw(request string) answer {
	conn, err := h.net.dial(context.Background(), "gateway")
	require.NoError(h.t, err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(h.t, err)
	defer func() { _ = resp.Body.Close() }()
	return h.readRemaining(pendingAnswer{answer{status: resp.StatusCode, outcome: resp.Header.Get("Masticmount-Outcome"), header: resp.Header, closing: resp.Close}, resp.Body}, "")
}

func (h *harness) open(ctx context.Context, method, path, body string, headers ...string) pendingAnswer {
	req, err := http.NewRequestWithContext(ctx, method, "http://gateway"+path, strings.NewReader(body))
	require.NoError(h.t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := h.http.Do(req)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = resp.Body.Close() })
	return pendingAnswer{answer{status: resp.StatusCode, outcome: resp.Header.Get("Masticmount-Outcome"), header: resp.Header}, resp.Body}
}

func chatRequest(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"captioner","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, stream, tokens)
}

func (h *harness) chat(stream bool, tokens int) answer {
	return h.send(http.MethodPost, chatPath, chatRequest(stream, tokens))
}

func (h *harness) grant(key, body string) answer {
	return h.send(http.MethodPost, "/grants", body, HeaderIdempotencyKey, key)
}

// events returns the data of each event of a stream.
func events(body string) []string {
	var fields []string
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			fields = append(fields, data)
		}
	}
	return fields
}

// streamText returns the generated text of a stream and whether the stream is
// complete, with one finish reason and [DONE] at its end.
func streamText(body string) (generated string, complete bool) {
	finishes := 0
	all := events(body)
	for _, data := range all {
		generated += string(contentOf([]byte(data)))
		if dispatch.HasFinishReason([]byte(data)) {
			finishes++
		}
	}
	return generated, finishes == 1 && len(all) > 0 && all[len(all)-1] == "[DONE]"
}

// generatedText returns the text that a fake engine generates for a number of tokens.
func generatedText(tokens int) string {
	var b strings.Builder
	for n := range tokens {
		fmt.Fprintf(&b, "w%d ", n)
	}
	return b.String()
}

// holdingScheduler reports the first request that waits and holds it until held is closed.
type holdingScheduler struct {
	scheduling.Scheduler
	queued, held chan struct{}
}

func (s *holdingScheduler) Acquire(ctx context.Context, req scheduling.Request) (scheduling.Assignment, error) {
	close(s.queued)
	<-s.held
	return s.Scheduler.Acquire(ctx, req)
}

// addUnansweredGroup adds a group whose head calls onRequest for each request and never answers.
func (h *harness) addUnansweredGroup(name string, onRequest func()) {
	testEnds := make(chan struct{})
	app := fiber.New()
	app.Post(chatPath, func(c fiber.Ctx) error {
		onRequest()
		<-testEnds
		return c.SendStatus(http.StatusOK)
	})
	h.addGroup(name, "captioner", "captions", api.UpstreamEngine, app)
	h.t.Cleanup(func() { close(testEnds) })
}
