// Package routing holds, for each model, the groups of a data hall with their known
// load, and picks the group for a request.
package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/state"
)

// Candidate is the request path's view of one group. It is safe for concurrent use.
type Candidate struct {
	Name  state.GroupName
	mu    sync.Mutex
	group atomic.Pointer[state.Group]
	// expires is the time at which the evidence that the group is ready expires. It is a
	// time of the steady clock, so that setting the wall clock back does not extend the evidence.
	// It is nil if the group is not ready.
	expires           atomic.Pointer[time.Time]
	incarnationHash   atomic.Uint64
	leaving           atomic.Bool
	evacuated         atomic.Bool
	inFlight          atomic.Int64
	tokensInFlight    atomic.Int64
	sentSince         atomic.Int64
	promptSinceReport atomic.Int64
	reported          atomic.Int64
	reportedTokens    atomic.Int64
	slots             atomic.Int64
	prefixes          prefixCache
}

// Group returns the latest state of the group.
func (c *Candidate) Group() *state.Group { return c.group.Load() }

// InFlight returns the number of requests in flight from this node to the group.
func (c *Candidate) InFlight() int { return int(c.inFlight.Load()) }

// BatchSlots returns the number of batch slots of the group's engine, as last reported.
func (c *Candidate) BatchSlots() int { return int(c.slots.Load()) }

// IsReady reports whether unexpired evidence shows at now that the group is ready with all its members.
func (c *Candidate) IsReady(now time.Time) bool {
	expires := c.expires.Load()
	return expires != nil && now.Before(*expires)
}

// CanAccept reports whether a new request may be sent to the group at now.
func (c *Candidate) CanAccept(now time.Time) bool {
	return c.IsReady(now) && !c.leaving.Load() && !c.evacuated.Load() && c.group.Load().Drained == 0
}

// Load returns the estimated number of requests in flight at the group: the reported number plus
// those sent by this node since, and at least those in flight from this node.
func (c *Candidate) Load() int64 { return max(c.inFlight.Load(), c.reported.Load()+c.sentSince.Load()) }

// UpdateEvidence updates the candidate with the result of judge, which evaluates the current
// evidence of the group.
//
// judge runs under the candidate's lock. Of two concurrent calls, the one that stores
// last has also read the evidence last, so an older result never overwrites a newer one.
func (c *Candidate) UpdateEvidence(judge func(g *state.Group) evidence.GroupEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ev := judge(c.group.Load())
	c.incarnationHash.Store(ev.IncarnationHash)
	c.leaving.Store(ev.Leaving)
	if ev.Expires.IsZero() {
		c.expires.Store(nil)
		return
	}
	c.slots.Store(int64(ev.Head.Load.BatchSlots))
	c.expires.Store(&ev.Expires)
}

// setGroup sets a new state of the group. If the epoch changes, the group is not ready until the
// next UpdateEvidence.
func (c *Candidate) setGroup(g *state.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.group.Load(); old == nil || old.Epoch != g.Epoch {
		c.expires.Store(nil)
	}
	c.group.Store(g)
}

// invalidate marks the group as not ready, so that it gets no new requests and its dispatches become invalid.
func (c *Candidate) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires.Store(nil)
}

// RecordLoad records a new load report of the group's head.
func (c *Candidate) RecordLoad(l evidence.Load) {
	c.reported.Store(int64(l.InFlight))
	c.reportedTokens.Store(l.Tokens)
	c.sentSince.Store(0)
	c.promptSinceReport.Store(0)
}

// Dispatch is one request sent to one group. Its response may be forwarded only while it is valid.
type Dispatch struct {
	c               *Candidate
	group           *state.Group
	incarnationHash uint64
	tokens          int64
	once            sync.Once
}

// BeginRequest records a request as in flight at the group.
func (c *Candidate) BeginRequest(r Request) *Dispatch {
	c.inFlight.Add(1)
	c.sentSince.Add(1)
	c.promptSinceReport.Add(r.Prompt)
	c.tokensInFlight.Add(r.Tokens)
	return &Dispatch{c: c, group: c.group.Load(), incarnationHash: c.incarnationHash.Load(), tokens: r.Tokens}
}

// Group returns the state of the group when the request began.
func (d *Dispatch) Group() *state.Group { return d.group }

// Candidate returns the candidate to which the request was sent.
func (d *Dispatch) Candidate() *Candidate { return d.c }

// IsValid reports whether the group is still ready at now, in the same epoch and with the
// same incarnations of its members.
//
// It reads the readiness first. UpdateEvidence stores the readiness last, so if a group has
// become ready again with other incarnations, IsValid sees its new identity.
func (d *Dispatch) IsValid(now time.Time) bool {
	return d.c.IsReady(now) && d.c.incarnationHash.Load() == d.incarnationHash && d.c.group.Load().Epoch == d.group.Epoch
}

// End records that the request has ended. Calls after the first have no effect.
func (d *Dispatch) End() {
	d.once.Do(func() {
		d.c.inFlight.Add(-1)
		d.c.tokensInFlight.Add(-d.tokens)
	})
}

// Table holds the candidates of each model. Candidates and Models take no lock.
type Table struct {
	mu     sync.Mutex
	byName map[state.GroupName]*Candidate
	pools  atomic.Pointer[map[string][]*Candidate]
	// isEvacuated reports whether a hall is evacuated; nil if none is.
	isEvacuated func(state.HallName) bool
}

