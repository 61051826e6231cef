package routing

import (
	"slices"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/state"
)

// Isolate returns the one group to which all entries send requests that may crash their upstream, so
// that the others keep serving; nil when no whole group is left. spare is false when it is the last
// one of several, which no such request may get. ended reports whether the upstream of a group is
// known to have ended; crashed are the upstreams that ended under the request.
func Isolate(view *domain.View, route *state.Route, req Request, ended func(*domain.Group) bool, crashed []string) (group *domain.Group, spare bool) {
	all := lo.Filter(slices.Concat(view.Groups, view.Remote), func(g *domain.Group, _ int) bool {
		return (req.Service == "" || g.Service == req.Service) && route.Groups.Matches(labels.Set(g.Labels))
	})
	whole := lo.Filter(all, func(g *domain.Group, _ int) bool { return admits(g, route, req) && !ended(g) })
	if len(whole) == 0 {
		return nil, false
	}
	first := lo.MinBy(whole, func(a, b *domain.Group) bool { return a.Name < b.Name })
	hasOthers := len(all) > 1 || len(lo.Without(crashed, first.Members[0].ID)) > 0
	return first, len(whole) > 1 || !hasOthers
}
