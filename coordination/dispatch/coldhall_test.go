package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	_ "github.com/troutmast/troutmast/internal/fixedseed"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// hallReturn simulates nodes that send requests to groups in three halls. The groups of the third one are cold and become
// available at hallReturnsAt, as after an evacuation.
type hallReturn struct {
	rng *rand.Rand
	// demand is the number of requests a second at all nodes, prefill and decode the mean times that a request takes.
	demand          float64
	prefill, decode time.Duration
	variant         hallVariant
	nodes           []*hallNode
	groups          []*hallGroup
	byID            map[state.InstanceID]*hallGroup
	dealer          *ratelimit.Allocator
	endings         []hallEnding
	now             time.Time
	refused         int
	late            int
	answered        int
	// failed is the number of requests that a cold group received above what it may get in a second.
	failed int
}

// hallVariant is a way to treat the cold groups.
type hallVariant struct {
	name string
	// limited is set if requests to cold groups need grants. warmFirst is set if cold groups get only what warm ones have no
	// room for, capped if the share of a cold group is limited like that of others.
	limited, warmFirst, capped bool
}

// hallNode is a node with its view of the groups and its grants.
type hallNode struct {
	table      *dispatch.Table
	tracker    *ratelimit.Tracker
	usage      map[state.InstanceID]ratelimit.Usage
	nextReport time.Time
	inFlight   map[state.InstanceID]int
}

// hallGroup is a group with a queue of prompts.
type hallGroup struct {
	id       state.InstanceID
	isCold   bool
	freeAt   time.Time
	inFlight int
	arrivals []time.Time
}

// hallEnding is the end of a request.
type hallEnding struct {
	at   time.Time
	node *hallNode
	id   state.InstanceID
	hold *dispatch.InFlightRequest
}

// Parameters of the simulation: those of a small model in a deployment with 86 nodes.
const (
	hallNodes     = 86
	hallGoal      = 250 * time.Millisecond
	hallReturnsAt = 2 * time.Second
	hallColdFor   = 3 * time.Second
	hallLength    = 9 * time.Second
	hallTick      = 5 * time.Millisecond
	// hallTokensPerSecond is the prefill rate of a group.
	hallTokensPerSecond = 46000
)

var hallBound = ratelimit.ColdBound{Excess: 1.5, Slack: 5}

// hallCatalog returns a catalog with groups of one instance.
func hallCatalog() *catalog.Catalog {
	engine := &catalog.Engine{BatchSlots: 34, PrefillTokensPerSecond: hallTokensPerSecond, Models: []catalog.Model{{Name: "m", GroupSize: 1, TimeFactor: 1}}}
	return catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{})
}

// newHallReturn returns a simulation in which each hall has a third of the groups.
func newHallReturn(v hallVariant, groups int, demand float64, seed uint64) *hallReturn {
	h := &hallReturn{rng: rand.New(rand.NewPCG(seed, 1)), variant: v, demand: demand, byID: map[state.InstanceID]*hallGroup{}, now: start}
	h.dealer = ratelimit.NewAllocator(ratelimit.DefaultPolicy(), h.rng.Float64)
	for i := range groups {
		g := &hallGroup{id: state.InstanceID(fmt.Sprintf("g%02d", i)), isCold: i >= groups*2/3}
		h.groups = append(h.groups, g)
		h.byID[g.id] = g
	}
	for i := range hallNodes {
		n := &hallNode{
			table:   dispatch.NewTable(state.HallName(fmt.Sprint("hall-", i%3)), dispatch.DefaultPolicy()),
			tracker: ratelimit.NewTracker(ratelimit.DefaultPolicy()), inFlight: map[state.InstanceID]int{},
			nextReport: start.Add(time.Duration(h.rng.Int64N(int64(250 * time.Millisecond)))),
		}
		h.nodes = append(h.nodes, n)
		h.update(n, false)
	}
	return h
}

