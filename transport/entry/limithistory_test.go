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
	// noticeAfter is how long the other nodes take to detect the failure of their leader.
	noticeAfter = 700 * time.Millisecond
	// judgedAfter is the grace period after a limit is first set or changes, before the nodes
	// must keep to it. judgedSpan is the length of the window in which requests are counted.
	judgedAfter = time.Second
	judgedSpan  = 4 * time.Second
	// toldFor is how long a node must have known of a limit for its requests to count.
	toldFor = 500 * time.Millisecond
)

// limitHistory simulates a set of nodes that send to one instance whose rate limit changes,
// while nodes are killed, frozen, partitioned and added. The nodes are real except for their
// connections; time is simulated.
type limitHistory struct {
	g     *WithT
	rng   *rand.Rand
	clock *clockwork.FakeClock
	nodes []*historyNode
	in    fleet.Instance
	// asked is the mean rate of requests from callers to each node, per second.
	asked float64
	// said is the current limit of the instance, figures are all its limits with their times.
	said    fleet.RateLimit
	figures []figure
	sent    []historySend
	events  []historyEvent
	number  int64
}

// figure is a limit that the instance set at a time; a negative rate is no limit.
type figure struct {
	at        time.Time
	perSecond float64
}

// historySend is a request that a node sent.
type historySend struct {
	at time.Time
	by *historyNode
}

// historyNode is a simulated node.
type historyNode struct {
	*Node
	// side is the side of a network partition that the node is on, report is when it sends its
	// next status report, frozen is until when it is frozen.
	side   int
	report time.Time
	frozen time.Time
	busy   float64
	// stopped is when the node was last started, killed or frozen: it loses its knowledge of
	// limits then, and its requests do not count for a while.
	stopped time.Time
	// told is when the node first received a limit from the instance.
	told time.Time
}

// counts reports whether the requests of a node count in the window that ends at a time.
func (n *historyNode) counts(end time.Time) bool {
	last := n.frozen
	if n.stopped.After(last) {
		last = n.stopped
	}
	told := !n.told.IsZero() && end.Sub(n.told) >= toldFor
	return told && (n.stopped.IsZero() || end.Sub(last) > judgedSpan+judgedAfter)
}

// historyEvent is an event scheduled at a time.
type historyEvent struct {
	at time.Time
	do func()
}

// newLimitHistory returns a history with the given number of nodes, the first of which leads.
func newLimitHistory(g *WithT, rng *rand.Rand, nodes int, asked float64) *limitHistory {
	h := &limitHistory{g: g, rng: rng, clock: clockwork.NewFakeClock(), asked: asked, said: fleet.Unlimited()}
	h.in = fleet.Instance{ID: "i", Service: "plain", Address: testAddress(200)}
	for range nodes {
		h.join().stopped = time.Time{}
	}
	h.lead(h.nodes[0])
	return h
}

// join adds a node and makes it and all others known to each other.
func (h *limitHistory) join() *historyNode {
	h.number++
	name := fmt.Sprint("n", h.number)
	set := &Settings{Name: name, Hall: "hall", Peer: testAddress(int(h.number)), Capacity: 1, Policy: DefaultPolicy()}
	n := New(set, Ports{Decoder: anyConfiguration{}}, h.clock, &log.Logger{Handler: discard.New()})
	n.number.Store(h.number)
	n.dealer = ratelimit.NewAllocator(set.Policy.RateLimit, h.rng.Float64)
	h.g.Expect(n.know.Learn([]byte("x"))).Error().NotTo(HaveOccurred())
	n.roster.ApplyFreshEntry(h.in, h.clock.Now())
	n.peers.setComplete()
	for _, o := range h.nodes {
		n.peers.learn(o.peers.self())
		o.peers.learn(n.peers.self())
	}
	joined := &historyNode{Node: n, busy: h.rng.ExpFloat64(), report: h.clock.Now().Add(h.upTo(250 * time.Millisecond))}
	h.nodes = append(h.nodes, joined)
	joined.stopped = h.clock.Now()
	return joined
}

