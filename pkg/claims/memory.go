package claims

import (
	"context"
	"sync"
)

type claim struct {
	fingerprint Fingerprint
	decision    Decision
}

// Memory is an in-memory Store for a single process.
type Memory struct {
	mu     sync.Mutex
	claims map[Key]*claim
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{claims: map[Key]*claim{}} }

// Claim implements Store.
func (m *Memory) Claim(_ context.Context, key Key, fingerprint Fingerprint) (Decision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, taken := m.claims[key]
	if !taken {
		m.claims[key] = &claim{fingerprint: fingerprint, decision: Decision{State: InProgress}}
		return Decision{State: Granted}, nil
	}
	if c.fingerprint != fingerprint {
		return Decision{State: Reused}, nil
	}
	return c.decision, nil
}

// Record implements Store.
func (m *Memory) Record(_ context.Context, key Key, answer Answer) error {
	m.set(key, Decision{State: Answered, Answer: answer})
	return nil
}

// Abandon implements Store.
func (m *Memory) Abandon(_ context.Context, key Key) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claims, key)
	return nil
}

// MarkUnknown implements Store.
func (m *Memory) MarkUnknown(_ context.Context, key Key) error {
	m.set(key, Decision{State: Unknown})
	return nil
}

func (m *Memory) set(key Key, d Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.claims[key]; c != nil {
		c.decision = d
	}
}
