package scheduling

import (
	"time"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
)

// ID identifies a request within one Core.
type ID uint64

// Event is an input of a Core.
type Event interface{ event() }

// Submit adds a new request.
type Submit struct {
	ID      ID
	Request Request
}

// Disconnect reports that the client of a waiting request has disconnected.
type Disconnect struct{ ID ID }

// Finish reports that a started request has ended on its group.
type Finish struct {
	ID     ID
	Report Report
}

// ViewChanged provides a new view of the groups.
type ViewChanged struct{ View *domain.View }

// Tick re-evaluates the waiting requests at the current time.
type Tick struct{}

func (Submit) event()      {}
func (Disconnect) event()  {}
func (Finish) event()      {}
func (ViewChanged) event() {}
func (Tick) event()        {}

// Action is an output of a Core. Each submitted request gets exactly one Start or
// Refuse, unless its client disconnects first.
type Action interface{ action() }

// Start sends a request to a group.
type Start struct {
	ID       ID
	Group    *domain.Group
	Priority int
	// Preemptible reports whether a Preempt may follow.
	Preemptible bool
	// HedgeAfter is the time to wait for the first token before sending a hedge; 0
	// means no hedge.
	HedgeAfter time.Duration
}

// Refuse rejects a request that will not run.
type Refuse struct {
	ID  ID
	Err *fault.Error
}

// Preempt asks the caller to cancel a started request and submit it again.
type Preempt struct{ ID ID }

func (Start) action()   {}
func (Refuse) action()  {}
func (Preempt) action() {}
