package dispatch

import (
	"net/http"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/statement"
)

// maxRefusalBytes bounds the body of a refusal that is read to reuse its connection.
const maxRefusalBytes = 16 << 10

// Protocol defines how upstreams express request identifiers and refusals. Its peek
// functions return the value of a header, or nothing.
type Protocol struct {
	// RequestID is the header of the request identifier, in requests and responses.
	RequestID string
	// Refused reports whether a response states that its request did not run.
	Refused func(status int, peek func(name string) []byte) bool
	// AtFault returns the upstream that a refusal names as the cause; nil means that
	// refusals name none.
	AtFault func(peek func(name string) []byte) string
	// Statement returns what a response states of its upstream; false if it says nothing,
	// because it is not the upstream's own or cannot be read. peekAll returns all fields of a
	// header.
	Statement func(status int, peekAll func(name string) [][]byte) (statement.Statement, bool)
	// AllowUnframed accepts a response without a length that ends with its connection.
	AllowUnframed bool
}

// complete fills unset fields with those of masticmount's own protocol.
func (p *Protocol) complete() {
	if p.RequestID == "" {
		p.RequestID = HeaderRequestID
	}
	if p.Refused == nil {
		p.Refused = func(status int, peek func(string) []byte) bool {
			return isRefusalStatus(status) && string(peek(fault.OutcomeHeader)) == string(fault.NotRun)
		}
	}
	if p.Statement == nil {
		p.Statement = func(_ int, peekAll func(string) [][]byte) (statement.Statement, bool) {
			return statement.Parse(peekAll(HeaderRateLimit), peekAll(HeaderLeaving))
		}
	}
}

// Execution is what a response states of whether its request ran.
type Execution int

const (
	// MayHaveRun means that nothing in the response says that the request did not run.
	MayHaveRun Execution = iota
	// StatedNotRun means that the upstream states that the request did not run and never will.
	StatedNotRun
	// ImpliedNotRun means that the status promises so to callers, but that the upstream does not
	// state it: the request may have run.
	ImpliedNotRun
)

// execution returns what a response states of whether its request ran.
func (p *Protocol) execution(status int, peek func(name string) []byte) Execution {
	switch {
	case p.Refused(status, peek):
		return StatedNotRun
	case PromisesNotRun(status):
		return ImpliedNotRun
	default:
		return MayHaveRun
	}
}

// PromisesNotRun reports whether callers take a status for a promise that the request did not run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	default:
		return false
	}
}

func (p *Protocol) atFault(peek func(string) []byte) string {
	if p.AtFault == nil {
		return ""
	}
	return p.AtFault(peek)
}

func isRefusalStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return true
	default:
		return false
	}
}
