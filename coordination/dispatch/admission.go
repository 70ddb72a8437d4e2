package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/overload"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// This file applies the plans of package overload. They answer a load that all nodes together bring to groups that
// are nearly full, while each node knows the requests of the others only from reports that are some hundred
// milliseconds old. With a limit on the known load alone, all nodes send all requests to the few groups below it
// until the next reports arrive, and none to them for a second after.

// admissions is the part of a Table that decides on admission.
type admissions struct {
	// plans holds the plan of each pool with groups, as of the last totals.
	plans atomic.Pointer[map[Pool]*poolPlan]
	// gates and holdTimes are kept from one plan to the next.
	gates     map[Pool]*overload.Gate
	holdTimes map[Pool]*overload.HoldTime
	// outOfReach holds the instances and groups that this node alone may fail to reach.
	outOfReach map[Pool][]*Candidate
	// random returns random numbers from 0 to 1.
	random func() float64
}

// poolPlan is the plan of a pool with what nodes need to apply it.
type poolPlan struct {
	*overload.Plan
	gate *overload.Gate
	// waiting is the number of callers that all nodes told to return and that are not due yet.
	waiting float64
}

// groupLimits is what a group can process, as far as admission depends on it.
type groupLimits struct {
	speed        overload.Speed
	expectedHold time.Duration
	holdTime     *overload.HoldTime
}

// initAdmissions prepares an empty table.
func (t *Table) initAdmissions() {
	t.plans.Store(&map[Pool]*poolPlan{})
	t.gates, t.holdTimes, t.random = map[Pool]*overload.Gate{}, map[Pool]*overload.HoldTime{}, rand.Float64
}

// SetRandom sets the source of random numbers from 0 to 1, for tests. It must be called before the first update.
func (t *Table) SetRandom(random func() float64) { t.random = random }

// limitsOf returns the limits of a group of a pool. t.mu must be held.
func (t *Table) limitsOf(pool Pool, engine *catalog.Engine, model *catalog.Model) groupLimits {
	h := t.holdTimes[pool]
	if h == nil {
		h = &overload.HoldTime{}
		t.holdTimes[pool] = h
	}
	return groupLimits{speed: overload.NewSpeed(engine, model), expectedHold: overload.ExpectedHold(engine, model), holdTime: h}
}

// pool returns the pool of the candidate.
func (c *Candidate) pool() Pool {
	if c.Size == 0 {
		return Pool{Service: c.Service}
	}
	return Pool{c.Service, c.Model}
}

// groupLoad returns the load of a group as admission sees it.
func (c *Candidate) groupLoad() overload.Group {
	return overload.Group{Slots: float64(max(c.Slots, 1)), InFlight: float64(c.Load()), Speed: c.speed}
}

// room returns how many requests a second all nodes together may send to a group, given the mean number of prompt tokens.
func (c *Candidate) room(meanPrompt float64) float64 {
	hold := c.expectedHold
	if measured := c.holdTime.Mean(); measured > 0 {
		hold = measured
	}
	return c.table.policy.Admission.Room(c.groupLoad(), hold, meanPrompt)
}

// HasRoom reports whether a group may get a request: by the known load, its slots are in use up to the bound at most.
// An instance of a plain service always may.
func (c *Candidate) HasRoom() bool {
	return c.Size == 0 || !c.table.policy.Admission.IsFull(c.groupLoad())
}

// updatePlans computes the plan of each pool with groups from the demand at all nodes.
func (t *Table) updatePlans(total []demand.Flow) {
	if !t.policy.Admission.Enabled {
		return
	}
	plans := make(map[Pool]*poolPlan, len(total))
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range total {
		f := &total[i]
		pool := Pool{f.Service, f.Model}
		groups := t.Candidates(f.Service, f.Model)
		if len(groups) == 0 || groups[0].Size == 0 || f.Requests <= 0 {
			continue
		}
		room, inFlight, slots := 0.0, int64(0), 0
		for _, c := range t.groupsInUse(pool) {
			room += c.room(f.PromptTokens / f.Requests)
			inFlight += c.Load()
			slots += c.Slots
		}
		if t.gates[pool] == nil {
			t.gates[pool] = overload.NewGate(t.random())
		}
		p := &poolPlan{gate: t.gates[pool], waiting: f.Waiting}
		inUse := float64(inFlight) / float64(max(slots, 1))
		if len(f.Classes) == 0 {
			p.Plan = t.policy.Admission.UniformPlan(room, inUse, f.Requests)
		} else {
			p.Plan = t.policy.Admission.Plan(room, inUse, f.Classes)
		}
		plans[pool] = p
	}
	t.plans.Store(&plans)
}

