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

// Times of the histories.
const (
	historyTick   = 10 * time.Millisecond
	historyLength = 30 * time.Second
	// noticeAfter is how long the other nodes take to notice that their leader is gone.
	noticeAfter = 700 * time.Millisecond
	// judgedAfter is how long after a limit began, or changed, the spans begin in which nodes
	// must keep to it.
	judgedAfter = time.Second
	judgedSpan  = 4 * time.Second
	// toldFor is how long a node must have been told of a limit for its requests to count.
	toldFor = 500 * time.Millisecond
)

// limitHistory is a set of nodes before one instance, which names limits that change, under
// killed leaders, cuts, frozen nodes and nodes that join. Nodes are real but for their
// connections; time is simulated.
type limitHistory struct {
	g     *WithT
	rng   *rand.Rand
	clock *clockwork.FakeClock
	nodes []*historyNode
	in    fleet.Instance
	// asked is how many requests a second callers send to each node, on average.
	asked float64
	// said is what the instance names now, figures all that it named with when.
	said    fleet.RateLimit
	figures []figure
	sent    []historySend
	events  []historyEvent
	number  int64
}

// figure is what the instance named from a time on; below 0 is no limit.
type figure struct {
	at        time.Time
	perSecond float64
}

// historySend is a request that a node sent.
type historySend struct {
	at time.Time
	by *historyNode
}

// historyNode is a node of a history.
type historyNode struct {
	*Node
	// side tells the two sides of a cut apart, report is when the node reports next.
	side   int
	report time.Time
	frozen time.Time
	busy   float64
	// stopped is when the node was last started, killed or frozen: what it knew is forgotten
	// then, and what it sent does not count for a while.
	stopped time.Time
	// told is when the instance first named a limit to the node.
	told time.Time
}

// counts reports whether the requests of a node count in the span that ends at a time.
func (n *historyNode) counts(end time.Time) bool {
	last := n.frozen
	if n.stopped.After(last) {
		last = n.stopped
	}
	told := !n.told.IsZero() && end.Sub(n.told) >= toldFor
	return told && (n.stopped.IsZero() || end.Sub(last) > judgedSpan+judgedAfter)
}

// historyEvent is something that happens at a time.
type historyEvent struct {
	at time.Time
	do func()
}

// newLimitHistory returns a history with a number of nodes of which the first leads.
func newLimitHistory(g *WithT, rng *rand.Rand, nodes int, asked float64) *limitHistory {
	h := &limitHistory{g: g, rng: rng, clock: clockwork.NewFakeClock(), asked: asked, said: fleet.Unlimited()}
	h.in = fleet.Instance{ID: "i", Service: "plain", Address: testAddress(200)}
	for range nodes {
		h.join().stopped = time.Time{}
	}
	h.lead(h.nodes[0])
	return h
}

// join adds a node that knows all others.
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

// upTo draws a time.
func (h *limitHistory) upTo(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d)))
}

// lead has a node lead its side of a cut, and no other one.
func (h *limitHistory) lead(leader *historyNode) {
	for _, n := range h.nodes {
		if n.side == leader.side && !h.clock.Now().Before(n.frozen) {
			n.peers.setPlacing(n == leader)
		}
	}
}

// leaderOf returns the node that leads a side, or nil.
func (h *limitHistory) leaderOf(side int) *historyNode {
	for _, n := range h.nodes {
		if placing, _ := n.peers.isPlacing(); placing && n.side == side && !h.clock.Now().Before(n.frozen) {
			return n
		}
	}
	return nil
}

// after has something happen after a time.
func (h *limitHistory) after(d time.Duration, do func()) {
	h.events = append(h.events, historyEvent{h.clock.Now().Add(d), do})
}

// step plays one tick.
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

// tell has a node report to the leader of its side.
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

// send has a node send a request if it may; the answer names the limit.
func (h *limitHistory) send(n *historyNode, now time.Time) {
	if !n.CanSend(&h.in) || !n.TrySend(&h.in) {
		return
	}
	h.sent = append(h.sent, historySend{now, n})
	h.after(time.Duration(h.rng.IntN(300))*time.Millisecond, func() {
		if !h.clock.Now().Before(n.frozen) {
			if n.told.IsZero() && h.said.Limited {
				n.told = h.clock.Now()
			}
			n.RecordNotice(&h.in, fleet.Notice{RateLimit: h.said}, "", now)
		}
	})
}

// name has the instance name another limit; below 0 none.
func (h *limitHistory) name(perSecond float64) {
	h.said = fleet.LimitedTo(perSecond)
	if perSecond < 0 {
		h.said = fleet.Unlimited()
	}
	h.figures = append(h.figures, figure{h.clock.Now(), perSecond})
}

// allowed returns how many requests may reach the instance in the span that ends at a time, or
// that they are not bounded: by the highest limit that nodes may still have kept to.
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

// check checks the span that ends with each request.
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

// kill ends a node; it is back, with nothing, under another number. If it led, another follows.
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

// follow has another node lead a side once it is noticed that none does.
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

// freeze has a node do nothing for a time. One that led goes on leading beside its follower
// for a moment once it wakes.
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

// cut cuts some nodes off for a time; each side has a leader of its own.
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

// trouble has something happen to the nodes.
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

// However limits change and whatever happens to nodes, the instance gets from all of them
// together no more than it allows.
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
