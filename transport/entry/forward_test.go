package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

var lmPool = dispatch.Pool{Service: "lm", Model: "m"}

// recordReport records a status report of the nth node at a leader.
func recordReport(n *Node, number int, hall state.HallName, change func(r *receivedReport)) {
	r := receivedReport{receivedAt: n.clock.Now()}
	r.report.From = NodeEntry{Name: fmt.Sprint(number), Address: testAddress(number).String(), Hall: hall}
	r.report.Protocol = protocolVersion
	r.report.FeedVersion = 1
	change(&r)
	n.peers.statusReports[r.report.From.Name] = r
}

func TestLeaderNamesOnlyNodesThatServeAsPeers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *receivedReport)
		named  bool
	}{
		{"a node that reaches the instances", func(*receivedReport) {}, true},
		{"a node that does not reach them either", func(r *receivedReport) { r.report.Impaired = []dispatch.Pool{lmPool} }, false},
		{"a node that does not reach those of another pool", func(r *receivedReport) { r.report.Impaired = []dispatch.Pool{{Service: "plain"}} }, true},
		{"a node that has just started and knows no instances", func(r *receivedReport) { r.report.FeedVersion = 0 }, false},
		{"an overloaded node", func(r *receivedReport) { r.report.IsOverloaded = true }, false},
		{"a node of an earlier build", func(r *receivedReport) { r.report.Protocol = protocolForwarding - 1 }, false},
		{"a silent node", func(r *receivedReport) { r.receivedAt = r.receivedAt.Add(-DefaultPolicy().Node.NodeTimeout) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			leader := newTestNode()
			recordReport(leader, 2, "hall", func(r *receivedReport) { r.report.Impaired = []dispatch.Pool{lmPool} })
			recordReport(leader, 3, "hall", c.change)
			sender := leader.peers.statusReports["2"].report.From
			g.Expect(leader.peers.peersFor(&sender, nil)).To(BeEmpty(), "a node without impaired pools needs no peers")
			var addresses []string
			for _, list := range leader.peers.peersFor(&sender, []dispatch.Pool{lmPool}) {
				g.Expect(list.Pool).To(Equal(lmPool))
				for _, p := range list.Peers {
					addresses = append(addresses, p.Address.String())
				}
			}
			want := []string{testAddress(1).String()} // the leader itself
			if c.named {
				want = append(want, testAddress(3).String())
			}
			g.Expect(addresses).To(ConsistOf(want))
		})
	}
}

// The peers of nodes that have just become partitioned must not include each other any longer than a status report takes.
func TestReportedPartitionChangesPeersAtOnce(t *testing.T) {
	g := NewWithT(t)
	leader := newTestNode()
	report := func(impaired ...dispatch.Pool) *StatusReport {
		return &StatusReport{
			From:     NodeEntry{Name: "2", Address: testAddress(2).String(), Hall: "hall"},
			Protocol: protocolVersion, FeedVersion: 1, Impaired: impaired,
		}
	}
	send := func(r *StatusReport) {
		_, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(r))
		g.Expect(err).NotTo(HaveOccurred())
	}
	named := func() int {
		list := leader.peers.peersFor(&NodeEntry{Address: testAddress(3).String(), Hall: "hall"}, []dispatch.Pool{lmPool})
		return len(list[0].Peers)
	}
	send(report())
	g.Expect(named()).To(Equal(2), "the leader and the node")
	send(report(lmPool))
	g.Expect(named()).To(Equal(1))
	send(report())
	g.Expect(named()).To(Equal(2))
}

// The answer to a node that needs peers must stay small in a system of hundreds of nodes.
func TestLeaderNamesFewPeersOfEachKind(t *testing.T) {
	g := NewWithT(t)
	leader := newTestNode()
	for i := range 250 {
		recordReport(leader, 2+i, state.HallName([]string{"hall", "far"}[i%2]), func(*receivedReport) {})
	}
	sender := NodeEntry{Address: testAddress(2).String(), Hall: "hall"}
	counts := map[state.HallName]int{}
	for _, p := range leader.peers.peersFor(&sender, []dispatch.Pool{lmPool})[0].Peers {
		counts[p.Hall]++
		g.Expect(p.Address).NotTo(Equal(testAddress(2)))
	}
	g.Expect(counts).To(Equal(map[state.HallName]int{"hall": maxListedPeers, "far": maxListedPeers}))
}

