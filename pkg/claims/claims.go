// Package claims ensures that non-idempotent requests run at most once: a claim on
// the caller's idempotency key is committed to the region log before the request is
// sent.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
)

// State is the result of a claim.
type State int

// The states of a claim.
const (
	// Granted means that this request may run.
	Granted State = iota
	// Answered means that the key's request ran and its answer is recorded.
	Answered
	// InProgress means that the key's request is running.
	InProgress
	// Unknown means that the key's request may have run.
	Unknown
	// Reused means that the key belongs to a request with another body.
	Reused
)

// Key identifies a non-idempotent request.
type Key struct {
	Account string
	// Value is the caller's Idempotency-Key.
	Value string
}

// Fingerprint is a SHA-256 of a request. Two requests with one key and different
// fingerprints are different requests.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request. The target is its path and
// query.
func FingerprintOf(method, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

// Answer is a recorded answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Decision is the state of a claim, with the answer if it is recorded.
type Decision struct {
	State  State
	Answer Answer
}

// Store records claims and their answers.
type Store interface {
	// Claim records that the request is about to be sent, unless its key is taken.
	// The deadline of ctx limits how long the claim may stay in progress. After an
	// error the request must not be sent.
	Claim(ctx context.Context, key Key, fingerprint Fingerprint) (Decision, error)
	// Record stores the answer to a claimed request.
	Record(ctx context.Context, key Key, answer Answer) error
	// Abandon releases a claim whose request certainly did not run.
	Abandon(ctx context.Context, key Key) error
	// MarkUnknown marks a claim whose request may have run.
	MarkUnknown(ctx context.Context, key Key) error
}
