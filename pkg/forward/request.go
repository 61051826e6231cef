package forward

import (
	"bytes"
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/quarantine"
)

const (
	// startupTime is how long an entry takes from its start to its first configuration when
	// the keepers start at the same time: their disks, an election and two attempts to
	// connect.
	startupTime = 1500 * time.Millisecond
	// startupRetrySpread spreads the retries of callers that were refused during startup.
	startupRetrySpread = time.Second
)

// request is a caller's request with the configuration that applies to it.
type request struct {
	id        string
	arrivedAt time.Time
	deadline  time.Time
	// arrivedAtBoot is arrivedAt by the boot clock, which includes suspensions of the VM.
	arrivedAtBoot time.Time
	// configAge and configVersion are those of the configuration that applies.
	configAge     time.Duration
	configVersion uint64
	route         *document.Route
	account       *document.Account
	service       *document.Service
	model         *document.Model
	modelName     string
	method        string
	target        string
	host          string
	headerLines   []dispatch.HeaderLine
	body          *body
	// content identifies the whole request, however often it is sent. contents has it and, for
	// requests to engines, the prompt parts that other requests may share.
	content     string
	contents    []string
	lastEventID string
	// promptParts are the parts of the prompt that other requests may share: all but the last.
	promptParts []string
	// serviceTime is the time for which the request occupies a slot, as far as its size tells; 0 for plain services.
	serviceTime time.Duration
	// groupTime is the time of a whole group that the request takes.
	groupTime time.Duration
}

// minSuspension is the shortest suspension of the VM that counts: both clocks are not read at the same moment.
const minSuspension = 50 * time.Millisecond

// timeLeft is the time that the caller still waits, at a time by both clocks.
func (r *request) timeLeft(now, boot time.Time) time.Duration {
	suspended := boot.Sub(r.arrivedAtBoot) - now.Sub(r.arrivedAt)
	if suspended < minSuspension {
		suspended = 0
	}
	return r.deadline.Sub(now) - suspended
}

// class returns the name of the request's class for logs and metrics.
func (r *request) class() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// enginePromptParts returns the prompt parts of a request to engines; plain services have no prompts.
func (r *request) enginePromptParts() []string {
	if r.service.Engine == nil {
		return nil
	}
	return r.promptParts
}

// resolve finds the configuration that applies to a request, whose body was read or refused.
func (e *Entry) resolve(ctx *fasthttp.RequestCtx, b *body, refused *fault.Error) (*request, *fault.Error) {
	h := &ctx.Request.Header
	r, doc, refusal := e.identify(h)
	r.body = b
	if refusal != nil {
		return r, refusal
	}
	if refused != nil {
		return r, refused
	}
	if refusal := checkBodySize(doc.Limits.MaxBodyBytes, len(b.bytes)); refusal != nil {
		return r, e.denied(r.configAge, refusal)
	}
	r.content = quarantine.RequestContent(cmp.Or(r.accountName(), string(h.Peek(e.opts.HeaderNames.Key))), r.method, r.host, r.target, b.bytes)
	r.service = doc.Services[r.route.Service(e.randomFloat())]
	e.readHeaders(h, r)
	r.contents = quarantine.Contents(r.content, r.enginePromptParts())
	e.estimate(h, r)
	return r, nil
}

// identify finds a request's route and client account.
func (e *Entry) identify(h *fasthttp.RequestHeader) (*request, *document.Document, *fault.Error) {
	r := &request{id: string(h.Peek(e.opts.HeaderNames.RequestID)), arrivedAt: time.Now(), arrivedAtBoot: boottime.Now()}
	// The newest version and the age are read before the document: they are those of this document or of an older one.
	newest := e.opts.NewestVersion()
	age := e.opts.ConfigAge()
	doc := e.opts.View().Document
	r.configAge, r.configVersion = age, doc.VersionOrZero()
	if doc != nil && age > e.opts.MaxChangeAge {
		e.opts.Metrics.Add("requests.configuration_unconfirmed", 1)
	}
	if doc == nil {
		return r, nil, fault.New(fault.NotReady, "retry soon, or use another node", "this node holds no configuration yet").WithRetryAfter(e.startupRetryAfter(r.arrivedAt))
	}
	if e.outdated(newest, doc, age) {
		return r, nil, e.staleConfigFault()
	}
	if size := len(h.RawHeaders()); doc.Limits.MaxHeaderBytes > 0 && size > doc.Limits.MaxHeaderBytes {
		return r, nil, e.denied(age, fault.New(fault.HeaderTooLarge, "send fewer or shorter headers", "the headers have %d bytes, %d are allowed", size, doc.Limits.MaxHeaderBytes))
	}
	r.host, r.target, r.method = string(h.Host()), string(h.RequestURI()), string(h.Method())
	path, _, _ := strings.Cut(r.target, "?")
	if r.route = doc.Route(r.host, path); r.route == nil {
		return r, nil, e.denied(age, fault.New(fault.NoRoute, "check the host and the path", "no route matches"))
	}
	return r, doc, e.authenticate(doc, r, string(h.Peek(e.opts.HeaderNames.Key)), age)
}

