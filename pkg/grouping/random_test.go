package grouping

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

// randomDeployment is a deployment generated from a seed.
type randomDeployment struct {
	domains, engines int
	models           []document.Model
	// needed is the number of groups of each model that the demand keeps busy.
	needed map[string]float64
}

// newRandomDeployment generates fabric domains, engines and models; the demand is set by setDemand.
func newRandomDeployment(r *rand.Rand) randomDeployment {
	sizes := []int{1, 2, 3, 4, 6, 8}
	r.Shuffle(len(sizes), func(i, j int) { sizes[i], sizes[j] = sizes[j], sizes[i] })
	sizes = sizes[:2+r.IntN(2)]
	d := randomDeployment{domains: 1 + r.IntN(6), engines: lo.Sum(sizes) + r.IntN(14), needed: map[string]float64{}}
	for i, size := range sizes {
		share := 0.1 + r.Float64()
		d.models = append(d.models, document.Model{
			Name: fmt.Sprintf("m%d", i), GroupSize: size, Share: share, TimeFactor: 0.5 + r.Float64(), LoadTime: 16 * time.Second, WarmLoadTime: time.Second,
		})
	}
	shares := lo.SumBy(d.models, func(m document.Model) float64 { return m.Share })
	for i := range d.models {
		d.models[i].Share /= shares
	}
	return d
}

// setDemand sets a demand that keeps busyShare of the engines busy, divided by shares between the models.
func (d *randomDeployment) setDemand(busyShare float64, shares []float64) {
	for i, m := range d.models {
		d.needed[m.Name] = busyShare * float64(d.domains*d.engines) * shares[i] / lo.Sum(shares) / float64(m.GroupSize)
	}
}

func (d *randomDeployment) simulate(t *testing.T) *simulation {
	s := newEmptySimulation(t)
	s.engineSpec.Models = d.models
	for domain := range d.domains {
		for i := range d.engines {
			s.add(fmt.Sprintf("e%02d-%02d", domain, i), fmt.Sprintf("fab%d", domain))
		}
	}
	s.elect(firstStart())
	return s
}

// idleEngines counts the engines of each fabric domain that are not members of an open group.
func (s *simulation) idleEngines() map[string]int {
	idle := map[string]int{}
	for _, e := range s.engines {
		serves := lo.SomeBy(lo.Values(s.engines), func(head *fleet.Upstream) bool {
			return head.Group.Group != "" && head.Group.Group == e.Group.Group && head.Group.State == fleet.Open
		})
		if !serves {
			idle[e.FabricDomain]++
		}
	}
	return idle
}

// lowestCoverage returns the coverage of the model that is covered least.
func (d *randomDeployment) lowestCoverage(open map[string]int) float64 {
	return lo.Min(lo.Map(d.models, func(m document.Model, _ int) float64 { return float64(open[m.Name]) / d.needed[m.Name] }))
}

const randomDeployments = 40

// Guards against engines left idle at the first start although a group could be formed of them.
func TestRandomDeploymentsUseAllEngines(t *testing.T) {
	for seed := range uint64(randomDeployments) {
		d := newRandomDeployment(rand.New(rand.NewPCG(seed, 1)))
		s := d.simulate(t)
		s.run(5 * time.Second)
		smallest := lo.Min(lo.Map(d.models, func(m document.Model, _ int) int { return m.GroupSize }))
		for domain, n := range s.idleEngines() {
			assert.Less(t, n, smallest, "seed %d: %s of %+v", seed, domain, d)
		}
		for id, e := range s.engines {
			assert.NotEmpty(t, e.Staged, "seed %d: %s", seed, id)
		}
	}
}

// Guards against groups that keep following the configured shares when the measured demand
// differs. The bound allows for packing: engines left over in a fabric domain, whole groups
// only, and moves that need a minimum gain.
func TestRandomDeploymentsFollowDemand(t *testing.T) {
	for seed := range uint64(randomDeployments) {
		r := rand.New(rand.NewPCG(seed, 2))
		d := newRandomDeployment(r)
		s := d.simulate(t)
		s.run(5 * time.Second)
		s.planner.StartTraffic()
		d.setDemand(0.4+0.6*r.Float64(), lo.Map(d.models, func(document.Model, int) float64 { return 0.2 + r.Float64() }))
		s.planner.SetDemand(d.needed)
		s.run(60 * time.Second)
		sizes := lo.Map(d.models, func(m document.Model, _ int) int { return m.GroupSize })
		work := lo.SumBy(d.models, func(m document.Model) float64 { return d.needed[m.Name] * float64(m.GroupSize) })
		usable := d.domains*(d.engines-slices.Max(sizes)+1) - lo.Sum(sizes)
		bound := min(scarceCoverage, float64(usable)/work) / minMoveGain
		assert.GreaterOrEqual(t, d.lowestCoverage(s.openGroups()), bound, "seed %d: %v of %+v", seed, s.openGroups(), d)
	}
}
