package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	metrics "github.com/rcrowley/go-metrics"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// evacuationNode returns a node that is not running, in a deployment with evacuations, that knows a set of halls.
func evacuationNode(position int64, halls ...state.HallName) *observedNode {
	n := observe(targetsWithoutAnswer{})
	n.evacuations.policy = evacuation.Policy{Bound: 5 * time.Second, RestoreSettle: n.policy.RestoreSettle}
	if position > 0 {
		n.mergeEvacuations(&evacuation.Set{Position: position, Halls: halls}, "store")
	}
	return n
}

// targetsWithoutAnswer is used by nodes that are not running and call no instances.
type targetsWithoutAnswer struct{ TargetClient }

// answerTo returns a node's answer to another node's status report.
func answerTo(g *WithT, leader, sender *observedNode) *StatusAnswer {
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(sender.peers.statusReport()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Msg.unpack()).To(Succeed())
	return resp.Msg
}

// Guards against sets that are sent with every message, and against a newer set that does not reach the leader.
func TestStatusReportsRelayEvacuations(t *testing.T) {
	for _, c := range []struct {
		name              string
		leader, sender    int64
		inReport, relayed bool
		want              int64
	}{
		{"the leader's set is newer", 9, 5, false, true, 9},
		{"the sender knows none", 9, 0, false, true, 9},
		{"the sets are the same", 9, 9, false, false, 9},
		{"the sender's set is newer", 5, 9, true, false, 9},
		{"the leader knows none", 0, 9, false, false, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			leader, sender := evacuationNode(c.leader, "a", "b"), evacuationNode(c.sender, "a", "b")
			sender.evacuations.recordLeader(answerTo(g, leader, sender).EvacuationsAt)
			w := sender.peers.statusReport()
			g.Expect(w.Evacuations != nil).To(Equal(c.inReport))
			a := answerTo(g, leader, sender)
			g.Expect(a.Evacuations != nil).To(Equal(c.relayed))
			sender.peers.applyAnswer(a, sender.clock.Now())
			g.Expect(sender.evacuations.current().Position).To(Equal(c.want))
			if c.inReport {
				g.Expect(leader.evacuations.current().Position).To(Equal(c.want))
			}
		})
	}
}

// Guards against an evacuation that a node takes for younger than it is, since the leader's configuration is younger than
// its set: the hall's groups would serve as a last resort for too long.
func TestRelayedSetIsAsOldAsAtLeader(t *testing.T) {
	g := NewWithT(t)
	leader, sender := evacuationNode(9), evacuationNode(0)
	g.Expect(answerTo(g, leader, sender).EvacuationsAgeMS).To(Equal(ceilMS(unknownAge)))
	leader.evacuations.confirm(9, leader.clock.Now())
	leader.clock.Advance(2 * time.Second)
	leader.configState.RecordConfirmation(leader.clock.Now())
	sentAt := sender.clock.Now()
	sender.peers.applyAnswer(answerTo(g, leader, sender), sentAt)
	g.Expect(sender.evacuations.current().ConfirmedAt).To(Equal(sentAt.Add(-2 * time.Second)))
}

// Guards against changed messages and refusals in deployments without evacuations.
func TestDeploymentWithoutEvacuationsIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	on, off := evacuationNode(9, "a"), observe(targetsWithoutAnswer{})
	a := answerTo(g, off, on)
	g.Expect(a.EvacuationsAt).To(BeZero())
	g.Expect(a.Evacuations).To(BeNil())
	off.peers.applyAnswer(answerTo(g, on, off), off.clock.Now())
	off.mergeEvacuations(&evacuation.Set{Position: 9, Halls: []state.HallName{"a"}}, "b")
	g.Expect(off.EvacuationPhase("a")).To(Equal(evacuation.Admitted))
	for _, m := range []any{off.peers.statusReport(), a} {
		raw, err := json.Marshal(m)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(raw)).NotTo(ContainSubstring("evac"))
	}
	g.Expect(off.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	g.Expect(off.isReady()).To(BeTrue())
}

