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
const concave = 1.5

// value is what a number of instances in groups of a model is worth.
func (s *supply) value(model int, have float64) float64 {
	return s.want[model] * (1 - math.Exp(-concave*have/s.want[model]))
}

// pack returns how many groups of each model to form of a number of free
// instances of one domain, so that what is formed is worth most.
func (s *supply) pack(free int, models []catalog.Model) []int {
	counts := make([]int, len(models))
	best := make([]int, len(models))
	var most float64
	var try func(model, left int, worth float64)
	try = func(model, left int, worth float64) {
		if model == len(models) {
			if worth > most {
				most = worth
				copy(best, counts)
			}
			return
		}
		base := s.value(model, s.have[model])
		for n := 0; n*models[model].Size <= left; n++ {
			counts[model] = n
			size := n * models[model].Size
			try(model+1, left-size, worth+s.value(model, s.have[model]+float64(size))-base)
		}
		counts[model] = 0
	}
	try(0, free, 0)
	return best
}
