package dispatch

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/masticmount/masticmount/pkg/httphead"
)

// Reason is the way in which a call failed.
type Reason string

// The reasons of a failure.
const (
	// DialFailed means that no connection was opened.
	DialFailed Reason = "dial-failed"
	// Refused means that the upstream stated that it did not run the request.
	Refused Reason = "refused"
	// RefusalNotStated means that the status promises that the request did not run, but the
	// upstream did not state it.
	RefusalNotStated Reason = "refusal-not-stated"
	// LimitStated means that the call was not sent, as the upstream has stated a limit.
	LimitStated Reason = "limit-stated"
	// WriteFailed means that the connection broke while the request was sent.
	WriteFailed Reason = "write-failed"
	// TimedOut means that the deadline passed.
	TimedOut Reason = "timed-out"
	// Stalled means that no data arrived within the idle timeout, or that another engine
	// continued a silent stream.
	Stalled Reason = "stalled"
	// Truncated means that the response was truncated.
	Truncated Reason = "cut-off"
	// ResponseMismatch means that the response belongs to another request.
	ResponseMismatch Reason = "crossed"
	// Malformed means that the response violated the protocol.
	Malformed Reason = "malformed"
	// TooLarge means that the response exceeded the client's limits on size or memory.
	TooLarge Reason = "too-large"
	// Failed means that the upstream returned an error of its own.
	Failed Reason = "failed"
	// Canceled means that the call's context ended.
	Canceled Reason = "canceled"
)

// CallError is the error of a call without a complete response.
type CallError struct {
	Reason  Reason
	Address string
	// Sent is true if any byte of the request may have been sent.
	Sent bool
	// RetryAfter is the delay that the refusing upstream asked for, or that its stated limit asks for.
	RetryAfter time.Duration
	// AtFault is the upstream that the refusing one names as the cause; empty if none.
	AtFault string
	// Reused is true if the connection had served an earlier call.
	Reused bool
	cause  error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("upstream %s: %s", e.Address, e.Reason)
	}
	return fmt.Sprintf("upstream %s: %s: %v", e.Address, e.Reason, e.cause)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.cause }

// NotRun reports whether the request certainly did not run: no byte of it was sent,
// or the upstream refused it explicitly.
func (e *CallError) NotRun() bool { return !e.Sent || e.Reason == Refused }

// CallErrorOf returns the *CallError in the chain of err, if there is one.
func CallErrorOf(err error) (*CallError, bool) {
	var callErr *CallError
	ok := errors.As(err, &callErr)
	return callErr, ok
}

// reasonOf returns Canceled if ctx has ended, TimedOut if err is a timeout, Malformed for an invalid head or trailer, and otherwise the
// given reason.
func reasonOf(ctx context.Context, err error, otherwise Reason) Reason {
	if ctx.Err() != nil {
		return Canceled
	}
	if isTimeout(err) {
		return TimedOut
	}
	var invalid *httphead.FieldError
	if errors.As(err, &invalid) || errors.Is(err, httphead.ErrFraming) {
		return Malformed
	}
	return otherwise
}

// isTimeout also detects the timeouts of fasthttp, which do not implement net.Error.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// IsConnectionRefused reports whether err means that nothing listens at the upstream's
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
