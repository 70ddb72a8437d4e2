package overload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/overload"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// exact is a policy without slack.
var exact = func() *overload.Policy {
	policy := overload.DefaultPolicy()
	policy.Slack = 0
	return &policy
}()

// flow returns the flow of a class.
func flow(priority int, returning bool, team string, rate float64) demand.ClassFlow {
	return demand.ClassFlow{Class: demand.Class{Priority: priority, Returning: returning, Team: state.TeamName(team)}, Requests: rate}
}

func TestPlanDividesRoom(t *testing.T) {
	others := demand.ClassFlow{Class: demand.Class{}, Requests: 40, Teams: 4}
	for _, c := range []struct {
		name  string
		room  float64
		flows []demand.ClassFlow
		want  []float64
	}{
		{"nothing", 10, nil, nil},
		{"all fits", 10, []demand.ClassFlow{flow(0, false, "a", 4), flow(1, false, "b", 6)}, []float64{1, 1}},
		{"a lower priority", 10, []demand.ClassFlow{flow(0, false, "a", 8), flow(1, false, "b", 4)}, []float64{1, 0.5}},
		{"nothing left for a lower priority", 10, []demand.ClassFlow{flow(0, false, "a", 20), flow(1, false, "b", 4)}, []float64{0.5, 0}},
		{"requests that return go first", 10, []demand.ClassFlow{flow(0, true, "a", 6), flow(0, false, "b", 8)}, []float64{1, 0.5}},
		{"a large team gets what others leave", 30, []demand.ClassFlow{flow(0, false, "a", 90), flow(0, false, "b", 5), flow(0, false, "c", 10)}, []float64{1.0 / 6, 1, 1}},
		{"what returns counts toward a team's part", 30, []demand.ClassFlow{flow(0, true, "a", 15), flow(0, false, "a", 20), flow(0, false, "b", 20)}, []float64{1, 0, 0.75}},
		{"another priority does not count", 30, []demand.ClassFlow{flow(0, false, "a", 10), flow(1, false, "a", 20), flow(1, false, "b", 20)}, []float64{1, 0.5, 0.5}},
		{"unnamed teams have a part each", 30, []demand.ClassFlow{others, flow(0, false, "a", 20)}, []float64{0.6, 0.3}},
		{"no room", 0, []demand.ClassFlow{flow(0, false, "a", 1)}, []float64{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			plan := exact.Plan(c.room, 1, c.flows)
			for i, f := range c.flows {
				g.Expect(plan.Fraction(f.Class)).To(BeNumerically("~", c.want[i], 0.001), "flow %d", i)
			}
		})
	}
}

// Guards against the refusal of all requests of a team that the totals do not name.
func TestUnnamedTeamsHaveFractions(t *testing.T) {
	g := NewWithT(t)
	plan := exact.Plan(10, 1, []demand.ClassFlow{flow(1, false, "a", 20), flow(1, false, "", 20)})
	g.Expect(plan.Fraction(demand.Class{Priority: 1, Team: "z"})).To(BeNumerically("~", 0.25, 0.001))
	g.Expect(plan.Fraction(demand.Class{Priority: 0, Team: "z"})).To(Equal(1.0))
	g.Expect(plan.Fraction(demand.Class{Priority: 2, Team: "z"})).To(BeZero())
	g.Expect(exact.Plan(10, 1, []demand.ClassFlow{flow(1, false, "a", 20)}).Fraction(demand.Class{Priority: 1, Team: "z"})).To(Equal(1.0))
}

// Guards against refusals because few requests happened to arrive close to each other.
func TestDemandWithinSlackFits(t *testing.T) {
	policy := overload.DefaultPolicy()
	for _, c := range []struct {
		demand, inUse float64
		overloaded    bool
	}{{10, 1, false}, {14, 1, false}, {16, 1, true}, {16, 0.3, true}, {1000, 0.2, false}} {
		plan := policy.Plan(10, c.inUse, []demand.ClassFlow{flow(0, false, "", c.demand)})
		NewWithT(t).Expect(plan.Overloaded).To(Equal(c.overloaded), "%v", c)
	}
}

// Guards against the refusal of all but one priority while a leader of an earlier build tells no classes.
func TestDemandOfUnknownClassesIsAdmittedEvenly(t *testing.T) {
	g := NewWithT(t)
	plan := exact.UniformPlan(10, 1, 40)
	for priority := range demand.Priorities {
		g.Expect(plan.Fraction(demand.Class{Priority: priority, Team: "a"})).To(Equal(0.25))
		g.Expect(plan.Fraction(demand.Class{Priority: priority, Returning: true})).To(Equal(0.25))
	}
	g.Expect(exact.UniformPlan(10, 1, 9).Fraction(demand.Class{})).To(Equal(1.0))
}

