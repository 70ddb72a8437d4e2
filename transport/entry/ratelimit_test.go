package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state/fleet"
)

// limitedTo returns a notice with a rate limit in requests per second.
func limitedTo(perSecond float64) fleet.Notice {
	return fleet.Notice{RateLimit: fleet.LimitedTo(perSecond)}
}

func TestBeginningChangeAndEndOfRateLimitAreLogged(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	record := func(notice fleet.Notice) {
		n.clock.Advance(time.Second)
		n.RecordNotice(&n.in, notice, "r", n.clock.Now().Add(-time.Millisecond))
	}
	record(fleet.Notice{RateLimit: fleet.Unlimited()})
	g.Expect(n.logged("rate limit ended")).To(BeZero())
	for _, perSecond := range []float64{2, 2, 3, 1, 1} {
		record(limitedTo(perSecond))
	}
	g.Expect(n.logged("rate limit began")).To(Equal(1))
	g.Expect(n.logged("rate limit changed")).To(Equal(2))
	record(fleet.Notice{})
	g.Expect(n.logged("rate limit ended")).To(BeZero(), "a notice without a rate limit changes nothing")
	for range 2 {
		record(fleet.Notice{RateLimit: fleet.Unlimited()})
	}
	g.Expect(n.logged("rate limit ended")).To(Equal(1))
	record(limitedTo(2))
	g.Expect(n.logged("rate limit began")).To(Equal(2))
}

func TestUnreadableRateLimitIsLoggedOncePerIncarnation(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	bad := fleet.Notice{RateLimit: fleet.RateLimit{Fault: errors.New("rate limit is not a number")}}
	n.RecordNotice(&n.in, limitedTo(2), "r", n.clock.Now())
	for range 3 {
		n.clock.Advance(time.Second)
		n.RecordNotice(&n.in, bad, "r", n.clock.Now())
	}
	g.Expect(n.logged("rate limit not read")).To(Equal(1))
	g.Expect(n.logged("rate limit ended")).To(BeZero(), "the last rate limit read stays in force")
	next := n.in
	next.Born = next.Born.Add(time.Second)
	n.RecordNotice(&next, bad, "r", n.clock.Now())
	g.Expect(n.logged("rate limit not read")).To(Equal(2))
}

