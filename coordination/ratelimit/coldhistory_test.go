package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/state"
)

// coldHistory simulates nodes that send to one cold instance while nodes are killed, frozen and partitioned.
type coldHistory struct {
	rng   *rand.Rand
	now   time.Time
	limit ColdLimit
	// policy is that of all nodes.
	policy Policy
	nodes  []*coldNode
	events []coldEvent
	// sent are the times of all requests, by the order of time.
	sent []time.Time
	// pulse, if it is not 0, is the time between two beginnings of the callers' requests, which stop in the second half of that time.
	pulse time.Duration
	// lateness is the largest delay of a message, one in lateOneIn is delayed by that much at most.
	lateness  time.Duration
	lateOneIn int
	nextID    int64
	// counted tells which node last counted each node toward its share, and when. twice names a node that a second one
	// counted too early.
	counted map[string]countedBy
	twice   string
}

// countedBy is the process that counted a node toward its share at a time.
type countedBy struct {
	process int64
	at      time.Time
}

// count records that a node counts another one, or itself, toward its share.
func (h *coldHistory) count(by *coldNode, name string) {
	last := h.counted[name]
	if last.process != 0 && last.process != by.process && h.now.Sub(last.at) < h.policy.ColdGrantTTL {
		h.twice = fmt.Sprintf("%s by %d and by %s (%d) at %v", name, last.process, by.name, by.process, h.now.Sub(start))
	}
	h.counted[name] = countedBy{by.process, h.now}
}

// coldEvent is an event at a time.
type coldEvent struct {
	at time.Time
	do func()
}

// coldNode is a simulated node.
type coldNode struct {
	name      string
	process   int64
	tracker   *Tracker
	allocator *Allocator
	binding   *AllocatorBinding
	// side is the side of a network partition that the node is on.
	side        int
	frozenUntil time.Time
	isLeader    bool
	demand      float64
	// nextReport is when the next status report is due, answeredAt when the last one was sent that a leader answered.
	nextReport time.Time
	answeredAt time.Time
	reports    map[string]coldReport
	lastStamp  int64
}

// coldReport is a status report as a leader has it.
type coldReport struct {
	usage      map[state.InstanceID]Usage
	binding    BindingState
	process    int64
	receivedAt time.Time
	demand     float64
}

const (
	coldTick      = 10 * time.Millisecond
	coldLength    = 8 * time.Second
	reportTimeout = 400 * time.Millisecond
	nodeTimeout   = 1500 * time.Millisecond
	// takeover is how long the nodes take to find a new leader.
	takeover = 700 * time.Millisecond
)

// newColdHistory returns a history of nodes that all know that the instance is cold. The first one leads.
func newColdHistory(rng *rand.Rand, nodes int, bound ColdBound, perSecond float64, policy Policy) *coldHistory {
	h := &coldHistory{rng: rng, now: start, policy: policy, limit: bound.Limit(instance, perSecond, start.Add(time.Hour)), lateOneIn: 1 << 30, counted: map[string]countedBy{}}
	for i := range nodes {
		n := h.newNode(fmt.Sprint("n", i))
		n.binding = NewAllocatorBinding(time.Time{})
		h.nodes = append(h.nodes, n)
	}
	h.nodes[0].isLeader = true
	return h
}

// newNode returns a node that starts now.
func (h *coldHistory) newNode(name string) *coldNode {
	h.nextID++
	n := &coldNode{
		name: name, process: h.nextID, tracker: NewTracker(h.policy), allocator: NewAllocator(h.policy, h.rng.Float64),
		binding: NewAllocatorBinding(h.now), nextReport: h.now.Add(h.random(statusInterval)), reports: map[string]coldReport{}, answeredAt: h.now,
	}
	n.tracker.SetCold([]ColdLimit{h.limit}, h.now)
	return n
}

// random draws a duration below d.
func (h *coldHistory) random(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d)))
}

// after schedules an event.
func (h *coldHistory) after(d time.Duration, do func()) {
	h.events = append(h.events, coldEvent{h.now.Add(d), do})
}

// delay draws the delay of a message.
func (h *coldHistory) delay() time.Duration {
	if h.rng.IntN(h.lateOneIn) == 0 {
		return h.random(h.lateness)
	}
	return h.random(15 * time.Millisecond)
}