func TestGateAdmitsFractionExactly(t *testing.T) {
	g := NewWithT(t)
	gate, admitted := overload.NewGate(0.5), 0
	for range 10 {
		if gate.Admit(0.7) {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(7))
	for range 10 {
		g.Expect(gate.Admit(0)).To(BeFalse())
		g.Expect(gate.Admit(1)).To(BeTrue())
	}
}

func TestRoomOfGroup(t *testing.T) {
	engine := &catalog.Engine{BatchSlots: 10, StepTime: 10 * time.Millisecond, StepsPerPass: 5, PrefillTokensPerSecond: 20_000, PromptTokensPerPass: 1000, MeanResponseTokens: 100}
	model := &catalog.Model{TimeFactor: 2}
	speed := overload.NewSpeed(engine, model) // 1,000 tokens in 200 ms
	policy := overload.DefaultPolicy()
	policy.SetPoint, policy.PromptLoad, policy.Horizon = 0.8, 0.5, time.Second
	for _, c := range []struct {
		name   string
		group  overload.Group
		hold   time.Duration
		prompt float64
		want   float64
	}{
		{"an idle group", overload.Group{Slots: 10}, 0, 0, 8},
		{"slots that become free", overload.Group{Slots: 10, InFlight: 8}, 2 * time.Second, 0, 4},
		{"requests that wait hold no slot", overload.Group{Slots: 10, InFlight: 12}, 2 * time.Second, 0, 1},
		{"an overfull group", overload.Group{Slots: 10, InFlight: 20}, 2 * time.Second, 0, 0},
		{"long prompts", overload.Group{Slots: 10, Speed: speed}, 0, 1000, 2.5},
		{"short prompts", overload.Group{Slots: 10, Speed: speed}, 0, 10, 8},
		{"unknown prompts", overload.Group{Slots: 10, Speed: speed}, 0, 0, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(policy.Room(c.group, c.hold, c.prompt)).To(BeNumerically("~", c.want, 0.001))
		})
	}
	g := NewWithT(t)
	g.Expect(overload.ExpectedHold(engine, model)).To(Equal(2 * time.Second))
	g.Expect(overload.NewSpeed(&catalog.Engine{PrefillTokensPerSecond: 20_000}, model).PromptRate(5)).To(Equal(10_000.0))
	g.Expect(overload.NewSpeed(&catalog.Engine{}, model).PromptRate(5)).To(BeZero())
}

func TestHoldTimeFollowsRequests(t *testing.T) {
	g := NewWithT(t)
	var h, unknown overload.HoldTime
	g.Expect(h.Mean()).To(BeZero())
	h.Record(4*time.Second, 2*time.Second)
	g.Expect(h.Mean()).To(BeNumerically("~", 2100*time.Millisecond, time.Millisecond))
	for range 200 {
		h.Record(4*time.Second, 2*time.Second)
	}
	g.Expect(h.Mean()).To(BeNumerically("~", 4*time.Second, 10*time.Millisecond))
	unknown.Record(3*time.Second, 0)
	g.Expect(unknown.Mean()).To(BeNumerically("~", 3*time.Second, time.Millisecond))
}

func TestRetryDelayFollowsCallersToldToReturn(t *testing.T) {
	policy := overload.DefaultPolicy()
	for _, c := range []struct {
		name          string
		waiting, rate float64
		left          time.Duration
		least, most   time.Duration
	}{
		{"nobody waits", 0, 100, 9 * time.Second, 250 * time.Millisecond, 500 * time.Millisecond},
		{"a second of room is promised", 100, 100, 9 * time.Second, 250 * time.Millisecond, 2 * time.Second},
		{"a third of the time left at most", 1000, 100, 9 * time.Second, 250 * time.Millisecond, 3 * time.Second},
		{"hardly any time left", 1000, 100, 300 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"no room", 10, 0, 9 * time.Second, 250 * time.Millisecond, 500 * time.Millisecond},
		{"no time left", 10, 10, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(policy.RetryDelay(c.waiting, c.rate, c.left, 0)).To(BeNumerically("~", c.least, time.Millisecond))
			g.Expect(policy.RetryDelay(c.waiting, c.rate, c.left, 1)).To(BeNumerically("~", c.most, time.Millisecond))
		})
	}
}

func BenchmarkDecision(b *testing.B) {
	var flows []demand.ClassFlow
	for i := range 32 {
		flows = append(flows, flow(1, true, string(rune('a'+i)), float64(50+i)))
	}
	plan, gate, class := exact.Plan(200, 1, flows), overload.NewGate(0.5), demand.Class{Priority: 1, Returning: true, Team: "c"}
	if f := plan.Fraction(class); f <= 0 {
		b.Fatal("the class gets nothing")
	}
	b.ReportAllocs()
	for b.Loop() {
		gate.Admit(plan.Fraction(class))
	}
}

func BenchmarkPlan(b *testing.B) {
	var flows []demand.ClassFlow
	for i := range 84 {
		flows = append(flows, flow(i%3, i%2 == 0, string(rune('a'+i/2)), float64(i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		exact.Plan(1000, 1, flows)
	}
}
