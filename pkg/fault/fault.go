// Package fault defines the typed errors that masticmount returns to callers and
// operators. Each error has a remedy and states whether the request ran.
package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies an error; it is the last component of the problem's type URI.
type Kind string

// The kinds of errors.
const (
	Unauthenticated Kind = "unauthenticated"
	Forbidden       Kind = "forbidden"
	InvalidRequest  Kind = "invalid-request"
	TooLarge        Kind = "too-large"
	NotFound        Kind = "not-found"
	NoRoute         Kind = "no-route"
	Conflict        Kind = "revision-conflict"
	NoWholeGroup    Kind = "no-whole-group"
	Overloaded      Kind = "overloaded"
	DeadlinePassed  Kind = "deadline"
	LimitReached    Kind = "limit-reached"
	NoQuorum        Kind = "no-quorum"
	UpstreamFailed  Kind = "upstream-failed"
	KeyReused       Kind = "key-reused"
	KeyMissing      Kind = "key-missing"
	InProgress      Kind = "in-progress"
	Stopping        Kind = "stopping"
	Internal        Kind = "internal"
	// NotReady means that this node holds no configuration yet, or one that may lack a change.
	NotReady Kind = "not-ready"
	// SlowRequest means that the request was not received within the read timeout.
	SlowRequest Kind = "slow-request"
	// HeaderTooLarge means that the request's header exceeds the size limit.
	HeaderTooLarge Kind = "header-too-large"
	// WrongContentType means that the path does not accept the body's content type.
	WrongContentType Kind = "wrong-content-type"
	// AnswerNotKept means that a non-idempotent request ran, but its response was
	// too large to be stored for retries.
	AnswerNotKept Kind = "answer-not-kept"
	// PromptQuarantined means that requests with a part of the prompt crash the engines that
	// answer them, so that the request is not sent.
	PromptQuarantined Kind = "prompt-quarantined"
	// PromptSuspected means that engines crashed as they began to answer requests with a part of the prompt, and that the
	// request is not sent until a trial has shown whether that part is the cause.
	PromptSuspected Kind = "prompt-suspected"
	// RequestQuarantined means that the whole request crashes the upstreams that run it, so that
	// it is not sent.
	RequestQuarantined Kind = "request-quarantined"
	// RequestSuspected means that upstreams crashed as they ran this request, and that it is not
	// sent now, as it may crash another one.
	RequestSuspected Kind = "request-suspected"
)

// Outcome states whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// Ran means the upstream executed the request.
	Ran Outcome = "ran"
	// NotRun means no upstream executed the request or will execute it later.
	NotRun Outcome = "not-run"
	// Unknown means the request may have run.
	Unknown Outcome = "unknown"
)

// OutcomeHeader carries the Outcome of a response.
const OutcomeHeader = "Masticmount-Outcome"

// ProblemType is the media type of an RFC 9457 problem body.
const ProblemType = "application/problem+json"

var statusOf = map[Kind]int{
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	InvalidRequest:  http.StatusBadRequest,
	TooLarge:        http.StatusRequestEntityTooLarge,
	NotFound:        http.StatusNotFound,
	NoRoute:         http.StatusNotFound,
	Conflict:        http.StatusConflict,
	NoWholeGroup:    http.StatusServiceUnavailable,
	Overloaded:      http.StatusServiceUnavailable,
	DeadlinePassed:  http.StatusGatewayTimeout,
	LimitReached:    http.StatusTooManyRequests,
	NoQuorum:        http.StatusServiceUnavailable,
	UpstreamFailed:  http.StatusBadGateway,
	KeyReused:       http.StatusUnprocessableEntity,
	KeyMissing:      http.StatusBadRequest,
	InProgress:      http.StatusConflict,
	Stopping:        http.StatusServiceUnavailable,
	Internal:        http.StatusInternalServerError,

	NotReady:         http.StatusServiceUnavailable,
	SlowRequest:      http.StatusRequestTimeout,
	HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	WrongContentType: http.StatusUnsupportedMediaType,
	AnswerNotKept:    http.StatusConflict,

	PromptQuarantined:  http.StatusBadRequest,
	RequestQuarantined: http.StatusBadRequest,
	RequestSuspected:   http.StatusServiceUnavailable,
	PromptSuspected:    http.StatusServiceUnavailable,
}

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	// Detail describes the error.
	Detail string
	// Remedy describes how the caller or operator can resolve the error.
	Remedy  string
	Outcome Outcome
	// RetryAfter is the delay before a retry; 0 means that a retry will not help.
	RetryAfter time.Duration
	cause      error
}

// New returns an error for a request that did not run.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy, Outcome: NotRun}
}

// WithRetryAfter sets the delay after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithOutcome sets whether the request ran.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// WithCause sets the underlying error and records its stack.
func (e *Error) WithCause(cause error) *Error {
	if cause != nil {
		e.cause = eris.Wrap(cause, string(e.Kind))
	}
	return e
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: %s; %s", e.Kind, e.Detail, e.Remedy)
	if e.cause != nil {
		msg += " (" + eris.Cause(e.cause).Error() + ")"
	}
	return msg
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status code of the error's kind.
func (e *Error) Status() int {
	if s, ok := statusOf[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns err as an *Error; it wraps any other error in one of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "report it with the request identifier", "unexpected error").WithOutcome(Unknown).WithCause(err)
}

// IsKind reports whether err is of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Problem is an RFC 9457 problem body.
type Problem struct {
	Type              string  `json:"type"`
	Title             string  `json:"title"`
	Status            int     `json:"status"`
	Detail            string  `json:"detail"`
	Remedy            string  `json:"remedy"`
	Outcome           Outcome `json:"outcome"`
	RetryAfterSeconds int     `json:"retry_after_s,omitempty"`
	RequestID         string  `json:"request_id,omitempty"`
}

// Problem returns the body that describes e to a caller.
func (e *Error) Problem(requestID string) Problem {
	return Problem{
		Type:              "urn:masticmount:fault:" + string(e.Kind),
		Title:             string(e.Kind),
		Status:            e.Status(),
		Detail:            e.Detail,
		Remedy:            e.Remedy,
		Outcome:           e.Outcome,
		RetryAfterSeconds: e.RetryAfterSeconds(),
		RequestID:         requestID,
	}
}

// MinRetryAfter is the shortest Retry-After, as the header states whole seconds. Callers whom another node or the next moment can serve
// are told this time.
const MinRetryAfter = time.Second

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up.
func (e *Error) RetryAfterSeconds() int {
	return int((e.RetryAfter + time.Second - 1) / time.Second)
}

// JSON returns the problem body of e.
func (e *Error) JSON(requestID string) []byte {
	body, err := json.Marshal(e.Problem(requestID))
	if err != nil {
		return []byte(`{"title":"internal"}`)
	}
	return body
}
