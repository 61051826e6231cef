package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// FaultPath is the path at which a fake accepts the faults to inject.
const FaultPath = "/fake/fault"

// Faults are the faults to inject into a fake; the zero value injects none.
type Faults struct {
	// Dead closes every connection without a response and stops announcements.
	Dead bool `json:"dead,omitempty"`
	// Paused holds back all responses and announcements, as a stopped process does.
	Paused bool `json:"paused,omitempty"`
	// Slow multiplies the time between tokens and the time to a response.
	Slow int `json:"slow,omitempty"`
	// WrongRequestID puts the identifier of another request into responses.
	WrongRequestID bool `json:"crossed,omitempty"`
	// DelayMillis delays each response, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Duplicated sends each plain response, or each streamed token, twice.
	Duplicated bool `json:"doubled,omitempty"`
	// TruncateAfter closes the connection after that many streamed tokens, or in the
	// middle of a plain response.
	TruncateAfter int `json:"cut_after,omitempty"`
	// OmitDone ends a stream after its finish reason, without the [DONE] event.
	OmitDone bool `json:"cut_at_end,omitempty"`
	// SkipToken omits the token of that number.
	SkipToken int `json:"skip_token,omitempty"`
	// CloseAfterRead closes the connection after reading the request.
	CloseAfterRead bool `json:"close_after_read,omitempty"`
	// Refuse refuses each request with the outcome not-run.
	Refuse bool `json:"refuse,omitempty"`
	// RetryAfter is the Retry-After of these refusals, in seconds; empty for none.
	RetryAfter string `json:"retry_after,omitempty"`
	// PlainError runs each request, then answers with status 503 and no outcome.
	PlainError bool `json:"plain_error,omitempty"`
	// Times is the number of requests that the faults apply to; 0 means all until the
	// faults are replaced.
	Times int `json:"times,omitempty"`
}

// faultInjector holds the current faults of a fake.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed when the faults are replaced.
	changed chan struct{}
}

func newFaultInjector() *faultInjector { return &faultInjector{changed: make(chan struct{})} }

// Set replaces the faults.
func (injector *faultInjector) Set(f Faults) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.faults = f
	close(injector.changed)
	injector.changed = make(chan struct{})
}

// current returns the faults without counting a request.
func (injector *faultInjector) current() Faults {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	return injector.faults
}

// takeFaults returns the faults for the next request and counts that request.
func (injector *faultInjector) takeFaults() Faults {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	f := injector.faults
	if injector.faults.Times > 0 {
		injector.faults.Times--
		if injector.faults.Times == 0 {
			injector.faults = Faults{}
		}
	}
	return f
}

// delay waits while the fake is paused and then for DelayMillis.
func (injector *faultInjector) delay(ctx context.Context, f Faults) {
	for f.Paused {
		injector.mu.Lock()
		changed := injector.changed
		f.Paused = injector.faults.Paused
		injector.mu.Unlock()
		if !f.Paused {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	wait(ctx, time.Duration(f.DelayMillis)*time.Millisecond)
}

func (injector *faultInjector) serve(c fiber.Ctx) error {
	var f Faults
	if err := json.Unmarshal(c.Body(), &f); err != nil {
		return c.Status(http.StatusBadRequest).SendString("the body must be a JSON object of faults\n")
	}
	injector.Set(f)
	return c.SendStatus(http.StatusNoContent)
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f Faults) slowdown() time.Duration { return time.Duration(max(f.Slow, 1)) }
