package dispatch

import (
	"net/http"

	"github.com/masticmount/masticmount/pkg/fault"
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
