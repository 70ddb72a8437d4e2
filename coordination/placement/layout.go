package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/troutmast/troutmast/state/catalog"
)

// supply holds the current (have) and desired (want) number of instances in groups of each model.
type supply struct {
	policy *Policy
	have   []float64
	want   []float64
}

// newSupply returns a supply that divides a number of instances among the models by their
// configured shares. It is used while the demand is unknown.
func newSupply(models []catalog.Model, instances int, policy *Policy) *supply {
	s := &supply{policy: policy, have: make([]float64, len(models)), want: make([]float64, len(models))}
	var total float64
	for i := range models {
		total += models[i].Share
	}
	for i := range models {
		if total > 0 {
			s.want[i] = models[i].Share / total * float64(instances)
		}
		s.want[i] = max(s.want[i], 1)
	}
	return s
}

// newNeededSupply returns a supply for a measured demand. The desired number of instances is
// Concavity times the number that the demand fills, because batches that are not full answer
// faster and groups fail.
func newNeededSupply(engine *catalog.Engine, work []float64, policy *Policy) *supply {
	n := len(engine.Models)
	s := &supply{policy: policy, have: make([]float64, n), want: make([]float64, n)}
	for i, m := range engine.Models {
		need := work[i] * cmp.Or(m.Pace, 1) * float64(m.Size) / float64(max(engine.Slots, 1))
		s.want[i] = max(s.policy.Concavity*need, float64(m.Size))
	}
	return s
}

// value returns the utility of a number of instances in groups of a model. It grows concavely
// and never exceeds the desired number.
func (s *supply) value(model int, have float64) float64 {
	return s.want[model] * (1 - math.Exp(-s.policy.Concavity*have/s.want[model]))
}

// option is a possible layout of groups for the free instances of one domain.
type option struct {
	// counts is the number of groups of each model.
	counts []int
}

// size returns the number of instances in the groups of a model.
func (o option) size(i int, models []catalog.Model) float64 {
	return float64(o.counts[i] * models[i].Size)
}

// options returns the maximal layouts of a number of free instances: those to which no further
// group can be added. able is the number of instances that are eligible for each model.
func options(free int, able []int, models []catalog.Model) []option {
	var list []option
	counts := make([]int, len(models))
	var try func(model, left int)
	try = func(model, left int) {
		if model == len(models) {
			list = append(list, option{counts: slices.Clone(counts)})
			return
		}
		size := models[model].Size
		for n := min(left, able[model]) / size; n >= 0; n-- {
			counts[model] = n
			try(model+1, left-n*size)
		}
	}
	try(0, free)
	return slices.DeleteFunc(list, func(o option) bool { return extendable(o, free, able, models) })
}

// extendable reports whether a further group could be added to an option.
func extendable(o option, free int, able []int, models []catalog.Model) bool {
	for i, n := range o.counts {
		free -= n * models[i].Size
	}
	for i, n := range o.counts {
		if free >= models[i].Size && able[i] >= (n+1)*models[i].Size {
			return true
		}
	}
	return false
}

// worth returns the utility that the groups of options add to the existing groups.
func (s *supply) worth(models []catalog.Model, chosen ...option) float64 {
	var total float64
	for i := range models {
		have := s.have[i]
		for _, o := range chosen {
			have += o.size(i, models)
		}
		total += s.value(i, have) - s.value(i, s.have[i])
	}
	return total
}

// add adds the groups of an option to the supply, times times; -1 removes them.
func (s *supply) add(o option, models []catalog.Model, times float64) {
	for i := range models {
		s.have[i] += times * o.size(i, models)
	}
}

// best returns the option with the highest utility.
func (s *supply) best(list []option, models []catalog.Model) option {
	return slices.MaxFunc(list, func(a, b option) int {
		return cmp.Compare(s.worth(models, a), s.worth(models, b))
	})
}

// pack chooses an option for each domain to maximize the total utility. The best option of a
// domain depends on those of the others, so after a greedy start it improves pairs of domains,
// until no pair improves or it has made one pass per domain. The result is a heuristic.
func (s *supply) pack(domains [][]option, models []catalog.Model) []option {
	chosen := make([]option, len(domains))
	for d, list := range domains {
		chosen[d] = s.best(list, models)
		s.add(chosen[d], models, 1)
	}
	for range domains {
		if !s.improve(domains, chosen, models) {
			break
		}
	}
	for d := range chosen {
		chosen[d] = s.prune(chosen[d], models)
	}
	return chosen
}

// improve replaces the options of pairs of domains where that increases the utility, and
// reports whether it replaced any.
func (s *supply) improve(domains [][]option, chosen []option, models []catalog.Model) bool {
	const least = 1e-9
	gained := false
	for a := range domains {
		for b := a + 1; b < len(domains); b++ {
			s.add(chosen[a], models, -1)
			s.add(chosen[b], models, -1)
			most := s.worth(models, chosen[a], chosen[b]) + least
			for _, oa := range domains[a] {
				for _, ob := range domains[b] {
					if w := s.worth(models, oa, ob); w > most {
						chosen[a], chosen[b], most, gained = oa, ob, w, true
					}
				}
			}
			s.add(chosen[a], models, 1)
			s.add(chosen[b], models, 1)
		}
	}
	return gained
}

// prune drops the groups of an option whose utility is below MinGroupGain per instance. Their
// instances remain free as spares.
func (s *supply) prune(o option, models []catalog.Model) option {
	out := option{counts: slices.Clone(o.counts)}
	for i := range models {
		size := float64(models[i].Size)
		for out.counts[i] > 0 && s.value(i, s.have[i])-s.value(i, s.have[i]-size) < s.policy.MinGroupGain*size {
			out.counts[i]--
			s.have[i] -= size
		}
	}
	return out
}

// gain returns the utility that further instances add to the groups of a model.
func (s *supply) gain(model int, more float64) float64 {
	return s.value(model, s.have[model]+more) - s.value(model, s.have[model])
}

// slopes returns the marginal utility of one more instance in groups of each model.
func (s *supply) slopes() []float64 {
	slopes := make([]float64, len(s.have))
	for i := range slopes {
		slopes[i] = s.gain(i, 1)
	}
	return slopes
}
