// Package routing chooses the group for a request: filter, score, pick. It also
// provides the circuit breaker, the retry budget and the hedging delay. Ordering
// and admission are not part of it. It reads no clock and starts no goroutine.
package routing

import (
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/state"
)

// Request describes a request to the router.
type Request struct {
	Account string
	Class   string
	Service string
	Path    string
	// Prompt is the text that prefix affinity is computed from.
	Prompt string
	// Exclude lists the groups that have already failed this request.
	Exclude []string
	// Only is the one group that may take the request; empty means any.
	Only string
	// Avoid is a group that takes the request only if no other can; empty means none.
	Avoid string
}

// Restricted reports whether the request may not go to each group that its route admits, so that it
// may wait while others can start.
func (r *Request) Restricted() bool { return len(r.Exclude) > 0 || r.Only != "" }

// allows reports whether the request may go to the named group.
func (r *Request) allows(group string) bool {
	return (r.Only == "" || r.Only == group) && !slices.Contains(r.Exclude, group)
}

// MatchRoute returns the first route that admits the request.
func MatchRoute(config *state.Config, req Request) (*state.Route, bool) {
	set := labels.Set{"account": req.Account, "class": req.Class, "model": req.Service}
	for k, v := range config.Accounts[req.Account].Labels {
		set[k] = v
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		if hasPathPrefix(req.Path, r.Spec.Path) && r.Requests.Matches(set) {
			return r, true
		}
	}
	return nil, false
}

func hasPathPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}
