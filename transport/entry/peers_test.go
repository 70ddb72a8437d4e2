package entry

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// testAddress returns the peer address of the nth node of a test.
func testAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// anyConfiguration decodes every record as the same configuration.
type anyConfiguration struct{}

func (anyConfiguration) Catalog([]byte) (*catalog.Catalog, error) {
	return catalog.New(1, nil, nil, nil, catalog.Limits{}), nil
}

func (anyConfiguration) Instance(string, []byte) (fleet.Instance, error) {
	return fleet.Instance{}, nil
}

// newTestNode returns a node with a capacity of one core that is not running.
func newTestNode() *Node {
	set := &Settings{Name: "own", Hall: "hall", PeerAddress: testAddress(1), Capacity: 1, MaxKeyAge: time.Second, Policy: DefaultPolicy()}
	return New(set, Ports{Decoder: anyConfiguration{}}, clockwork.NewFakeClock(), &log.Logger{Handler: discard.New()})
}

// ableNode returns a node that is not running, but knows all that a leader needs.
func ableNode(g *WithT) *Node {
	n := newTestNode()
	n.incarnationNumber.Store(1)
	g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	n.recordStoreRead(n.clock.Now())
	return n
}

func TestLargerNodesAreFirstLeaderCandidates(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	var all []NodeEntry
	for i, capacity := range []float64{0.2, 0.8, 0, 0.8, 0.2} {
		e := NodeEntry{Name: string(rune('a' + i)), Address: testAddress(2 + i).String(), Capacity: capacity}
		n.peers.recordNode(e)
		all = append(all, e)
	}
	var order []float64
	for _, address := range n.peers.leaderCandidates(n.clock.Now()) {
		i := slices.IndexFunc(all, func(e NodeEntry) bool { return e.Address == address })
		order = append(order, all[i].Capacity)
	}
	g.Expect(order).To(Equal([]float64{0.8, 0.8, 0.2, 0.2, 0}))
}

func TestAnswerListsNodesOnlyIfCountsDiffer(t *testing.T) {
	for _, c := range []struct {
		name       string
		knownNodes int
		listed     bool
	}{
		{"the same number", 3, false},
		{"fewer", 1, true},
		{"more", 5, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := ableNode(g)
			n.peers.recordNode(NodeEntry{Name: "a", Address: testAddress(2).String()})
			report := &StatusReport{From: NodeEntry{Name: "b", Address: testAddress(3).String()}, NodeCount: c.knownNodes}
			resp, err := n.peers.handleStatusReport(context.Background(), connect.NewRequest(report))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Msg.CanLead).To(BeTrue())
			g.Expect(len(resp.Msg.Nodes) > 0).To(Equal(c.listed))
		})
	}
}

func TestLateNodeDoesNotLeadIfAnotherIsOnTime(t *testing.T) {
	g := NewWithT(t)
	n := ableNode(g)
	canLead := func() bool { return n.peers.canLead(n.clock.Now()) }
	report := func(name string, capacity float64, overloaded bool) {
		w := StatusReport{From: NodeEntry{Name: name, Capacity: capacity}, IsOverloaded: overloaded}
		n.peers.statusReports[name] = receivedReport{report: w, receivedAt: n.clock.Now()}
	}
	for range 8 {
		n.localHealth.RecordDelay(100*time.Millisecond, n.clock.Now())
	}
	g.Expect(canLead()).To(BeTrue(), "no other node is known to run on time")
	report("b", 1, true)
	g.Expect(canLead()).To(BeTrue())
	report("smaller", 0.2, false)
	g.Expect(canLead()).To(BeTrue(), "a smaller node would be overloaded sooner")
	report("c", 1, false)
	g.Expect(canLead()).To(BeFalse())
}

// Overload passes the leadership on among the nodes of one size at most once each: the last of them keeps it. With
// fifteen large nodes it went on to small ones, which failed at once, and in the end many nodes led by themselves.
func TestOverloadNeverLeavesLeadershipToSmallerNodes(t *testing.T) {
	g := NewWithT(t)
	var large []*Node
	for i := range 15 {
		n := numbered(g, string(rune('a'+i)), int64(i+1))
		n.settings.PeerAddress = testAddress(10 + i)
		for range 8 {
			n.localHealth.RecordDelay(100*time.Millisecond, n.clock.Now())
		}
		large = append(large, n)
	}
	able := 0
	for i, n := range large {
		for j, other := range large {
			w := *other.peers.statusReport()
			w.IsOverloaded = j < i // the earlier ones have led; the later ones have had no load yet
			if j != i {
				n.peers.statusReports[w.From.Name] = receivedReport{report: w, receivedAt: n.clock.Now()}
			}
		}
		n.peers.statusReports["small"] = receivedReport{report: StatusReport{From: NodeEntry{Name: "small", Capacity: 0.2}}, receivedAt: n.clock.Now()}
		if n.peers.canLead(n.clock.Now()) {
			able++
		}
		g.Expect(n.peers.statusReport().IsOverloaded).To(BeTrue())
	}
	g.Expect(able).To(Equal(1))
}

// A node that does not lead, because it runs late, still sends its configuration in its answer:
// the asking node may have no other source.
func TestNonLeaderAnswersWithConfiguration(t *testing.T) {
	g := NewWithT(t)
	n := ableNode(g)
	n.configState.RecordConfirmation(n.clock.Now())
	n.peers.noLeadUntil = n.clock.Now().Add(time.Second)
	report := &StatusReport{From: NodeEntry{Name: "b", Address: testAddress(3).String()}}
	resp, err := n.peers.handleStatusReport(context.Background(), connect.NewRequest(report))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Msg.CanLead).To(BeFalse())
	g.Expect(resp.Msg.Config).NotTo(BeEmpty())
	g.Expect(resp.Msg.ConfigAgeMS).To(BeZero())
}

// The leader of many nodes asks for fewer reports, and the nodes then wait longer for its relayed data.
func TestNodesReportAtTheIntervalThatTheLeaderNames(t *testing.T) {
	for _, c := range []struct {
		size     fleetSize
		interval time.Duration
	}{
		{fleetSize{nodes: 85, instances: 16}, 250 * time.Millisecond},
		{fleetSize{nodes: 601, instances: 16}, 500 * time.Millisecond},
	} {
		g := NewWithT(t)
		leader, n := leaderOf(g, c.size), newTestNode()
		g.Expect(n.feedTimeout()).To(Equal(n.policy.FeedAge))
		n.peers.applyAnswer(reportAsVersion(g, n, leader, protocolVersion), n.clock.Now())
		g.Expect(n.peers.statusInterval()).To(BeNumerically("~", c.interval, time.Millisecond))
		g.Expect(n.feedTimeout()).To(BeNumerically(">", 2*c.interval))
		n.peers.applyAnswer(&StatusAnswer{}, n.clock.Now())
		g.Expect(n.peers.statusInterval()).To(Equal(n.policy.StatusInterval), "a leader of an earlier build names no interval")
	}
}
