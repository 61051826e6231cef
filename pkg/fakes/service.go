package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/dispatch"
)

// RunsPath is the path at which a fake service reports how often it ran each request.
const RunsPath = "/fake/runs"

// Service is a fake plain service that counts how often it ran each request, by
// Idempotency-Key or, without one, by path and body.
type Service struct {
	describe api.Announcement
	app      *fiber.App
	*faultInjector
	countMu sync.Mutex
	runs    map[string]int
}

// NewService returns a fake plain service.
func NewService(describe api.Announcement) *Service {
	d := &Service{describe: describe, app: fiber.New(), faultInjector: newFaultInjector(), runs: map[string]int{}}
	d.app.Get(RunsPath, func(c fiber.Ctx) error { return c.JSON(d.Runs()) })
	d.app.Post(FaultPath, d.serve)
	d.app.All("/*", d.run)
	return d
}

// App returns the service's HTTP application.
func (d *Service) App() *fiber.App { return d.app }

// Describe returns the service's next announcement; silent is true when an injected
// fault suppresses it.
func (d *Service) Describe() (a api.Announcement, silent bool) {
	f := d.current()
	return d.describe, f.Dead || f.Paused
}

// Runs returns how often each request ran.
func (d *Service) Runs() map[string]int {
	d.countMu.Lock()
	defer d.countMu.Unlock()
	out := make(map[string]int, len(d.runs))
	for k, v := range d.runs {
		out[k] = v
	}
	return out
}

func (d *Service) run(c fiber.Ctx) error {
	f := d.takeFaults()
	if f.Dead {
		return closeConn(c)
	}
	if f.Refuse {
		return refuse(c, http.StatusServiceUnavailable)
	}
	n := d.count(c)
	if f.CloseAfterRead {
		return closeConn(c)
	}
	d.delay(c.RequestCtx(), f)
	if f.PlainError {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	body, err := json.Marshal(map[string]any{"upstream": d.describe.ID, "run": n})
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	wait(c.RequestCtx(), (f.slowdown()-1)*time.Millisecond)
	return sendResponse(c, f, fiber.MIMEApplicationJSON, body)
}

func (d *Service) count(c fiber.Ctx) int {
	key := strings.Clone(c.Get(dispatch.HeaderIdempotencyKey))
	if key == "" {
		key = strings.Clone(c.Path()) + " " + string(c.Body())
	}
	d.countMu.Lock()
	defer d.countMu.Unlock()
	d.runs[key]++
	return d.runs[key]
}
