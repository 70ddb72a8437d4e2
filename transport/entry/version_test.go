package entry

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// reportAsVersion sends a node's status report to a leader as a build of the given version would.
func reportAsVersion(g *WithT, from, leader *Node, version int) *StatusAnswer {
	w := from.peers.statusReport()
	w.Protocol = version
	if version < protocolRateLimits {
		w.Limits, w.LimitsVersion, w.Usage, w.UsesGrants = nil, 0, nil, false
	}
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(w))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Msg.unpack()).To(Succeed())
	return resp.Msg
}

// addGroupHead adds an instance to a node's roster as the head of an open group.
func addGroupHead(n *Node, id state.InstanceID) fleet.Instance {
	in := fleet.Instance{
		ID: id, Service: "lm", Address: testAddress(201), Slots: 4, Model: "m", Loaded: "m", Position: 9,
		Membership: fleet.Membership{Group: "g", Epoch: 7, State: fleet.Open},
	}
	n.roster.ApplyFreshEntry(in, n.clock.Now())
	return in
}

// A node of an earlier build does not read rate limits, and would not reduce what it sends. It
// does apply the list of groups to avoid and the number of requests at each instance, so the
// leader uses these to keep it away from limited instances.
func TestEarlierBuildsAreKeptFromLimitedInstances(t *testing.T) {
	for _, c := range []struct {
		name       string
		version    int
		isShielded bool
	}{
		{"an earlier build", 0, true},
		{"this build", protocolVersion, false},
		{"a later build", protocolVersion + 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newReporting(g)
			head := addGroupHead(r.leader, "head")
			before := reportAsVersion(g, r.a, r.leader, c.version)
			g.Expect(before.Avoid).To(BeEmpty())
			for _, in := range []fleet.Instance{r.in, head} {
				r.leader.RecordNotice(&in, limitedTo(2), "r", r.clock.Now())
			}
			a := reportAsVersion(g, r.a, r.leader, c.version)
			if !c.isShielded {
				g.Expect(a.Avoid).To(BeEmpty())
				g.Expect(a.InProgress).NotTo(HaveKey(head.ID))
				g.Expect(a.Limits).To(HaveLen(2))
				return
			}
			g.Expect(a.Avoid).To(Equal([]GroupEpoch{{Group: "g", Epoch: 7}}))
			g.Expect(a.InProgress[head.ID]).To(BeNumerically(">", 4*head.Slots))
			g.Expect(a.InProgress[r.in.ID]).To(BeNumerically(">", 0))
			g.Expect(a.AllocatesRates).To(BeFalse())
			held, _ := r.leader.peers.totals()
			g.Expect(held).NotTo(HaveKey(head.ID), "the leader's own totals should not change")
		})
	}
}

// Nodes of earlier builds send nothing to a limited instance, so the other nodes may use their
// share of the limit.
func TestShareOfEarlierBuildsIsUsedByOtherNodes(t *testing.T) {
	g := NewWithT(t)
	r := newReporting(g)
	r.leader.RecordNotice(&r.in, limitedTo(3), "r", r.clock.Now())
	sent := 0
	for range 100 {
		r.clock.Advance(100 * time.Millisecond)
		r.leader.recordStoreRead(r.clock.Now())
		reportAsVersion(g, r.a, r.leader, 0)
		reportAsVersion(g, r.b, r.leader, 0)
		r.leader.allocateRates(r.clock.Now())
		sent += spend(r.leader, &r.in)
	}
	g.Expect(sent).To(BeNumerically("~", 30, 3), "3 requests a second for 10 s")
}

func TestNewestBuildLeadsAmongNodesOfEqualCapacity(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	own := n.peers.self()
	for i := range 50 {
		earlier := NodeEntry{Name: "earlier", Address: testAddress(2 + i).String(), Capacity: n.settings.Capacity}
		larger := NodeEntry{Name: "larger", Address: testAddress(2 + i).String(), Capacity: n.settings.Capacity + 0.1}
		g.Expect(precedes(own, earlier)).To(BeTrue())
		g.Expect(precedes(larger, own)).To(BeTrue(), "a larger node should lead even if its build is earlier")
	}
}

func TestLaterVersionIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	for range 3 {
		n.recordPeerVersion(protocolVersion+1, "b")
		n.recordPeerVersion(protocolVersion, "c")
	}
	g.Expect(n.logged("node of a later version")).To(Equal(1))
}

// A limited instance adds its group to the list of groups to avoid only if it is the head.
func TestLimitedInstanceThatIsNotHeadAddsNoGroupToAvoid(t *testing.T) {
	g := NewWithT(t)
	r := newReporting(g)
	member := addGroupHead(r.leader, "member")
	member.Membership.Rank, member.Position = 1, 10
	r.leader.roster.ApplyFreshEntry(member, r.clock.Now())
	r.leader.RecordNotice(&member, limitedTo(2), "r", r.clock.Now())
	g.Expect(reportAsVersion(g, r.a, r.leader, 0).Avoid).To(BeEmpty())
}

// The packed parts of an answer hold what nodes of earlier builds get unpacked, so that builds can run side by side.
func TestPackedAnswerEqualsThatForEarlierBuilds(t *testing.T) {
	g := NewWithT(t)
	s := fleetSize{nodes: 9, instances: 48}
	leader := leaderOf(g, s)
	leader.configState.RecordConfirmation(leader.clock.Now())
	leader.roster.RecordListRead(leader.clock.Now())
	from := ableNode(g)
	from.settings.Name, from.settings.PeerAddress = "reporter", testAddress(250)
	from.configState = NewConfigState(anyConfiguration{}, false, time.Second, from.clock)
	packed, plain := reportAsVersion(g, from, leader, protocolPacked), reportAsVersion(g, from, leader, protocolRateLimits)
	g.Expect(plain.Totals).To(BeEmpty())
	g.Expect(plain.ChangeBatches).To(BeEmpty())
	g.Expect(plain.Changes).To(HaveLen(s.instances))
	g.Expect(plain.InProgress).NotTo(BeEmpty())
	g.Expect(plain.Nodes).NotTo(BeEmpty())
	g.Expect(plain.Config).NotTo(BeEmpty())
	packed.Totals, packed.ChangeBatches, packed.PackedNodes, packed.PackedConfig = nil, nil, nil, nil
	g.Expect(packed.Nodes).To(ConsistOf(plain.Nodes))
	packed.Nodes, plain.Nodes = nil, nil
	g.Expect(packed.Changes).To(Equal(plain.Changes))
	g.Expect(packed.Demand).To(BeEmpty())
	g.Expect(plain.Demand).To(BeEmpty())
	packed.Changes, plain.Changes, packed.Demand, plain.Demand = nil, nil, nil, nil
	g.Expect(packed).To(Equal(plain))
}
