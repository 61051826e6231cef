package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/statement"
)

// leaving stands for the statement of an upstream that it leaves.
const leaving = "leaving"

// addLimitedService adds a plain service that states a limit, or that it leaves; empty states nothing. It returns the number of its requests.
func (h *harness) addLimitedService(name, limit string) *atomic.Int32 {
	arrivals := &atomic.Int32{}
	app := fiber.New()
	app.All("/*", func(c fiber.Ctx) error {
		arrivals.Add(1)
		switch limit {
		case "":
		case leaving:
			c.Set(dispatch.HeaderLeaving, "1")
		default:
			c.Set(dispatch.HeaderRateLimit, limit)
		}
		c.Set(dispatch.HeaderRequestID, c.Get(dispatch.HeaderRequestID))
		return c.SendString("ok")
	})
	h.addGroup(name, "licence-desk", "desk", api.UpstreamService, app)
	return arrivals
}

// masticmountd sent an upstream that states a limit as much as others.
func TestStatedLimitIsKept(t *testing.T) {
	h := newHarness(t)
	limited, free := h.addLimitedService("limited", "2"), h.addLimitedService("free", "")
	for i := range 60 {
		assert.Equal(t, http.StatusOK, h.send(http.MethodGet, fmt.Sprintf("/lookup?n=%d", i), "").status, "the other upstream has capacity")
	}
	assert.LessOrEqual(t, limited.Load(), int32(17))
	assert.Greater(t, free.Load(), int32(40))
}

func TestRequestBeyondStatedLimitIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	// The first right to send comes after the same part of its interval in each run.
	h.gw.limits.allotments = statement.NewAllotments(rand.New(rand.NewPCG(1, 1)))
	limited := h.addLimitedService("limited", "0.1")
	refused := 0
	for i := range 30 {
		if a := h.send(http.MethodGet, fmt.Sprintf("/lookup?n=%d", i), ""); a.status == http.StatusServiceUnavailable {
			refused++
			assert.Equal(t, "not-run", a.outcome)
			wait, err := strconv.Atoi(a.header.Get("Retry-After"))
			assert.NoError(t, err)
			assert.GreaterOrEqual(t, wait, 3, "one request in 10 s")
			assert.LessOrEqual(t, wait, 12)
		}
	}
	assert.GreaterOrEqual(t, refused, 25)
	assert.LessOrEqual(t, limited.Load(), int32(5))
}

// masticmountd sent requests to an upstream that had stated that it leaves.
func TestUpstreamThatStatesThatItLeavesGetsNoNewRequest(t *testing.T) {
	h := newHarness(t)
	left, free := h.addLimitedService("left", leaving), h.addLimitedService("free", "")
	for i := range 40 {
		assert.Equal(t, http.StatusOK, h.send(http.MethodGet, fmt.Sprintf("/lookup?n=%d", i), "").status, "the other upstream has capacity")
	}
	assert.LessOrEqual(t, left.Load(), int32(1))
	assert.GreaterOrEqual(t, free.Load(), int32(39))
	assert.Contains(t, h.logs.String(), "upstream_leaving_stated")
}
