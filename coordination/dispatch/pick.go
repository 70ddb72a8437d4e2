package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Pick selects a candidate at random with weights, or returns nil if there is none.
// It skips candidates for which avoid returns true. A full candidate is selected only
// if all are full.
//
// Load data from the other nodes is stale, and all nodes have the same data: if each
// node selected the cheapest candidate, all would send to it at once. Each node
// therefore computes how the requests that arrive at all nodes within SpreadHorizon
// fill the candidates, the cheapest first, and selects a candidate with a probability
// proportional to the requests it gets (load interpretation; Dahlin, Interpreting
// Stale Load Information, 1999).
func (t *Table) Pick(service state.ServiceName, model string, now time.Time, avoid func(*Candidate) bool) *Candidate {
	overloaded := t.IsOverloaded(Pool{service, model})
	if overloaded {
		if c := t.pickByRoom(t.Candidates(service, model), avoid); c != nil {
			return c
		}
	}
	pool := make([]scoredCandidate, 0, len(t.Candidates(service, model)))
	allFull := true
	for _, c := range t.Candidates(service, model) {
		if avoid(c) {
			continue
		}
		isFull := c.isFull(now, overloaded)
		if allFull && !isFull {
			allFull = false
			pool = pool[:0]
		}
		if allFull || !isFull {
			pool = append(pool, scoredCandidate{c, t.cost(c), float64(max(c.Slots, 1))})
		}
	}
	if len(pool) == 0 {
		return nil
	}
	maxShare := t.policy.MaxShare
	if pool[0].Size == 0 {
		maxShare = 0
	}
	arrivals := t.RequestRate(service, model) * t.policy.SpreadHorizon.Seconds()
	return pickWeighted(pool, max(arrivals, 1), maxShare, t.random()).Candidate
}

// PickLeastLoaded returns the candidate with the fewest known requests in flight, or nil.
// It skips candidates for which avoid returns true.
func (t *Table) PickLeastLoaded(service state.ServiceName, model string, avoid func(*Candidate) bool) *Candidate {
	var idlest *Candidate
	for _, c := range t.Candidates(service, model) {
		if !avoid(c) && (idlest == nil || c.Load() < idlest.Load()) {
			idlest = c
		}
	}
	return idlest
}

// scoredCandidate is a candidate with its slots and the cost of sending it a request, in
// requests in flight per slot.
type scoredCandidate struct {
	*Candidate
	cost  float64
	slots float64
}

// pickWeighted selects a candidate by a random number from 0 to 1, weighted by the number of the given requests
// that it gets if the cheapest candidates are filled first. Each gets at most maxShare
// times its share of the slots; 0 means no limit.
func pickWeighted(pool []scoredCandidate, requests, maxShare, random float64) scoredCandidate {
	slices.SortFunc(pool, func(a, b scoredCandidate) int { return cmp.Compare(a.cost, b.cost) })
	maxPerSlot := math.Inf(1)
	if maxShare > 0 {
		maxPerSlot = max(maxShare, 1) * requests / totalSlots(pool)
	}
	level := fillLevel(pool, requests, maxPerSlot)
	remaining := random * requests
	for _, c := range pool {
		if remaining -= c.requestsAt(level, maxPerSlot); remaining < 0 {
			return c
		}
	}
	return pool[0]
}

// totalSlots returns the total number of slots of all candidates.
func totalSlots(pool []scoredCandidate) float64 {
	var slots float64
	for _, c := range pool {
		slots += c.slots
	}
	return slots
}

// requestsAt returns the number of requests that raises the cost of the candidate to level,
// with at most maxPerSlot requests per slot.
func (c scoredCandidate) requestsAt(level, maxPerSlot float64) float64 {
	return c.slots * min(max(level-c.cost, 0), maxPerSlot)
}

// fillSteps is the number of bisection steps in fillLevel. It exceeds the 53 bits of precision of a float64.
const fillSteps = 60

// fillLevel returns the cost level to which the candidates below it rise if they share the
// given requests, with at most maxPerSlot requests per slot. The candidates must be sorted
// by cost.
func fillLevel(pool []scoredCandidate, requests, maxPerSlot float64) float64 {
	low, high := pool[0].cost, pool[len(pool)-1].cost+requests/pool[0].slots
	for range fillSteps {
		level := (low + high) / 2
		filled := 0.0
		for _, c := range pool {
			filled += c.requestsAt(level, maxPerSlot)
		}
		if filled < requests {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// cost returns the cost of sending a request to a candidate, in requests in flight per slot.
func (t *Table) cost(c *Candidate) float64 {
	cost := float64(c.Load()) / float64(max(c.Slots, 1))
	cost += t.policy.ReadingCost * c.PrefillTime().Seconds()
	cost += t.policy.FailureCost * float64(c.load.failureScore.Load()) / failureUnit
	if c.Hall != t.hall {
		cost += t.policy.RemoteHallCost
	}
	return cost
}
