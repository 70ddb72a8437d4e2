package gateway

import (
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/state"
)

// Evacuations tells which halls are evacuated.
type Evacuations interface {
	// EvacuationPhase returns what the instances of a hall may be used for now.
	EvacuationPhase(hall state.HallName) evacuation.Phase
}

// noEvacuations admits all halls.
type noEvacuations struct{}

func (noEvacuations) EvacuationPhase(state.HallName) evacuation.Phase { return evacuation.Admitted }

// isEvacuated reports whether a target gets no requests because its hall is evacuated.
func (c *call) isEvacuated(target *dispatch.Candidate) bool {
	phase := c.Evacuations.EvacuationPhase(target.Hall)
	return !phase.MayServe(target.Size > 0, phase == evacuation.LastResort && c.servedElsewhere())
}

// servedElsewhere reports whether a hall that is not evacuated has a candidate for the request.
func (c *call) servedElsewhere() bool {
	for _, t := range c.Table.Candidates(c.service, c.model) {
		if c.Evacuations.EvacuationPhase(t.Hall) == evacuation.Admitted {
			return true
		}
	}
	return false
}

// allEvacuated reports whether all instances that could run the request are in evacuated halls. The candidates may
// still contain some of them, since they are rebuilt a little later than an evacuation becomes known.
func (c *call) allEvacuated() bool {
	candidates := c.Table.Candidates(c.service, c.model)
	for _, t := range candidates {
		if !c.isEvacuated(t) {
			return false
		}
	}
	return len(candidates)+c.Table.Evacuated(c.service, c.model) > 0
}
