package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Pick draws a candidate that is not to be avoided, or returns nil. One that is
// full is drawn only where all are.
//
// What is known of the other nodes is old, and all nodes know the same: if each
// took the cheapest candidate, all would send there at once. So each node spreads
// the requests that all of them send meanwhile as if it were alone, filling up
// the cheapest first, and draws by how many each candidate gets (load
// interpretation; Dahlin, Interpreting Stale Load Information, 1999).
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

// PickIdlest returns the candidate that is known to hold the fewest requests, of those that
// are not to be avoided, or nil.
func (t *Table) PickIdlest(service state.ServiceName, model string, avoid func(*Candidate) bool) *Candidate {
	var idlest *Candidate
	for _, c := range t.Candidates(service, model) {
		if !avoid(c) && (idlest == nil || c.Load() < idlest.Load()) {
			idlest = c
		}
	}
	return idlest
}

// offer is a candidate with what it costs to send a request to it, in parts of its places.
type offer struct {
	*Candidate
	cost   float64
	places float64
}

// draw picks an offer by how many of some requests it gets when the cheapest are
// filled up first, each with at most maxShare times its part of the places; 0 is no bound.
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

// totalPlaces adds up the places of all offers.
func totalPlaces(pool []offer) float64 {
	var places float64
	for _, o := range pool {
		places += o.places
	}
	return places
}

// filled returns how many requests the offer gets when all rise to a level of cost,
// with at most so many for each of its places.
func (o offer) filled(level, most float64) float64 {
	return o.places * min(max(level-o.cost, 0), most)
}

// fillSteps is the number of halvings in the search for a level: more than a double's digits need.
const fillSteps = 60

// fillLevel returns the cost that all offers below it rise to when they share a
// number of requests, each with at most so many for each of its places; the offers
// are sorted by cost.
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

// cost is what it costs to send a request to a candidate, in parts of its places.
func (t *Table) cost(c *Candidate) float64 {
	cost := float64(c.Load()) / float64(max(c.Slots, 1))
	cost += t.policy.ReadingCost * c.Reading().Seconds()
	cost += t.policy.FailureCost * float64(c.load.trouble.Load()) / troubleUnit
	if c.Hall != t.hall {
		cost += t.policy.RemoteHallCost
	}
	return cost
}
