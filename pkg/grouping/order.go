package grouping

import "github.com/masticmount/masticmount/pkg/fleet"

// OrderKind says what an engine is told to do.
type OrderKind string

// The kinds of orders.
const (
	// Join makes the engine a member of a group.
	Join OrderKind = "join"
	// Open lets a head that is ready take requests.
	Open OrderKind = "open"
	// Close ends a head's service.
	Close OrderKind = "close"
	// Leave takes the engine out of its group at once.
	Leave OrderKind = "leave"
	// Stage loads a model onto the VM.
	Stage OrderKind = "stage"
	// Probe asks whether the engine answers; it changes nothing.
	Probe OrderKind = "probe"
)

// Order is one order to one engine.
type Order struct {
	Kind     OrderKind
	Upstream string
	Born     uint64
	Address  string
	Group    string
	Epoch    uint64
	Model    string
	// Members are the identifiers of a join's group, the head first.
	Members []string
	// Cancel makes a close cut off the work under way.
	Cancel bool
	// Expected is the number of orders that the engine must have begun for the order to
	// fit, where HasExpected is true.
	Expected    uint64
	HasExpected bool
}

// Outcome is what became of an order.
type Outcome int

const (
	// Accepted orders began, as one more of the engine's count.
	Accepted Outcome = iota
	// Held orders are done, or were before: the engine's count is not known.
	Held
	// Rejected orders changed nothing.
	Rejected
	// Unanswered orders may have begun, or may begin later.
	Unanswered
	// Refused means that the connection was refused: the engine is gone, or a cut
	// answers in its place.
	Refused
)

// Result is the outcome of one order.
type Result struct {
	Order   Order
	Outcome Outcome
	// Report is what the engine answered to a probe.
	Report Report
}

// Report is an engine's own answer, a fraction of a second old.
type Report struct {
	Group fleet.Membership
	// OrdersBegun counts the orders that the run has begun.
	OrdersBegun uint64
}

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"accepted", "held", "rejected", "unanswered", "refused"}[o]
}
