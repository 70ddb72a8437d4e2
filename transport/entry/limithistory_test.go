package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	_ "github.com/troutmast/troutmast/internal/fixedseed"
	"github.com/troutmast/troutmast/state/fleet"
)

// Durations of the simulated histories.
const (
	historyTick   = 10 * time.Millisecond
	historyLength = 30 * time.Second
	// failoverDelay is how long the other nodes take to detect the failure of their leader.
	failoverDelay = 700 * time.Millisecond
	// gracePeriod is the time after which the nodes must keep to a new or changed limit.
	// checkWindow is the length of the window in which requests are counted.
	gracePeriod = time.Second
	checkWindow = 4 * time.Second
	// knownFor is how long a node must have known of a limit for its requests to count.
	knownFor = 500 * time.Millisecond
)

// limitHistory simulates a set of nodes that send to one instance whose rate limit changes,
// while nodes are killed, frozen, partitioned and added. The nodes are real except for their
// connections; time is simulated.
type limitHistory struct {
	g     *WithT
	rng   *rand.Rand
	clock *clockwork.FakeClock
	// started is when the history began.
	started time.Time
	nodes   []*historyNode
	in      fleet.Instance
	// callerRate is the mean rate of requests from callers to each node, per second.
	callerRate float64
	// limit is the current limit of the instance, changes are all its limits with their times.
	limit      fleet.RateLimit
	changes    []limitChange
	sent       []historySend
	events     []historyEvent
	lastNumber int64
	// decoder decodes the configuration of the nodes, cold is their bound on requests to cold instances.
	decoder Decoder
	cold    ratelimit.ColdBound
	// coldUntil is when the instance stops being cold.
	coldUntil time.Time
}

// limitChange is a limit that the instance set at a time; a negative rate is no limit.
type limitChange struct {
	at        time.Time
	perSecond float64
}

// historySend is a request that a node sent.
type historySend struct {
	at   time.Time
	node *historyNode
}

// historyNode is a simulated node.
type historyNode struct {
	*Node
	// side is the side of a network partition that the node is on, nextReport is when it sends its
	// next status report, frozenUntil is when it resumes.
	side        int
	nextReport  time.Time
	frozenUntil time.Time
	weight      float64
	// stoppedAt is when the node was last started, killed or frozen: it loses its knowledge of
	// limits then, and its requests do not count for a while.
	stoppedAt time.Time
	// firstLimit is when the node first received a limit from the instance.
	firstLimit time.Time
}

// isCounted reports whether the requests of a node count in the window that ends at a time.
func (n *historyNode) isCounted(end time.Time) bool {
	last := n.frozenUntil
	if n.stoppedAt.After(last) {
		last = n.stoppedAt
	}
	known := !n.firstLimit.IsZero() && end.Sub(n.firstLimit) >= knownFor
	return known && (n.stoppedAt.IsZero() || end.Sub(last) > checkWindow+gracePeriod)
}

// historyEvent is an event scheduled at a time.
type historyEvent struct {
	at time.Time
	do func()
}

// newLimitHistory returns a history with the given number of nodes, the first of which leads.
func newLimitHistory(g *WithT, rng *rand.Rand, nodes int, callerRate float64) *limitHistory {
	h := &limitHistory{g: g, rng: rng, clock: clockwork.NewFakeClock(), callerRate: callerRate, limit: fleet.Unlimited(), decoder: anyConfiguration{}}
	h.started = h.clock.Now()
	h.in = fleet.Instance{ID: "i", Service: "plain", Address: testAddress(200)}
	for range nodes {
		h.join().stoppedAt = time.Time{}
	}
	if nodes > 0 {
		h.setLeader(h.nodes[0])
	}
	return h
}

// join adds a node and makes it and all others known to each other.
func (h *limitHistory) join() *historyNode {
	h.lastNumber++
	name := fmt.Sprint("n", h.lastNumber)
	set := &Settings{Name: name, Hall: "hall", PeerAddress: testAddress(int(h.lastNumber)), Capacity: 1, Policy: DefaultPolicy(), Cold: h.cold}
	n := New(set, Ports{Decoder: h.decoder}, h.clock, &log.Logger{Handler: discard.New()})
	n.incarnationNumber.Store(h.lastNumber)
	n.rateAllocator = ratelimit.NewAllocator(set.Policy.RateLimit, h.rng.Float64)
	h.g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	in := h.in
	in.ColdLeft = max(h.coldUntil.Sub(h.clock.Now()), 0)
	n.roster.ApplyFreshEntry(in, h.clock.Now())
	n.rebuildCold()
	n.peers.setNodesKnown()
	for _, o := range h.nodes {
		n.peers.recordNode(o.peers.self())
		o.peers.recordNode(n.peers.self())
	}
	joined := &historyNode{Node: n, weight: h.rng.ExpFloat64(), nextReport: h.clock.Now().Add(h.randomDuration(250 * time.Millisecond))}
	h.nodes = append(h.nodes, joined)
	joined.stoppedAt = h.clock.Now()
	return joined
}

