package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/internal/bounds"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// counted returns the value of a counter.
func counted(n *Node, name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.metrics).Count()
}

// member returns an instance whose membership has a rank.
func member(id state.InstanceID, rank int) fleet.Instance {
	return fleet.Instance{ID: id, Service: "lm", Position: 3, Membership: fleet.Membership{Group: "g", Epoch: 1, Rank: rank, State: fleet.Ready}}
}

// silentTargets are instances that answer no probe.
type silentTargets struct{ TargetClient }

func (silentTargets) Report(context.Context, netip.AddrPort, state.InstanceID, ConnectionReuse) (fleet.Report, error) {
	return fleet.Report{}, context.DeadlineExceeded
}

// A leader of an earlier build relays what it has read of an entry that another writer made. Without a check in the
// receiver, one such entry ends the process of whichever node leads next.
func TestRelayedInstanceOutOfRangeIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*fleet.Instance)
	}{
		{"a rank below zero", func(in *fleet.Instance) { in.Membership.Rank = -1 }},
		{"a rank that no group has", func(in *fleet.Instance) { in.Membership.Rank = 2_000_000_000 }},
		{"the largest epoch", func(in *fleet.Instance) { in.Membership.Epoch = math.MaxUint64 }},
		{"slots below zero", func(in *fleet.Instance) { in.Slots = -7 }},
		{"cold for ever", func(in *fleet.Instance) { in.ColdLeft = math.MaxInt64 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := ableNode(g)
			now := n.clock.Now()
			bad, known := member("bad", 1), member("known", 1)
			c.change(&bad)
			n.peers.applyAnswer(&StatusAnswer{Changes: []roster.Change{{Instance: bad}, {Instance: known}, {Instance: member("good", 0)}}}, now)
			changed := known
			changed.Position++
			c.change(&changed)
			n.peers.applyAnswer(&StatusAnswer{Changes: []roster.Change{{Instance: changed}}}, now)
			_, isKnown := n.roster.Get("bad", now)
			g.Expect(isKnown).To(BeFalse())
			v, _ := n.roster.Get("known", now)
			g.Expect(v.Unlisted).To(BeTrue(), "an instance whose newest entry cannot be used gets no requests")
			g.Expect(v.Validate()).To(Succeed())
			v, isKnown = n.roster.Get("good", now)
			g.Expect(isKnown).To(BeTrue())
			g.Expect(v.Unlisted).To(BeFalse())
			g.Expect(counted(n, "messages.out-of-range")).To(BeEquivalentTo(2))
		})
	}
}

// No age in a message may make data look younger than the message, which would keep revoked keys or an old list in use,
// and no era may be one that the store cannot have, since eras are never given up.
func TestStatusAnswerOutOfRangeIsBounded(t *testing.T) {
	for _, age := range []int64{math.MinInt64, -1, math.MaxInt64} {
		g := NewWithT(t)
		n := ableNode(g)
		now := n.clock.Now()
		_, version := n.configState.Encoded()
		a := &StatusAnswer{CanLead: true, Era: math.MaxInt64, ConfigVersion: version, ConfigAgeMS: age, ListAgeMS: age, EvacuationsAgeMS: age, IntervalMS: age, PossibleNodes: int(age)}
		a.Grants = []ratelimit.Grant{{Instance: "i", Requests: math.MaxInt}}
		a.GrantedRetries = map[state.ServiceName]int{"lm": math.MaxInt}
		g.Expect(n.peers.receiveAnswer(a, "leader")).To(Succeed())
		n.peers.applyAnswer(a, now)
		g.Expect(n.eras.current()).To(BeZero())
		configAge, _ := n.configState.Age()
		g.Expect(configAge).To(BeNumerically(">=", 0))
		g.Expect(n.roster.ListAge(now)).To(BeNumerically(">=", 0))
		g.Expect(a.Grants[0].Requests).To(BeNumerically("<=", bounds.MaxCount))
		g.Expect(n.peers.possibleNodes(now)).To(BeNumerically(">=", 1))
	}
}

// One report must not distort what the leader sums up for all nodes.
func TestStatusReportOutOfRangeIsBounded(t *testing.T) {
	g := NewWithT(t)
	n := ableNode(g)
	n.peers.setLeader(true)
	n.ports.Target = silentTargets{}
	in := member("i", 0)
	n.roster.ApplyFreshEntry(in, n.clock.Now())
	w := &StatusReport{
		From: NodeEntry{Name: "b", Address: testAddress(3).String(), Capacity: 0.1}, Protocol: protocolVersion, Era: -4,
		InProgress: map[state.InstanceID]int{"i": math.MinInt, "j": math.MaxInt}, StoreAgeMS: math.MinInt64, CountsForMS: math.MaxInt64,
		Demand:   []demand.Flow{{Service: "lm", Model: "m", Requests: -1e300, PromptTokens: 1e308}, {Service: "lm", Model: "m", Requests: 1, PromptTokens: 1e308}},
		Suspects: []Suspicion{{Instance: "i", AgeMS: math.MinInt64}},
		RetryUse: map[state.ServiceName]RetryUse{"lm": {Attempts: math.MaxInt, Retries: math.MinInt}},
		Usage:    map[state.InstanceID]ratelimit.Usage{"i": {Sent: math.MinInt, Unused: math.MaxInt, Expired: -1}},
	}
	_, err := n.peers.handleStatusReport(context.Background(), connect.NewRequest(w))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(counted(n, "messages.out-of-range")).To(BeEquivalentTo(1))
	inProgress, flows := n.peers.totals()
	for id, count := range inProgress {
		g.Expect(count).To(And(BeNumerically(">=", 0), BeNumerically("<=", bounds.MaxCount)), string(id))
	}
	_, err = json.Marshal(flows) // has no form for an infinite number
	g.Expect(err).NotTo(HaveOccurred())
	n.roster.RecordResponse("i", n.clock.Now().Add(time.Millisecond))
	g.Expect(n.roster.ConsecutiveFailures("i")).To(BeZero(), "a failure in the future would outlast all responses")
}

// The fuzz targets apply each message to a node, so that a value out of range that slips through shows in its state.
func checkRanges(t *testing.T, n *Node) {
	t.Helper()
	now := n.clock.Now()
	for _, v := range n.roster.All(now) {
		if err := v.Validate(); err != nil {
			t.Fatalf("instance %q: %v", v.ID, err)
		}
	}
	if age := n.roster.ListAge(now); age < -time.Millisecond {
		t.Fatalf("the list is %s old, want no time in the future", age)
	}
	if _, flows := n.peers.totals(); len(flows) > 0 {
		if _, err := json.Marshal(flows); err != nil {
			t.Fatal(err)
		}
	}
}