// Guards against a process that serves by the configuration of an earlier build's leader before it knows the evacuations.
func TestNodeIsNotReadyBeforeItKnowsEvacuations(t *testing.T) {
	g := NewWithT(t)
	n := evacuationNode(0)
	g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	g.Expect(n.isReady()).To(BeFalse())
	n.mergeEvacuations(&evacuation.Set{Position: 4}, "leader")
	g.Expect(n.isReady()).To(BeTrue())
}

// Guards against requests that another node, of a build without evacuations, sends into an evacuated hall.
func TestEarlierBuildsAreNoPeersDuringEvacuation(t *testing.T) {
	for _, c := range []struct {
		name  string
		halls []state.HallName
		named bool
	}{
		{"no hall is evacuated", nil, true},
		{"a hall is evacuated", []state.HallName{"a"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			leader := evacuationNode(9, c.halls...)
			recordReport(leader.Node, 3, "hall", func(r *receivedReport) { r.report.Protocol = protocolEvacuation - 1 })
			recordReport(leader.Node, 4, "hall", func(*receivedReport) {})
			sender := NodeEntry{Name: "2", Address: testAddress(2).String()}
			text := fmt.Sprint(leader.peers.peersFor(&sender, []dispatch.Pool{lmPool}))
			g.Expect(text).To(ContainSubstring(testAddress(4).String()))
			g.Expect(strings.Contains(text, testAddress(3).String())).To(Equal(c.named))
		})
	}
}

// Guards against requests that nodes of builds without evacuations send into an evacuated hall: they read no set, but apply
// the list of groups to avoid and the number of requests at each instance.
func TestEarlierBuildsAreKeptFromEvacuatedHalls(t *testing.T) {
	for _, c := range []struct {
		name     string
		version  int
		halls    []state.HallName
		after    time.Duration
		isHidden bool
	}{
		{"an earlier build", protocolEvacuation - 1, []state.HallName{"x"}, 5 * time.Second, true},
		{"a build before the packed answers", protocolPacked - 1, []state.HallName{"x"}, 5 * time.Second, true},
		{"an earlier build, while the hall serves as a last resort", protocolEvacuation - 1, []state.HallName{"x"}, 0, false},
		{"an earlier build, another hall is evacuated", protocolEvacuation - 1, []state.HallName{"y"}, 5 * time.Second, false},
		{"an earlier build, no hall is evacuated", protocolEvacuation - 1, nil, 5 * time.Second, false},
		{"this build", protocolVersion, []state.HallName{"x"}, 5 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			leader := evacuationNode(8)
			leader.incarnationNumber.Store(1)
			g.Expect(leader.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
			leader.recordStoreRead(leader.clock.Now())
			leader.evacuations.confirm(8, leader.clock.Now())
			head := fleet.Instance{ID: "head", Service: "lm", Hall: "x", Slots: 4, Model: "m", Address: testAddress(8), Membership: fleet.Membership{Group: "g", Epoch: 7, State: fleet.Open}}
			plain := fleet.Instance{ID: "plain", Service: "plain", Hall: "x", Slots: 4, Address: testAddress(7)}
			leader.roster.ApplyFreshEntry(head, leader.clock.Now())
			leader.roster.ApplyFreshEntry(plain, leader.clock.Now())
			leader.mergeEvacuations(&evacuation.Set{Position: 9, Halls: c.halls}, "store")
			leader.clock.Advance(c.after)
			leader.recordStoreRead(leader.clock.Now())
			a := reportAsVersion(g, evacuationNode(0).Node, leader.Node, c.version)
			g.Expect(a.CanLead).To(BeTrue())
			if !c.isHidden {
				g.Expect(a.Avoid).To(BeEmpty())
				g.Expect(a.InProgress).To(BeEmpty())
				return
			}
			g.Expect(a.Avoid).To(Equal([]GroupEpoch{{Group: "g", Epoch: 7}}))
			g.Expect(a.InProgress[plain.ID]).To(BeNumerically(">", 4*plain.Slots))
			held, _ := leader.peers.totals()
			g.Expect(held).To(BeEmpty(), "the leader's own totals should not change")
		})
	}
}

