// Package routing keeps, for each model, the groups of a data hall with what is
// known of their load, and picks the group for a request.
package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/state"
)

// Candidate is one group as the request path sees it; safe for concurrent use.
type Candidate struct {
	Name  state.GroupName
	mu    sync.Mutex
	group atomic.Pointer[state.Group]
	// until is when the evidence that the group is whole runs out, by the steady clock: a time
	// of day that is set back must not make it last longer. nil is a group that is not whole.
	until    atomic.Pointer[time.Time]
	identity atomic.Uint64
	leaving  atomic.Bool
	held     atomic.Int64
	tokens   atomic.Int64
	since    atomic.Int64
	recent   atomic.Int64
	reported atomic.Int64
	repToken atomic.Int64
	slots    atomic.Int64
	prefixes prefixCache
}

// Group returns the group's newest state.
func (c *Candidate) Group() *state.Group { return c.group.Load() }

// Held returns the number of requests that this node holds at the group.
func (c *Candidate) Held() int { return int(c.held.Load()) }

// Slots returns how many requests the group's engine batches, as last reported.
func (c *Candidate) Slots() int { return int(c.slots.Load()) }

// Whole reports whether evidence shows the group whole at a time.
func (c *Candidate) Whole(now time.Time) bool {
	until := c.until.Load()
	return until != nil && now.Before(*until)
}

// Open reports whether a new request may go to the group at a time.
func (c *Candidate) Open(now time.Time) bool {
	return c.Whole(now) && !c.leaving.Load() && c.group.Load().Drained == 0
}

// Load returns the requests at the group: what it reported and what was sent since, never less than this node holds.
func (c *Candidate) Load() int64 { return max(c.held.Load(), c.reported.Load()+c.since.Load()) }

// Rejudge takes in what the evidence says of the group now.
//
// judge runs under the candidate's lock: of two calls, the one that stores last
// has also read the evidence last, so that a judgement never outlives newer evidence.
func (c *Candidate) Rejudge(judge func(g *state.Group) evidence.GroupEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := judge(c.group.Load())
	c.identity.Store(w.IncarnationHash)
	c.leaving.Store(w.Leaving)
	if w.Expires.IsZero() {
		c.until.Store(nil)
		return
	}
	c.slots.Store(int64(w.Head.Load.BatchSlots))
	c.until.Store(&w.Expires)
}

// setGroup takes in a new state of the group; a new epoch must be judged anew.
func (c *Candidate) setGroup(g *state.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.group.Load(); old == nil || old.Epoch != g.Epoch {
		c.until.Store(nil)
	}
	c.group.Store(g)
}

// close takes the group out of use.
func (c *Candidate) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until.Store(nil)
}

// Report takes in a new load report of the group's leader.
func (c *Candidate) Report(l evidence.Load) {
	c.reported.Store(int64(l.InFlight))
	c.repToken.Store(l.Tokens)
	c.since.Store(0)
	c.recent.Store(0)
}

// Dispatch is one request at one group. Its answer may be let out only while it is valid.
type Dispatch struct {
	c        *Candidate
	group    *state.Group
	identity uint64
	tokens   int64
	once     sync.Once
}

// Begin books a request at the group.
func (c *Candidate) Begin(r Request) *Dispatch {
	c.held.Add(1)
	c.since.Add(1)
	c.recent.Add(r.Prompt)
	c.tokens.Add(r.Tokens)
	return &Dispatch{c: c, group: c.group.Load(), identity: c.identity.Load(), tokens: r.Tokens}
}

// Group returns the group as it was when the request was booked.
func (d *Dispatch) Group() *state.Group { return d.group }

// Candidate returns where the request was booked.
func (d *Dispatch) Candidate() *Candidate { return d.c }

// Valid reports whether the group is still whole at a time, in the same epoch and with the same member processes.
//
// Wholeness is read first: Rejudge stores it last, so a group that has become
// whole again with other processes is seen with its new identity.
func (d *Dispatch) Valid(now time.Time) bool {
	return d.c.Whole(now) && d.c.identity.Load() == d.identity && d.c.group.Load().Epoch == d.group.Epoch
}

// End gives back what Begin booked; only the first call counts.
func (d *Dispatch) End() {
	d.once.Do(func() {
		d.c.held.Add(-1)
		d.c.tokens.Add(-d.tokens)
	})
}

// Table holds the candidates of each model; readers take no lock.
type Table struct {
	mu     sync.Mutex
	byName map[state.GroupName]*Candidate
	pools  atomic.Pointer[map[string][]*Candidate]
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{byName: map[state.GroupName]*Candidate{}}
	t.pools.Store(&map[string][]*Candidate{})
	return t
}

