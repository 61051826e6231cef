// Package admin implements the administration API for operators and the endpoint for
// announcements of upstreams. Commands and queries are in separate files.
package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"expvar"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/state"
)

// maxBodyBytes is the maximum body size of a request to the administration API.
const maxBodyBytes = 1 << 20

// Options are the dependencies of the administration API.
type Options struct {
	Settings settings.Settings
	// Config returns the configuration in force on this node.
	Config func() *state.Config
	// Propose commits a command to the region log.
	Propose  func(context.Context, *peerpb.Command) (*peerpb.Result, error)
	View     func() *domain.View
	Announce func(api.Announcement)
	Ready    func() bool
	// Claims looks up and settles claims.
	Claims ClaimOperator
	// Keepers reports the status of the region log and changes its members.
	Keepers KeeperOperator
	// InForce queries all nodes for their revision in force.
	InForce func(context.Context) []NodeRevision
	Log     zerolog.Logger
}

// Admin serves operators and announcers.
type Admin struct {
	opts Options
	app  *fiber.App
}

// New returns the administration API.
func New(opts Options) *Admin {
	a := &Admin{opts: opts}
	a.app = fiber.New(fiber.Config{ErrorHandler: a.onError, BodyLimit: maxBodyBytes})
	a.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get("/readyz", a.ready)
	a.app.Post("/announce/v1", a.requireToken(opts.Settings.Tokens.AnnouncersSHA256, a.announce))
	operators := func(h fiber.Handler) fiber.Handler { return a.requireToken(opts.Settings.Tokens.OperatorsSHA256, h) }
	a.app.Put("/admin/v1/objects/:kind/:name", operators(a.apply))
	a.app.Delete("/admin/v1/objects/:kind/:name", operators(a.remove))
	a.app.Get("/admin/v1/objects/:kind", operators(a.list))
	a.app.Get("/admin/v1/objects/:kind/:name", operators(a.get))
	a.app.Get("/admin/v1/status", operators(a.status))
	a.app.Get("/admin/v1/claims", operators(a.unknownClaims))
	a.app.Get("/admin/v1/claims/:account", operators(a.claim))
	a.app.Post("/admin/v1/claims/:account/settle", operators(a.settleClaim))
	a.app.Get("/admin/v1/keepers", operators(a.keepers))
	a.app.Post("/admin/v1/keepers", operators(a.changeKeepers))
	a.app.Get("/admin/v1/in-force", operators(a.inForce))
	a.app.Get("/debug/vars", operators(adaptor.HTTPHandler(expvar.Handler())))
	return a
}

// App returns the HTTP application.
func (a *Admin) App() *fiber.App { return a.app }

// requireToken wraps a handler; it refuses requests without a bearer token whose digest
// is in digests.
func (a *Admin) requireToken(digests []string, next fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if token == "" || !lo.Contains(digests, hex.EncodeToString(sum[:])) {
			return fault.New(fault.Unauthenticated, "send 'Authorization: Bearer <token>' with a token for this interface", "missing or invalid token")
		}
		return next(c)
	}
}

func (a *Admin) onError(c fiber.Ctx, err error) error {
	e := fromHTTP(err)
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(e.RetryAfterSeconds()))
	}
	a.opts.Log.Warn().Err(e).Str("kind", string(e.Kind)).Str("path", c.Path()).Msg("admin_refused")
	c.Set(fiber.HeaderContentType, fault.ProblemType)
	return c.Status(e.Status()).Send(e.JSON(""))
}

// fromHTTP converts errors of the HTTP library to typed errors.
func fromHTTP(err error) *fault.Error {
	var httpErr *fiber.Error
	if !errors.As(err, &httpErr) {
		return fault.From(err)
	}
	switch httpErr.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return fault.New(fault.NotFound, "see docs/API.md for the paths", "%s", httpErr.Message)
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "send a smaller body", "the body is larger than %d bytes", maxBodyBytes)
	default:
		return fault.New(fault.InvalidRequest, "see docs/API.md for the request", "%s", httpErr.Message)
	}
}
