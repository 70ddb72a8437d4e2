package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// addGroup adds a group of 10 slots with the head "g" to the candidates of a node.
func addGroup(n *Node) {
	engine := &catalog.Engine{BatchSlots: 10, Models: []catalog.Model{{Name: "m", GroupSize: 1}}}
	head := fleet.Instance{ID: "g", Service: "lm", Model: "m", Hall: "hall", Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open}}
	n.table.Update(catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{}), []roster.View{{Instance: head}}, n.isExcluded)
}

// Guards against a node that admits by totals of long ago, or as if it were the only node, while no leader answers.
func TestNodeWithoutLeaderAssumesItsShareAfterNodeTimeout(t *testing.T) {
	g := NewWithT(t)
	n := ableNode(g)
	clock, ok := n.clock.(*clockwork.FakeClock)
	g.Expect(ok).To(BeTrue())
	addGroup(n)
	pool := dispatch.Pool{Service: "lm", Model: "m"}
	arrive := func() {
		for range 20 {
			n.demand.Add("lm", "m", 0, 0, n.clock.Now())
			n.demand.AddClass("lm", "m", demand.Class{}, n.clock.Now())
		}
	}
	n.setLoads(nil, []demand.Flow{{Service: "lm", Model: "m", Requests: 1}})
	arrive()
	clock.Advance(n.policy.NodeTimeout - time.Millisecond)
	n.assumeLoads(100)
	g.Expect(n.table.IsOverloaded(pool)).To(BeFalse(), "the last totals apply")
	clock.Advance(time.Millisecond)
	n.assumeLoads(1)
	g.Expect(n.table.IsOverloaded(pool)).To(BeFalse())
	arrive()
	n.table.Candidates("lm", "m")[0].BeginRequest(0, n.clock.Now())
	n.assumeLoads(100)
	g.Expect(n.table.IsOverloaded(pool)).To(BeTrue())
	n.setLoads(nil, []demand.Flow{{Service: "lm", Model: "m", Requests: 1}})
	n.assumeLoads(100)
	g.Expect(n.table.IsOverloaded(pool)).To(BeFalse(), "totals apply again")
}

func TestAdmissionIsShownToOperators(t *testing.T) {
	g := NewWithT(t)
	n := ableNode(g)
	lines := memory.New()
	n.log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	addGroup(n)
	gauge := func(name string) float64 {
		return metrics.GetOrRegisterGaugeFloat64(name, n.metrics).Value()
	}
	n.setLoads(nil, []demand.Flow{{Service: "lm", Model: "m", Requests: 1}})
	n.showAdmission(t.Context())
	g.Expect(lines.Entries).To(BeEmpty())
	g.Expect(gauge("admission.fraction.lm.m")).To(Equal(1.0))
	g.Expect(gauge("admission.room.lm.m")).To(BeNumerically("~", 13.33, 0.01))
	for range 4 {
		n.table.Candidates("lm", "m")[0].BeginRequest(0, n.clock.Now())
	}
	classes := []demand.ClassFlow{{Class: demand.Class{Priority: 1, Team: "a"}, Requests: 40}, {Class: demand.Class{Priority: 1, Team: "b"}, Requests: 2}}
	n.setLoads(nil, []demand.Flow{{Service: "lm", Model: "m", Requests: 42, Classes: classes, Waiting: 20}})
	n.showAdmission(t.Context())
	g.Expect(gauge("admission.fraction.lm.m")).To(BeNumerically("~", 0.159, 0.001))
	g.Expect(lines.Entries).To(HaveLen(1))
	fields := lines.Entries[0].Fields
	g.Expect(fields).To(HaveKeyWithValue("room", 6))
	g.Expect(fields).To(HaveKeyWithValue("demand", 42))
	g.Expect(fields).To(HaveKeyWithValue("cut_priority", 1))
	g.Expect(fields).To(HaveKeyWithValue("above_share", 1))
	g.Expect(fields).To(HaveKeyWithValue("teams", "a:0.12"))
	g.Expect(fields).To(HaveKeyWithValue("retry_ms", BeNumerically("~", 3125, 10)))
}

// Guards against totals that outgrow the links of small nodes: 570 nodes with requests of 1,000 teams for three models,
// at different rates.
func TestTotalsStaySmallWithManyTeams(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var reports [][]demand.Flow
	for range 570 {
		var flows []demand.Flow
		for _, model := range []string{"large", "small", ""} {
			f := demand.Flow{Service: "inference", Model: model, Requests: 200}
			for i := range 16 {
				class := demand.Class{Priority: i % 3, Returning: i%5 == 0, Team: state.TeamName(fmt.Sprintf("customer-%d", rng.IntN(1000)))}
				f.Classes = append(f.Classes, demand.ClassFlow{Class: class, Requests: 20 * rng.Float64()})
			}
			flows = append(flows, f)
		}
		reports = append(reports, flows)
	}
	sum := demand.Sum(reports...)
	raw, err := json.Marshal(sum)
	g.Expect(err).NotTo(HaveOccurred())
	with, err := peer.Pack(totals{Demand: sum})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range sum {
		sum[i].MergeClasses()
	}
	without, err := peer.Pack(totals{Demand: sum})
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("totals: %d bytes of JSON; packed %d by class and %d merged", len(raw), len(with), len(without))
	g.Expect(len(with)).To(BeNumerically("<", 4<<10))
	g.Expect(len(without)).To(BeNumerically("<", 200))
}

// Guards against classes that get lost between a node's report and the totals that all nodes receive.
func TestLeaderRelaysDemandByClass(t *testing.T) {
	for _, c := range []struct {
		name     string
		protocol int
	}{{"a node of this build", protocolVersion}, {"a node of an earlier build", protocolPacked - 1}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := ableNode(g)
			n.peers.setLeader(true)
			flow := demand.Flow{Service: "lm", Model: "m", Requests: 5, Waiting: 3, Classes: []demand.ClassFlow{
				{Class: demand.Class{Priority: 1, Team: "a"}, Requests: 4}, {Class: demand.Class{Priority: 1, Returning: true, Team: "b"}, Requests: 1},
			}}
			report := &StatusReport{From: NodeEntry{Name: "other", Address: testAddress(2).String(), Capacity: 0.1}, Protocol: c.protocol, Demand: []demand.Flow{flow}}
			answer, err := n.peers.handleStatusReport(t.Context(), connect.NewRequest(report))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Msg.unpack()).To(Succeed())
			g.Expect(answer.Msg.Demand).To(Equal([]demand.Flow{flow}))
		})
	}
}
