package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
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
	pool := make([]offer, 0, len(t.Candidates(service, model)))
	full := true
	for _, c := range t.Candidates(service, model) {
		if avoid(c) {
			continue
		}
		cFull := c.Full(now)
		if full && !cFull {
			full = false
			pool = pool[:0]
		}
		if full || !cFull {
			pool = append(pool, offer{c, t.cost(c), float64(max(c.Slots, 1))})
		}
	}
	if len(pool) == 0 {
		return nil
	}
	share := t.policy.MaxShare
	if pool[0].Size == 0 {
		share = 0
	}
	arrivals := t.Asked(service, model) * t.policy.SpreadHorizon.Seconds()
	return draw(pool, max(arrivals, 1), share).Candidate
}

// PickIdlest returns the candidate with the fewest known requests in flight, or nil.
// It skips candidates for which avoid returns true.
func (t *Table) PickIdlest(service state.ServiceName, model string, avoid func(*Candidate) bool) *Candidate {
	var idlest *Candidate
	for _, c := range t.Candidates(service, model) {
		if !avoid(c) && (idlest == nil || c.Load() < idlest.Load()) {
			idlest = c
		}
	}
	return idlest
}

// offer is a candidate with its slots and the cost of sending it a request, in requests in flight
// per slot.
type offer struct {
	*Candidate
	cost   float64
	places float64
}

// draw selects an offer at random, weighted by the number of the given requests that it
// gets if the cheapest offers are filled first. Each offer gets at most maxShare times
// its share of the slots; 0 means no limit.
func draw(pool []offer, requests, maxShare float64) offer {
	slices.SortFunc(pool, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
	most := math.Inf(1)
	if maxShare > 0 {
		most = max(maxShare, 1) * requests / totalPlaces(pool)
	}
	level := fillLevel(pool, requests, most)
	at := rand.Float64() * requests
	for _, o := range pool {
		if at -= o.filled(level, most); at < 0 {
			return o
		}
	}
	return pool[0]
}

// totalPlaces returns the total number of slots of all offers.
func totalPlaces(pool []offer) float64 {
	var places float64
	for _, o := range pool {
		places += o.places
	}
	return places
}

// filled returns the number of requests that raises the cost of the offer to level, with
// at most most requests per slot.
func (o offer) filled(level, most float64) float64 {
	return o.places * min(max(level-o.cost, 0), most)
}

// fillSteps is the number of bisection steps in fillLevel. It exceeds the 53 bits of precision of a float64.
const fillSteps = 60

// fillLevel returns the cost level to which the offers below it rise if they share the
// given requests, with at most most requests per slot. The offers must be sorted by cost.
func fillLevel(pool []offer, requests, most float64) float64 {
	low, high := pool[0].cost, pool[len(pool)-1].cost+requests/pool[0].places
	for range fillSteps {
		level := (low + high) / 2
		got := 0.0
		for _, o := range pool {
			got += o.filled(level, most)
		}
		if got < requests {
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
	cost += t.policy.ReadingCost * c.Reading().Seconds()
	cost += t.policy.FailureCost * float64(c.load.trouble.Load()) / troubleUnit
	if c.Hall != t.hall {
		cost += t.policy.RemoteHallCost
	}
	return cost
}
