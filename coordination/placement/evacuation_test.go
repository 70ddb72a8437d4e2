package placement_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// withHall sets the hall of instances.
func withHall(hall state.HallName, members []placement.Member) []placement.Member {
	for i := range members {
		members[i].Hall = hall
	}
	return members
}

// freeInstances returns free instances of a domain with the given models staged.
func freeInstances(domain string, count int, model string, staged ...string) []placement.Member {
	var list []placement.Member
	for n := range count {
		m := freeInstance(state.InstanceID(fmt.Sprintf("%s-f%02d", domain, n)), model, staged...)
		m.Domain = domain
		list = append(list, m)
	}
	return list
}

// largeGroup returns the members of an open group of 16 in a domain.
func largeGroup(domain string) []placement.Member {
	list := freeInstances(domain, 16, "large", "large", "small")
	for rank := range list {
		list[rank].Loaded = "large"
		list[rank].Membership = fleet.Membership{Group: state.GroupName(domain + "-large"), Epoch: 90 << 20, Rank: rank, State: fleet.Ready}
	}
	list[0].Membership.State = fleet.Open
	return list
}

// ordersTo returns the actions of a plan's orders to the instances of a domain.
func ordersTo(plan placement.Plan, domain string) []placement.Action {
	var actions []placement.Action
	for _, o := range plan.Orders {
		if strings.HasPrefix(string(o.Instance), domain) {
			actions = append(actions, o.Action)
		}
	}
	return actions
}

// Guards against new groups, repairs, loads and reallocations in an evacuated hall, whose instances get no requests, and
// against the end of groups there that are to serve when the hall is readmitted.
func TestInstancesOfEvacuatedHallGetNoOrders(t *testing.T) {
	for _, c := range []struct {
		name    string
		members func() []placement.Member
		demand  []float64
		before  bool
	}{
		{"free instances with a model", func() []placement.Member { return freeInstances("d1", 16, "small", "large", "small") }, nil, false},
		{"free instances without a model", func() []placement.Member { return freeInstances("d1", 3, "") }, nil, false},
		{"free instances before the first request", func() []placement.Member { return freeInstances("d1", 16, "") }, nil, true},
		{"groups that would be closed for a scarce model", func() []placement.Member { return groupsOfFour("d1", 9, "large", "small") }, nil, false},
		{"a group with spares", func() []placement.Member {
			return append(groupsOfFour("d1", 2, "small"), freeInstances("d1", 3, "")...)
		}, []float64{80, 20}, false},
	} {
		for _, evacuated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, evacuated %t", c.name, evacuated), func(t *testing.T) {
				g := NewWithT(t)
				p := placement.NewPlanner(unequalEngine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
				p.Demand, p.BeforeTraffic = c.demand, c.before
				if evacuated {
					p.Evacuated = evacuation.View{"y": evacuation.Closed}
				}
				var actions []placement.Action
				for second := range 10 {
					plan := p.Step(testStart.Add(time.Duration(second)*time.Second), withHall("y", c.members()))
					actions = append(actions, ordersTo(plan, "d1")...)
				}
				if evacuated {
					g.Expect(actions).To(BeEmpty())
				} else {
					g.Expect(actions).NotTo(BeEmpty(), "the case shows nothing")
				}
			})
		}
	}
}

// Guards against a layout that counts on the groups of an evacuated hall: the model that they served is then served by
// nothing until the hall is readmitted.
func TestRemainingHallsAreLaidOutForWholeDemand(t *testing.T) {
	for _, c := range []struct {
		name       string
		phase      evacuation.Phase
		wantClosed int
	}{
		{"the hall is admitted", evacuation.Admitted, 0},
		{"the hall is evacuated and serves as a last resort", evacuation.LastResort, 4},
		{"the hall is evacuated", evacuation.Closed, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := placement.NewPlanner(unequalEngine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
			p.Demand = []float64{8, 20}
			p.Evacuated = evacuation.View{"y": c.phase}
			members := func() []placement.Member {
				return append(withHall("x", groupsOfFour("d0", 8, "large", "small")), withHall("y", largeGroup("d1"))...)
			}
			closed := map[state.GroupName]bool{}
			for second := range 12 {
				plan := p.Step(testStart.Add(time.Duration(second)*time.Second), members())
				for _, name := range closedGroups(plan) {
					closed[name] = true
				}
				g.Expect(ordersTo(plan, "d1")).NotTo(ContainElements(placement.Close, placement.Leave), "the groups of the hall stay formed")
			}
			g.Expect(closed).To(HaveLen(c.wantClosed))
		})
	}
}

// Guards against a planner that fails, or orders anything, when no instance may be used.
func TestNothingIsOrderedWhileAllHallsAreEvacuated(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(unequalEngine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	p.Evacuated = evacuation.View{"x": evacuation.Closed, "y": evacuation.Closed}
	for second := range 10 {
		members := append(withHall("x", freeInstances("d0", 20, "small", "large", "small")), withHall("y", largeGroup("d1"))...)
		plan := p.Step(testStart.Add(time.Duration(second)*time.Second), members)
		g.Expect(plan.Orders).To(BeEmpty())
	}
}

// Guards against groups of an evacuated hall that are not there any more when the hall is readmitted, and against orders to
// its instances over a whole evacuation, after which the planner uses them again.
func TestGroupsOfEvacuatedHallOutliveEvacuation(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 3, 8, 1)
	sim.faultsEnabled = false
	for _, target := range sim.targets {
		target.Hall = state.HallName("hall-" + target.Domain)
		sim.recordChange(target)
	}
	sim.setLeading(sim.nodes[0], true)
	sim.run(10 * time.Second)
	later := map[state.InstanceID]bool{}
	addTarget := func() {
		added := sim.addTarget("d1")
		added.Hall, later[added.ID] = "hall-d1", true
		sim.recordChange(added)
	}
	groups := func() map[state.InstanceID]fleet.GroupKey {
		keys := sim.groupKeys()
		maps.DeleteFunc(keys, func(id state.InstanceID, _ fleet.GroupKey) bool {
			return sim.targets[id].Domain != "d1" || later[id]
		})
		return keys
	}
	before := groups()
	sim.nodes[0].planner.Evacuated = evacuation.View{"hall-d1": evacuation.Closed}
	var ordered []placement.Action
	sim.onOrder = func(o placement.Order) {
		if sim.targets[o.Instance].Domain == "d1" {
			ordered = append(ordered, o.Action)
		}
	}
	sim.run(20 * time.Second)
	g.Expect(ordered).To(BeEmpty())
	addTarget()
	addTarget()
	sim.run(5 * time.Second)
	g.Expect(ordered).To(BeEmpty())
	g.Expect(groups()).To(Equal(before))
	sim.nodes[0].planner.Evacuated = nil
	sim.run(20 * time.Second)
	g.Expect(groups()).To(Equal(before))
	g.Expect(ordered).To(ContainElement(placement.Join), "the new instances of the hall form a group")
	g.Expect(sim.violations).To(BeEmpty())
}