func TestOperatorListsRateLimitedInstances(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	n.RecordNotice(&n.in, limitedTo(2.5), "r1", n.clock.Now())
	n.clock.Advance(time.Second)
	mux := http.NewServeMux()
	n.registerOperatorHandlers(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/limits", nil))
	var list []limitState
	g.Expect(json.Unmarshal(w.Body.Bytes(), &list)).To(Succeed())
	g.Expect(list).To(Equal([]limitState{{Instance: "i", PerSecond: 2.5, Cause: ratelimit.CauseAnnounced, SinceMS: 1000, AnsweredMS: 1000}}))
}

// spend takes all tokens of a node for an instance and returns how many there were.
func spend(n *Node, in *fleet.Instance) int {
	sent := 0
	for n.TrySend(in) {
		sent++
	}
	return sent
}

// reportingNodes is a leader and two nodes that report to it. All three know one instance and share a clock.
type reportingNodes struct {
	leader, a, b *Node
	in           fleet.Instance
	clock        *clockwork.FakeClock
}

// newReporting returns three nodes that know each other.
func newReporting(g *WithT) *reportingNodes {
	h := newLimitHistory(g, rand.New(rand.NewPCG(1, 1)), 3, 0)
	return &reportingNodes{h.nodes[0].Node, h.nodes[1].Node, h.nodes[2].Node, h.in, h.clock}
}

// advance advances the clock by d in steps. In each one the nodes divide the rate limits and send
// status reports to the leader.
func (r *reportingNodes) advance(g *WithT, d time.Duration) {
	for range d / (100 * time.Millisecond) {
		r.clock.Advance(100 * time.Millisecond)
		for _, n := range []*Node{r.leader, r.a, r.b} {
			n.recordStoreRead(r.clock.Now())
			n.allocateRates(r.clock.Now())
		}
		exchangeReport(g, r.a, r.leader)
		exchangeReport(g, r.b, r.leader)
	}
}

// One node receives a rate limit from an instance, then a lower one, and another node the end of the
// limit. All nodes apply each of them.
func TestAllNodesApplyRateLimitReceivedByOne(t *testing.T) {
	g := NewWithT(t)
	r := newReporting(g)
	all := []*Node{r.leader, r.a, r.b}
	for _, perSecond := range []float64{4, 1, 3} {
		r.a.RecordNotice(&r.in, limitedTo(perSecond), "r", r.clock.Now())
		r.advance(g, 200*time.Millisecond)
		for _, n := range all {
			got, limited := n.RateLimit(&r.in)
			g.Expect(limited).To(BeTrue(), n.settings.Name)
			g.Expect(got).To(Equal(perSecond), n.settings.Name)
		}
	}
	r.advance(g, 2*time.Second)
	admitted := 0
	for _, n := range all {
		admitted += spend(n, &r.in)
	}
	g.Expect(admitted).To(And(BeNumerically(">=", 3), BeNumerically("<=", 5)), "one second of the rate and two requests more, over all nodes")
	r.b.RecordNotice(&r.in, fleet.Notice{RateLimit: fleet.Unlimited()}, "r", r.clock.Now())
	r.advance(g, 200*time.Millisecond)
	for _, n := range all {
		g.Expect(n.CanSend(&r.in)).To(BeTrue(), n.settings.Name)
		g.Expect(n.peers.statusReport().UsesGrants).To(BeFalse(), "no node reports use of grants without a rate limit")
	}
}

// A node that gets no grants from a leader, as with a leader of an earlier version or behind a
// network partition, uses no more than its equal share of the rate limit.
func TestNodeWithoutGrantsKeepsToItsShare(t *testing.T) {
	for _, c := range []struct {
		name          string
		leaderAnswers func(g *WithT, r *reportingNodes)
	}{
		{"no leader", func(*WithT, *reportingNodes) {}},
		{"leader of an earlier version", func(g *WithT, r *reportingNodes) {
			resp, err := r.leader.peers.handleStatusReport(context.Background(), connect.NewRequest(r.a.peers.statusReport()))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Msg.unpack()).To(Succeed())
			a := resp.Msg
			a.Limits, a.LimitsVersion, a.Grants, a.AllocatesRates, a.PossibleNodes = nil, 0, nil, false, 0
			r.a.peers.applyAnswer(a, r.clock.Now())
		}},
		{"node leads alone", func(_ *WithT, r *reportingNodes) { r.a.peers.setLeader(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newReporting(g)
			r.a.RecordNotice(&r.in, limitedTo(3), "r", r.clock.Now())
			r.advance(g, 2*time.Second)
			r.clock.Advance(2 * time.Second)
			spend(r.a, &r.in)
			sent := 0
			for range 200 {
				r.clock.Advance(100 * time.Millisecond)
				c.leaderAnswers(g, r)
				r.a.allocateRates(r.clock.Now())
				sent += spend(r.a, &r.in)
			}
			g.Expect(sent).To(BeNumerically("~", 20, 3), "a third of 3 requests per second, for 20 s")
		})
	}
}

// Rate limits are divided by the number of nodes that may be running. A node that was replaced by
// one at another address is no longer counted after NodeRetention. A node behind a network partition
// is counted until then, and again once it reports.
func TestNodesSilentForLongLoseTheirShare(t *testing.T) {
	g := NewWithT(t)
	r := newReporting(g)
	forgetNode := r.leader.policy.NodeRetention
	r.clock.Advance(forgetNode - time.Second)
	exchangeReport(g, r.a, r.leader)
	g.Expect(r.leader.peers.possibleNodes(r.clock.Now())).To(Equal(3))
	r.clock.Advance(2 * time.Second)
	exchangeReport(g, r.a, r.leader)
	g.Expect(r.leader.peers.possibleNodes(r.clock.Now())).To(Equal(2))
	g.Expect(r.a.peers.possibleNodes(r.clock.Now())).To(Equal(2), "as the leader answered")
	exchangeReport(g, r.b, r.leader)
	g.Expect(r.leader.peers.possibleNodes(r.clock.Now())).To(Equal(3))
	// A new leader has no report of any node yet, and counts all of them until NodeRetention has passed.
	r.leader.peers.setLeader(false)
	r.a.peers.setLeader(true)
	g.Expect(r.a.peers.possibleNodes(r.clock.Now())).To(Equal(3))
}

func TestRateLimitedInstanceIsProbedRarely(t *testing.T) {
	for _, c := range []struct {
		name        string
		leading     bool
		err         error
		maxProbes   int
		unreachable bool
	}{
		{"probed by the leader", true, nil, 3, false},
		{"not probed by another node", false, nil, 0, false},
		{"instance does not answer", true, context.DeadlineExceeded, 10, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			targets := &noticing{notice: limitedTo(2), err: c.err}
			n := observe(targets)
			n.RecordNotice(&n.in, limitedTo(2), "r", n.clock.Now())
			n.peers.setLeader(c.leading)
			for range 100 {
				n.clock.Advance(100 * time.Millisecond)
				n.probeAndRecord(context.Background(), n.in, n.clock.Now())
			}
			g.Expect(targets.asked).To(And(BeNumerically("<=", c.maxProbes), BeNumerically(">=", c.maxProbes/2)))
			v, _ := n.roster.Get("i", n.clock.Now())
			g.Expect(v.Unreachable).To(Equal(c.unreachable))
		})
	}
}