// isRunning reports whether a node is neither killed nor frozen.
func (h *coldHistory) isRunning(n *coldNode) bool {
	return slices.Contains(h.nodes, n) && !h.now.Before(n.frozenUntil)
}

// leaderOf returns the leader that the nodes of a side know, or nil.
func (h *coldHistory) leaderOf(side int) *coldNode {
	for _, n := range h.nodes {
		if n.side == side && n.isLeader && !h.now.Before(n.frozenUntil) {
			return n
		}
	}
	return nil
}

// run simulates the history.
func (h *coldHistory) run(length time.Duration) {
	for end := h.now.Add(length); h.now.Before(end); h.now = h.now.Add(coldTick) {
		due := h.events
		h.events = nil
		for _, e := range due {
			if h.now.Before(e.at) {
				h.events = append(h.events, e)
			} else {
				e.do()
			}
		}
		for _, n := range h.nodes {
			if !h.now.Before(n.frozenUntil) {
				h.step(n)
			}
		}
	}
}

// step simulates one tick of a node.
func (h *coldHistory) step(n *coldNode) {
	if h.now.Sub(start)%issueInterval == 0 {
		h.allocate(n)
	}
	if !h.now.Before(n.nextReport) {
		n.nextReport = h.now.Add(statusInterval)
		h.report(n)
	}
	if h.pulse > 0 && h.now.Sub(start)%h.pulse > h.pulse/2 {
		return
	}
	for at := h.rng.ExpFloat64() / n.demand; at < coldTick.Seconds(); at += h.rng.ExpFloat64() / n.demand {
		if !n.tracker.Take(instance, h.now) {
			break // the others of this tick are refused as well
		}
		h.sent = append(h.sent, h.now)
	}
}

// report sends a status report to the leader of the node's side.
func (h *coldHistory) report(n *coldNode) {
	l := h.leaderOf(n.side)
	if l == nil || l == n || n.isLeader {
		return
	}
	sentAt := h.now
	n.nextReport = sentAt.Add(reportTimeout)
	r := coldReport{binding: n.binding.State(l.process, &h.policy, sentAt), process: n.process, demand: n.demand}
	r.usage = n.tracker.Usage(sentAt)
	var arrive func()
	arrive = func() {
		if !slices.Contains(h.nodes, l) || l.side != n.side {
			return
		}
		if h.now.Before(l.frozenUntil) {
			h.after(l.frozenUntil.Sub(h.now), arrive) // it reads the report when it resumes
			return
		}
		if !l.isLeader {
			return
		}
		r.receivedAt = h.now
		l.reports[n.name] = r
		l.lastStamp = max(l.lastStamp+1, h.now.Sub(start).Microseconds()+1)
		stamp, grants := l.lastStamp, l.allocator.Collect(n.name, l.lastStamp, h.now)
		h.after(h.delay(), func() {
			if !slices.Contains(h.nodes, n) || n.side != l.side || h.now.Sub(sentAt) >= reportTimeout || h.now.Before(n.frozenUntil) {
				return
			}
			n.tracker.ReceiveGrants(grants, sentAt, h.now)
			n.binding.Follow(l.process, stamp, h.now)
			n.answeredAt, n.nextReport = sentAt, sentAt.Add(statusInterval)
		})
	}
	h.after(h.delay(), arrive)
}

