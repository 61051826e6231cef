package routing

import (
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/state"
)

// noGroupRetryAfter is the retry-after time while no whole group serves a route: a lost member is replaced once its lease has ended.
const noGroupRetryAfter = membership.LeaseDuration

// NoWholeGroupError is the refusal of a request whose route no whole group serves.
func NoWholeGroupError(route *state.Route) *fault.Error {
	return fault.New(fault.NoWholeGroup, "retry later; operators: see 'masticmount status' for groups that lack members",
		"no whole group serves route %q", route.Name).WithRetryAfter(noGroupRetryAfter)
}
