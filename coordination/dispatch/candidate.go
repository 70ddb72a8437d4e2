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
	// readTime is the prefill time of one prompt token, in nanoseconds.
	readTime float64
	load     *load
	table    *Table
}

// load is the load and health of one incarnation. It is kept when Update rebuilds the candidates.
type load struct {
	held   atomic.Int64
	others atomic.Int64
	// reading is the number of prompt tokens in requests that this node has sent and that have no first event yet.
	reading atomic.Int64
	// trouble is a decaying count of failures, in thousandths.
	trouble atomic.Int64
	pacer   pacer
	// checked is the time of the last liveness check of the group's members.
	checked atomic.Int64
}

// Held returns the number of requests in flight from this node to the instance.
func (c *Candidate) Held() int64 { return c.load.held.Load() }

// Load returns the number of requests known to be in flight from all nodes to the instance.
func (c *Candidate) Load() int64 { return c.load.held.Load() + c.load.others.Load() }

// Reading returns the estimated prefill time of the requests that this node has sent
// to the group and that have no first event yet.
func (c *Candidate) Reading() time.Duration {
	return time.Duration(float64(c.load.reading.Load()) * c.readTime)
}

// Check reports whether the members should be probed now. It returns true at most once per interval.
func (c *Candidate) Check(now time.Time, every time.Duration) bool {
	last, at := c.load.checked.Load(), steady.Nanos(now)
	return at-last >= int64(every) && c.load.checked.CompareAndSwap(last, at)
}

// Units of the failure score.
const (
	// troubleUnit is the score of one failure.
	troubleUnit = 1000
)

// Failed records a failure of the instance.
func (c *Candidate) Failed() { c.load.trouble.Add(troubleUnit) }

// Answered records a successful response of the instance, which reduces its failure score.
func (c *Candidate) Answered() {
	t := c.load.trouble.Load()
	c.load.trouble.Add(-int64(float64(t) * c.table.policy.FailureRecovery))
}

// key identifies the candidates of a service, or of one of its models.
type key struct {
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
	pools atomic.Pointer[map[key][]*Candidate]
	// asked is the demand for each model.
	asked atomic.Pointer[map[key]part]
}

// NewTable returns an empty Table for a node of a data hall.
func NewTable(hall state.HallName, policy Policy) *Table {
	t := &Table{hall: hall, policy: policy, loads: map[fleet.Incarnation]*load{}}
	t.pools.Store(&map[key][]*Candidate{})
	t.asked.Store(&map[key]part{})
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
	pools := map[key][]*Candidate{}
	kept := map[fleet.Incarnation]*load{}
	for _, v := range views {
		l := t.loads[v.Incarnation()]
		if l == nil {
			l = &load{}
		}
		kept[v.Incarnation()] = l
		service := c.Services[v.Service]
		if service == nil || v.Lost || v.Draining {
			continue
		}
		cand := &Candidate{Instance: v.Instance, load: l, table: t}
		if service.Engine == nil {
			pools[key{v.Service, ""}] = append(pools[key{v.Service, ""}], cand)
			continue
		}
		if cand.formGroup(service.Engine, groups[v.Membership.Key()]) && !avoid(v.Membership.Key()) {
			pools[key{v.Service, v.Model}] = append(pools[key{v.Service, v.Model}], cand)
		}
	}
	t.loads = kept
	t.pools.Store(&pools)
}

// Candidates returns the candidates for a service, or for one of its models. The
// slice must not be modified.
func (t *Table) Candidates(service state.ServiceName, model string) []*Candidate {
	return (*t.pools.Load())[key{service, model}]
}

// formGroup sets the group data of a head and reports whether the group can receive requests.
func (c *Candidate) formGroup(engine *catalog.Engine, members []roster.View) bool {
	model := engine.Model(c.Model)
	if c.Membership.State != fleet.Open || c.Membership.Rank != 0 || model == nil {
		return false
	}
	if engine.Slots > 0 {
		c.Slots = engine.Slots
	}
	c.Size = model.Size
	if engine.ReadPerSecond > 0 {
		c.readTime = cmp.Or(model.Pace, 1) * float64(time.Second) / engine.ReadPerSecond
	}
	for _, m := range members {
		if m.Lost {
			return false
		}
		c.Members = append(c.Members, m.Instance)
	}
	return len(c.Members) >= model.Size
}

// SetOthers records the number of requests in flight from the other nodes to each
// instance, the demand at all nodes, and the demand at this node.
func (t *Table) SetOthers(held map[state.InstanceID]int, asked, own []demand.Flow) {
	parts := make(map[key]part, len(asked))
	for _, f := range asked {
		parts[key{f.Service, f.Model}] = partOf(f, own)
	}
	t.asked.Store(&parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	for in, l := range t.loads {
		l.others.Store(int64(held[in.ID]))
	}
}

// Held returns the number of requests in flight from this node to each instance.
func (t *Table) Held() map[state.InstanceID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := map[state.InstanceID]int{}
	for in, l := range t.loads {
		if n := l.held.Load(); n > 0 {
			held[in.ID] = int(n)
		}
	}
	return held
}

// Full reports whether the candidate has no capacity for a new request. An instance of a
// plain service is never full.
func (c *Candidate) Full(now time.Time) bool {
	if c.Size == 0 {
		return false
	}
	if float64(c.Load()) >= c.table.policy.FullAt*float64(c.Slots) {
		return true
	}
	by, paced := c.pace()
	return paced && !c.load.pacer.ready(now, by)
}
