package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// maxNameBytes limits the length of a client's request identifier, class and key.
	maxNameBytes = 128
	// requestIDKey is the key of the request identifier in a context's locals.
	requestIDKey = "request_id"
	// accountKey is the key of the client account in a context's locals.
	accountKey = "account"
	// sessionKey is the key of a refused request's session in a context's locals.
	sessionKey = "session"
)

// request is a parsed client request. All its data is copied from the HTTP
// library's buffers, which are reused after the handler returns.
type request struct {
	// id is unique even if clients reuse their own identifiers; upstreams echo it.
	id       string
	account  string
	route    *state.Route
	routing  routing.Request
	deadline time.Time
	arrived  time.Time
	// size is the number of requested tokens.
	size int
	call dispatch.Call
	// chat is nil for requests to plain services.
	chat *chatBody
	key  string
	// contents identify what later requests may share with this one, see contentsOf.
	contents   []string
	clientConn *disconnect.Conn
}

// streamed reports whether the client requested a stream.
func (r *request) streamed() bool { return r.chat != nil && r.chat.Stream }

// forwardedHeaders are the client headers that are forwarded to upstreams in addition
// to the content type.
var forwardedHeaders = []string{
	fiber.HeaderAccept, fiber.HeaderAcceptLanguage, fiber.HeaderIfMatch, fiber.HeaderIfModifiedSince,
	fiber.HeaderIfNoneMatch, fiber.HeaderRange,
}

func upstreamHeaders(c fiber.Ctx, account string) map[string]string {
	headers := map[string]string{dispatch.HeaderAccount: account}
	for _, name := range forwardedHeaders {
		if value := c.Get(name); value != "" {
			headers[name] = strings.Clone(value)
		}
	}
	return headers
}

// identify authenticates the client and copies the request. Headers that are not
// listed here are not forwarded, so clients cannot set masticmount's own headers.
func (g *Gateway) identify(c fiber.Ctx) (*request, error) {
	id := g.assignRequestID(c)
	if g.opts.Config().Revision == 0 {
		return nil, fault.New(fault.NotReady, "send the request again; another entry will accept it", "this entry has not loaded its configuration yet").
			WithRetryAfter(fault.MinRetryAfter)
	}
	account, ok := g.authenticate(c.Get(fiber.HeaderAuthorization))
	if !ok {
		refusal := fault.New(fault.Unauthenticated, "send 'Authorization: Bearer <token>' of a client account", "no valid token")
		if c.Get(fiber.HeaderAuthorization) == "" {
			return nil, refusal
		}
		return nil, g.denied(refusal)
	}
	c.Locals(accountKey, account)
	class := c.Get(HeaderClass)
	if class != "" && !isIdentifier(class) {
		return nil, fault.New(fault.InvalidRequest, "use letters, digits and .-_ , at most 128", "the header %s is not valid", HeaderClass)
	}
	conn, _ := c.RequestCtx().Conn().(*disconnect.Conn)
	uri := c.Request().URI()
	path := string(uri.Path())
	return &request{
		id: id, account: account, arrived: time.Now(), clientConn: conn, key: strings.Clone(c.Get(HeaderIdempotencyKey)), size: 1,
		routing: routing.Request{Account: account, Class: strings.Clone(class), Path: path},
		call: dispatch.Call{
			Method: strings.Clone(c.Method()), Path: path, Query: string(uri.QueryString()),
			ContentType: strings.Clone(c.Get(fiber.HeaderContentType)), Body: bytes.Clone(c.Body()),
			Headers: upstreamHeaders(c, account),
		},
	}, nil
}

// assignRequestID assigns the request's identifier. A valid identifier of the client is
// kept as a prefix and made unique.
func (g *Gateway) assignRequestID(c fiber.Ctx) string {
	id := uuid.NewString()
	echoed := id
	if supplied := c.Get(HeaderRequestID); isIdentifier(supplied) {
		echoed = strings.Clone(supplied)
		id = echoed + "." + id
	}
	c.Locals(requestIDKey, id)
	c.Set(HeaderRequestID, echoed)
	c.Set(dispatch.HeaderRequestID, id)
	return id
}

// authenticate looks up the client account of a bearer token. The lookup uses the
// digest, so its timing reveals nothing about valid tokens.
func (g *Gateway) authenticate(authorization string) (string, bool) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return "", false
	}
	digest := sha256.Sum256([]byte(token))
	name, ok := g.opts.Config().AccountByToken[hex.EncodeToString(digest[:])]
	return name, ok
}

// denied returns a refusal that depends on the configuration. If that may lack a change which allows the request, the caller
// is asked to retry instead.
func (g *Gateway) denied(refusal *fault.Error) error {
	if g.opts.KeeperAge == nil || g.opts.KeeperAge() <= maxRefusalAge {
		return refusal
	}
	return fault.New(fault.NotReady, "retry soon, or use another entry", "this entry has not heard from the keepers recently; %s", refusal.Detail).
		WithRetryAfter(fault.MinRetryAfter)
}

func (g *Gateway) matchRoute(req *request) error {
	route, ok := routing.MatchRoute(g.opts.Config(), req.routing)
	if !ok {
		return g.denied(fault.New(fault.NoRoute, "check the path and the model; operators: see 'masticmount get route'",
			"no route admits %s for model %q", req.call.Path, req.routing.Service))
	}
	req.route = route
	req.deadline = req.arrived.Add(g.opts.DefaultDeadline)
	if ms := route.Spec.DeadlineMillis; ms > 0 {
		req.deadline = req.arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	req.call.Deadline = req.deadline
	if route.Spec.NonIdempotent {
		return req.requireKey()
	}
	return nil
}

func (r *request) requireKey() error {
	if r.key == "" {
		return fault.New(fault.KeyMissing, "send an Idempotency-Key header that is unique to the request",
			"route %q is non-idempotent", r.route.Name)
	}
	if !isPrintable(r.key) {
		return fault.New(fault.InvalidRequest, "use at most 128 printable ASCII characters", "the Idempotency-Key is not valid")
	}
	r.call.FreshConnection = true
	r.call.Headers[dispatch.HeaderIdempotencyKey] = r.key
	return nil
}

// isIdentifier reports whether s is safe to use unescaped in logs and headers.
func isIdentifier(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func isPrintable(s string) bool {
	if len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