// Guards against an evacuation that an operator can't see.
func TestEvacuationsAreReported(t *testing.T) {
	g := NewWithT(t)
	n := evacuationNode(source.Position(1, 4))
	n.evacuations.confirm(source.Position(1, 4), n.clock.Now())
	n.roster.RecordListRead(n.clock.Now())
	n.clock.Advance(time.Second)
	n.mergeEvacuations(&evacuation.Set{Position: source.Position(1, 5), Halls: []state.HallName{"", "nowhere"}}, "store")
	n.clock.Advance(time.Second)
	for range 3 {
		n.reportEvacuations()
	}
	g.Expect(n.logged("evacuation began")).To(Equal(2))
	g.Expect(n.logged("evacuation ignored: the hall has no instances")).To(Equal(1), "the instance of the test is in hall \"\"")
	gauge := metrics.GetOrRegisterGauge("evacuation.halls", n.metrics)
	g.Expect(gauge.Value()).To(BeEquivalentTo(2))
	rec := httptest.NewRecorder()
	n.serveEvacuations(rec, nil)
	var list evacuationList
	g.Expect(json.Unmarshal(rec.Body.Bytes(), &list)).To(Succeed())
	g.Expect(list.Position).To(Equal(source.Position(1, 5)))
	g.Expect(list.AgeMS).To(BeEquivalentTo(2000))
	g.Expect(list.Halls).To(Equal([]evacuationEntry{{"", 1000, 1500}, {"nowhere", 1000, 1500}}))

	_, ended := n.EvacuationEndedAt("nowhere")
	g.Expect(ended).To(BeFalse())
	n.mergeEvacuations(&evacuation.Set{Position: source.Position(1, 6)}, "store")
	at, ended := n.EvacuationEndedAt("nowhere")
	g.Expect(ended).To(BeTrue())
	g.Expect(at).To(Equal(n.clock.Now()))
	g.Expect(n.logged("evacuation ended")).To(Equal(2))
	n.mergeEvacuations(&evacuation.Set{Position: source.Position(1, 7), Halls: []state.HallName{"nowhere"}}, "store")
	_, ended = n.EvacuationEndedAt("nowhere")
	g.Expect(ended).To(BeFalse(), "the hall is evacuated again")
}

// Guards against messages that grow with the system: the set is as long as the number of evacuated halls, whatever the
// number of nodes and teams, and is sent only when it has changed.
func TestSizeOfEvacuationsInMessages(t *testing.T) {
	g := NewWithT(t)
	size := func(m any) int {
		raw, err := json.Marshal(m)
		g.Expect(err).NotTo(HaveOccurred())
		return len(raw)
	}
	halls := []state.HallName{"hall-1", "hall-2", "hall-3", "hall-4", "hall-5"}
	at := source.Position(3, 1<<20)
	for _, c := range []struct {
		name          string
		known         int64
		report, extra int
	}{
		{"nothing has changed", at, 30, 50},
		{"the sender's set is older", at - 1, 30, 140},
	} {
		sender, leader := evacuationNode(c.known, halls...), evacuationNode(at, halls...)
		w, a := sender.peers.statusReport(), answerTo(g, leader, sender)
		report, answer := size(w), size(a)
		w.EvacuationsAt, w.Evacuations = 0, nil
		a.EvacuationsAt, a.EvacuationsAgeMS, a.Evacuations = 0, 0, nil
		t.Logf("%s: %d bytes in a report, %d in an answer", c.name, report-size(w), answer-size(a))
		g.Expect(report-size(w)).To(BeNumerically("<=", c.report), c.name)
		g.Expect(answer-size(a)).To(BeNumerically("<=", c.extra), c.name)
	}
}

// BenchmarkEvacuationCheck measures the check of one instance's hall before a request is sent, with the number of evacuated
// halls that the name states.
func BenchmarkEvacuationCheck(b *testing.B) {
	for _, halls := range [][]state.HallName{nil, {"a"}, {"a", "b", "c", "d"}} {
		b.Run(fmt.Sprint("halls=", len(halls)), func(b *testing.B) {
			n := evacuationNode(9, halls...)
			b.ReportAllocs()
			for b.Loop() {
				n.EvacuationPhase("c")
			}
		})
	}
}