// update rebuilds the candidates of a node.
func (h *hallReturn) update(n *hallNode, returned bool) {
	var views []roster.View
	var limits []ratelimit.ColdLimit
	until := h.now.Add(hallColdFor)
	for i, g := range h.groups {
		if g.isCold && !returned {
			continue
		}
		v := member(string(g.id), 0, fleet.Open)
		v.Membership.Group, v.Hall = state.GroupName(g.id), state.HallName(fmt.Sprint("hall-", i*3/len(h.groups)))
		if g.isCold && h.variant.limited {
			if !h.variant.capped {
				v.ColdUntil = until
			}
			limits = append(limits, hallBound.Limit(v.Incarnation(), 26, until))
		}
		views = append(views, v)
	}
	n.table.Update(hallCatalog(), views, func(fleet.GroupKey) bool { return false })
	n.tracker.SetCold(limits, h.now)
}

// run simulates all nodes.
func (h *hallReturn) run() { h.runUntil(hallLength) }

// runUntil simulates all nodes until a time since the start.
func (h *hallReturn) runUntil(end time.Duration) {
	for ; h.now.Sub(start) < end; h.now = h.now.Add(hallTick) {
		if h.now.Sub(start) == hallReturnsAt {
			for _, n := range h.nodes {
				h.update(n, true)
			}
		}
		h.endings = slices.DeleteFunc(h.endings, func(e hallEnding) bool {
			if h.now.Before(e.at) {
				return false
			}
			e.hold.End()
			e.node.inFlight[e.id]--
			h.byID[e.id].inFlight--
			return true
		})
		if h.now.Sub(start)%(50*time.Millisecond) == 0 {
			h.allocate()
		}
		for _, n := range h.nodes {
			h.step(n)
		}
	}
}

// allocate issues grants to all nodes.
func (h *hallReturn) allocate() {
	in := ratelimit.AllocationInput{Limits: h.nodes[0].tracker.InForce(h.now), Share: 1, ColdShare: 1, Weight: func(string, *ratelimit.Limit) float64 { return h.demand / hallNodes }, Pool: func(*ratelimit.Limit) string { return "m" }}
	if len(in.Limits) == 0 {
		return
	}
	for i, n := range h.nodes {
		in.Nodes = append(in.Nodes, ratelimit.NodeUsage{Name: fmt.Sprint(i), Usage: n.usage, Echo: ratelimit.EchoOwn, Process: 1, UsesCold: true})
	}
	h.dealer.Allocate(in, h.now)
}

// step simulates one tick of a node: its status report and its callers.
func (h *hallReturn) step(n *hallNode) {
	if !h.now.Before(n.nextReport) {
		n.nextReport = h.now.Add(250 * time.Millisecond)
		h.report(n)
	}
	mean := h.demand / hallNodes * hallTick.Seconds()
	for at := h.rng.ExpFloat64(); at < mean; at += h.rng.ExpFloat64() {
		h.request(n)
	}
}

// report exchanges a node's status report: the node learns the requests in flight of all nodes, as of now, and its grants.
func (h *hallReturn) report(n *hallNode) {
	others := map[state.InstanceID]int{}
	for _, g := range h.groups {
		others[g.id] = g.inFlight
	}
	total := []demand.Flow{{Service: "lm", Model: "m", Requests: h.demand}}
	own := []demand.Flow{{Service: "lm", Model: "m", Requests: h.demand / hallNodes}}
	n.table.UpdateLoad(others, total, own)
	n.usage = n.tracker.Usage(h.now)
	n.tracker.ReceiveGrants(h.dealer.Collect(fmt.Sprint(slices.Index(h.nodes, n)), 1, h.now), h.now, h.now)
}

// pick returns the group for a request of a node, or nil.
func (h *hallReturn) pick(n *hallNode) *dispatch.Candidate {
	if h.variant.warmFirst {
		c := n.table.Pick("lm", "m", h.now, func(c *dispatch.Candidate) bool { return h.byID[c.ID].isCold && h.isColdNow() })
		if c != nil && !c.IsFull(h.now) {
			return c
		}
	}
	return n.table.Pick("lm", "m", h.now, func(c *dispatch.Candidate) bool { return !n.tracker.Allow(c.Incarnation(), h.now) })
}

// isColdNow reports whether the returned groups are cold.
func (h *hallReturn) isColdNow() bool { return h.now.Sub(start) < hallReturnsAt+hallColdFor }