// randomDuration draws a random duration below d.
func (h *limitHistory) randomDuration(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d)))
}

// setLeader makes a node the only leader on its side of a partition.
func (h *limitHistory) setLeader(leader *historyNode) {
	for _, n := range h.nodes {
		if n.side == leader.side && !h.clock.Now().Before(n.frozenUntil) {
			n.peers.setLeader(n == leader)
		}
	}
}

// leaderOf returns the leader of a side, or nil.
func (h *limitHistory) leaderOf(side int) *historyNode {
	for _, n := range h.nodes {
		if placing, _ := n.peers.leadership(); placing && n.side == side && !h.clock.Now().Before(n.frozenUntil) {
			return n
		}
	}
	return nil
}

// schedule adds an event.
func (h *limitHistory) schedule(d time.Duration, do func()) {
	h.events = append(h.events, historyEvent{h.clock.Now().Add(d), do})
}

// step simulates one tick.
func (h *limitHistory) step() {
	h.clock.Advance(historyTick)
	now := h.clock.Now()
	due := h.events
	h.events = nil
	for _, e := range due {
		if now.Before(e.at) {
			h.events = append(h.events, e)
			continue
		}
		e.do()
	}
	for _, n := range h.nodes {
		if now.Before(n.frozenUntil) {
			continue
		}
		n.recordStoreRead(now)
		if now.Sub(h.started)%(50*time.Millisecond) == 0 {
			n.allocateRates(now)
		}
		if !now.Before(n.nextReport) {
			h.sendReport(n, now)
			n.nextReport = now.Add(n.policy.StatusInterval)
		}
		for at := h.rng.ExpFloat64(); at < h.callerRate*n.weight*historyTick.Seconds(); at += h.rng.ExpFloat64() {
			h.sendRequest(n, now)
		}
	}
}

// sendReport sends a node's status report to the leader of its side.
func (h *limitHistory) sendReport(n *historyNode, now time.Time) {
	leader := h.leaderOf(n.side)
	if leader == nil || leader == n {
		return
	}
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(n.peers.statusReport()))
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(resp.Msg.unpack()).To(Succeed())
	if resp.Msg.CanLead {
		n.peers.applyAnswer(resp.Msg, now)
	}
}

// sendRequest sends a request from a node if the limit admits it; the response carries the limit.
func (h *limitHistory) sendRequest(n *historyNode, now time.Time) {
	if !n.CanSend(&h.in) || !n.TrySend(&h.in) {
		return
	}
	h.sent = append(h.sent, historySend{now, n})
	h.schedule(time.Duration(h.rng.IntN(300))*time.Millisecond, func() {
		if !h.clock.Now().Before(n.frozenUntil) {
			if n.firstLimit.IsZero() && h.limit.Limited {
				n.firstLimit = h.clock.Now()
			}
			n.RecordNotice(&h.in, fleet.Notice{RateLimit: h.limit}, "", now)
		}
	})
}

// setLimit sets the limit of the instance; a negative rate removes it.
func (h *limitHistory) setLimit(perSecond float64) {
	h.limit = fleet.LimitedTo(perSecond)
	if perSecond < 0 {
		h.limit = fleet.Unlimited()
	}
	h.changes = append(h.changes, limitChange{h.clock.Now(), perSecond})
}

// maxRequests returns how many requests may reach the instance in the window that ends at a time,
// and whether there is a bound. The bound follows from the highest limit that nodes may still
// have applied: half as much again as this limit, and five requests.
func (h *limitHistory) maxRequests(end time.Time) (most float64, bounded bool) {
	from := end.Add(-checkWindow - gracePeriod)
	if len(h.changes) == 0 || h.changes[0].at.After(from) {
		return 0, false
	}
	highest := -1.0
	for i, f := range h.changes {
		until := end
		if i+1 < len(h.changes) {
			until = h.changes[i+1].at
		}
		if until.Before(from) || f.at.After(end) {
			continue
		}
		if f.perSecond < 0 {
			return 0, false
		}
		highest = max(highest, f.perSecond)
	}
	return 1.5*highest*checkWindow.Seconds() + 5, true
}

