package dispatch

import (
	"net/http"

	"github.com/masticmount/masticmount/pkg/fault"
)

// maxRefusalBytes bounds the body of a refusal that is read to keep its connection.
const maxRefusalBytes = 16 << 10

// Protocol is how upstreams name what a call rests on. Peek functions return the
// value of a header, or nothing.
type Protocol struct {
	// RequestID is the header that carries the request identifier both ways.
	RequestID string
	// Refused reports whether an answer says that its request did not run.
	Refused func(status int, peek func(name string) []byte) bool
	// AtFault returns the upstream that a refusal blames; nil means that none does.
	AtFault func(peek func(name string) []byte) string
	// Unframed accepts an answer without a length that ends with its connection.
	Unframed bool
}

// complete fills in masticmount's own protocol.
func (p *Protocol) complete() {
	if p.RequestID == "" {
		p.RequestID = HeaderRequestID
	}
	if p.Refused == nil {
		p.Refused = func(status int, peek func(string) []byte) bool {
			return refusalStatus(status) && string(peek(fault.OutcomeHeader)) == string(fault.NotRun)
		}
	}
}

func (p *Protocol) atFault(peek func(string) []byte) string {
	if p.AtFault == nil {
		return ""
	}
	return p.AtFault(peek)
}

func refusalStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return true
	default:
		return false
	}
}