// timeLeft is how long a caller still waits for its answer; 0 where it does not say.
func timeLeft(names HeaderNames, h *fasthttp.RequestHeader) time.Duration {
	ms, err := strconv.ParseFloat(string(h.Peek(names.TimeLeft)), 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(millisecond))
}

// outdated reports whether a document is known to have been replaced for longer than a change may take.
func (e *Entry) outdated(newest uint64, doc *document.Document, age time.Duration) bool {
	return newest > doc.VersionOrZero() && age > e.opts.MaxChangeAge
}

// denied returns a refusal that depends on the configuration. If the configuration may lack a change that allows the request,
// it asks the caller to retry instead.
func (e *Entry) denied(age time.Duration, refusal *fault.Error) *fault.Error {
	if age > e.opts.MaxChangeAge {
		return e.staleConfigFault()
	}
	return refusal
}

// staleConfigFault is the refusal of an entry that lacks a recent confirmation of its configuration, which it asks for all the time.
func (e *Entry) staleConfigFault() *fault.Error {
	return fault.New(fault.NotReady, "retry soon, or use another node",
		"no quorum has confirmed this node's configuration recently").WithRetryAfter(e.opts.ConfirmInterval)
}

// authenticate finds the client account. The configuration must have been confirmed recently,
// as the key may have been revoked otherwise.
func (e *Entry) authenticate(doc *document.Document, r *request, key string, age time.Duration) *fault.Error {
	if len(doc.Accounts) == 0 || r.route.Public {
		return nil
	}
	if age > e.opts.MaxConfigAge {
		return e.staleConfigFault()
	}
	if r.account = doc.Account(key); key == "" || r.account == nil {
		r.account = nil
		return e.denied(age, fault.New(fault.Unauthenticated, "send the key of a client account", "the key is not known"))
	}
	return nil
}

// readHeaders reads the headers that are passed on and the deadline.
func (e *Entry) readHeaders(h *fasthttp.RequestHeader, r *request) {
	names := &e.opts.HeaderNames
	connectionHeaders := connectionTokens(h.Peek("Connection"))
	for name, value := range h.All() {
		n := string(name)
		if hopByHop[n] || names.setByGateway(n) || connectionHeaders[strings.ToLower(n)] {
			continue
		}
		if n == names.LastEvent {
			r.lastEventID = string(value)
			continue
		}
		r.headerLines = append(r.headerLines, dispatch.HeaderLine{Name: n, Value: string(value)})
	}
	r.modelName = string(h.Peek(names.Model))
	if names.PromptParts != nil {
		parts := names.PromptParts(h.Peek)
		r.promptParts = parts[:max(len(parts)-1, 0)]
	}
	left := r.route.Timeout
	if requested := timeLeft(*names, h); requested > 0 {
		left = min(left, requested)
	}
	r.deadline = r.arrivedAt.Add(left)
}

// connectionTokens returns the header names that a Connection header lists.
func connectionTokens(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	names := map[string]bool{}
	for token := range bytes.SplitSeq(value, []byte(",")) {
		names[strings.ToLower(string(bytes.TrimSpace(token)))] = true
	}
	return names
}

// estimate sets the service time and group time of a request to engines by its size.
func (e *Entry) estimate(h *fasthttp.RequestHeader, r *request) {
	engine := r.service.Engine
	if engine == nil {
		return
	}
	if r.model = engine.Model(r.modelName); r.model == nil {
		return
	}
	prompt, generated := e.opts.HeaderNames.Tokens(h.Peek)
	stepTime := engine.StepTime + time.Duration(engine.Slots)*engine.StepTimePerRequest
	decodeTime := r.model.TimeFactor * float64(generated) * float64(stepTime)
	prefillTime := r.model.TimeFactor * float64(prompt) / engine.PromptTokensPerSecond * float64(time.Second)
	r.serviceTime = time.Duration(decodeTime + prefillTime)
	// The whole group reads one prompt at a time, but generates tokens for all its slots at
	// once.
	r.groupTime = time.Duration(decodeTime/float64(engine.Slots) + prefillTime)
}
