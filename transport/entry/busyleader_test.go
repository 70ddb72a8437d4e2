package entry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// These tests guard against a leader that overloads itself and then takes its own delay for
// the failure of instances. When each answer of an instance triggered a planning step, 250 to
// 420 times a second, planning used the leader's whole CPU. Its probes then timed out, 20 to
// 150 ms after their deadline although its timers were on time: 173 live members counted as
// lost, and their groups were dissolved and formed again, which brought still more answers. A
// group of 16 had a false loss four times as often as a group of 4, so mostly small groups
// remained, and callers of the model in large groups waited or were refused.

// lateProbeTargets answers no probe, and delays the detection of each timeout.
type lateProbeTargets struct {
	clock *clockwork.FakeClock
	delay time.Duration
}

func (p lateProbeTargets) Report(ctx context.Context, _ netip.AddrPort, _ state.InstanceID, _ ConnectionReuse) (fleet.Report, error) {
	<-ctx.Done()
	p.clock.Advance(DefaultPolicy().Node.ProbeTimeout + p.delay)
	return fleet.Report{}, ctx.Err()
}

func (lateProbeTargets) Order(context.Context, placement.Order) (OrderResult, error) {
	return OrderResult{Reply: placement.Unanswered}, context.DeadlineExceeded
}

func TestProbeTimeoutDetectedLateIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		lost  bool
	}{
		{"on time", 2 * time.Millisecond, true},
		{"late", 40 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			set := &Settings{Name: "own", PeerAddress: testAddress(1), HeartbeatInterval: time.Second, Policy: DefaultPolicy()}
			n := New(set, Ports{Decoder: anyConfiguration{}, Target: lateProbeTargets{clock, c.delay}}, clock, &log.Logger{Handler: discard.New()})
			in := fleet.Instance{ID: "i", Service: "lm", Address: testAddress(9)}
			n.roster.ApplyFreshEntry(in, clock.Now())
			for range set.Policy.Roster.LostFailures {
				n.probeAndRecord(t.Context(), in, clock.Now())
			}
			v, known := n.roster.Get(in.ID, clock.Now())
			g.Expect(known).To(BeTrue())
			g.Expect(v.Unreachable).To(Equal(c.lost))
		})
	}
}

// engineConfiguration decodes every record as a configuration with one engine service.
type engineConfiguration struct{ anyConfiguration }

func (engineConfiguration) Catalog([]byte) (*catalog.Catalog, error) {
	engine := &catalog.Engine{BatchSlots: 8, Models: []catalog.Model{{Name: "m", GroupSize: 2, ExpectedShare: 1}}}
	return catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{}), nil
}

// Changes that come together must rebuild the candidates of requests only once: the loss of a
// domain of 37 instances brings each node 74 failed probes within a third of a second.
func TestBurstOfChangesRebuildsCandidatesOnce(t *testing.T) {
	g := NewWithT(t)
	n := ableNode(g)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.rebuildCandidates(ctx)
	}()
	for i := range 100 {
		n.roster.ApplyFreshEntry(fleet.Instance{ID: "i", Position: int64(i), Membership: fleet.Membership{Group: "g", Epoch: state.Epoch(i + 1)}}, n.clock.Now())
		n.requestRebuild()
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	// The fake clock is never advanced, so that no pause ends.
	g.Expect(metrics.GetOrRegisterCounter("candidates.rebuilt", n.metrics).Count()).To(Equal(int64(1)))
}

func TestBurstOfAnswersRunsOnePlanningStep(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	n.configState = NewConfigState(engineConfiguration{}, false, time.Second, n.clock)
	g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	n.peers.setLeader(true)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.placement.run(ctx)
	}()
	for range 200 {
		n.placement.wakePlanner()
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	// The fake clock is never advanced, so that no pause ends.
	g.Expect(n.leaderLoad.steps).To(BeNumerically("<=", 1))
}