// groupsInUse returns the groups of a pool that the nodes send to by which the totals are summed up: those that this node
// reaches, and the others at which other nodes have requests. All nodes must compute the same room, whereas nodes
// partitioned from groups together must not count them. t.mu must be held.
func (t *Table) groupsInUse(pool Pool) []*Candidate {
	groups := slices.Clone(t.Candidates(pool.Service, pool.Model))
	for _, c := range t.outOfReach[pool] {
		if c.load.othersInFlight.Load() > 0 {
			groups = append(groups, c)
		}
	}
	return groups
}

// detailFrom is the demand, as a fraction of the room, from which on nodes are told the demand by class.
const detailFrom = 0.7

// TrimClasses merges the classes of the flows of all nodes where demand is well below the room. Nodes need only the sum
// then, and the classes of many teams are larger than all else in an answer to a status report.
func (t *Table) TrimClasses(total []demand.Flow) {
	plans := *t.plans.Load()
	for i := range total {
		if p := plans[Pool{total[i].Service, total[i].Model}]; p != nil && p.Demand < detailFrom*p.Room {
			total[i].MergeClasses()
		}
	}
}

// IsOverloaded reports whether more requests for a pool arrive at all nodes than its groups have room for.
func (t *Table) IsOverloaded(pool Pool) bool {
	p := (*t.plans.Load())[pool]
	return p != nil && p.Overloaded
}

// IsPlanned reports whether admission for a pool is decided by a plan.
func (t *Table) IsPlanned(pool Pool) bool { return (*t.plans.Load())[pool] != nil }

// PoolPlan is the plan of a pool, and the number of callers that all nodes told to return and that are not due yet.
type PoolPlan struct {
	Pool
	*overload.Plan
	Waiting float64
}

// Plans returns the plans of all pools, in order.
func (t *Table) Plans() []PoolPlan {
	var list []PoolPlan
	for pool, p := range *t.plans.Load() {
		list = append(list, PoolPlan{pool, p.Plan, p.waiting})
	}
	slices.SortFunc(list, func(a, b PoolPlan) int { return comparePools(a.Pool, b.Pool) })
	return list
}

// AssumeLoad records the load that this node assumes without totals, given its own demand and the number of nodes: that
// of each other node is like its own, and spread over all groups.
func (t *Table) AssumeLoad(own []demand.Flow, nodes int) {
	inFlight := map[state.InstanceID]int{}
	for _, groups := range *t.pools.Load() {
		sum := int64(0)
		for _, c := range groups {
			sum += c.InFlight()
		}
		for _, c := range groups {
			inFlight[c.ID] = int(sum) * (nodes - 1) / len(groups)
		}
	}
	total := make([]demand.Flow, 0, len(own))
	for i := range own {
		total = append(total, own[i].Scaled(float64(nodes)))
	}
	t.UpdateLoad(inFlight, total, own)
}

// Admit decides on a request of a class that arrives at this node. Without a plan, it is admitted.
func (t *Table) Admit(pool Pool, class demand.Class) bool {
	p := (*t.plans.Load())[pool]
	return p == nil || p.gate.Admit(p.Fraction(class))
}

// RetryDelay returns how long a refused caller with a priority and a remaining time is told to wait.
func (t *Table) RetryDelay(pool Pool, priority int, left time.Duration) time.Duration {
	waiting, rate := 0.0, 0.0
	if p := (*t.plans.Load())[pool]; p != nil {
		waiting, rate = p.waiting, p.RateFor(priority)
	}
	return t.policy.Admission.RetryDelay(waiting, rate, left, t.random())
}

// IsReturning reports whether a caller whose time-out is shorter than that of its route waited after a refusal. A
// caller that returns at once has nearly the whole time-out left.
func (t *Table) IsReturning(routeTimeout, timeout time.Duration) bool {
	return timeout > 0 && routeTimeout-timeout >= t.policy.Admission.MinReturn
}

// pickByRoom selects a group at random, weighted by its room, or returns nil if none has any. Recent failures take
// away from the room of a group.
func (t *Table) pickByRoom(groups []*Candidate, avoid func(*Candidate) bool) *Candidate {
	if len(groups) == 0 || groups[0].Size == 0 {
		return nil
	}
	meanPrompt := (*t.demand.Load())[groups[0].pool()].meanPrompt
	var picked *Candidate
	total := 0.0
	for _, c := range groups {
		room := c.room(meanPrompt) - t.policy.FailureCost*float64(c.load.failureScore.Load())/failureUnit*float64(c.Slots)
		if room <= 0 || !c.HasRoom() || avoid(c) {
			continue
		}
		total += room
		if t.random()*total < room {
			picked = c
		}
	}
	return picked
}

// Admits reports whether the table decides on admission by plans.
func (t *Table) Admits() bool { return t.policy.Admission.Enabled }

// MeanRetryDelay returns the mean delay that refused callers with a priority and ample time left are told.
func (t *Table) MeanRetryDelay(pool Pool, priority int) time.Duration {
	p := (*t.plans.Load())[pool]
	if p == nil {
		return 0
	}
	return t.policy.Admission.RetryDelay(p.waiting, p.RateFor(priority), time.Hour, 0.5)
}