// allocate runs a round of a node that leads or has no leader.
func (h *coldHistory) allocate(n *coldNode) {
	limits := n.tracker.InForce(h.now)
	in := AllocationInput{Limits: limits, Share: 1, Weight: func(string, *Limit) float64 { return 1 }, Pool: func(*Limit) string { return "" }}
	in.Nodes = []NodeUsage{{Name: n.name, Usage: n.tracker.Usage(h.now), Echo: EchoOwn, Process: n.process, UsesCold: true}}
	all, counted := float64(len(h.nodes)), 0.0
	switch {
	case n.isLeader:
		weights := map[string]float64{n.name: n.demand}
		for name, r := range n.reports {
			if h.now.Sub(r.receivedAt) >= nodeTimeout {
				continue
			}
			in.Nodes = append(in.Nodes, NodeUsage{Name: name, Usage: r.usage, Echo: r.binding.Echo, Process: r.process, UsesCold: true})
			weights[name] = r.demand
			if r.binding.IsCounted(start.Add(time.Duration(r.binding.Echo)*time.Microsecond), &h.policy, h.now) {
				counted++
				h.count(n, name)
			}
		}
		slices.SortFunc(in.Nodes, func(a, b NodeUsage) int { return len(a.Name) - len(b.Name) })
		in.Weight = func(node string, _ *Limit) float64 { return weights[node] + 0.01 }
	case h.now.Sub(n.answeredAt) < nodeTimeout || !n.binding.IsAlone(&h.policy, h.now) || !h.policy.CanIssue(&limits[0], 1/all):
		return
	}
	n.binding.Follow(OwnAllocator, 1, h.now)
	if n.binding.State(OwnAllocator, &h.policy, h.now).Settled {
		counted++
		h.count(n, n.name)
	}
	in.ColdShare = counted / all
	n.allocator.Allocate(in, h.now)
	n.tracker.ReceiveGrants(n.allocator.Collect(n.name, 0, h.now), h.now, h.now)
}

// kill ends a node. It restarts later, as another process without any state.
func (h *coldHistory) kill(n *coldNode) {
	i := slices.Index(h.nodes, n)
	if i < 0 {
		return
	}
	next := h.newNode(n.name)
	next.demand, next.side, next.frozenUntil = n.demand, n.side, h.now.Add(100*time.Millisecond+h.random(2*time.Second))
	restartAt := next.frozenUntil
	next.binding = NewAllocatorBinding(restartAt)
	h.nodes[i] = next
	h.electLater(n.side)
}

// electLater elects a leader for a side that has none once the nodes have noticed that.
func (h *coldHistory) electLater(side int) {
	h.after(takeover, func() {
		if h.leaderOf(side) != nil {
			return
		}
		for _, i := range h.rng.Perm(len(h.nodes)) {
			if n := h.nodes[i]; n.side == side && h.isRunning(n) {
				n.isLeader = true
				return
			}
		}
	})
}

// freeze suspends a node. If it leads, it still does so for some time when it resumes, beside its successor.
func (h *coldHistory) freeze(n *coldNode, d time.Duration) {
	n.frozenUntil = h.now.Add(d)
	if !n.isLeader {
		return
	}
	h.electLater(n.side)
	h.after(d+300*time.Millisecond, func() {
		for _, o := range h.nodes {
			if o != n && o.isLeader && o.side == n.side {
				n.isLeader = false
			}
		}
	})
}

// partition splits the nodes for a time into sides, each of which elects a leader.
func (h *coldHistory) partition(sides int, d time.Duration) {
	for _, n := range h.nodes {
		n.side = h.rng.IntN(sides)
	}
	for side := range sides {
		h.electLater(side)
	}
	h.after(d, func() {
		for _, n := range h.nodes {
			n.side = 0
		}
		first := true
		for _, n := range h.nodes { // the others notice the leader before them when they report next
			if n.isLeader && !first {
				h.after(h.random(300*time.Millisecond), func() { n.isLeader = false })
			}
			first = first && !n.isLeader
		}
		h.electLater(0)
	})
}

// inject injects a fault.
func (h *coldHistory) inject(kind int) {
	n := h.nodes[h.rng.IntN(len(h.nodes))]
	leader := h.leaderOf(n.side)
	switch kind {
	case 0:
		h.kill(n)
	case 1:
		if leader != nil {
			h.kill(leader)
		}
	case 2:
		h.freeze(n, h.random(3*time.Second))
	case 3:
		if leader != nil {
			h.freeze(leader, h.random(3*time.Second))
		}
	case 4:
		h.partition(2, time.Second+h.random(5*time.Second))
	case 5:
		h.partition(3, time.Second+h.random(5*time.Second))
	case 6: // callers move to other nodes
		for i, j := range h.rng.Perm(len(h.nodes)) {
			h.nodes[i].demand, h.nodes[j].demand = h.nodes[j].demand, h.nodes[i].demand
		}
	}
}

