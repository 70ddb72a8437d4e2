package demand

import (
	"math"
	"time"
)

// Envelope follows the demand for the models of a service for decisions that take longer than the demand fluctuates:
// it rises at once and falls slowly. It answers a demand that vanishes for some seconds, because callers are refused
// or a part of the nodes cannot report it, and then returns: a group that is not formed meanwhile takes
// seconds to form, and one for which a model must be loaded tens of seconds. It is not safe for concurrent use.
type Envelope struct {
	decay     time.Duration
	slots     []float64
	updatedAt time.Time
}

// NewEnvelope returns an Envelope that falls to 1/e within decay.
func NewEnvelope(decay time.Duration) *Envelope { return &Envelope{decay: decay} }

// Update records the measured demand, in occupied slots by model, or nil if it is unknown. It returns the demand to
// plan for, or nil if none has been measured yet.
func (e *Envelope) Update(measured []float64, now time.Time) []float64 {
	if len(e.slots) != len(measured) && measured != nil {
		e.slots = make([]float64, len(measured))
	}
	factor := math.Exp(-now.Sub(e.updatedAt).Seconds() / e.decay.Seconds())
	e.updatedAt = now
	for i := range e.slots {
		e.slots[i] *= factor
		if measured != nil {
			e.slots[i] = max(e.slots[i], measured[i])
		}
	}
	return e.slots
}