// request sends a request, or refuses it if all groups are full.
func (h *hallReturn) request(n *hallNode) {
	c := h.pick(n)
	if c == nil || c.IsFull(h.now) || !n.tracker.Take(c.Incarnation(), h.now) {
		h.refused++
		return
	}
	g := h.byID[c.ID]
	if g.isCold && h.isColdNow() && h.inLastSecond(g) >= 44 {
		h.failed++
	}
	g.arrivals = append(g.arrivals, h.now)
	if g.freeAt.Before(h.now) {
		g.freeAt = h.now
	}
	g.freeAt = g.freeAt.Add(time.Duration((0.5 + h.rng.Float64()) * float64(h.prefill)))
	if g.freeAt.Sub(h.now) > hallGoal {
		h.late++
	}
	h.answered++
	g.inFlight++
	n.inFlight[c.ID]++
	hold := c.BeginRequest(int(h.prefill.Seconds()*hallTokensPerSecond), h.now)
	h.endings = append(h.endings, hallEnding{g.freeAt.Add(time.Duration((0.5 + h.rng.Float64()) * float64(h.decode))), n, c.ID, hold})
}

// inLastSecond returns how many requests a group has received within the last second.
func (h *hallReturn) inLastSecond(g *hallGroup) int {
	count := 0
	for i := len(g.arrivals) - 1; i >= 0 && h.now.Sub(g.arrivals[i]) < time.Second; i-- {
		count++
	}
	return count
}

// share returns the fraction of all requests that the returned groups received in a time since their return.
func (h *hallReturn) share(from, until time.Duration) float64 {
	cold, all := 0, 0
	for _, g := range h.groups {
		for _, at := range g.arrivals {
			if since := at.Sub(start) - hallReturnsAt; since >= from && since < until {
				all++
				if g.isCold {
					cold++
				}
			}
		}
	}
	return float64(cold) / float64(max(all, 1))
}

// A hall returns: the nodes give its cold groups their share of the requests within a second or two, but no group gets more
// than it can handle. Without a limit, idle groups get the requests of all nodes at once; if warm groups come first, or the
// share of a cold group is bounded as that of a warm one, grants lie unused while requests are refused. The logged figures
// compare the variants.
func TestReturningHallOfColdGroupsIsARamp(t *testing.T) {
	for _, c := range []struct {
		groups int
		demand float64
		decode time.Duration
		// overloads is set if the cold groups get too many requests without a limit: only if requests are so short that the
		// slots do not limit them.
		overloads bool
	}{{27, 348, 1300 * time.Millisecond, false}, {27, 560, 1300 * time.Millisecond, false}, {6, 160, 1300 * time.Millisecond, false}, {27, 1500, 250 * time.Millisecond, true}} {
		t.Run(fmt.Sprintf("%d groups, %g requests a second", c.groups, c.demand), func(t *testing.T) {
			run := func(v hallVariant) *hallReturn {
				h := newHallReturn(v, c.groups, c.demand, 1)
				h.decode, h.prefill = c.decode, c.decode/70
				h.run()
				t.Logf("%-21s: refused %4d, late %3d, too many for a cold group %3d, of %d; share of the hall %.2f, %.2f, %.2f in the first three seconds, %.2f later",
					v.name, h.refused, h.late, h.failed, h.answered+h.refused, h.share(0, time.Second), h.share(time.Second, 2*time.Second),
					h.share(2*time.Second, 3*time.Second), h.share(4*time.Second, 7*time.Second))
				return h
			}
			today := run(hallVariant{name: "no limit"})
			warmFirst := run(hallVariant{name: "warm groups first", limited: true, warmFirst: true})
			capped := run(hallVariant{name: "grants, bounded share", limited: true, capped: true})
			chosen := run(hallVariant{name: "grants", limited: true})
			g := NewWithT(t)
			g.Expect(chosen.failed).To(BeZero())
			g.Expect(today.failed > 0).To(Equal(c.overloads))
			g.Expect(chosen.share(4*time.Second, 7*time.Second)).To(BeNumerically("~", 1.0/3, 0.05))
			tolerance := (chosen.answered + chosen.refused) / 25 // which callers find a group is random
			for _, other := range []*hallReturn{warmFirst, capped} {
				g.Expect(chosen.refused).To(BeNumerically("<=", other.refused+tolerance), other.variant.name)
				g.Expect(chosen.share(0, 3*time.Second)).To(BeNumerically(">", other.share(0, 3*time.Second)), other.variant.name)
			}
		})
	}
}
