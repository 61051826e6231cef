// Package domain maintains this node's view of the upstreams and groups of its
// failure domain, and orders engines into groups while this node is coordinator.
package domain

import (
	"time"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/membership"
)

// Member is one upstream of a group.
type Member struct {
	ID      string
	Address string
	// Incarnation identifies one start of the member.
	Incarnation uint64
	Load        api.Load
	// ReportedAt is when the load was received.
	ReportedAt time.Time
	Leaving    bool
	// Slow is true if recent dispatches to the member took much longer than usual.
	Slow bool
	// Condition is the member's condition when the view was built.
	Condition membership.Condition
}

// Group is a group as this node sees it.
type Group struct {
	// Name is unique in the region. It consists of the failure domain, the group
	// specification and a number.
	Name string
	// Spec is the name of the group specification.
	Spec       string
	Service    string
	Kind       api.UpstreamKind
	Labels     map[string]string
	Generation uint64
	// Members are ordered by rank; rank 0 takes the requests.
	Members       []Member
	FailureDomain string
	FabricDomain  string
	// Whole is true while every member's lease is current and all members echo
	// this generation.
	Whole bool
	// Leaving is true if the group is being drained and gets no new work: a member is
	// leaving, or the specification was deleted or has another size.
	Leaving bool
	// ConfirmedAt is when the coordinator of another failure domain last confirmed the
	// group; zero for groups of this failure domain.
	ConfirmedAt time.Time

	accelerators int
}

// Address returns the address of the member of rank 0, which takes the requests.
func (g *Group) Address() string { return g.Members[0].Address }

// View is an immutable snapshot of the groups.
type View struct {
	// builtAt is the time of the snapshot, used to detect that it predates a pause of
	// this process.
	builtAt time.Time
	Version uint64
	Groups  []*Group
	// Remote are the whole groups of other failure domains, for work that this one
	// cannot take. Only the member of rank 0 is listed; its load may be seconds old.
	Remote []*Group
	// StrandedAccelerators is the number of accelerators of current engines that are
	// in no whole group.
	StrandedAccelerators int
	// Upstreams holds the announcements of the current upstreams by identifier.
	Upstreams map[string]api.Announcement
}
