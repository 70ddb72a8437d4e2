package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// coldConfiguration is a configuration in which the instances of plain services may be cold.
type coldConfiguration struct{ anyConfiguration }

func (coldConfiguration) Catalog([]byte) (*catalog.Catalog, error) {
	services := []catalog.Service{{Name: "plain", ColdStart: 3 * time.Second, ColdPerSecond: 26}, {Name: "warm"}}
	return catalog.New(1, nil, services, nil, catalog.Limits{}), nil
}

// testColdBound is the bound of the users' platform: 44 requests in a second for services of 26 a second.
var testColdBound = ratelimit.ColdBound{Excess: 1.5, Slack: 5}

// newColdHistory returns a history of nodes that bound the requests to cold instances.
func newColdHistory(g *WithT, rng *rand.Rand, nodes int, callerRate float64) *limitHistory {
	h := newLimitHistory(g, rng, 0, callerRate)
	h.decoder, h.cold = coldConfiguration{}, testColdBound
	for range nodes {
		h.join().stoppedAt = time.Time{}
	}
	h.setLeader(h.nodes[0])
	return h
}

// setCold lets a node read an entry of the instance that states a remaining cold time.
func (h *limitHistory) setCold(n *historyNode, left time.Duration) {
	h.in.Position++
	in := h.in
	in.ColdLeft = left
	n.roster.ApplyFreshEntry(in, h.clock.Now())
	n.rebuildCold()
}

// rebuildCold does what the loop that rebuilds the candidates does.
func (n *Node) rebuildCold() {
	n.coldViews(n.configState.Catalog(), n.clock.Now())
}

// restartCold makes the instance cold again, as all nodes learn at once.
func (h *limitHistory) restartCold(left time.Duration) {
	h.coldUntil = h.clock.Now().Add(left)
	for _, n := range h.nodes {
		h.setCold(n, left)
	}
	h.sent = nil
}

// mostInSecond returns the largest number of requests within a second.
func (h *limitHistory) mostInSecond() int {
	most, first := 0, 0
	for i, s := range h.sent {
		for s.at.Sub(h.sent[first].at) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Nodes that learn that an instance is cold send it no more requests together than the bound allows, and most of what it
// can handle. Without a limit, the instance gets all that callers send, as it does once it is warm.
func TestNodesTogetherStayWithinTheBoundOfAColdInstance(t *testing.T) {
	for _, nodes := range []int{1, 9, 40} {
		g := NewWithT(t)
		h := newColdHistory(g, rand.New(rand.NewPCG(1, 1)), nodes, 400/float64(nodes))
		run := func(d time.Duration) {
			for end := h.clock.Now().Add(d); h.clock.Now().Before(end); {
				h.step()
			}
		}
		run(2 * time.Second)
		h.restartCold(5 * time.Second)
		run(5*time.Second - historyTick)
		used := float64(len(h.sent)) / 5 / 26
		t.Logf("%d nodes: %d in a second at most, %.2f of the rate used", nodes, h.mostInSecond(), used)
		g.Expect(h.mostInSecond()).To(BeNumerically("<=", 44))
		g.Expect(used).To(BeNumerically(">=", 0.5))
		h.sent = nil
		run(2 * time.Second)
		g.Expect(len(h.sent)).To(BeNumerically(">", 300), "the instance is warm")
	}
}

// The bound holds whichever nodes are killed, frozen, partitioned and added.
func TestRandomHistoriesStayWithinTheBoundOfAColdInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes := rapid.SampledFrom([]int{1, 3, 9, 20}).Draw(t, "nodes")
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 8).Draw(t, "faults")
		h := newColdHistory(g, rng, nodes, rapid.SampledFrom([]float64{30, 100, 400}).Draw(t, "asked")/float64(nodes))
		h.restartCold(time.Minute)
		const length = 10 * time.Second
		for _, kind := range faults {
			h.schedule(h.randomDuration(length), func() { h.injectFault(kind) })
		}
		for end := h.clock.Now().Add(length); h.clock.Now().Before(end); {
			h.step()
		}
		g.Expect(h.mostInSecond()).To(BeNumerically("<=", 44))
	})
}