// upTo draws a random duration below d.
func (h *limitHistory) upTo(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d)))
}

// lead makes a node the only leader on its side of a partition.
func (h *limitHistory) lead(leader *historyNode) {
	for _, n := range h.nodes {
		if n.side == leader.side && !h.clock.Now().Before(n.frozen) {
			n.peers.setPlacing(n == leader)
		}
	}
}

// leaderOf returns the leader of a side, or nil.
func (h *limitHistory) leaderOf(side int) *historyNode {
	for _, n := range h.nodes {
		if placing, _ := n.peers.isPlacing(); placing && n.side == side && !h.clock.Now().Before(n.frozen) {
			return n
		}
	}
	return nil
}

// after schedules an event.
func (h *limitHistory) after(d time.Duration, do func()) {
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
		if now.Before(n.frozen) {
			continue
		}
		n.storeRead(now)
		if now.UnixMilli()%50 == 0 {
			n.dealLimits(now)
		}
		if !now.Before(n.report) {
			h.tell(n, now)
			n.report = now.Add(n.policy.StatusInterval)
		}
		for at := h.rng.ExpFloat64(); at < h.asked*n.busy*historyTick.Seconds(); at += h.rng.ExpFloat64() {
			h.send(n, now)
		}
	}
}

// tell sends a node's status report to the leader of its side.
func (h *limitHistory) tell(n *historyNode, now time.Time) {
	leader := h.leaderOf(n.side)
	if leader == nil || leader == n {
		return
	}
	resp, err := leader.peers.answer(context.Background(), connect.NewRequest(n.peers.word()))
	h.g.Expect(err).NotTo(HaveOccurred())
	if resp.Msg.Placing {
		n.peers.take(resp.Msg, now)
	}
}

// send sends a request from a node if the limit admits it; the response carries the limit.
func (h *limitHistory) send(n *historyNode, now time.Time) {
	if !n.Open(&h.in) || !n.Send(&h.in) {
		return
	}
	h.sent = append(h.sent, historySend{now, n})
	h.after(time.Duration(h.rng.IntN(300))*time.Millisecond, func() {
		if !h.clock.Now().Before(n.frozen) {
			if n.told.IsZero() && h.said.Limited {
				n.told = h.clock.Now()
			}
			n.Told(&h.in, fleet.Notice{RateLimit: h.said}, "", now)
		}
	})
}

// name sets the limit of the instance; a negative rate removes it.
func (h *limitHistory) name(perSecond float64) {
	h.said = fleet.LimitedTo(perSecond)
	if perSecond < 0 {
		h.said = fleet.Unlimited()
	}
	h.figures = append(h.figures, figure{h.clock.Now(), perSecond})
}

// allowed returns how many requests may reach the instance in the window that ends at a time,
// and whether there is a bound. The bound follows from the highest limit that nodes may still
// have applied: half as much again as this limit, and five requests.
func (h *limitHistory) allowed(end time.Time) (most float64, bounded bool) {
	from := end.Add(-judgedSpan - judgedAfter)
	if len(h.figures) == 0 || h.figures[0].at.After(from) {
		return 0, false
	}
	highest := -1.0
	for i, f := range h.figures {
		until := end
		if i+1 < len(h.figures) {
			until = h.figures[i+1].at
		}
		if until.Before(from) || f.at.After(end) {
			continue
		}
		if f.perSecond < 0 {
			return 0, false
		}
		highest = max(highest, f.perSecond)
	}
	return 1.5*highest*judgedSpan.Seconds() + 5, true
}

