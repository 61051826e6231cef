package routing

import (
	"sync"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/state"
)

// LeastOutstanding picks the group with the fewest outstanding requests.
type LeastOutstanding struct {
	mu          sync.Mutex
	outstanding map[string]int
}

// NewLeastOutstanding returns a router without outstanding requests.
func NewLeastOutstanding() *LeastOutstanding {
	return &LeastOutstanding{outstanding: map[string]int{}}
}

// Pick chooses a whole group that the route admits and counts the request as
// outstanding there.
func (r *LeastOutstanding) Pick(view *domain.View, route *state.Route, req Request) (*domain.Group, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *domain.Group
	for _, g := range view.Groups {
		if !admits(g, route, req) {
			continue
		}
		if best == nil || best.Name == req.Avoid || g.Name != req.Avoid && r.outstanding[g.Name] < r.outstanding[best.Name] {
			best = g
		}
	}
	if best == nil {
		return nil, NoWholeGroupError(route)
	}
	r.outstanding[best.Name]++
	return best, nil
}

// Finish removes a finished request from a group's count.
func (r *LeastOutstanding) Finish(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding[group]--
}

func admits(g *domain.Group, route *state.Route, req Request) bool {
	if !g.Whole || g.Leaving || !req.allows(g.Name) {
		return false
	}
	if req.Service != "" && g.Service != req.Service {
		return false
	}
	return route.Groups.Matches(labels.Set(g.Labels))
}