// Without a bound in the settings, or a rate in the configuration, cold instances are treated as warm.
func TestColdInstancesHaveNoLimitUnlessConfigured(t *testing.T) {
	for _, c := range []struct {
		name    string
		bound   ratelimit.ColdBound
		service string
		limited bool
	}{
		{"bound and rate", testColdBound, "plain", true},
		{"no bound", ratelimit.ColdBound{}, "plain", false},
		{"no rate", testColdBound, "warm", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := observeCold(g, c.bound)
			in := fleet.Instance{ID: "i", Service: "plain", Address: testAddress(9), ColdLeft: time.Second, Position: 5}
			if c.service == "warm" {
				in.Service = "warm"
			}
			n.roster.ApplyFreshEntry(in, n.clock.Now())
			views := n.coldViews(n.configState.Catalog(), n.clock.Now())
			g.Expect(n.CanSend(&in)).To(Equal(!c.limited))
			g.Expect(views[0].ColdUntil.IsZero()).To(Equal(!c.limited))
			n.clock.Advance(time.Second)
			g.Expect(n.CanSend(&in)).To(BeTrue(), "the cold time has passed")
		})
	}
}

// observeCold returns a node with a configuration in which instances may be cold.
func observeCold(g *WithT, bound ratelimit.ColdBound) *observedNode {
	n := observe(&noticing{})
	n.settings.Cold = bound
	n.configState.decoder = coldConfiguration{}
	g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	return n
}

// An evacuation ends: the hall's instances count as cold at once, on the word of the operator alone, until an entry
// that was certainly written since says otherwise.
func TestInstancesOfAReadmittedHallCountAsCold(t *testing.T) {
	for _, c := range []struct {
		name string
		// read is when an entry is read after the readmission, stating left.
		read, left time.Duration
		wantCold   time.Duration
	}{
		{"no entry", 0, 0, 3 * time.Second},
		{"early entry of a warm instance", 500 * time.Millisecond, 0, 3 * time.Second},
		{"later entry of a warm instance", 2500 * time.Millisecond, 0, 2500 * time.Millisecond},
		{"early entry of a colder instance", 500 * time.Millisecond, 4 * time.Second, 4500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := observeCold(g, testColdBound)
			in := fleet.Instance{ID: "i", Service: "plain", Hall: "east", Address: testAddress(9), Position: 5}
			other := fleet.Instance{ID: "other", Service: "plain", Hall: "west", Address: testAddress(10), Position: 6}
			n.roster.ApplyFreshEntry(in, n.clock.Now())
			n.roster.ApplyFreshEntry(other, n.clock.Now())
			began := n.clock.Now()
			n.HallReadmitted("east", began)
			g.Expect(n.CanSend(&other)).To(BeTrue())
			var cold time.Duration
			for !n.CanSend(&in) {
				n.clock.Advance(50 * time.Millisecond)
				cold = n.clock.Since(began)
				if cold == c.read {
					in.Position, in.ColdLeft = 7, c.left
					n.roster.ApplyFreshEntry(in, n.clock.Now())
				}
				n.rebuildCold()
			}
			g.Expect(cold).To(Equal(c.wantCold))
		})
	}
}

