package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// allocation holds the current and desired numbers of instances in groups of each model.
type allocation struct {
	policy  *Policy
	current []float64
	desired []float64
}

// newShareAllocation returns an allocation whose desired numbers divide the instances among the
// models by their configured shares. It is used while the demand is unknown.
func newShareAllocation(models []catalog.Model, instances int, policy *Policy) *allocation {
	alloc := &allocation{policy: policy, current: make([]float64, len(models)), desired: make([]float64, len(models))}
	var total float64
	for i := range models {
		total += models[i].ExpectedShare
	}
	for i := range models {
		if total > 0 {
			alloc.desired[i] = models[i].ExpectedShare / total * float64(instances)
		}
		alloc.desired[i] = max(alloc.desired[i], 1)
	}
	return alloc
}

// newDemandAllocation returns an allocation for a measured demand. The desired number of
// instances is Concavity times the number that the demand fills, because batches that are not
// full answer faster and groups fail.
func newDemandAllocation(engine *catalog.Engine, demand []float64, policy *Policy) *allocation {
	n := len(engine.Models)
	alloc := &allocation{policy: policy, current: make([]float64, n), desired: make([]float64, n)}
	for i, m := range engine.Models {
		need := demand[i] * cmp.Or(m.TimeFactor, 1) * float64(m.GroupSize) / float64(max(engine.BatchSlots, 1))
		alloc.desired[i] = max(alloc.policy.Concavity*need, float64(m.GroupSize))
	}
	return alloc
}

// utility returns the utility of a number of instances in groups of a model. It grows concavely
// and never exceeds the desired number.
func (alloc *allocation) utility(model int, instances float64) float64 {
	return alloc.desired[model] * (1 - math.Exp(-alloc.policy.Concavity*instances/alloc.desired[model]))
}

// layout is a possible layout of groups for the free instances of one domain.
type layout struct {
	// counts is the number of groups of each model.
	counts []int
}

// clone returns a copy of the layout.
func (l layout) clone() layout { return layout{counts: slices.Clone(l.counts)} }

// isEmpty reports whether the layout has no groups.
func (l layout) isEmpty() bool {
	return !slices.ContainsFunc(l.counts, func(n int) bool { return n > 0 })
}

// instances returns the number of instances in the groups of a model.
func (l layout) instances(i int, models []catalog.Model) float64 {
	return float64(l.counts[i] * models[i].GroupSize)
}

// maximalLayouts returns the maximal layouts of a number of free instances: those to which no
// further group can be added. eligible is the number of instances that are eligible for each model.
func maximalLayouts(free int, eligible []int, models []catalog.Model) []layout {
	var list []layout
	counts := make([]int, len(models))
	var enumerate func(model, left int)
	enumerate = func(model, left int) {
		if model == len(models) {
			list = append(list, layout{counts: slices.Clone(counts)})
			return
		}
		size := models[model].GroupSize
		for n := min(left, eligible[model]) / size; n >= 0; n-- {
			counts[model] = n
			enumerate(model+1, left-n*size)
		}
	}
	enumerate(0, free)
	return slices.DeleteFunc(list, func(l layout) bool { return isExtendable(l, free, eligible, models) })
}

// isExtendable reports whether a further group could be added to a layout.
func isExtendable(l layout, free int, eligible []int, models []catalog.Model) bool {
	for i, n := range l.counts {
		free -= n * models[i].GroupSize
	}
	for i, n := range l.counts {
		if free >= models[i].GroupSize && eligible[i] >= (n+1)*models[i].GroupSize {
			return true
		}
	}
	return false
}

// utilityGain returns the utility that the groups of the chosen layouts add to the existing groups.
func (alloc *allocation) utilityGain(models []catalog.Model, chosen ...layout) float64 {
	var total float64
	for i := range models {
		instances := alloc.current[i]
		for _, l := range chosen {
			instances += l.instances(i, models)
		}
		total += alloc.utility(i, instances) - alloc.utility(i, alloc.current[i])
	}
	return total
}

// add adds the groups of a layout to the current numbers with a factor of 1, or removes them with -1.
func (alloc *allocation) add(l layout, models []catalog.Model, factor float64) {
	for i := range models {
		alloc.current[i] += factor * l.instances(i, models)
	}
}

// best returns the layout with the highest utility gain.
func (alloc *allocation) best(list []layout, models []catalog.Model) layout {
	return slices.MaxFunc(list, func(a, b layout) int {
		return cmp.Compare(alloc.utilityGain(models, a), alloc.utilityGain(models, b))
	})
}

// chooseLayouts chooses a layout for each domain to maximize the total utility. The best layout
// of a domain depends on those of the others, so after a greedy start it improves pairs of domains
// until no pair improves or it has made one pass per domain. The result may not be optimal. Of layouts with equal utility
// it prefers those that cover the demand of the domains' halls, unless coverage is nil.
func (alloc *allocation) chooseLayouts(domains [][]layout, models []catalog.Model, coverage *hallCoverage, halls []state.HallName) []layout {
	chosen := make([]layout, len(domains))
	for d, list := range domains {
		chosen[d] = alloc.best(list, models)
		alloc.add(chosen[d], models, 1)
	}
	for range domains {
		if !alloc.improvePairs(domains, chosen, models) {
			break
		}
	}
	if coverage != nil {
		alloc.moveToDemand(coverage, halls, domains, chosen, models)
		alloc.pruneAwayFromDemand(coverage, halls, chosen, models)
		return chosen
	}
	for d := range chosen {
		chosen[d] = alloc.prune(chosen[d], models)
	}
	return chosen
}

// improvePairs replaces the layouts of pairs of domains where that increases the utility, and
// reports whether it replaced any.
func (alloc *allocation) improvePairs(domains [][]layout, chosen []layout, models []catalog.Model) bool {
	const minImprovement = 1e-9
	improved := false
	for a := range domains {
		for b := a + 1; b < len(domains); b++ {
			alloc.add(chosen[a], models, -1)
			alloc.add(chosen[b], models, -1)
			bestGain := alloc.utilityGain(models, chosen[a], chosen[b]) + minImprovement
			for _, la := range domains[a] {
				for _, lb := range domains[b] {
					if gain := alloc.utilityGain(models, la, lb); gain > bestGain {
						chosen[a], chosen[b], bestGain, improved = la, lb, gain, true
					}
				}
			}
			alloc.add(chosen[a], models, 1)
			alloc.add(chosen[b], models, 1)
		}
	}
	return improved
}

// prune drops the groups of a layout whose utility is below MinGroupGain per instance. Their
// instances remain free as spares.
func (alloc *allocation) prune(l layout, models []catalog.Model) layout {
	out := l.clone()
	for i := range models {
		size := float64(models[i].GroupSize)
		for out.counts[i] > 0 && alloc.utility(i, alloc.current[i])-alloc.utility(i, alloc.current[i]-size) < alloc.policy.MinGroupGain*size {
			out.counts[i]--
			alloc.current[i] -= size
		}
	}
	return out
}

// addedUtility returns the utility that further instances add to the groups of a model.
func (alloc *allocation) addedUtility(model int, more float64) float64 {
	return alloc.utility(model, alloc.current[model]+more) - alloc.utility(model, alloc.current[model])
}

// marginalUtilities returns the marginal utility of one more instance in groups of each model.
func (alloc *allocation) marginalUtilities() []float64 {
	utilities := make([]float64, len(alloc.current))
	for i := range utilities {
		utilities[i] = alloc.addedUtility(i, 1)
	}
	return utilities
}
