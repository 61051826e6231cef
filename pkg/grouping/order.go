package grouping

import "github.com/masticmount/masticmount/pkg/fleet"

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of orders.
const (
	// Join makes the engine a member of a group.
	Join OrderKind = "join"
	// Open makes a ready head accept requests.
	Open OrderKind = "open"
	// Close makes a head stop serving.
	Close OrderKind = "close"
	// Leave removes the engine from its group immediately.
	Leave OrderKind = "leave"
	// Stage loads a model's weights onto the VM.
	Stage OrderKind = "stage"
	// Probe asks for the engine's report and changes nothing.
	Probe OrderKind = "probe"
)

// Order is a request to one engine.
type Order struct {
	Kind      OrderKind
	Upstream  string
	StartTime uint64
	Address   string
	Group     string
	Epoch     uint64
	Model     string
	// Members are the identifiers of the group's members in a join, the head first.
	Members []string
	// Cancel makes a close cancel the requests in flight.
	Cancel bool
	// Expected is the number of orders that the engine must have started before, or it
	// rejects this one. It applies only if HasExpected is true.
	Expected    uint64
	HasExpected bool
}

// Outcome is the result status of an order.
type Outcome int

const (
	// Accepted means that the order started and was added to the engine's count.
	Accepted Outcome = iota
	// Held means that the order is in effect, now or from before; the engine's count is unknown.
	Held
	// Rejected means that the order changed nothing.
	Rejected
	// Unanswered means that the order may have started or may start later.
	Unanswered
	// ConnectionRefused means that the connection was refused. The engine has stopped,
	// or a network partition refuses connections on its behalf.
	ConnectionRefused
	// NotSent means that the order was not sent and never will be.
	NotSent
)

// Result is the outcome of one order.
type Result struct {
	Order   Order
	Outcome Outcome
	// Report is the engine's answer to a probe.
	Report Report
}

// Report is an engine's answer to a probe, a fraction of a second old.
type Report struct {
	Group fleet.Membership
	// OrdersStarted counts the orders that this incarnation of the engine has started.
	OrdersStarted uint64
}

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"accepted", "held", "rejected", "unanswered", "refused", "not-sent"}[o]
}
