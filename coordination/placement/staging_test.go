package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// testStart is the start time of the staging tests.
var testStart = time.Unix(1000, 0)

// freeInstance returns a free instance of domain d with the given last model and staged models.
func freeInstance(id state.InstanceID, model string, staged ...string) placement.Member {
	m := placement.Member{MembershipKnown: true, OrdersKnown: true, FirstSeen: testStart.Add(-time.Minute)}
	m.ID, m.Service, m.Domain, m.Model, m.Staged = id, "lm", "d", model, staged
	return m
}

// groupMember returns a member of the open group g, which serves the small model.
func groupMember(id state.InstanceID, rank int) placement.Member {
	m := freeInstance(id, "small")
	m.Loaded = "small"
	m.Membership = fleet.Membership{Group: "g", Epoch: 16 << 20, Rank: rank, State: fleet.Ready}
	if rank == 0 {
		m.Membership.State = fleet.Open
	}
	return m
}

// stagedInstances returns the instances that a plan orders to stage a model.
func stagedInstances(plan placement.Plan) []state.InstanceID {
	var ids []state.InstanceID
	for _, o := range plan.Orders {
		if o.Action == placement.Stage {
			ids = append(ids, o.Instance)
		}
	}
	return ids
}

// Guards against a new leader that orders the loads in progress again: the additional loads
// slow down all loads.
func TestNewLeaderDoesNotRepeatLoads(t *testing.T) {
	g := NewWithT(t)
	members := func() []placement.Member {
		return []placement.Member{groupMember("a", 0), groupMember("b", 1), freeInstance("c", ""), freeInstance("e", "")}
	}
	first := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	loading := stagedInstances(first.Step(testStart, members()))
	g.Expect(loading).NotTo(BeEmpty())
	next := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 2).Next)
	next.RecordStagings(first.Stagings())
	g.Expect(next.Stagings()).To(Equal(first.Stagings()))
	again := stagedInstances(next.Step(testStart.Add(time.Second), members()))
	g.Expect(again).NotTo(ContainElements(loading))
	uninformed := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 3).Next)
	g.Expect(stagedInstances(uninformed.Step(testStart.Add(time.Second), members()))).To(ContainElements(loading), "a leader that does not know of the loads orders them")
}

// Guards against a new instance without a model delaying the repair of its whole domain.
func TestNewInstanceWithoutModelDoesNotDelayGroups(t *testing.T) {
	for _, c := range []struct {
		name      string
		model     string
		wantForms bool
	}{
		{"without a model", "", true},
		{"with a model", "small", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			recent := freeInstance("z", c.model)
			recent.FirstSeen = testStart
			members := []placement.Member{freeInstance("a", "small"), freeInstance("b", "small"), recent}
			p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
			joins := 0
			for _, o := range p.Step(testStart, members).Orders {
				if o.Action == placement.Join {
					joins++
				}
			}
			NewWithT(t).Expect(joins > 0).To(Equal(c.wantForms))
		})
	}
}

// Guards against relying on a load that never completes. Two leaders that began at the same time
// ordered one host to load two models, and the host kept the later one. The remaining leader
// counted its own, superseded load as in progress for 40 s and ordered no other, so no group of
// the larger model was formed for over 20 s although six instances of the domain were free.
func TestLoadCountsOnlyWhileItMayBeInProgress(t *testing.T) {
	const margin = 6 * time.Second
	pair := []placement.Member{groupMember("a", 0), groupMember("b", 1)}
	spares := []placement.Member{freeInstance("c", "large"), freeInstance("e", "large"), freeInstance("f", "large")}
	for _, c := range []struct {
		name string
		// model is the model that the instance is ordered to load; the load of other supersedes it.
		model, other  string
		before, later []placement.Member
		// within is the time by which the load must be ordered again.
		within time.Duration
	}{
		{"the large model", "large", "small", slices.Concat(pair, spares), slices.Concat(pair, spares), 2*16*time.Second + margin},
		{"the small model", "small", "large", pair, []placement.Member{freeInstance("b", "small")}, 2*12*time.Second + margin},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
			g.Expect(countStageOrders(p.Step(testStart, append(c.before, freeInstance("z", ""))), "z", c.model)).To(Equal(1))
			again := 0
			for at := time.Second; at <= c.within; at += time.Second {
				again += countStageOrders(p.Step(testStart.Add(at), append(c.later, freeInstance("z", "", c.other))), "z", c.model)
			}
			g.Expect(again).To(Equal(1))
		})
	}
}

// countStageOrders returns the number of orders in a plan for an instance to stage a model.
func countStageOrders(plan placement.Plan, id state.InstanceID, model string) int {
	n := 0
	for _, o := range plan.Orders {
		if o.Action == placement.Stage && o.Instance == id && o.Model == model {
			n++
		}
	}
	return n
}

// Guards against spares that never get a model. One spare with the model suffices to repair the loss of one member, so
// the planner left 14 of 34 spares without any model, and no group was formed of what two losses left.
func TestSparesWithoutModelStageScarcestModel(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand []float64
		model  string
	}{
		{"the large model is short", []float64{80, 30}, "large"},
		{"the small model is short", []float64{0, 600}, "small"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			members := groupsOfFour("d", 9, "large", "small")
			for n := range 16 {
				m := freeInstance(state.InstanceID(fmt.Sprintf("y%02d", n)), "large", "large")
				m.Domain, m.Loaded = "e", "large"
				m.Membership = fleet.Membership{Group: "y", Epoch: 30 << 20, Rank: n, State: fleet.Ready}
				if n == 0 {
					m.Membership.State = fleet.Open
				}
				members = append(members, m)
			}
			members = append(members, freeInstance("x", "small", "small"), freeInstance("z1", ""), freeInstance("z2", ""))
			p := placement.NewPlanner(unequalEngine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
			p.Demand = c.demand
			plan := p.Step(testStart, members)
			g.Expect(countStageOrders(plan, "z1", c.model)).To(Equal(1))
			g.Expect(countStageOrders(plan, "z2", c.model)).To(Equal(1))
		})
	}
}
