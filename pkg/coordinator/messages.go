// Package coordinator elects one coordinator per failure domain by a majority lease
// that needs no durable storage. It performs no I/O: callers pass in events and
// the current time, and carry out the returned actions.
//
// Invariant: at most one coordinator holds a valid lease at any time, as long as
// clock rates stay within MaxClockDrift. A voter grants its vote to one holder
// for MaxLease from receipt; a holder counts its lease from the time it sent the
// request and ends it earlier by the drift margin. Any two majorities share a
// voter, and that voter's grant outlasts the first holder's lease.
package coordinator

import "time"

const (
	// MaxLease is how long a voter's grant lasts, by the voter's clock.
	MaxLease = 2 * time.Second
	// MaxClockDrift is the largest tolerated deviation of a clock's rate from true
	// time, in parts per thousand.
	MaxClockDrift = 10
	// HolderLease is how long a holder may act after sending the request that a
	// majority granted: MaxLease less the drift of both clocks.
	HolderLease = MaxLease - 2*MaxLease*MaxClockDrift/1000
	// RenewInterval is the time between two lease renewals.
	RenewInterval = 500 * time.Millisecond
	// RoundTimeout is how long a candidate waits for a majority.
	RoundTimeout = 400 * time.Millisecond
	// CandidateStagger is multiplied by a candidate's rank to delay its requests, so
	// that candidates rarely split the vote.
	CandidateStagger = 60 * time.Millisecond
	// maxRounds limits the number of rounds with outstanding replies.
	maxRounds = 8
)

// Holder identifies one incarnation of a node; a restarted node is a new holder.
type Holder struct {
	Node        string
	Incarnation uint64
}

// Request asks a voter to grant or renew its vote.
type Request struct {
	Domain string
	From   Holder
	// Round increases with every request of a holder.
	Round uint64
	// Fence is the fencing number to record; 0 if none has been chosen.
	Fence uint64
}

// Reply answers a Request.
type Reply struct {
	Domain string
	From   string
	// To is the holder that sent the request. A reply addressed to an earlier
	// incarnation is ignored.
	To      Holder
	Round   uint64
	Granted bool
	// Highest is the highest fencing number that the voter has recorded.
	Highest uint64
	// Remaining is how long the voter cannot grant its vote to the requester.
	Remaining time.Duration
}

// Release gives up all grants up to and including Round.
type Release struct {
	Domain string
	From   Holder
	Round  uint64
}

// Event is an input of the Machine.
type Event interface{ event() }

// The events of the Machine.
type (
	// Tick triggers the actions that are due at the current time.
	Tick struct{}
	// Received delivers a Request, Reply or Release from another node.
	Received struct{ Message any }
	// FenceSeen reports a fencing number seen in an announcement or a durable record.
	FenceSeen struct{ Fence uint64 }
	// Stop releases the lease for a planned stop; afterwards the machine only votes.
	Stop struct{}
)

func (Tick) event()      {}
func (Received) event()  {}
func (FenceSeen) event() {}
func (Stop) event()      {}

// Action is an output of the Machine.
type Action interface{ action() }

// The actions of the Machine.
type (
	// Send sends a Request, Reply or Release to a node.
	Send struct {
		To      string
		Message any
	}
	// Acquired reports that this node is coordinator and may send orders under Fence.
	Acquired struct{ Fence uint64 }
	// Lost reports that this node must stop sending orders.
	Lost struct{ Reason string }
)

func (Send) action()     {}
func (Acquired) action() {}
func (Lost) action()     {}
