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
	s := &Service{describe: describe, app: fiber.New(), faultInjector: newFaultInjector(), runs: map[string]int{}}
	s.app.Get(RunsPath, func(c fiber.Ctx) error { return c.JSON(s.Runs()) })
	s.app.Post(FaultPath, s.serve)
	s.app.All("/*", s.run)
	return s
}

// App returns the service's HTTP application.
func (s *Service) App() *fiber.App { return s.app }

// Describe returns the service's next announcement; silent is true when an injected
// fault suppresses it.
func (s *Service) Describe() (a api.Announcement, silent bool) {
	f := s.current()
	return s.describe, f.Dead || f.Paused
}

// Runs returns how often each request ran.
func (s *Service) Runs() map[string]int {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

func (s *Service) run(c fiber.Ctx) error {
	f := s.takeFaults()
	if f.Dead {
		return closeConn(c)
	}
	if f.Refuse {
		return refuse(c, http.StatusServiceUnavailable, f)
	}
	n := s.count(c)
	if f.CloseAfterRead {
		return closeConn(c)
	}
	s.delay(c.RequestCtx(), f)
	if f.PlainError {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	body, err := json.Marshal(map[string]any{"upstream": s.describe.ID, "run": n})
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	wait(c.RequestCtx(), (f.slowdown()-1)*time.Millisecond)
	return sendResponse(c, f, fiber.MIMEApplicationJSON, body)
}

func (s *Service) count(c fiber.Ctx) int {
	key := strings.Clone(c.Get(dispatch.HeaderIdempotencyKey))
	if key == "" {
		key = strings.Clone(c.Path()) + " " + string(c.Body())
	}
	s.countMu.Lock()
	defer s.countMu.Unlock()
	s.runs[key]++
	return s.runs[key]
}
