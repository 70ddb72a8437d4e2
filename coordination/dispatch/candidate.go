// Package dispatch chooses the instance or the head of a replica group that
// answers a request, and keeps count of what each of them holds.
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

// Candidate is an instance that may take requests: one of a plain service, or
// the head of an open group. The counters are safe for concurrent use.
type Candidate struct {
	fleet.Instance
	// Members are the instances of the group, the head among them; none for a plain service.
	Members []fleet.Instance
	// Size is the number of members that the model needs.
	Size int
	// readTime is the time to read one token of a prompt, in nanoseconds.
	readTime float64
	load     *load
	table    *Table
}

// load counts what one instance holds; it outlives changes of the candidate.
type load struct {
	held   atomic.Int64
	others atomic.Int64
	// reading is the number of prompt tokens that this node has sent and that have brought no event yet.
	reading atomic.Int64
	// trouble is a decaying count of failures, in thousandths.
	trouble atomic.Int64
	pacer   pacer
	// checked is when the group's members were last asked whether they live.
	checked atomic.Int64
}

// Held returns the requests that this node holds at the instance.
func (c *Candidate) Held() int64 { return c.load.held.Load() }

// Load returns the requests that all nodes are known to hold at the instance.
func (c *Candidate) Load() int64 { return c.load.held.Load() + c.load.others.Load() }

// Reading returns how long the group takes to read the prompts that this node has
// sent to it and that have brought no event yet.
func (c *Candidate) Reading() time.Duration {
	return time.Duration(float64(c.load.reading.Load()) * c.readTime)
}

// Check reports whether the members should be asked now; it says so once in an interval.
func (c *Candidate) Check(now time.Time, every time.Duration) bool {
	last, at := c.load.checked.Load(), steady.Nanos(now)
	return at-last >= int64(every) && c.load.checked.CompareAndSwap(last, at)
}

// Weights of failures.
const (
	troubleUnit = 1000
)

// Failed counts a failure of the instance.
func (c *Candidate) Failed() { c.load.trouble.Add(troubleUnit) }

// Answered counts a good answer of the instance.
func (c *Candidate) Answered() {
	t := c.load.trouble.Load()
	c.load.trouble.Add(-int64(float64(t) * c.table.policy.FailureRecovery))
}

// key finds the candidates of a service, and of a model of it.
type key struct {
	service state.ServiceName
	model   string
}

// Table holds the candidates; readers take no lock.
type Table struct {
	hall   state.HallName
	policy Policy
	mu     sync.Mutex
	// loads are those of the lives of instances: what an earlier life failed or holds is no
	// matter of a later one.
	loads map[fleet.Incarnation]*load
	pools atomic.Pointer[map[key][]*Candidate]
	// asked is what callers ask of each model.
	asked atomic.Pointer[map[key]part]
}

// NewTable returns an empty Table for a node of a data hall.
func NewTable(hall state.HallName, policy Policy) *Table {
	t := &Table{hall: hall, policy: policy, loads: map[fleet.Incarnation]*load{}}
	t.pools.Store(&map[key][]*Candidate{})
	t.asked.Store(&map[key]part{})
	return t
}

// Update builds the candidates from what is known of the instances. Groups in
// avoid take no new requests.
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
		if service == nil || v.Unreachable || v.Draining {
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

// Candidates returns what may take the requests of a service, and of a model of it; the
// slice must not be changed.
func (t *Table) Candidates(service state.ServiceName, model string) []*Candidate {
	return (*t.pools.Load())[key{service, model}]
}

// formGroup gives a head its group's members and reports whether the group may take requests.
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
		if m.Unreachable {
			return false
		}
		c.Members = append(c.Members, m.Instance)
	}
	return len(c.Members) >= model.Size
}

// SetOthers records how many requests the other nodes hold at each instance, what
// callers ask of all nodes, and what they ask of this one.
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

// Held returns the requests that this node holds at each instance.
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

// Full reports whether an instance should be given no new request.
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