// SetEvacuated sets which halls are evacuated. Their groups get no new requests from the next Update on; requests in
// flight remain valid.
func (t *Table) SetEvacuated(isEvacuated func(state.HallName) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isEvacuated = isEvacuated
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{byName: map[state.GroupName]*Candidate{}}
	t.pools.Store(&map[string][]*Candidate{})
	return t
}

// Update replaces the groups in the table. Candidates of groups that remain are kept; the others
// are closed.
func (t *Table) Update(groups []*state.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pools := map[string][]*Candidate{}
	byName := map[state.GroupName]*Candidate{}
	for _, g := range groups {
		c := t.byName[g.Name]
		if c == nil {
			c = &Candidate{Name: g.Name}
		}
		c.evacuated.Store(t.isEvacuated != nil && t.isEvacuated(g.Hall))
		c.setGroup(g)
		byName[g.Name] = c
		pools[g.Model.Name] = append(pools[g.Model.Name], c)
	}
	for name, c := range t.byName {
		if byName[name] == nil {
			c.invalidate()
		}
	}
	t.byName = byName
	t.pools.Store(&pools)
}

// Candidates returns the candidates of a model. The slice must not be modified.
func (t *Table) Candidates(model string) []*Candidate { return (*t.pools.Load())[model] }

// Models returns the candidates by model. The map must not be modified.
func (t *Table) Models() map[string][]*Candidate { return *t.pools.Load() }

// All returns all candidates.
func (t *Table) All() []*Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Candidate, 0, len(t.byName))
	for _, c := range t.byName {
		list = append(list, c)
	}
	return list
}

// Get returns the candidate of a group, or nil if there is none.
func (t *Table) Get(name state.GroupName) *Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byName[name]
}

// Request holds the properties of a request that a Picker uses.
type Request struct {
	// Tokens is the estimated number of tokens that the request will occupy. Prompt is the
	// number of them that belong to the prompt.
	Tokens int64
	Prompt int64
	// Prefix holds the hashes of the prompt's leading blocks, the shortest prefix first.
	Prefix []uint64
	// ExcludedGroup is the name of the group at which the request has just failed, or empty.
	ExcludedGroup state.GroupName
}

// Weights are the factors of the cost function, all in tokens.
type Weights struct {
	// InFlight is the cost of one request in flight at the group.
	InFlight float64
	// TokensInFlight is the cost of one token in flight from this node.
	TokensInFlight float64
	// PromptSinceReport is the cost of one prompt token sent by this node since the group's last report.
	PromptSinceReport float64
	// Prefix is the cost reduction for one prompt token that the group has probably cached.
	Prefix float64
}

// Picker picks one candidate that is open at now, or returns nil.
type Picker interface {
	Pick(pool []*Candidate, r Request, now time.Time) *Candidate
}

// LeastCost picks the cheapest of all candidates.
type LeastCost struct{ Weights Weights }

// Pick implements Picker.
//
// The scan starts at a random index, so that nodes with the same data do not all pick
// the same one of several candidates with equal cost.
func (p *LeastCost) Pick(pool []*Candidate, r Request, now time.Time) *Candidate {
	var best *Candidate
	var lowestCost float64
	n := len(pool)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range n {
		c := pool[(start+i)%n]
		if !isUsable(c, r, now) {
			continue
		}
		if cost := p.Weights.cost(c, r); best == nil || cost < lowestCost {
			best, lowestCost = c, cost
		}
	}
	return best
}

// TwoChoices picks the cheaper of two random candidates.
type TwoChoices struct{ Weights Weights }

// Pick implements Picker.
func (p *TwoChoices) Pick(pool []*Candidate, r Request, now time.Time) *Candidate {
	a := randomUsable(pool, r, now)
	b := randomUsable(pool, r, now)
	if a == nil || b == nil || p.Weights.cost(a, r) <= p.Weights.cost(b, r) {
		return a
	}
	return b
}

// randomUsable returns the first usable candidate from a random index on, or nil.
func randomUsable(pool []*Candidate, r Request, now time.Time) *Candidate {
	n := len(pool)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range n {
		if c := pool[(start+i)%n]; isUsable(c, r, now) {
			return c
		}
	}
	return nil
}

// RoundRobin picks the candidates in turn. It is the baseline for the other pickers.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobin) Pick(pool []*Candidate, r Request, now time.Time) *Candidate {
	n := uint64(len(pool))
	for range pool {
		if c := pool[p.next.Add(1)%n]; isUsable(c, r, now) {
			return c
		}
	}
	return nil
}

// isUsable reports whether the request may be sent to the candidate at now.
func isUsable(c *Candidate, r Request, now time.Time) bool {
	return c.Name != r.ExcludedGroup && c.CanAccept(now)
}

// cost returns the cost of sending a request to a candidate, in tokens.
func (w Weights) cost(c *Candidate, r Request) float64 {
	cost := w.InFlight*float64(c.Load()) + w.TokensInFlight*float64(c.tokensInFlight.Load()) + w.PromptSinceReport*float64(c.promptSinceReport.Load())
	if w.Prefix != 0 && len(r.Prefix) > 0 {
		cost -= w.Prefix * float64(c.prefixes.match(r.Prefix)*PrefixBlock)
	}
	return cost
}
