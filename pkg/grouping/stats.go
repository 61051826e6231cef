package grouping

import (
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/fleet"
)

var phaseNames = [...]string{"forming", "opening", "open", "draining", "closing", "leaving"}

// Stats counts groups by model and phase, engines outside open groups, and engines that are loading.
func (p *Planner) Stats() map[string]int64 {
	stats := map[string]int64{}
	for _, engine := range p.engines {
		for _, m := range engine.Models {
			for _, phase := range phaseNames {
				stats["groups."+m.Name+"."+phase] = 0
			}
		}
	}
	serving := map[string]bool{}
	for _, g := range p.groups {
		stats["groups."+g.model.Name+"."+phaseNames[g.phase]]++
		for _, member := range g.members {
			serving[member.id] = serving[member.id] || g.phase == open
		}
	}
	stats["engines.stranded"] = int64(lo.CountBy(lo.Values(p.upstreams), func(u fleet.Upstream) bool { return !u.Silent && !serving[u.ID] }))
	stats["engines.loading"] = int64(lo.CountBy(lo.Values(p.upstreams), p.loading))
	return stats
}
