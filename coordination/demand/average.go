package demand

import (
	"maps"
	"math"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// HallAverage averages the demand by hall for the placement of groups, which lasts longer than a wave of the demand. It is
// not safe for concurrent use.
type HallAverage struct {
	decay     time.Duration
	updatedAt time.Time
	// sums are the decaying sums of each model's requests by hall.
	sums map[string]map[state.HallName]float64
}

// NewHallAverage returns a HallAverage in which the weight of a measurement falls to 1/e within decay.
func NewHallAverage(decay time.Duration) *HallAverage {
	return &HallAverage{decay: decay, sums: map[string]map[state.HallName]float64{}}
}

// Update records the measured demand by hall for the models of a service. It returns the fraction of each model's demand
// that arrives in each hall, in the order of the engine's models, without halls for a model that has none. It returns nil if
// no model has any.
func (a *HallAverage) Update(service state.ServiceName, engine *catalog.Engine, flows []HallFlow, now time.Time) []map[state.HallName]float64 {
	elapsed := min(now.Sub(a.updatedAt), a.decay)
	a.updatedAt = now
	factor := math.Exp(-elapsed.Seconds() / a.decay.Seconds())
	for _, byHall := range a.sums {
		for hall := range byHall {
			byHall[hall] *= factor
		}
	}
	for i := range flows {
		if f := &flows[i]; f.Service == service {
			a.add(f, elapsed)
		}
	}
	maps.DeleteFunc(a.sums, func(model string, _ map[state.HallName]float64) bool { return engine.Model(model) == nil })
	shares := make([]map[state.HallName]float64, len(engine.Models))
	known := false
	for i := range engine.Models {
		shares[i] = a.shares(engine.Models[i].Name)
		known = known || shares[i] != nil
	}
	if !known {
		return nil
	}
	return shares
}

// add adds a flow that has lasted for some time.
func (a *HallAverage) add(f *HallFlow, elapsed time.Duration) {
	byHall := a.sums[f.Model]
	if byHall == nil {
		byHall = map[state.HallName]float64{}
		a.sums[f.Model] = byHall
	}
	for hall, r := range f.Requests {
		byHall[hall] += r * elapsed.Seconds()
	}
}

// shares returns the fraction of a model's demand in each hall, or nil if there is none.
func (a *HallAverage) shares(model string) map[state.HallName]float64 {
	var total float64
	for _, n := range a.sums[model] {
		total += n
	}
	if total <= 0 {
		return nil
	}
	shares := make(map[state.HallName]float64, len(a.sums[model]))
	for hall, n := range a.sums[model] {
		shares[hall] = n / total
	}
	return shares
}
