package demand

import (
	"math"
	"time"

	"github.com/troutmast/troutmast/state/catalog"
)

// Envelope follows the demand for the models of a service for decisions that take longer than the demand fluctuates:
// it rises at once and falls slowly. It answers a demand that vanishes for some seconds, because callers are refused
// or a part of the nodes cannot report it, and then returns: a group that is not formed meanwhile takes
// seconds to form, and one for which a model must be loaded tens of seconds. It is not safe for concurrent use.
type Envelope struct {
	decay time.Duration
	// slots holds the occupied slots by the name of the model: its position changes with the configuration.
	slots     map[string]float64
	updatedAt time.Time
}

// NewEnvelope returns an Envelope that falls to 1/e within decay.
func NewEnvelope(decay time.Duration) *Envelope {
	return &Envelope{decay: decay, slots: map[string]float64{}}
}

// Update records the measured demand for the models of an engine in their order, in occupied slots, or nil if it is unknown. It returns
// the demand to plan for in the same order, or nil if none has been measured yet for any of the models. Models that the engine does not
// have are forgotten.
func (e *Envelope) Update(models []catalog.Model, measured []float64, now time.Time) []float64 {
	factor := math.Exp(-now.Sub(e.updatedAt).Seconds() / e.decay.Seconds())
	e.updatedAt = now
	planned := make([]float64, len(models))
	next := make(map[string]float64, len(models))
	known := false
	for i := range models {
		name := models[i].Name
		slots, seen := e.slots[name]
		slots *= factor
		if measured != nil {
			slots = max(slots, measured[i])
		}
		if seen || measured != nil {
			known, next[name] = true, slots
		}
		planned[i] = slots
	}
	e.slots = next
	if !known {
		return nil
	}
	return planned
}