// An operator sees why an instance is limited, and one line for the beginning and the end of a cold time, however many
// instances it concerns.
func TestOperatorSeesColdInstances(t *testing.T) {
	g := NewWithT(t)
	n := observeCold(g, testColdBound)
	for i := range 30 {
		in := fleet.Instance{ID: state.InstanceID(fmt.Sprint("cold-", i)), Service: "plain", Hall: "east", Address: testAddress(20 + i), Position: int64(10 + i)}
		n.roster.ApplyFreshEntry(in, n.clock.Now())
	}
	n.HallReadmitted("east", n.clock.Now())
	n.clock.Advance(time.Second)
	n.sweepLimits()
	g.Expect(n.logged("cold instances began")).To(Equal(1))
	g.Expect(n.metrics.Get("cold.began")).NotTo(BeNil())
	mux := http.NewServeMux()
	n.registerOperatorHandlers(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/limits", nil))
	var list []limitState
	g.Expect(json.Unmarshal(w.Body.Bytes(), &list)).To(Succeed())
	g.Expect(list).To(HaveLen(30))
	g.Expect(list[0].Cause).To(Equal(ratelimit.CauseCold))
	g.Expect(list[0].PerSecond).To(Equal(26.0))
	g.Expect(list[0].WarmInMS).To(Equal(int64(2000)))
	n.clock.Advance(3 * time.Second)
	n.sweepLimits()
	g.Expect(n.logged("cold instances ended")).To(Equal(1))
	g.Expect(n.limits.ColdCount()).To(BeZero())
}

// coldReporting returns a leader and two nodes that report to it, of which the leader has read that the instance is cold for 3 s.
func coldReporting(g *WithT) (*limitHistory, *reportingNodes) {
	h := newColdHistory(g, rand.New(rand.NewPCG(1, 1)), 3, 0)
	h.clock.Advance(2 * time.Second) // the nodes are settled
	r := &reportingNodes{h.nodes[0].Node, h.nodes[1].Node, h.nodes[2].Node, h.in, h.clock}
	const left = 3 * time.Second
	h.coldUntil = h.clock.Now().Add(left)
	h.setCold(h.nodes[0], left)
	return h, r
}

// spendFor lets all nodes send as many requests to the cold instance as they may for a time, and returns their number.
func (r *reportingNodes) spendFor(g *WithT, d time.Duration) int {
	sent := 0
	for range d / (100 * time.Millisecond) {
		r.advance(g, 100*time.Millisecond)
		for _, n := range []*Node{r.leader, r.a, r.b} {
			n.rebuildCold()
			_, limited := n.RateLimit(&r.in)
			g.Expect(limited).To(BeTrue(), n.settings.Name)
			sent += spend(n, &r.in)
		}
	}
	return sent
}

// The leader alone reads that an instance is cold: the others learn it from the leader's answers, and get grants. The time is
// relayed with its age, so that it ends at no node before it does at the instance.
func TestColdInstanceIsRelayedByTheLeader(t *testing.T) {
	g := NewWithT(t)
	h, r := coldReporting(g)
	r.advance(g, 300*time.Millisecond)
	for _, n := range []*Node{r.a, r.b} {
		n.rebuildCold()
		l, limited := n.limits.LimitOf(r.in.Incarnation(), h.clock.Now())
		g.Expect(limited).To(BeTrue())
		g.Expect(l.Cause).To(Equal(ratelimit.CauseCold))
		g.Expect(l.ColdUntil).NotTo(BeTemporally("<", h.coldUntil))
		g.Expect(l.ColdUntil.Sub(h.coldUntil)).To(BeNumerically("<", 300*time.Millisecond))
	}
	sent := r.spendFor(g, time.Second)
	g.Expect(sent).To(And(BeNumerically(">", 10), BeNumerically("<=", 44)))
	h.clock.Advance(3 * time.Second)
	for _, n := range []*Node{r.leader, r.a, r.b} {
		g.Expect(n.CanSend(&r.in)).To(BeTrue())
	}
}

// A limit that the instance announced itself applies as well: the lower one counts, and each ends by itself.
func TestLowerOfAnnouncedAndColdLimitCounts(t *testing.T) {
	for _, c := range []struct {
		name      string
		announced float64
		perSecond float64
		cause     ratelimit.Cause
	}{
		{"lower announced limit", 4, 4, ratelimit.CauseAnnounced},
		{"higher announced limit", 100, 26, ratelimit.CauseCold},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h, r := coldReporting(g)
			r.leader.RecordNotice(&r.in, limitedTo(c.announced), "r", h.clock.Now())
			l, _ := r.leader.limits.LimitOf(r.in.Incarnation(), h.clock.Now())
			g.Expect(l.PerSecond).To(Equal(c.perSecond))
			g.Expect(l.Cause).To(Equal(c.cause))
			h.clock.Advance(time.Millisecond)
			r.leader.RecordNotice(&r.in, fleet.Notice{RateLimit: fleet.Unlimited()}, "r", h.clock.Now())
			l, _ = r.leader.limits.LimitOf(r.in.Incarnation(), h.clock.Now())
			g.Expect(l.PerSecond).To(Equal(26.0), "the instance is still cold")
			h.clock.Advance(time.Millisecond)
			r.leader.RecordNotice(&r.in, limitedTo(c.announced), "r", h.clock.Now())
			h.clock.Advance(4 * time.Second)
			l, limited := r.leader.limits.LimitOf(r.in.Incarnation(), h.clock.Now())
			g.Expect(limited).To(BeTrue())
			g.Expect(l.PerSecond).To(Equal(c.announced), "the instance is warm")
		})
	}
}

