// Package dispatch chooses the instance or the head of a replica group that
// serves a request, and counts the requests in flight at each of them.
package dispatch

import (
	"cmp"
	"maps"
	"slices"
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
	groupLimits
	load  *load
	table *Table
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

// Pool identifies the candidates of a service, or of one of its models.
type Pool struct {
	Service state.ServiceName `json:"s"`
	// Model is empty for a plain service.
	Model string `json:"m,omitempty"`
}

// Table holds the candidates. Lookups by service and model take no lock.
type Table struct {
	hall   state.HallName
	policy Policy
	mu     sync.Mutex
	// loads is keyed by incarnation, so that failures and requests of an earlier incarnation
	// do not count against a later one.
	loads map[fleet.Incarnation]*load
	pools atomic.Pointer[map[Pool][]*Candidate]
	// unreachable is the number of instances and groups of each pool that would be candidates if this
	// node reached them.
	unreachable atomic.Pointer[map[Pool]int]
	// demand holds the measured demand by model.
	demand atomic.Pointer[map[Pool]modelDemand]
	admissions
}

// NewTable returns an empty Table for a node of a data hall.
func NewTable(hall state.HallName, policy Policy) *Table {
	t := &Table{hall: hall, policy: policy, loads: map[fleet.Incarnation]*load{}}
	t.pools.Store(&map[Pool][]*Candidate{})
	t.unreachable.Store(&map[Pool]int{})
	t.demand.Store(&map[Pool]modelDemand{})
	t.initAdmissions()
	return t
}

// CandidateKey identifies a candidate: an instance and, if it is the head of a group, the group at its epoch.
type CandidateKey struct {
	Instance state.InstanceID
	Group    fleet.GroupKey
}

// key returns the key of the candidate.
func (c *Candidate) key() CandidateKey {
	if c.Size == 0 {
		return CandidateKey{Instance: c.ID}
	}
	return CandidateKey{Instance: c.ID, Group: c.Membership.Key()}
}

// Difference lists the candidates that an update added and removed.
type Difference struct {
	Added, Removed []CandidateKey
	// Candidates is the number of candidates after the update, Unreachable the number of instances and groups that
	// this node alone may fail to reach, Excluded the number of open groups that get no new requests.
	Candidates, Unreachable, Excluded int
}

// Update rebuilds the candidates from the known state of the instances and returns what changed. Groups for
// which avoid returns true get no new requests.
func (t *Table) Update(c *catalog.Catalog, views []roster.View, avoid func(fleet.GroupKey) bool) Difference {
	t.mu.Lock()
	defer t.mu.Unlock()
	groups := membersByGroup(views)
	pools, unreachable := map[Pool][]*Candidate{}, map[Pool]int{}
	excluded := 0
	t.outOfReach = map[Pool][]*Candidate{}
	loads := make(map[fleet.Incarnation]*load, len(views))
	for i := range views {
		v := &views[i]
		l := t.keepLoad(loads, v.Incarnation())
		service := c.Services[v.Service]
		if service == nil || v.Draining || isEnded(v) {
			continue
		}
		cand := &Candidate{Instance: v.Instance, load: l, table: t}
		key, reachable := Pool{v.Service, ""}, !v.Unreachable
		if service.Engine != nil {
			if !isOpenHead(&v.Instance, service.Engine) {
				continue
			}
			if avoid(v.Membership.Key()) {
				excluded++
				continue
			}
			members := groups[v.Membership.Key()]
			if !cand.initGroup(service.Engine, views, members) {
				continue
			}
			key.Model, reachable = v.Model, allReachable(views, members)
		}
		if reachable {
			pools[key] = append(pools[key], cand)
		} else {
			unreachable[key]++
			t.outOfReach[key] = append(t.outOfReach[key], cand)
		}
	}
	t.loads = loads
	previous := t.pools.Swap(&pools)
	t.unreachable.Store(&unreachable)
	d := difference(*previous, pools)
	d.Excluded = excluded
	for _, n := range unreachable {
		d.Unreachable += n
	}
	return d
}

// isEnded reports whether an instance that does not answer is no longer listed either. One that is listed
// writes its entry, so that other nodes may reach it.
func isEnded(v *roster.View) bool { return v.Unreachable && v.Unlisted }

// allReachable reports whether this node reaches all members of a group, given their indexes among the views.
func allReachable(views []roster.View, members []int) bool {
	return !slices.ContainsFunc(members, func(i int) bool { return views[i].Unreachable })
}

// keepLoad carries over the load of an incarnation to the next loads, or starts a new one. t.mu must be held.
func (t *Table) keepLoad(next map[fleet.Incarnation]*load, in fleet.Incarnation) *load {
	l := t.loads[in]
	if l == nil {
		l = &load{}
	}
	next[in] = l
	return l
}

// membersByGroup returns the indexes of the views that are members of each group.
func membersByGroup(views []roster.View) map[fleet.GroupKey][]int {
	groups := map[fleet.GroupKey][]int{}
	for i := range views {
		if key := views[i].Membership.Key(); key.Group != "" {
			groups[key] = append(groups[key], i)
		}
	}
	return groups
}

// difference returns the candidates that only one of two sets of pools contains.
func difference(before, after map[Pool][]*Candidate) Difference {
	old := map[CandidateKey]bool{}
	for _, pool := range before {
		for _, c := range pool {
			old[c.key()] = true
		}
	}
	var d Difference
	for _, pool := range after {
		d.Candidates += len(pool)
		for _, c := range pool {
			if key := c.key(); old[key] {
				delete(old, key)
			} else {
				d.Added = append(d.Added, key)
			}
		}
	}
	for key := range old {
		d.Removed = append(d.Removed, key)
	}
	return d
}

// Candidates returns the candidates for a service, or for one of its models. The
// slice must not be modified.
func (t *Table) Candidates(service state.ServiceName, model string) []*Candidate {
	return (*t.pools.Load())[Pool{service, model}]
}

// Unreachable returns the number of instances of a service, or groups of one of its models, that would be
// candidates if this node reached them.
func (t *Table) Unreachable(service state.ServiceName, model string) int {
	return (*t.unreachable.Load())[Pool{service, model}]
}

// ImpairedPools returns the pools of which this node reaches less than half of the instances or groups that
// could serve, in order.
func (t *Table) ImpairedPools() []Pool {
	pools := *t.pools.Load()
	var impaired []Pool
	for pool, n := range *t.unreachable.Load() {
		if n > len(pools[pool]) {
			impaired = append(impaired, pool)
		}
	}
	slices.SortFunc(impaired, comparePools)
	return impaired
}

// Pools returns all pools with candidates or with instances or groups that this node does not reach, in order.
func (t *Table) Pools() []Pool {
	unreachable := *t.unreachable.Load()
	list := slices.Collect(maps.Keys(unreachable))
	for pool := range *t.pools.Load() {
		if unreachable[pool] == 0 {
			list = append(list, pool)
		}
	}
	slices.SortFunc(list, comparePools)
	return list
}

func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
}

