package bench

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/cli"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/httphead"
	"github.com/masticmount/masticmount/pkg/loadgen"
	"github.com/masticmount/masticmount/pkg/node"
	"github.com/masticmount/masticmount/pkg/settings"
)

const (
	harnessPort           = 23000
	harnessEnginePort     = 23100
	harnessOperatorToken  = "operator-bench"
	harnessAnnouncerToken = "announcer-bench"
	harnessService        = "captioner"
	// harnessTimeout bounds the wait for the harness to serve requests.
	harnessTimeout      = 20 * time.Second
	harnessPollInterval = 50 * time.Millisecond
	// callTimeout bounds one request of the load generator.
	callTimeout     = 2 * time.Minute
	maxHarnessConns = 4096
)

type harnessOptions struct {
	policy   settings.Policy
	engines  int
	slots    int
	interval time.Duration
	classes  []loadgen.Class
}

// harness runs one real node and fake engines in this process on loopback.
type harness struct {
	opts    harnessOptions
	engines []string
	client  *fasthttp.Client
	folder  string
	cancel  context.CancelFunc
	// stopped is closed once the node has ended; err is then its result.
	stopped chan struct{}
	err     error
	apps    []*fiber.App
}

// newHarness starts a node with its engines and returns once the node serves
// requests.
func newHarness(opts harnessOptions) (*harness, error) {
	h := &harness{opts: opts, stopped: make(chan struct{}), client: &fasthttp.Client{
		MaxConnsPerHost: maxHarnessConns, StreamResponseBody: true, Dial: httphead.Dial(nil),
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	var err error
	if h.folder, err = os.MkdirTemp("", "mastic-bench-"); err != nil {
		return nil, fmt.Errorf("make the node's data folder: %w", err)
	}
	parsed, err := settings.Parse([]byte(h.settings()))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.stopped)
		h.err = node.New(parsed, zerolog.Nop()).Run(ctx)
	}()
	for i := range opts.engines {
		if err := h.startEngine(ctx, i); err != nil {
			h.close()
			return nil, err
		}
	}
	if err := h.configure(); err != nil {
		h.close()
		return nil, err
	}
	return h, h.awaitServing()
}

func (h *harness) settings() string {
	return fmt.Sprintf(`
[node]
id = "a1"
region = "bench"
failure_domain = "fd"
roles = ["entry", "keeper"]
data_folder = %q
[listen]
callers = "127.0.0.1:%d"
admin = "127.0.0.1:%d"
peers = "127.0.0.1:%d"
[tokens]
operators_sha256 = [%q]
announcers_sha256 = [%q]
[scheduling]
policy = %q
[stop]
balancer_wait = "0s"
timeout = "1s"
[[peers]]
id = "a1"
failure_domain = "fd"
address = "127.0.0.1:%d"
keeper = true
`, h.folder, harnessPort, harnessPort+1, harnessPort+2, digestOf(harnessOperatorToken), digestOf(harnessAnnouncerToken), h.opts.policy, harnessPort+2)
}

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (h *harness) startEngine(ctx context.Context, i int) error {
	address := fmt.Sprintf("127.0.0.1:%d", harnessEnginePort+i)
	engine := fakes.NewEngine(fakes.EngineOptions{
		Describe: api.Announcement{
			ID: fmt.Sprintf("e%02d", i), Address: address, FailureDomain: "fd", FabricDomain: "fabric",
			Kind: api.UpstreamEngine, Service: harnessService, Labels: map[string]string{"pool": "captions"},
			Accelerators: 4, Incarnation: 1, HonoursFencing: true,
		},
		Slots: h.opts.slots, KVTokens: 1 << 30, TokenInterval: h.opts.interval,
	})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for a fake engine: %w", err)
	}
	h.engines = append(h.engines, address)
	h.apps = append(h.apps, engine.App())
	go func() {
		_ = engine.App().Listener(disconnect.WrapListener(listener), fiber.ListenConfig{DisableStartupMessage: true})
	}()
	announcer := &fakes.Announcer{Entries: []string{h.admin()}, Token: harnessAnnouncerToken, All: true}
	go announcer.Run(ctx, engine.Describe)
	return nil
}

func (h *harness) admin() string   { return fmt.Sprintf("127.0.0.1:%d", harnessPort+1) }
func (h *harness) callers() string { return fmt.Sprintf("127.0.0.1:%d", harnessPort) }

// configure applies the group, and an account and a route for each class.
func (h *harness) configure() error {
	client, err := cli.NewClient("http://"+h.admin(), harnessOperatorToken, "")
	if err != nil {
		return err
	}
	type object struct {
		kind api.Kind
		name string
		spec any
	}
	objects := []object{{api.KindGroup, "captions", api.GroupSpec{Service: harnessService, Selector: "pool=captions", VMs: 1}}}
	for _, c := range h.opts.classes {
		objects = append(objects,
			object{api.KindAccount, c.Name, api.AccountSpec{TokenSHA256: []string{digestOf(c.Name)}, Worth: c.Worth}},
			object{api.KindRoute, c.Name, api.RouteSpec{
				Path: "/v1/", Requests: "account=" + c.Name, Class: c.Name, DeadlineMillis: int(c.Deadline.Milliseconds()),
			}})
	}
	for _, o := range objects {
		spec, err := json.Marshal(o.spec)
		if err != nil {
			return fmt.Errorf("encode %s: %w", o.name, err)
		}
		if err := h.retry(func() error {
			_, err := client.Apply(o.kind, o.name, admin.Change{ChangeID: string(o.kind) + o.name, Spec: spec})
			return err
		}); err != nil {
			return fmt.Errorf("apply %s: %w", o.name, err)
		}
	}
	return nil
}

// awaitServing waits until every engine is in a whole group.
func (h *harness) awaitServing() error {
	client, err := cli.NewClient("http://"+h.admin(), harnessOperatorToken, "")
	if err != nil {
		return err
	}
	return h.retry(func() error {
		status, err := client.Status()
		if err != nil {
			return err
		}
		if whole := lo.CountBy(status.Groups, func(g *domain.Group) bool { return g.Whole }); whole < h.opts.engines {
			return fmt.Errorf("%d of %d groups are whole", whole, h.opts.engines)
		}
		return nil
	})
}

func (h *harness) retry(try func() error) error {
	var err error
	for end := time.Now().Add(harnessTimeout); time.Now().Before(end); time.Sleep(harnessPollInterval) {
		if err = try(); err == nil {
			return nil
		}
		select {
		case <-h.stopped:
			return errors.Join(errors.New("the node stopped before it served requests"), h.err)
		default:
		}
	}
	return err
}

func (h *harness) close() {
	h.cancel()
	<-h.stopped
	for _, app := range h.apps {
		_ = app.ShutdownWithTimeout(time.Second)
	}
	h.client.CloseIdleConnections()
	_ = os.RemoveAll(h.folder)
}

// chat sends a chat completion request to an address and calls onToken for each
// streamed token. It reports whether the complete response arrived.
func (h *harness) chat(address, account string, tokens int, stream bool, onToken func()) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+account)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"describe"}]}`,
		harnessService, stream, tokens))
	if err := h.client.DoTimeout(req, resp, callTimeout); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return false
	}
	body := resp.BodyStream()
	if body == nil {
		return true
	}
	complete := !stream
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		switch {
		case bytes.Equal(lines.Bytes(), []byte("data: [DONE]")):
			complete = true
		case bytes.Contains(lines.Bytes(), []byte(`"content":`)):
			onToken()
		}
	}
	return complete && lines.Err() == nil
}
