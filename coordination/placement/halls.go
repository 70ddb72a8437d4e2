package placement

import (
	"math"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// hallCoverage states how well the groups of each model lie in the halls in which its demand arrives. It decides among
// layouts of equal utility.
type hallCoverage struct {
	// demand is the fraction of each model's demand that arrives in each hall; nil for a model without demand.
	demand []map[state.HallName]float64
	// instances is the number of instances in groups of each model in each hall.
	instances []map[state.HallName]float64
}

// newHallCoverage returns the coverage by the groups that the planner counts as serving, or nil if the demand by hall is unknown.
func (s *step) newHallCoverage() *hallCoverage {
	models := s.engine.Models
	if len(s.DemandByHall) != len(models) {
		return nil
	}
	c := &hallCoverage{demand: s.DemandByHall, instances: make([]map[state.HallName]float64, len(models))}
	for i := range models {
		c.instances[i] = map[state.HallName]float64{}
	}
	for key, g := range s.groups {
		i, configured := s.modelIndex(g.model)
		if head := s.headOf(g); configured && head != nil && s.isCapacity(key, g) {
			c.instances[i][head.Hall] += float64(len(g.members))
		}
	}
	return c
}

// add adds the groups of a layout in a hall with a factor of 1, or removes them with -1.
func (c *hallCoverage) add(hall state.HallName, l layout, models []catalog.Model, factor float64) {
	for i := range models {
		c.instances[i][hall] += factor * l.instances(i, models)
	}
}

// covered returns the number of instances for which the demand of their own hall suffices, if the demand for each model is
// divided equally among the instances of its groups.
func (c *hallCoverage) covered() float64 {
	var covered float64
	for i, byHall := range c.instances {
		var total float64
		for _, n := range byHall {
			total += n
		}
		for hall, n := range byHall {
			covered += min(n, c.demand[i][hall]*total)
		}
	}
	return covered
}

// coveredWith returns covered with two more layouts in their halls.
func (c *hallCoverage) coveredWith(hallA state.HallName, la layout, hallB state.HallName, lb layout, models []catalog.Model) float64 {
	c.add(hallA, la, models, 1)
	c.add(hallB, lb, models, 1)
	covered := c.covered()
	c.add(hallA, la, models, -1)
	c.add(hallB, lb, models, -1)
	return covered
}

// equalUtility is the difference of utility up to which two layouts are equally good, in instances.
const equalUtility = 1e-9

// minCoverageGain is the minimum gain of coverage, in instances, for which layouts are exchanged.
const minCoverageGain = 1e-6

// moveToDemand replaces the layouts of pairs of domains by others of equal utility that cover more of the demand of their
// halls, until no pair gains or it has made one pass per domain.
func (alloc *allocation) moveToDemand(c *hallCoverage, halls []state.HallName, domains [][]layout, chosen []layout, models []catalog.Model) {
	for d, l := range chosen {
		c.add(halls[d], l, models, 1)
	}
	for range domains {
		moved := false
		for a := range domains {
			for b := a + 1; b < len(domains); b++ {
				if halls[a] != halls[b] {
					moved = alloc.movePair(c, halls, domains, chosen, models, a, b) || moved
				}
			}
		}
		if !moved {
			break
		}
	}
}

// movePair replaces the layouts of two domains by those of equal utility that cover the most demand of their halls. It
// reports whether it replaced any.
func (alloc *allocation) movePair(c *hallCoverage, halls []state.HallName, domains [][]layout, chosen []layout, models []catalog.Model, a, b int) bool {
	for _, d := range []int{a, b} {
		alloc.add(chosen[d], models, -1)
		c.add(halls[d], chosen[d], models, -1)
	}
	gain := alloc.utilityGain(models, chosen[a], chosen[b])
	best := c.coveredWith(halls[a], chosen[a], halls[b], chosen[b], models) + minCoverageGain
	moved := false
	for _, la := range domains[a] {
		for _, lb := range domains[b] {
			if math.Abs(alloc.utilityGain(models, la, lb)-gain) > equalUtility {
				continue
			}
			if covered := c.coveredWith(halls[a], la, halls[b], lb, models); covered > best {
				chosen[a], chosen[b], best, moved = la, lb, covered, true
			}
		}
	}
	for _, d := range []int{a, b} {
		alloc.add(chosen[d], models, 1)
		c.add(halls[d], chosen[d], models, 1)
	}
	return moved
}

// pruneAwayFromDemand drops groups whose utility is below MinGroupGain per instance, as prune does, first those in the hall
// that has the most instances above its share of the demand.
func (alloc *allocation) pruneAwayFromDemand(c *hallCoverage, halls []state.HallName, chosen []layout, models []catalog.Model) {
	for d := range chosen {
		chosen[d] = chosen[d].clone()
	}
	for i := range models {
		size := float64(models[i].GroupSize)
		for alloc.utility(i, alloc.current[i])-alloc.utility(i, alloc.current[i]-size) < alloc.policy.MinGroupGain*size {
			d := c.mostExcessive(i, halls, chosen)
			if d < 0 {
				break
			}
			chosen[d].counts[i]--
			alloc.current[i] -= size
			c.instances[i][halls[d]] -= size
		}
	}
}

// mostExcessive returns the index of the domain with a chosen group of a model whose hall has the most instances above its share
// of the model's demand, or -1 if no domain has one.
func (c *hallCoverage) mostExcessive(model int, halls []state.HallName, chosen []layout) int {
	var total float64
	for _, n := range c.instances[model] {
		total += n
	}
	best, most := -1, math.Inf(-1)
	for d, l := range chosen {
		excess := c.instances[model][halls[d]] - c.demand[model][halls[d]]*total
		if l.counts[model] > 0 && excess > most {
			best, most = d, excess
		}
	}
	return best
}