// isOpenHead reports whether an instance is the head of an open group of one of the engine's models.
func isOpenHead(in *fleet.Instance, engine *catalog.Engine) bool {
	return in.Membership.State == fleet.Open && in.Membership.Rank == 0 && engine.Model(in.Model) != nil
}

// initGroup sets the group data of an open head, given the indexes of the group's members among the views. It
// reports whether the group is complete and none of its members has ended.
func (c *Candidate) initGroup(engine *catalog.Engine, views []roster.View, members []int) bool {
	model := engine.Model(c.Model)
	if len(members) < model.GroupSize {
		return false
	}
	if engine.BatchSlots > 0 {
		c.Slots = engine.BatchSlots
	}
	c.Size = model.GroupSize
	c.groupLimits = c.table.limitsOf(Pool{c.Service, c.Model}, engine, model)
	if engine.PrefillTokensPerSecond > 0 {
		c.prefillTimePerToken = cmp.Or(model.TimeFactor, 1) * float64(time.Second) / engine.PrefillTokensPerSecond
	}
	c.Members = make([]fleet.Instance, 0, len(members))
	for _, i := range members {
		if isEnded(&views[i]) {
			return false
		}
		c.Members = append(c.Members, views[i].Instance)
	}
	return true
}

// UpdateLoad records the number of requests in flight from the other nodes to each
// instance, the demand at all nodes, and the demand at this node.
func (t *Table) UpdateLoad(inFlight map[state.InstanceID]int, total, own []demand.Flow) {
	demands := make(map[Pool]modelDemand, len(total))
	for _, f := range total {
		demands[Pool{f.Service, f.Model}] = newModelDemand(f, own)
	}
	t.demand.Store(&demands)
	t.storeOthers(inFlight)
	t.updatePlans(total)
}

// storeOthers records the number of requests in flight from the other nodes to each instance.
func (t *Table) storeOthers(inFlight map[state.InstanceID]int) {
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
// plain service is never full. While demand exceeds the room of a pool, a group is full if it has no room.
func (c *Candidate) IsFull(now time.Time) bool {
	return c.isFull(now, c.table.IsOverloaded(c.pool()))
}

// isFull is IsFull, given whether the demand exceeds the room of the pool.
func (c *Candidate) isFull(now time.Time, overloaded bool) bool {
	if c.Size == 0 {
		return false
	}
	if overloaded {
		return !c.HasRoom()
	}
	if float64(c.Load()) >= c.table.policy.FullAt*float64(c.Slots) {
		return true
	}
	limit, paced := c.paceLimit()
	return paced && !c.load.pacer.canSend(now, limit)
}
