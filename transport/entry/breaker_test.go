package entry

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/state/fleet"
)

// reportBreakers sends the leader the report of a node with open breakers, and returns the unpacked answer.
func reportBreakers(g *WithT, leader *Node, name string, number int, open ...fleet.Incarnation) *StatusAnswer {
	w := &StatusReport{From: NodeEntry{Name: name, Address: testAddress(number).String(), Capacity: 0.1}, Protocol: protocolVersion, OpenBreakers: open}
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(w))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Msg.unpack()).To(Succeed())
	return resp.Msg
}

// An instance in trouble must not cost each of hundreds of nodes its first requests, and one node alone, whose own connections
// may be at fault, must not take an instance from all others.
func TestNodesLearnOfOpenBreakersFromTheLeader(t *testing.T) {
	g := NewWithT(t)
	leader, other := ableNode(g), ableNode(g)
	leader.peers.setLeader(true)
	bad := member("bad", 0)
	clock, ok := leader.clock.(*clockwork.FakeClock)
	g.Expect(ok).To(BeTrue())
	learn := func(a *StatusAnswer) bool {
		clock.Advance(leader.policy.SumInterval + time.Millisecond)
		other.setRelayedBreakers(a.OpenBreakers)
		return other.IsBreakerOpen(&bad)
	}
	g.Expect(learn(reportBreakers(g, leader, "b", 3, bad.Incarnation()))).To(BeFalse(), "one node")
	g.Expect(learn(reportBreakers(g, leader, "c", 4, bad.Incarnation()))).To(BeTrue(), "two nodes")
	g.Expect(other.openBreakers()).To(BeEmpty())
	g.Expect(other.TryTrial(&bad, true)).To(BeFalse())
	reportBreakers(g, leader, "b", 3)
	clock.Advance(leader.policy.SumInterval + time.Millisecond)
	g.Expect(learn(reportBreakers(g, leader, "c", 4))).To(BeFalse(), "recovered")
	otherClock, ok := other.clock.(*clockwork.FakeClock)
	g.Expect(ok).To(BeTrue())
	other.setRelayedBreakers([]fleet.Incarnation{bad.Incarnation()})
	otherClock.Advance(other.policy.NodeTimeout)
	g.Expect(other.IsBreakerOpen(&bad)).To(BeFalse(), "no leader has answered since")
}

// A node tells the leader of an instance at once, and again as soon as it has recovered.
func TestNodeReportsItsOpenBreakers(t *testing.T) {
	g := NewWithT(t)
	n := ableNode(g)
	bad := member("bad", 0)
	n.roster.ApplyFreshEntry(bad, n.clock.Now())
	for range n.settings.Policy.Breaker.Failures {
		n.RecordInvalidResponse(&bad, n.clock.Now())
	}
	g.Expect(n.statusRequested).To(Receive())
	g.Expect(n.peers.statusReport().OpenBreakers).To(Equal([]fleet.Incarnation{bad.Incarnation()}))
	g.Expect(counted(n, "breaker.opened")).To(BeEquivalentTo(1))
	n.sweepBreakers()
	g.Expect(n.IsBreakerOpen(&bad)).To(BeTrue())
	n.RecordValidResponse(&bad, n.clock.Now().Add(time.Second))
	g.Expect(n.statusRequested).To(Receive())
	g.Expect(n.peers.statusReport().OpenBreakers).To(BeEmpty())
	g.Expect(n.IsBreakerOpen(&bad)).To(BeFalse())
}