// A partitioned node reports all its pools as impaired, and none of its failures as suspicions: the other
// nodes would probe every instance.
func TestPartitionedNodeReportsNoSuspicions(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	catalog, _ := engineConfiguration{}.Catalog(nil)
	var instances []fleet.Instance
	for i := range 4 {
		in := fleet.Instance{
			ID: state.InstanceID(fmt.Sprint(i)), Service: "lm", Model: "m", Address: testAddress(100 + i),
			Membership: fleet.Membership{Group: "g", Epoch: 1, Rank: i, State: []fleet.MemberState{fleet.Open, fleet.Ready}[min(i, 1)]},
		}
		n.roster.ApplyFreshEntry(in, n.clock.Now())
		instances = append(instances, in)
	}
	n.table.Update(catalog, n.roster.All(n.clock.Now()), n.isExcluded)
	g.Expect(n.peers.statusReport().Impaired).To(BeEmpty())
	now := n.clock.Now().Add(time.Hour)
	for _, in := range instances {
		n.partitions.Detector("lm").RecordFailure(in.ID, now, now)
		n.recordSuspicion(in.ID, n.clock.Now())
	}
	g.Expect(n.peers.statusReport().Suspects).To(HaveLen(len(instances)))
	g.Expect(n.partitions.Detector("lm").EndSample()).To(BeTrue())
	report := n.peers.statusReport()
	g.Expect(report.Partitioned).To(Equal([]state.ServiceName{"lm"}))
	g.Expect(report.Suspects).To(BeEmpty())
	g.Expect(report.Impaired).To(Equal([]dispatch.Pool{lmPool}))
	n.recordInstanceResponse("0")
	g.Expect(n.peers.statusReport().Impaired).To(BeEmpty())
}

// A request to a service with little traffic must not be the first to find out that the node is partitioned.
func TestPartitionFromOneServiceIsLookedForAtOthers(t *testing.T) {
	for _, c := range []struct {
		name        string
		answering   []state.InstanceID
		partitioned []state.ServiceName
	}{
		{"no instance answers", nil, []state.ServiceName{"lm", "plain"}},
		{"an instance of the other service answers", []state.InstanceID{"plain-0"}, []state.ServiceName{"lm"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			n := newProbingNode("node", clock, halls{answering: c.answering})
			for i := range 3 {
				for _, service := range []state.ServiceName{"lm", "plain"} {
					id := state.InstanceID(fmt.Sprintf("%s-%d", service, i))
					n.roster.ApplyFreshEntry(fleet.Instance{ID: id, Service: service, Address: testAddress(10 + i), Hall: "far"}, clock.Now())
				}
			}
			clock.Advance(time.Second)
			n.RecordFailure("lm-0", clock.Now())
			n.RecordFailure("lm-1", clock.Now())
			g.Eventually(n.partitions.Partitioned, 5*time.Second).Should(Equal(c.partitioned))
			g.Consistently(n.partitions.Partitioned, 200*time.Millisecond).Should(Equal(c.partitioned))
		})
	}
}

// A leader gives no orders to instances of plain services. If it does not reach them, most likely they have ended, and the
// nodes that have not noticed yet are no better leaders.
func TestOnlyPartitionsFromEnginesEndLeadership(t *testing.T) {
	for _, c := range []struct {
		name    string
		service state.ServiceName
		canLead bool
	}{
		{"a service with engines", "lm", false},
		{"a plain service", "plain", true},
		{"a service that is no longer configured", "old", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := ableNode(g)
			n.configState = NewConfigState(engineConfiguration{}, false, time.Second, n.clock)
			g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
			recordReport(n, 2, "hall", func(*receivedReport) {})
			n.partitions.Detector(c.service).SetMostlyFar(true)
			n.peers.mu.Lock()
			defer n.peers.mu.Unlock()
			g.Expect(n.peers.canLead(n.clock.Now())).To(Equal(c.canLead))
		})
	}
}

// The evidence of other nodes is evaluated once per health check. A leader that is partitioned from 12,000 instances
// otherwise compares all of them for each instance that another node reaches.
func TestEvidenceOfPeersIsEvaluatedOncePerHealthCheck(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	now := n.clock.Now()
	n.roster.ApplyFreshEntry(fleet.Instance{ID: "i", Service: "lm", Address: testAddress(9)}, now)
	for i := range n.settings.Policy.Roster.LostFailures {
		n.roster.RecordFailure("i", now.Add(time.Duration(i)*time.Second))
	}
	n.roster.RecordIndirectReport("i", fleet.Report{Asked: now.Add(time.Minute)}, "other")
	n.recordReachedByPeer("lm")
	g.Expect(n.partitions.Partitioned()).To(BeEmpty())
	n.reviewFarServices()
	g.Expect(n.partitions.Partitioned()).To(Equal([]state.ServiceName{"lm"}))
	n.roster.RecordResponse("i", now.Add(2*time.Minute))
	n.reviewFarServices()
	g.Expect(n.partitions.Partitioned()).To(BeEmpty())
}

// A node that is partitioned itself can't tell whether an instance that the leader does not reach is lost.
func TestPartitionedNodesMakeNoIndirectProbes(t *testing.T) {
	g := NewWithT(t)
	leader := newTestNode()
	recordReport(leader, 2, "hall", func(r *receivedReport) { r.report.Partitioned = []state.ServiceName{"lm"} })
	recordReport(leader, 3, "hall", func(r *receivedReport) { r.report.Partitioned = []state.ServiceName{"plain"} })
	var names []string
	for _, e := range leader.peers.indirectProbers(fleet.Instance{ID: "i", Service: "lm"}, leader.clock.Now()) {
		names = append(names, e.Name)
	}
	g.Expect(names).To(Equal([]string{"3"}))
}
