package dispatch

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/locality"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// hallPlans are the plans of pools until a time.
type hallPlans struct {
	byPool map[Pool]*locality.Plan
	until  time.Time
}

// UpdateHalls plans where the requests that arrive in this node's hall are served, from the demand by hall at all nodes and
// the known load of the candidates. The plans hold until a time; a pool that flows does not name has none. delays returns
// the delays between halls that matter to a pool, or none.
func (t *Table) UpdateHalls(p locality.Policy, flows []demand.HallFlow, delays func(Pool) []catalog.HallDelay, until time.Time) {
	plans := &hallPlans{byPool: map[Pool]*locality.Plan{}, until: until}
	for i := range flows {
		pool := Pool{flows[i].Service, flows[i].Model}
		stated := delays(pool)
		if len(stated) == 0 {
			continue
		}
		if plan := p.Plan(t.hall, t.hallLoads(p, pool, &flows[i]), stated); plan != nil {
			plans.byPool[pool] = plan
		}
	}
	if len(plans.byPool) == 0 {
		plans = nil
	}
	t.hallPlans.Store(plans)
}

// hallLoads returns the demand and the capacity of each hall for a pool.
func (t *Table) hallLoads(p locality.Policy, pool Pool, flow *demand.HallFlow) []locality.HallLoad {
	capacity, inFlight, total := map[state.HallName]float64{t.hall: 0}, map[state.HallName]float64{}, 0.0
	for hall := range flow.Requests {
		capacity[hall] = 0
	}
	for _, c := range t.Candidates(pool.Service, pool.Model) {
		capacity[c.Hall] += float64(max(c.Slots, 1))
		inFlight[c.Hall] += float64(c.Load())
		total += float64(c.Load())
	}
	kept, perRate := p.Forecast(total, flow.Total())
	loads := make([]locality.HallLoad, 0, len(capacity))
	for hall, slots := range capacity {
		loads = append(loads, locality.HallLoad{Hall: hall, Capacity: slots, InUse: kept * inFlight[hall], Arriving: perRate * flow.Requests[hall]})
	}
	return loads
}

// hallPlan returns the plan of a pool, or nil if there is none.
func (t *Table) hallPlan(pool Pool, now time.Time) *locality.Plan {
	plans := t.hallPlans.Load()
	if plans == nil || !now.Before(plans.until) {
		return nil
	}
	return plans.byPool[pool]
}

// pickHall chooses a hall at random by the fractions of a plan, among the halls of the candidates. It returns the candidates of
// that hall and the fraction of all requests that the hall serves. If the plan names none of the halls, it returns all
// candidates.
func (t *Table) pickHall(pool []scoredCandidate, plan *locality.Plan) (chosen []scoredCandidate, served float64) {
	var halls []state.HallName
	var total float64
	for _, c := range pool {
		if plan.Fractions[c.Hall] > 0 && !slices.Contains(halls, c.Hall) {
			halls = append(halls, c.Hall)
			total += plan.Fractions[c.Hall]
		}
	}
	if len(halls) == 0 {
		return pool, 1
	}
	remaining, hall := t.random()*total, halls[0]
	for _, h := range halls {
		if remaining -= plan.Fractions[h]; remaining < 0 {
			hall = h
			break
		}
	}
	chosen = slices.DeleteFunc(pool, func(c scoredCandidate) bool { return c.Hall != hall })
	return chosen, plan.Served[hall]
}

// shareInHall returns this node's share of the requests that a hall serves, from minShare to 1, given its share of all
// requests. Where requests stay in their hall, the groups of a hall are shared by the nodes of that hall alone: a pacer that
// leaves each node only its share of all requests would count idle groups as full.
func shareInHall(share float64, plan *locality.Plan, hall state.HallName) float64 {
	served := plan.Served[hall]
	if served <= 0 {
		return share
	}
	return min(max(share*plan.Fractions[hall]/served, minShare), 1)
}

// HallFractions returns the fraction of this node's requests that each hall serves, for each pool with a plan.
func (t *Table) HallFractions(now time.Time) map[Pool]map[state.HallName]float64 {
	plans := t.hallPlans.Load()
	if plans == nil || !now.Before(plans.until) {
		return nil
	}
	fractions := make(map[Pool]map[state.HallName]float64, len(plans.byPool))
	for pool, plan := range plans.byPool {
		fractions[pool] = plan.Fractions
	}
	return fractions
}