// checkWindows checks the window that ends with each request.
func (h *limitHistory) checkWindows() {
	first := 0
	for last, s := range h.sent {
		for s.at.Sub(h.sent[first].at) >= checkWindow {
			first++
		}
		got := 0
		for _, o := range h.sent[first : last+1] {
			if o.node.isCounted(s.at) {
				got++
			}
		}
		if most, bounded := h.maxRequests(s.at); bounded {
			h.g.Expect(float64(got)).To(BeNumerically("<=", most), "at %v", s.at.Sub(h.sent[0].at))
		}
	}
}

// kill ends a node, which restarts without state under a new number. If it led, another node
// takes over.
func (h *limitHistory) kill(n *historyNode) {
	wasLeader, _ := n.peers.leadership()
	n.stoppedAt = h.clock.Now()
	for i, o := range h.nodes {
		if o == n {
			h.nodes = append(h.nodes[:i:i], h.nodes[i+1:]...)
			break
		}
	}
	side := n.side
	h.schedule(time.Second+h.randomDuration(2*time.Second), func() { h.join().side = side })
	if wasLeader {
		h.electLater(side)
	}
}

// electLater elects a leader for a side once the other nodes have detected that it has none.
func (h *limitHistory) electLater(side int) {
	h.schedule(failoverDelay, func() {
		if h.leaderOf(side) != nil {
			return
		}
		for _, n := range h.nodes {
			if n.side == side && !h.clock.Now().Before(n.frozenUntil) {
				h.setLeader(n)
				return
			}
		}
	})
}

// freeze suspends a node for a time. A leader that is frozen still leads beside its successor
// for 300 ms after it resumes.
func (h *limitHistory) freeze(n *historyNode, d time.Duration) {
	n.stoppedAt = h.clock.Now()
	n.frozenUntil = n.stoppedAt.Add(d)
	if wasLeader, _ := n.peers.leadership(); wasLeader {
		h.electLater(n.side)
		h.schedule(d+300*time.Millisecond, func() {
			for _, o := range h.nodes {
				if placing, _ := o.peers.leadership(); placing && o != n && o.side == n.side {
					n.peers.setLeader(false)
				}
			}
		})
	}
}

// partition splits the nodes for a time; each side elects its own leader.
func (h *limitHistory) partition(d time.Duration) {
	count := h.rng.IntN(len(h.nodes))
	for _, n := range h.nodes[:count] {
		n.side = 1
	}
	h.electLater(0)
	h.electLater(1)
	h.schedule(d, func() {
		leader := h.leaderOf(0)
		for _, n := range h.nodes {
			n.side = 0
		}
		if leader != nil {
			h.setLeader(leader)
		}
		h.electLater(0)
	})
}

// injectFault injects a fault of the given kind, or adds a node.
func (h *limitHistory) injectFault(kind int) {
	if len(h.nodes) == 0 {
		return
	}
	n := h.nodes[h.rng.IntN(len(h.nodes))]
	switch kind {
	case 0:
		h.kill(n)
	case 1:
		if leader := h.leaderOf(0); leader != nil {
			h.kill(leader)
		}
	case 2:
		h.freeze(n, h.randomDuration(3*time.Second))
	case 3:
		if leader := h.leaderOf(0); leader != nil {
			h.freeze(leader, h.randomDuration(3*time.Second))
		}
	case 4:
		h.partition(2*time.Second + h.randomDuration(6*time.Second))
	case 5:
		h.join()
	}
}

// All nodes together stay within the rate limit of an instance, however the limit changes and
// whichever nodes fail.
func TestRandomHistoriesStayWithinRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes := rapid.SampledFrom([]int{1, 3, 9, 20}).Draw(t, "nodes")
		limits := rapid.SliceOfN(rapid.SampledFrom([]float64{-1, 0, 0.3, 1.5, 2.2, 2.2, 2.2, 5, 10}), 1, 8).Draw(t, "figures")
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 8).Draw(t, "troubles")
		callerRate := rapid.SampledFrom([]float64{4, 20, 80}).Draw(t, "asked")
		h := newLimitHistory(NewWithT(t), rng, nodes, callerRate/float64(nodes))
		for _, f := range limits {
			h.schedule(2*time.Second+h.randomDuration(historyLength-2*time.Second), func() { h.setLimit(f) })
		}
		for _, kind := range faults {
			h.schedule(h.randomDuration(historyLength), func() { h.injectFault(kind) })
		}
		for end := h.clock.Now().Add(historyLength); h.clock.Now().Before(end); {
			h.step()
		}
		h.checkWindows()
	})
}
