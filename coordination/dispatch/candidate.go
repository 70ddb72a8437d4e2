// Package dispatch chooses the instance or the head of a replica group that
// serves a request, and counts the requests in flight at each of them.
package dispatch

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// Candidate is an instance that can receive requests: an instance of a plain
// service, or the head of an open group. The counters are safe for concurrent use.
type Candidate struct {
	fleet.Instance
	// Members are the instances of the group, including the head. It is empty for a plain service.
	Members []fleet.Instance
	// Size is the number of members that the model needs, or 0 for a plain service.
	Size int
	// prefillTimePerToken is the prefill time of one prompt token, in nanoseconds.
	prefillTimePerToken float64
	load                *load
	table               *Table
}

// load is the load and health of one incarnation. It is kept when Update rebuilds the candidates.
type load struct {
	inFlight       atomic.Int64
	othersInFlight atomic.Int64
	// prefillTokens is the number of prompt tokens in requests that this node has sent and
	// that have no first event yet.
	prefillTokens atomic.Int64
	// failureScore is a decaying count of failures, in thousandths.
	failureScore atomic.Int64
	pacer        pacer
	// lastCheck is the time of the last liveness check of the group's members.
	lastCheck atomic.Int64
}

// InFlight returns the number of requests in flight from this node to the instance.
func (c *Candidate) InFlight() int64 { return c.load.inFlight.Load() }

// Load returns the number of requests known to be in flight from all nodes to the instance.
func (c *Candidate) Load() int64 { return c.load.inFlight.Load() + c.load.othersInFlight.Load() }

// PrefillTime returns the estimated prefill time of the requests that this node has sent
// to the group and that have no first event yet.
func (c *Candidate) PrefillTime() time.Duration {
	return time.Duration(float64(c.load.prefillTokens.Load()) * c.prefillTimePerToken)
}

// ShouldProbeMembers reports whether the members should be probed now. It returns true at most once per interval.
func (c *Candidate) ShouldProbeMembers(now time.Time, interval time.Duration) bool {
	last, at := c.load.lastCheck.Load(), steady.Nanos(now)
	return at-last >= int64(interval) && c.load.lastCheck.CompareAndSwap(last, at)
}

// Units of the failure score.
const (
	// failureUnit is the score of one failure.
	failureUnit = 1000
)

// RecordFailure records a failure of the instance.
func (c *Candidate) RecordFailure() { c.load.failureScore.Add(failureUnit) }

// RecordCompleteResponse records a successful response of the instance, which reduces its failure score.
func (c *Candidate) RecordCompleteResponse() {
	score := c.load.failureScore.Load()
	c.load.failureScore.Add(-int64(float64(score) * c.table.policy.FailureRecovery))
}

// poolKey identifies the candidates of a service, or of one of its models.
type poolKey struct {
	service state.ServiceName
	model   string
}

// Table holds the candidates. Lookups by service and model take no lock.
type Table struct {
	hall   state.HallName
	policy Policy
	mu     sync.Mutex
	// loads is keyed by incarnation, so that failures and requests of an earlier incarnation
	// do not count against a later one.
	loads map[fleet.Incarnation]*load
	pools atomic.Pointer[map[poolKey][]*Candidate]
	// demand holds the measured demand by model.
	demand atomic.Pointer[map[poolKey]modelDemand]
}

// NewTable returns an empty Table for a node of a data hall.
func NewTable(hall state.HallName, policy Policy) *Table {
	t := &Table{hall: hall, policy: policy, loads: map[fleet.Incarnation]*load{}}
	t.pools.Store(&map[poolKey][]*Candidate{})
	t.demand.Store(&map[poolKey]modelDemand{})
	return t
}

// Update rebuilds the candidates from the known state of the instances. Groups for
// which avoid returns true get no new requests.
func (t *Table) Update(c *catalog.Catalog, views []roster.View, avoid func(fleet.GroupKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	groups := map[fleet.GroupKey][]roster.View{}
	for _, v := range views {
		if v.Membership.Group != "" {
			groups[v.Membership.Key()] = append(groups[v.Membership.Key()], v)
		}
	}
	pools := map[poolKey][]*Candidate{}
	loads := map[fleet.Incarnation]*load{}
	for _, v := range views {
		l := t.loads[v.Incarnation()]
		if l == nil {
			l = &load{}
		}
		loads[v.Incarnation()] = l
		service := c.Services[v.Service]
		if service == nil || v.Unreachable || v.Draining {
			continue
		}
		cand := &Candidate{Instance: v.Instance, load: l, table: t}
		if service.Engine == nil {
			pools[poolKey{v.Service, ""}] = append(pools[poolKey{v.Service, ""}], cand)
			continue
		}
		if cand.initGroup(service.Engine, groups[v.Membership.Key()]) && !avoid(v.Membership.Key()) {
			pools[poolKey{v.Service, v.Model}] = append(pools[poolKey{v.Service, v.Model}], cand)
		}
	}
	t.loads = loads
	t.pools.Store(&pools)
}

// Candidates returns the candidates for a service, or for one of its models. The
// slice must not be modified.
func (t *Table) Candidates(service state.ServiceName, model string) []*Candidate {
	return (*t.pools.Load())[poolKey{service, model}]
}

// initGroup sets the group data of a head and reports whether the group can receive requests.
func (c *Candidate) initGroup(engine *catalog.Engine, members []roster.View) bool {
	model := engine.Model(c.Model)
	if c.Membership.State != fleet.Open || c.Membership.Rank != 0 || model == nil {
		return false
	}
	if engine.BatchSlots > 0 {
		c.Slots = engine.BatchSlots
	}
	c.Size = model.GroupSize
	if engine.PrefillTokensPerSecond > 0 {
		c.prefillTimePerToken = cmp.Or(model.TimeFactor, 1) * float64(time.Second) / engine.PrefillTokensPerSecond
	}
	for _, m := range members {
		if m.Unreachable {
			return false
		}
		c.Members = append(c.Members, m.Instance)
	}
	return len(c.Members) >= model.GroupSize
}

// UpdateLoad records the number of requests in flight from the other nodes to each
// instance, the demand at all nodes, and the demand at this node.
func (t *Table) UpdateLoad(inFlight map[state.InstanceID]int, total, own []demand.Flow) {
	demands := make(map[poolKey]modelDemand, len(total))
	for _, f := range total {
		demands[poolKey{f.Service, f.Model}] = newModelDemand(f, own)
	}
	t.demand.Store(&demands)
	t.mu.Lock()
	defer t.mu.Unlock()
	for in, l := range t.loads {
		l.othersInFlight.Store(int64(inFlight[in.ID]))
	}
}

// InFlight returns the number of requests in flight from this node to each instance.
func (t *Table) InFlight() map[state.InstanceID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	inFlight := map[state.InstanceID]int{}
	for in, l := range t.loads {
		if n := l.inFlight.Load(); n > 0 {
			inFlight[in.ID] = int(n)
		}
	}
	return inFlight
}

// IsFull reports whether the candidate has no capacity for a new request. An instance of a
// plain service is never full.
func (c *Candidate) IsFull(now time.Time) bool {
	if c.Size == 0 {
		return false
	}
	if float64(c.Load()) >= c.table.policy.FullAt*float64(c.Slots) {
		return true
	}
	limit, paced := c.paceLimit()
	return paced && !c.load.pacer.canSend(now, limit)
}
