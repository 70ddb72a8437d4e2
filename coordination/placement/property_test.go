package placement_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Several planners are active at once. They are paused and cut off from the list, orders are
// delayed, lost or repeated, and targets crash. No instance may join a group while its own
// group serves, and no group may open without all of its members. After the faults end, a
// single planner places the instances in groups again.
func TestNoInstanceServesTwoGroupsWithConcurrentPlanners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulatePlanners(t, 0, 0) })
}

// As above, while the store is repeatedly restored from older copies and restarted nodes get
// offsets that other node incarnations had: no group is formed twice with the same key.
func TestNoInstanceServesTwoGroupsAfterStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulatePlanners(t, 0.3, 0.3) })
}

// simulatePlanners runs a drawn simulation. restartProbability is the probability that a crashed
// target restarts under its id, restoreProbability the probability that a fault is a restore of
// the store from an older copy.
func simulatePlanners(t *rapid.T, restartProbability, restoreProbability float64) {
	seed := rapid.Uint64().Draw(t, "seed")
	sim := newSimulation(seed, rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(4, 9).Draw(t, "targets"), 3)
	sim.restartProbability, sim.restoreProbability = restartProbability, restoreProbability
	sim.setLeading(sim.nodes[0], true)
	sim.run(40 * time.Second)
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, sim.violations)
	}
	sim.endFaults()
	sim.run(45 * time.Second)
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d, after the faults ended: %v", seed, sim.violations)
	}
	alive, inGroups := sim.countServing()
	if alive-inGroups > 3*2 {
		t.Fatalf("seed %d: %d of %d live instances are in serving groups, want at most 6 outside", seed, inGroups, alive)
	}
}

// As above, with targets that crash and restart under their ids without any state, while
// orders to their earlier incarnations are still in flight.
func TestNoInstanceServesTwoGroupsAfterTargetRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulatePlanners(t, 0.8, 0) })
}

// Two domains that could both cover the same shortage must not be changed alternately: after
// the faults end, the groups stay the same.
func TestDomainsDoNotChangeAlternately(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		sim := newSimulation(seed, 2, 6, 3)
		sim.demand = []float64{4.2, 10.9} // 5 and 7 of 12 instances
		sim.setLeading(sim.nodes[0], true)
		sim.run(40 * time.Second)
		sim.endFaults()
		sim.run(45 * time.Second)
		before := sim.groupKeys()
		sim.run(20 * time.Second)
		g.Expect(sim.violations).To(BeEmpty())
		g.Expect(sim.groupKeys()).To(Equal(before), "seed %d", seed)
	}
}

// Without faults, a single planner places all instances in groups if the group sizes allow it.
func TestFormsGroupsOfAllInstances(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 2, 8, 1)
	sim.faultsEnabled = false
	sim.setLeading(sim.nodes[0], true)
	sim.run(10 * time.Second)
	g.Expect(sim.violations).To(BeEmpty())
	alive, inGroups := sim.countServing()
	g.Expect(alive).To(Equal(16))
	g.Expect(inGroups).To(Equal(16))
}

// Instances that have seen later epochs than the planner refuse its first groups. The planner
// must skip past those epochs instead of repeating refused orders.
func TestPlannerSkipsPastLaterEpochs(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 1, 8, 1)
	sim.faultsEnabled = false
	for _, target := range sim.targets {
		target.highestEpoch = 200 << 20
	}
	sim.setLeading(sim.nodes[0], true)
	sim.run(20 * time.Second)
	g.Expect(sim.violations).To(BeEmpty())
	_, inGroups := sim.countServing()
	g.Expect(inGroups).To(Equal(8))
}

// However many instances without models start at once, and whichever node leads, the loads from
// the weight store that begin within any five seconds stay below its limit.
func TestLoadsStayBelowLimit(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3, 2, 4, 2)
	sim.faultsEnabled = false
	for _, target := range sim.targets {
		target.Staged = []string{"large"}
		sim.recordChange(target)
	}
	var loadTimes []time.Time
	sim.onOrder = func(o placement.Order) {
		if o.Action == placement.Stage {
			loadTimes = append(loadTimes, sim.now)
		}
	}
	for i := range 6 {
		sim.setLeading(sim.nodes[i%2], true)
		sim.setLeading(sim.nodes[(i+1)%2], false)
		for range 10 {
			sim.addTarget("d0")
			sim.targets[lastAdded(sim)].Staged = nil
			sim.recordChange(sim.targets[lastAdded(sim)])
		}
		sim.run(3 * time.Second)
	}
	g.Expect(sim.violations).To(BeEmpty())
	g.Expect(len(loadTimes)).To(BeNumerically(">", 6), "instances must load missing models")
	e := engine()
	limit := int(e.MaxLoadsPerSecond*5*1.1) + 3
	for i := range loadTimes {
		count := 0
		for _, at := range loadTimes[i:] {
			if at.Sub(loadTimes[i]) < 5*time.Second {
				count++
			}
		}
		g.Expect(count).To(BeNumerically("<=", limit))
	}
}

// A planner that takes over while a group is joining must not mistake the model of a member's
// previous group for the model of the new one: it would open the group with too few members.
func TestRecoveredGroupIsNotOpenedWithoutAllMembers(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	now := time.Unix(1000, 0)
	members := func(s fleet.MemberState, loaded string) []placement.Member {
		var list []placement.Member
		for rank, id := range []state.InstanceID{"a", "b"} {
			m := placement.Member{MembershipKnown: true, OrdersKnown: true, FirstSeen: now.Add(-time.Minute)}
			m.ID, m.Service, m.Domain, m.Model, m.Loaded = id, "lm", "d", "small", loaded
			if loaded != "" {
				m.Model = loaded
			}
			m.Membership = fleet.Membership{Group: "g", Epoch: 16 << 20, Rank: rank, State: s}
			list = append(list, m)
		}
		return list
	}
	p.Step(now, members(fleet.Joining, ""))
	plan := p.Step(now.Add(time.Second), members(fleet.Ready, "large"))
	for _, o := range plan.Orders {
		g.Expect(o.Action).NotTo(Equal(placement.Open), "group has two members, its model needs four")
	}
	plan = placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next).Step(now, members(fleet.Ready, "small"))
	g.Expect(plan.Orders).To(HaveLen(1), "group has two members, its model needs two")
	g.Expect(plan.Orders[0].Action).To(Equal(placement.Open))
}

// lastAdded returns the most recently added target.
func lastAdded(sim *simulation) state.InstanceID {
	return slices.Max(slices.Collect(maps.Keys(sim.targets)))
}

// Before the first request loads are nearly free, so a free instance stages a model then, for
// use when loads are costly.
func TestSparesAreStagedBeforeTheFirstRequest(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 2, 8, 1)
	sim.faultsEnabled = false
	sim.setLeading(sim.nodes[0], true)
	sim.nodes[0].planner.BeforeTraffic = true
	sim.run(10 * time.Second)
	spare := sim.addTarget("d0")
	spare.Staged = nil
	sim.run(10 * time.Second)
	_, inGroups := sim.countServing()
	g.Expect(inGroups).To(Equal(16))
	g.Expect(spare.Staged).NotTo(BeEmpty())
}
