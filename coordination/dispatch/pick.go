package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"

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
func (t *Table) Pick(service state.ServiceName, model string, avoid func(state.InstanceID) bool) *Candidate {
	k := key{service, model}
	pool := make([]offer, 0, len((*t.pools.Load())[k]))
	full := true
	for _, c := range (*t.pools.Load())[k] {
		if avoid(c.ID) {
			continue
		}
		if full && !c.Full() {
			full = false
			pool = pool[:0]
		}
		if full || !c.Full() {
			pool = append(pool, offer{c, t.cost(c), float64(max(c.Slots, 1))})
		}
	}
	if len(pool) == 0 {
		return nil
	}
	return draw(pool, max((*t.coming.Load())[k], 1)).Candidate
}

// offer is a candidate with what it costs to send a request to it, in parts of its places.
type offer struct {
	*Candidate
	cost   float64
	places float64
}

// draw picks an offer by how many of some requests it gets when the cheapest are filled up first.
func draw(pool []offer, requests float64) offer {
	slices.SortFunc(pool, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
	level := fillLevel(pool, requests)
	at := rand.Float64() * requests
	for _, o := range pool {
		if at -= o.places * max(level-o.cost, 0); at < 0 {
			return o
		}
	}
	return pool[0]
}

// fillLevel returns the cost that all offers below it rise to when they share a
// number of requests; the offers are sorted by cost.
func fillLevel(pool []offer, requests float64) float64 {
	var places, filled float64
	for i, o := range pool {
		places += o.places
		filled += o.places * o.cost
		level := (requests + filled) / places
		if i+1 == len(pool) || level <= pool[i+1].cost {
			return level
		}
	}
	return 0
}

// cost is what it costs to send a request to a candidate, in parts of its places.
func (t *Table) cost(c *Candidate) float64 {
	cost := float64(c.Load()) / float64(max(c.Slots, 1))
	cost += t.policy.FailureCost * float64(c.load.trouble.Load()) / troubleUnit
	if c.Hall != t.hall {
		cost += t.policy.RemoteHallCost
	}
	return cost
}
