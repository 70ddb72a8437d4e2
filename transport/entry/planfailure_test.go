package entry

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// twoEngines returns a configuration with two engine services.
func twoEngines(version int64) *catalog.Catalog {
	engine := func() *catalog.Engine {
		return &catalog.Engine{BatchSlots: 8, MaxLoadsPerSecond: 1, Models: []catalog.Model{{Name: "m", GroupSize: 2, ExpectedShare: 1}}}
	}
	return catalog.New(version, nil, []catalog.Service{{Name: "faulty", Engine: engine()}, {Name: "sound", Engine: engine()}}, nil, catalog.Limits{})
}

// answeringTargets answers each call, so that no instance is taken for lost.
type answeringTargets struct{}

func (answeringTargets) Report(context.Context, netip.AddrPort, state.InstanceID, ConnectionReuse) (fleet.Report, error) {
	return fleet.Report{}, nil
}

func (answeringTargets) Order(context.Context, placement.Order) (OrderResult, error) {
	return OrderResult{Reply: placement.Done}, nil
}

// A panic of a planning step ended the processes of all leaders in turn, with the requests of all services. A service whose step panics
// keeps its last plan, the others are planned, and the step is tried again after a growing pause, or at once for another
// configuration.
func TestPanicOfPlanningStepLeavesLastPlanInForce(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	clock := n.clock.(*clockwork.FakeClock)
	logs := memory.New()
	n.log = &log.Logger{Handler: logs, Level: log.InfoLevel}
	n.ports.Target = answeringTargets{}
	for _, service := range []state.ServiceName{"faulty", "sound"} {
		n.roster.ApplyFreshEntry(fleet.Instance{ID: state.InstanceID(service), Service: service}, clock.Now())
	}
	n.peers.setLeader(true)
	p := n.placement
	steps, isFaulty := map[state.ServiceName]int{}, false
	excluded := fleet.GroupKey{Group: "g", Epoch: 7}
	p.stepPlanner = func(pl *placement.Planner, now time.Time, members []placement.Member) (placement.Plan, error) {
		service := members[0].Service
		steps[service]++
		if service == "faulty" && isFaulty {
			return placement.NewPlanner(nil, placement.DefaultPolicy(), nil).TryStep(now, members) // panics for lack of an engine
		}
		plan, err := pl.TryStep(now, members)
		plan.ExcludedGroups[excluded] = "a member is leaving"
		return plan, err
	}
	step := func(version int64) { p.step(t.Context(), twoEngines(version), clock.Now()) }
	step(1)
	isFaulty = true
	for _, c := range []struct {
		name    string
		version int64
		pause   time.Duration
		// faulty is the number of steps of the faulty service until now.
		faulty int
	}{
		{"the first failure", 1, 0, 2},
		{"paused", 1, planBackoff - time.Millisecond, 2},
		{"tried again", 1, time.Millisecond, 3},
		{"paused for longer", 1, planBackoff, 3},
		{"tried once more", 1, planBackoff, 4},
		{"another configuration", 2, 0, 5},
	} {
		clock.Advance(c.pause)
		sound := steps["sound"]
		step(c.version)
		g.Expect(steps["faulty"]).To(Equal(c.faulty), c.name)
		g.Expect(steps["sound"]).To(Equal(sound+1), c.name)
		g.Expect(p.excludedByService["faulty"]).To(Equal([]GroupEpoch{{Group: "g", Epoch: 7}}), c.name)
		g.Expect(n.isExcluded(excluded)).To(BeTrue(), c.name)
	}
	g.Expect(metrics.GetOrRegisterCounter("plan.panicked", n.metrics).Count()).To(Equal(int64(4)))
	var lines []*log.Entry
	for _, e := range logs.Entries {
		if e.Message == "planning step panicked" {
			lines = append(lines, e)
		}
	}
	g.Expect(lines).To(HaveLen(4))
	g.Expect(lines[0].Fields).To(And(HaveKeyWithValue("service", state.ServiceName("faulty")), HaveKeyWithValue("version", int64(1)), HaveKey("stack")))
	isFaulty = false
	clock.Advance(maxPlanBackoff)
	step(2)
	g.Expect(p.failures).To(BeEmpty())
}

// The pause after failed steps has a bound, however many there were.
func TestPauseAfterFailedStepsIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := planFailures{}
	now := time.Unix(1000, 0)
	for range 100 {
		g.Expect(f.record("lm", 1, now)).To(And(BeNumerically(">=", planBackoff), BeNumerically("<=", maxPlanBackoff)))
	}
	g.Expect(f.record("lm", 1, now)).To(Equal(maxPlanBackoff))
}

// The planner must know whether a newer configuration may exist: the leader has not read the store for some time.
func TestPlannerKnowsWhetherTheConfigurationIsStale(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	clock := n.clock.(*clockwork.FakeClock)
	n.peers.setLeader(true)
	var stale []bool
	n.placement.stepPlanner = func(pl *placement.Planner, now time.Time, members []placement.Member) (placement.Plan, error) {
		stale = append(stale, pl.ConfigStale)
		return pl.TryStep(now, members)
	}
	c := catalog.New(1, nil, []catalog.Service{*twoEngines(1).Services["sound"]}, nil, catalog.Limits{})
	n.recordStoreRead(clock.Now())
	n.placement.step(t.Context(), c, clock.Now())
	clock.Advance(n.staleStoreAge() + time.Millisecond)
	n.placement.step(t.Context(), c, clock.Now())
	n.recordStoreRead(clock.Now())
	n.placement.step(t.Context(), c, clock.Now())
	g.Expect(stale).To(Equal([]bool{false, true, false}))
}

// What the leader keeps of a service goes with it.
func TestLeaderForgetsRemovedServices(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	clock := n.clock.(*clockwork.FakeClock)
	n.peers.setLeader(true)
	n.placement.step(t.Context(), twoEngines(1), clock.Now())
	g.Expect(n.placement.planners).To(HaveLen(2))
	n.placement.step(t.Context(), catalog.New(2, nil, nil, nil, catalog.Limits{}), clock.Now())
	g.Expect(n.placement.planners).To(BeEmpty())
	g.Expect(n.placement.envelopes).To(BeEmpty())
}

func TestStepErrorTellsThePanic(t *testing.T) {
	g := NewWithT(t)
	_, err := placement.NewPlanner(nil, placement.DefaultPolicy(), nil).TryStep(time.Unix(1000, 0), nil)
	var panicked *placement.StepError
	g.Expect(errors.As(err, &panicked)).To(BeTrue())
	g.Expect(err).To(MatchError(ContainSubstring("nil pointer")))
	g.Expect(string(panicked.Stack)).To(ContainSubstring("planner.go"))
}