// mostInSecond returns the largest number of requests in any one second.
func (h *coldHistory) mostInSecond() int {
	most, first := 0, 0
	for i, at := range h.sent {
		for at.Sub(h.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// setDemand distributes requests a second over the nodes: evenly, or so that a few nodes get most of them.
func (h *coldHistory) setDemand(total float64, skewed bool) {
	weights, sum := make([]float64, len(h.nodes)), 0.0
	for i := range weights {
		weights[i] = 1
		if skewed {
			weights[i] = h.rng.ExpFloat64() * h.rng.ExpFloat64() * h.rng.ExpFloat64()
		}
		sum += weights[i]
	}
	for i, n := range h.nodes {
		n.demand = max(total*weights[i]/sum, 1e-6)
	}
}

// In any one second all nodes together send a cold instance no more requests than the bound allows, whatever happens to
// nodes, links and messages. This guards against each side of a network partition, or two leaders, allocating more than
// their part, and against grants that a leader takes for used too early.
func TestNodesTogetherStayWithinTheBoundOfAColdInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes := rapid.SampledFrom([]int{1, 2, 3, 9, 30, 86, 300}).Draw(t, "nodes")
		bound := rapid.SampledFrom([]ColdBound{{1.5, 5}, {1.5, 5}, {1, 2}, {0.5, 0}, {3, 10}}).Draw(t, "bound")
		perSecond := rapid.SampledFrom([]float64{26, 26, 1, 5, 100}).Draw(t, "per second")
		h := newColdHistory(rng, nodes, bound, perSecond, DefaultPolicy())
		h.setDemand(rapid.SampledFrom([]float64{5, 30, 300, 30000}).Draw(t, "demand"), rapid.Bool().Draw(t, "skewed"))
		h.pulse = rapid.SampledFrom([]time.Duration{0, time.Second, 1700 * time.Millisecond, 3 * time.Second}).Draw(t, "pulse")
		h.lateness = rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second}).Draw(t, "lateness")
		h.lateOneIn = rapid.SampledFrom([]int{1 << 30, 20, 3}).Draw(t, "late one in")
		for _, kind := range rapid.SliceOfN(rapid.IntRange(0, 6), 0, 8).Draw(t, "faults") {
			h.after(h.random(coldLength), func() { h.inject(kind) })
		}
		h.run(coldLength)
		NewWithT(t).Expect(float64(h.mostInSecond())).To(BeNumerically("<=", h.limit.MaxInSecond))
		NewWithT(t).Expect(h.twice).To(BeEmpty(), "a node is counted by one Allocator only, until the grants of the one before have expired")
	})
}

// Most of what a cold instance can handle is used, so that callers are not refused for grants that lie unused at nodes
// without requests. The logged figures show how much is used with different numbers of nodes and distributions of callers.
func TestMostOfTheLimitOfAColdInstanceIsUsed(t *testing.T) {
	for _, c := range []struct {
		nodes   int
		demand  float64
		skewed  bool
		atLeast float64
	}{
		{9, 30, false, 0.5}, {9, 60, false, 0.8}, {9, 300, false, 0.9}, {9, 300, true, 0.9},
		// A node gets a request in 1.4 to 2.8 s: most grants expire unused.
		{85, 30, false, 0.08}, {85, 60, false, 0.15},
		{85, 300, false, 0.7}, {85, 300, true, 0.9}, {85, 3000, false, 0.9},
	} {
		t.Run(fmt.Sprintf("%d nodes, %g requests a second, skewed %t", c.nodes, c.demand, c.skewed), func(t *testing.T) {
			h := newColdHistory(rand.New(rand.NewPCG(1, 1)), c.nodes, ColdBound{1.5, 5}, 26, DefaultPolicy())
			h.setDemand(c.demand, c.skewed)
			h.run(3 * time.Second)
			early := float64(len(h.sent)) / 3 / 26
			h.sent = nil
			h.run(20 * time.Second)
			used := float64(len(h.sent)) / 20 / 26
			t.Logf("%.2f of the rate used in the first 3 s, %.2f then; %d in a second at most, %g allowed", early, used, h.mostInSecond(), h.limit.MaxInSecond)
			NewWithT(t).Expect(used).To(BeNumerically(">=", c.atLeast))
		})
	}
}
