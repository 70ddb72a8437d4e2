package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// distantConfiguration decodes every record as a configuration with a delay between two halls.
type distantConfiguration struct {
	anyConfiguration
	delay time.Duration
}

func (d distantConfiguration) Catalog([]byte) (*catalog.Catalog, error) {
	engine := &catalog.Engine{
		BatchSlots: 10, Models: []catalog.Model{{Name: "m", GroupSize: 1, ExpectedShare: 1}},
		Delays: []catalog.HallDelay{{From: "near", To: "far", Delay: d.delay}},
	}
	return catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}, {Name: "plain"}}, nil, catalog.Limits{}), nil
}

// newHallNode returns a node in a hall that knows a configuration with a delay between halls, and two open groups in each hall.
func newHallNode(g *WithT, number int, hall state.HallName, delay time.Duration, clock clockwork.Clock) *Node {
	set := &Settings{Name: fmt.Sprint("node-", number), Hall: hall, PeerAddress: testAddress(number), Capacity: 1, MaxKeyAge: time.Second, Policy: DefaultPolicy()}
	n := New(set, Ports{Decoder: distantConfiguration{delay: delay}}, clock, &log.Logger{Handler: discard.New()})
	n.incarnationNumber.Store(int64(number))
	g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	n.recordStoreRead(clock.Now())
	for i, h := range []state.HallName{"near", "near", "far", "far"} {
		id := state.InstanceID(fmt.Sprint(h, i))
		n.roster.ApplyFreshEntry(fleet.Instance{
			ID: id, Service: "lm", Model: "m", Hall: h, Address: testAddress(100 + i), Slots: 10,
			Membership: fleet.Membership{Group: state.GroupName(id), Epoch: state.Epoch(1 + i), State: fleet.Open},
		}, clock.Now())
	}
	n.table.Update(n.configState.Catalog(), n.roster.All(clock.Now()), n.isExcluded)
	return n
}

// localShare returns the fraction of a node's picks that are in its own hall.
func localShare(n *Node) float64 {
	const draws = 1000
	local := 0.0
	for range draws {
		if n.table.Pick("lm", "m", n.clock.Now(), func(*dispatch.Candidate) bool { return false }).Hall == n.settings.Hall {
			local += 1.0 / draws
		}
	}
	return local
}

// The nodes of both halls must learn the demand by hall from the leader and divide their requests by it, but only where the
// configuration states delays that matter, and for no longer than the leader's totals are used.
func TestNodesDivideRequestsByTheLeadersDemandByHall(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		// divided reports whether the requests are divided.
		divided bool
	}{
		{"a delay that matters", 3 * time.Millisecond, true},
		{"a delay that does not matter", 900 * time.Microsecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			leader := newHallNode(g, 1, "near", c.delay, clock)
			leader.peers.setLeader(true)
			near, far := newHallNode(g, 2, "near", c.delay, clock), newHallNode(g, 3, "far", c.delay, clock)
			for _, r := range []struct {
				number int
				hall   state.HallName
				rate   float64
				inUse  map[state.InstanceID]int
			}{
				{4, "near", 2, map[state.InstanceID]int{"near0": 1, "near1": 1}},
				{5, "far", 14, map[state.InstanceID]int{"far2": 7, "far3": 7}},
			} {
				recordReport(leader, r.number, r.hall, func(report *receivedReport) {
					report.report.InProgress = r.inUse
					report.report.Demand = []demand.Flow{{Service: "lm", Model: "m", Requests: r.rate}, {Service: "lm", Model: "unknown", Requests: 1}, {Service: "plain", Requests: 9}}
				})
			}
			for _, n := range []*Node{near, far} {
				n.peers.applyAnswer(reportAsVersion(g, n, leader, protocolVersion), clock.Now())
			}
			if !c.divided {
				g.Expect(leader.peers.demandByHall()).To(BeEmpty())
				g.Expect(localShare(near)).To(BeNumerically("<", 1), "the constant cost of another hall")
				return
			}
			g.Expect(leader.peers.demandByHall()).To(Equal([]demand.HallFlow{{Service: "lm", Model: "m", Requests: map[state.HallName]float64{"near": 2, "far": 14}}}))
			g.Expect(localShare(near)).To(BeNumerically("~", 1, 1e-6))
			g.Expect(localShare(far)).To(BeNumerically("<", 0.7), "the hall has no room for all")
			clock.Advance(DefaultPolicy().Node.NodeTimeout)
			g.Expect(localShare(near)).To(BeNumerically("<", 1), "the plan is too old")
		})
	}
}