// Probes do not count against the limit of a cold instance and need no grant, unlike those of an instance that announced a
// limit.
func TestProbesOfColdInstancesNeedNoGrant(t *testing.T) {
	g := NewWithT(t)
	h, r := coldReporting(g)
	by := ratelimit.ProbeRequest{}
	for range 100 {
		g.Expect(r.leader.limits.CanProbe(r.in.Incarnation(), by, h.clock.Now())).To(BeTrue())
		g.Expect(r.leader.limits.TryProbe(r.in.Incarnation(), by, h.clock.Now())).To(BeTrue())
	}
	r.advance(g, 300*time.Millisecond)
	g.Expect(r.spendFor(g, time.Second)).To(BeNumerically(">", 10))
	g.Expect(r.leader.TrySend(&r.in)).To(BeFalse())
	g.Expect(r.leader.metrics.Get("cold.held-back")).NotTo(BeNil())
}

// A node of a build without cold instances would send as many requests as it likes: the leader keeps it away from cold ones,
// as it keeps older ones away from instances with announced limits.
func TestEarlierBuildsAreKeptFromColdInstances(t *testing.T) {
	for _, c := range []struct {
		version    int
		isShielded bool
	}{{0, true}, {protocolRateLimits, true}, {protocolForwarding, true}, {protocolColdInstances, false}, {protocolColdInstances + 1, false}} {
		t.Run(fmt.Sprint("version ", c.version), func(t *testing.T) {
			g := NewWithT(t)
			_, r := coldReporting(g)
			a := reportAsVersion(g, r.a, r.leader, c.version)
			g.Expect(a.InProgress[r.in.ID] > 0).To(Equal(c.isShielded))
		})
	}
}

// A leader of a build without cold instances relays no cold times: the other nodes read the list themselves meanwhile.
func TestListIsReadUnderALeaderThatRelaysNoColdTimes(t *testing.T) {
	g := NewWithT(t)
	_, r := coldReporting(g)
	r.advance(g, 300*time.Millisecond)
	r.a.feed.record(r.clock.Now(), r.clock.Now())
	g.Expect(r.a.leavesListToLeader(r.clock.Now())).To(BeTrue())
	r.a.peers.mergeLimits(&StatusAnswer{Protocol: protocolForwarding}, r.clock.Now())
	g.Expect(r.a.leavesListToLeader(r.clock.Now())).To(BeFalse())
	r.a.settings.Cold = ratelimit.ColdBound{}
	r.a.peers.mergeLimits(&StatusAnswer{Protocol: protocolForwarding}, r.clock.Now())
	g.Expect(r.a.leavesListToLeader(r.clock.Now())).To(BeTrue())
}
