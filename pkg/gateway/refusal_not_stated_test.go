package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
)

// Guards against an outcome that nobody stated: a status that upstreams use before and after a run was reported as "ran". No
// answer after a run is reported as "not-run", and the same key never runs again.
func TestOutcomeOfRefusalThatIsNotStatedIsUnknown(t *testing.T) {
	for status, want := range map[int]fault.Outcome{
		http.StatusServiceUnavailable: fault.Unknown, http.StatusTooManyRequests: fault.Unknown, http.StatusRequestTimeout: fault.Unknown,
		http.StatusInternalServerError: fault.Unknown, http.StatusGatewayTimeout: fault.Unknown,
		http.StatusOK: fault.Ran, http.StatusNotFound: fault.Ran, http.StatusConflict: fault.Ran, http.StatusUnprocessableEntity: fault.Ran,
	} {
		h := newHarness(t)
		var runs atomic.Int32
		app := fiber.New()
		app.Post("/grants", func(c fiber.Ctx) error {
			runs.Add(1)
			c.Set(dispatch.HeaderRequestID, c.Get(dispatch.HeaderRequestID))
			return c.Status(status).SendString("the service's own text")
		})
		h.addGroup("d1", "licence-desk", "desk", api.UpstreamService, app)
		for range 2 {
			a := h.grant("k1", `{"office":"Thrissur"}`)
			assert.Equal(t, status, a.status)
			assert.Equal(t, string(want), a.outcome, "%d", status)
			assert.Equal(t, "the service's own text", a.body)
		}
		assert.EqualValues(t, 1, runs.Load())
	}
}