// A leader of an earlier build relays no demand by hall: a node must choose as builds before did, also right after it had
// plans from a leader of this build.
func TestEarlierLeadersRelayNoDemandByHall(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	leader, n := newHallNode(g, 1, "near", time.Second, clock), newHallNode(g, 2, "far", time.Second, clock)
	leader.peers.setLeader(true)
	recordReport(leader, 4, "far", func(r *receivedReport) {
		r.report.InProgress = map[state.InstanceID]int{"far2": 3, "far3": 3}
		r.report.Demand = []demand.Flow{{Service: "lm", Model: "m", Requests: 9}}
	})
	a := reportAsVersion(g, n, leader, protocolVersion)
	n.peers.applyAnswer(a, clock.Now())
	g.Expect(localShare(n)).To(BeNumerically("~", 1, 1e-6))
	a.HallDemand = nil
	n.peers.applyAnswer(a, clock.Now())
	g.Expect(localShare(n)).To(BeNumerically("<", 0.6), "the groups of the other hall are less loaded")
}

// The totals are relayed to each node four times a second. What they gain must stay small in a system of hundreds of nodes,
// whatever models callers name.
func TestDemandByHallStaysSmall(t *testing.T) {
	for _, halls := range []int{3, 8} {
		t.Run(fmt.Sprint("halls=", halls), func(t *testing.T) {
			g := NewWithT(t)
			leader := newHallNode(g, 1, "near", time.Second, clockwork.NewFakeClock())
			for i := range 569 {
				recordReport(leader, 2+i, state.HallName(fmt.Sprint("hall-", i%halls)), func(r *receivedReport) {
					for j := range 20 {
						r.report.Demand = append(r.report.Demand, demand.Flow{Service: "lm", Model: fmt.Sprint("unknown-", i, j), Requests: 1})
					}
					r.report.Demand = append(r.report.Demand, demand.Flow{Service: "lm", Model: "m", Requests: 0.4 + 0.001*float64(i)})
				})
			}
			leader.peers.totals()
			flows := leader.peers.demandByHall()
			g.Expect(flows).To(HaveLen(1))
			packed, err := peer.Pack(totals{HallDemand: flows})
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%d bytes packed", len(packed))
			g.Expect(len(packed)).To(BeNumerically("<", 100+40*halls))
		})
	}
}

// A node of an earlier build must be able to read the totals of a leader of this build.
func TestTotalsWithDemandByHallAreReadByEarlierBuilds(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	leader := newHallNode(g, 1, "near", time.Second, clock)
	leader.peers.setLeader(true)
	recordReport(leader, 4, "near", func(r *receivedReport) {
		r.report.Demand = []demand.Flow{{Service: "lm", Model: "m", Requests: 9}}
	})
	w := StatusReport{From: NodeEntry{Name: "node-5", Address: testAddress(5).String(), Hall: "far"}, Protocol: protocolForwarding}
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(&w))
	g.Expect(err).NotTo(HaveOccurred())
	var earlier struct {
		Demand []demand.Flow `json:"demand,omitempty"`
	}
	g.Expect(resp.Msg.Totals.Unpack(&earlier)).To(Succeed())
	g.Expect(earlier.Demand).To(HaveLen(1))
}

// BenchmarkTotals measures what a leader does for each sum of the status reports, with and without the demand by hall, and the
// bytes that the demand by hall adds to the packed totals.
func BenchmarkTotals(b *testing.B) {
	for _, nodes := range []int{87, 570} {
		for _, delay := range []time.Duration{0, 3 * time.Millisecond} {
			b.Run(fmt.Sprintf("nodes=%d/delay=%v", nodes, delay), func(b *testing.B) {
				clock := clockwork.NewFakeClock()
				leader := newHallNode(NewWithT(b), 1, "near", delay, clock)
				for i := range nodes {
					recordReport(leader, 2+i, state.HallName(fmt.Sprint("hall-", i%3)), func(r *receivedReport) {
						r.report.Demand = []demand.Flow{{Service: "lm", Model: "m", Requests: 4}, {Service: "plain", Requests: 1}}
						r.report.InProgress = map[state.InstanceID]int{"near0": 1, "near1": 2, "far2": 1, "far3": 1}
					})
				}
				for b.Loop() {
					leader.peers.mu.Lock()
					leader.peers.inProgress = nil
					leader.peers.mu.Unlock()
					leader.peers.totals()
				}
				packed, err := peer.Pack(totals{HallDemand: leader.peers.demandByHall()})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(packed)), "packed-B")
			})
		}
	}
}