// Update makes the table hold exactly the given groups.
func (t *Table) Update(groups []*state.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pools := map[string][]*Candidate{}
	kept := map[state.GroupName]*Candidate{}
	for _, g := range groups {
		c := t.byName[g.Name]
		if c == nil {
			c = &Candidate{Name: g.Name}
		}
		c.setGroup(g)
		kept[g.Name] = c
		pools[g.Model.Name] = append(pools[g.Model.Name], c)
	}
	for name, c := range t.byName {
		if kept[name] == nil {
			c.close()
		}
	}
	t.byName = kept
	t.pools.Store(&pools)
}

// Pool returns the candidates of a model; the slice must not be changed.
func (t *Table) Pool(model string) []*Candidate { return (*t.pools.Load())[model] }

// Models returns the candidates by model; the map must not be changed.
func (t *Table) Models() map[string][]*Candidate { return *t.pools.Load() }

// All returns every candidate.
func (t *Table) All() []*Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Candidate, 0, len(t.byName))
	for _, c := range t.byName {
		list = append(list, c)
	}
	return list
}

// Get returns the candidate of a group, or nil.
func (t *Table) Get(name state.GroupName) *Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byName[name]
}

// Request is what a pick looks at.
type Request struct {
	// Tokens is the estimated number of tokens that the request will occupy, Prompt how many of them are its prompt.
	Tokens int64
	Prompt int64
	// Prefix holds the hashes of the prompt's leading blocks, the shortest first.
	Prefix []uint64
	// Avoid names the group that has just failed the request.
	Avoid state.GroupName
}

// Weights are the costs that a pick adds up, all in tokens.
type Weights struct {
	// Held is the cost of one request at the group.
	Held float64
	// Tokens is the cost of one token in flight from this node.
	Tokens float64
	// Recent is the cost of one token of prompt sent by this node since the group's last report.
	Recent float64
	// Prefix is the gain of one token of prompt that the group has cached.
	Prefix float64
}

// Picker chooses one candidate that is open at a time, or nil.
type Picker interface {
	Pick(pool []*Candidate, r Request, now time.Time) *Candidate
}

// LeastCost looks at every candidate and takes the cheapest.
type LeastCost struct{ Weights Weights }

// Pick implements Picker.
//
// The scan starts at a random place so that nodes with equal knowledge do not
// all choose the same one of several equals.
func (p *LeastCost) Pick(pool []*Candidate, r Request, now time.Time) *Candidate {
	var best *Candidate
	var least float64
	n := len(pool)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range n {
		c := pool[(start+i)%n]
		if !usable(c, r, now) {
			continue
		}
		if cost := p.Weights.cost(c, r); best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best
}

// TwoChoices takes the cheaper of two candidates drawn at random.
type TwoChoices struct{ Weights Weights }

// Pick implements Picker.
func (p *TwoChoices) Pick(pool []*Candidate, r Request, now time.Time) *Candidate {
	a := draw(pool, r, now)
	b := draw(pool, r, now)
	if a == nil || b == nil || p.Weights.cost(a, r) <= p.Weights.cost(b, r) {
		return a
	}
	return b
}

// draw returns the first usable candidate from a random place on.
func draw(pool []*Candidate, r Request, now time.Time) *Candidate {
	n := len(pool)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range n {
		if c := pool[(start+i)%n]; usable(c, r, now) {
			return c
		}
	}
	return nil
}

// RoundRobin takes the candidates in turn; it is the baseline.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobin) Pick(pool []*Candidate, r Request, now time.Time) *Candidate {
	n := uint64(len(pool))
	for range pool {
		if c := pool[p.next.Add(1)%n]; usable(c, r, now) {
			return c
		}
	}
	return nil
}

// usable reports whether a request may go to a candidate.
func usable(c *Candidate, r Request, now time.Time) bool {
	return c.Name != r.Avoid && c.Open(now)
}

// cost returns what it costs to send a request to a candidate, in tokens.
func (w Weights) cost(c *Candidate, r Request) float64 {
	cost := w.Held*float64(c.Load()) + w.Tokens*float64(c.tokens.Load()) + w.Recent*float64(c.recent.Load())
	if w.Prefix != 0 && len(r.Prefix) > 0 {
		cost -= w.Prefix * float64(c.prefixes.match(r.Prefix)*PrefixBlock)
	}
	return cost
}