// check checks the window that ends with each request.
func (h *limitHistory) check() {
	first := 0
	for last, s := range h.sent {
		for s.at.Sub(h.sent[first].at) >= judgedSpan {
			first++
		}
		got := 0
		for _, o := range h.sent[first : last+1] {
			if o.by.counts(s.at) {
				got++
			}
		}
		if most, bounded := h.allowed(s.at); bounded {
			h.g.Expect(float64(got)).To(BeNumerically("<=", most), "at %v", s.at.Sub(h.sent[0].at))
		}
	}
}

// kill ends a node, which restarts without state under a new number. If it led, another node
// takes over.
func (h *limitHistory) kill(n *historyNode) {
	led, _ := n.peers.isPlacing()
	n.stopped = h.clock.Now()
	for i, o := range h.nodes {
		if o == n {
			h.nodes = append(h.nodes[:i:i], h.nodes[i+1:]...)
			break
		}
	}
	side := n.side
	h.after(time.Second+h.upTo(2*time.Second), func() { h.join().side = side })
	if led {
		h.follow(side)
	}
}

// follow elects a leader for a side once the other nodes have detected that it has none.
func (h *limitHistory) follow(side int) {
	h.after(noticeAfter, func() {
		if h.leaderOf(side) != nil {
			return
		}
		for _, n := range h.nodes {
			if n.side == side && !h.clock.Now().Before(n.frozen) {
				h.lead(n)
				return
			}
		}
	})
}

// freeze suspends a node for a time. A leader that is frozen still leads beside its successor
// for 300 ms after it resumes.
func (h *limitHistory) freeze(n *historyNode, d time.Duration) {
	n.stopped = h.clock.Now()
	n.frozen = n.stopped.Add(d)
	if led, _ := n.peers.isPlacing(); led {
		h.follow(n.side)
		h.after(d+300*time.Millisecond, func() {
			for _, o := range h.nodes {
				if placing, _ := o.peers.isPlacing(); placing && o != n && o.side == n.side {
					n.peers.setPlacing(false)
				}
			}
		})
	}
}

// cut partitions the nodes for a time; each side elects its own leader.
func (h *limitHistory) cut(d time.Duration) {
	some := h.rng.IntN(len(h.nodes))
	for _, n := range h.nodes[:some] {
		n.side = 1
	}
	h.follow(0)
	h.follow(1)
	h.after(d, func() {
		leader := h.leaderOf(0)
		for _, n := range h.nodes {
			n.side = 0
		}
		if leader != nil {
			h.lead(leader)
		}
		h.follow(0)
	})
}

// trouble injects a fault of the given kind, or adds a node.
func (h *limitHistory) trouble(kind int) {
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
		h.freeze(n, h.upTo(3*time.Second))
	case 3:
		if leader := h.leaderOf(0); leader != nil {
			h.freeze(leader, h.upTo(3*time.Second))
		}
	case 4:
		h.cut(2*time.Second + h.upTo(6*time.Second))
	case 5:
		h.join()
	}
}

// All nodes together stay within the rate limit of an instance, however the limit changes and
// whichever nodes fail.
func TestDrawnHistoriesKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes := rapid.SampledFrom([]int{1, 3, 9, 20}).Draw(t, "nodes")
		figures := rapid.SliceOfN(rapid.SampledFrom([]float64{-1, 0, 0.3, 1.5, 2.2, 2.2, 2.2, 5, 10}), 1, 8).Draw(t, "figures")
		troubles := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 8).Draw(t, "troubles")
		asked := rapid.SampledFrom([]float64{4, 20, 80}).Draw(t, "asked")
		h := newLimitHistory(NewWithT(t), rng, nodes, asked/float64(nodes))
		for _, f := range figures {
			h.after(2*time.Second+h.upTo(historyLength-2*time.Second), func() { h.name(f) })
		}
		for _, kind := range troubles {
			h.after(h.upTo(historyLength), func() { h.trouble(kind) })
		}
		for end := h.clock.Now().Add(historyLength); h.clock.Now().Before(end); {
			h.step()
		}
		h.check()
	})
}
