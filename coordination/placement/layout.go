package placement

import (
	"math"

	"github.com/troutmast/troutmast/state/catalog"
)

// supply is the number of instances in groups of each model, and how many there ought to be.
type supply struct {
	have []float64
	want []float64
}

// newSupply divides a number of instances over models by their shares.
func newSupply(models []catalog.Model, shares []float64, instances int) *supply {
	s := &supply{have: make([]float64, len(models)), want: make([]float64, len(models))}
	var total float64
	for _, share := range shares {
		total += share
	}
	for i := range models {
		if total > 0 {
			s.want[i] = shares[i] / total * float64(instances)
		}
		s.want[i] = max(s.want[i], 1)
	}
	return s
}

// concave is how quickly more groups of a model lose in value.
const concave = 2.5

// value is what a number of instances in groups of a model is worth.
func (s *supply) value(model int, have float64) float64 {
	return s.want[model] * (1 - math.Exp(-concave*have/s.want[model]))
}

// option is a way of making groups of the instances of one domain.
type option struct {
	// counts are the groups of each model.
	counts []int
	// worth is what the groups are worth.
	worth float64
}

// pack returns how to make groups of a number of free instances of one domain,
// so that what is formed is worth most. able is how many of the instances can be
// members of a group of each model.
func (s *supply) pack(free int, able []int, models []catalog.Model) option {
	counts := make([]int, len(models))
	best := option{counts: make([]int, len(models))}
	var try func(model, left int, worth float64)
	try = func(model, left int, worth float64) {
		if model == len(models) {
			if worth > best.worth {
				best.worth = worth
				copy(best.counts, counts)
			}
			return
		}
		size := models[model].Size
		for n := 0; n*size <= min(left, able[model]); n++ {
			counts[model] = n
			added := s.gain(model, float64(n*size))
			if n > 0 && added < leastGain*float64(n*size) {
				break
			}
			try(model+1, left-n*size, worth+added)
		}
		counts[model] = 0
	}
	try(0, free, 0)
	return best
}

// leastGain is what a group must be worth for each of its instances; below it
// the instances are kept as spares.
const leastGain = 0.12

// gain is what some more instances in groups of a model are worth.
func (s *supply) gain(model int, more float64) float64 {
	return s.value(model, s.have[model]+more) - s.value(model, s.have[model])
}
