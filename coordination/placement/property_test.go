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
func TestNoInstanceWorksTwiceUnderAnyPlanners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playPlanners(t, 0, 0) })
}

// As above, while the store is repeatedly restored from older copies and restarted nodes get
// offsets that other node incarnations had: no group is formed twice with the same key.
func TestNoInstanceWorksTwiceWhenTheStoreGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playPlanners(t, 0.3, 0.3) })
}

// playPlanners runs a drawn simulation. rebirths is the probability that a crashed target
// restarts under its id, restorations the probability that a fault is a restore of the store
// from an older copy.
func playPlanners(t *rapid.T, rebirths, restorations float64) {
	seed := rapid.Uint64().Draw(t, "seed")
	w := newWorld(seed, rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(4, 9).Draw(t, "targets"), 3)
	w.rebirths, w.restorations = rebirths, restorations
	w.place(w.nodes[0], true)
	w.run(40 * time.Second)
	if len(w.broken) > 0 {
		t.Fatalf("seed %d: %v", seed, w.broken)
	}
	w.calm()
	w.run(45 * time.Second)
	if len(w.broken) > 0 {
		t.Fatalf("seed %d, after the faults ended: %v", seed, w.broken)
	}
	alive, inGroups := w.serving()
	if alive-inGroups > 3*2 {
		t.Fatalf("seed %d: %d of %d live instances are in serving groups, want at most 6 outside", seed, inGroups, alive)
	}
}

// As above, with targets that crash and restart under their ids without any state, while
// orders to their earlier incarnations are still in flight.
func TestInstancesThatStartAgainUnderTheirIDsWorkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playPlanners(t, 0.8, 0) })
}

// Two domains that could both cover the same shortage must not be changed alternately: after
// the faults end, the groups stay the same.
func TestDomainsDoNotChangeInTurn(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		w := newWorld(seed, 2, 6, 3)
		w.work = []float64{4.2, 10.9} // 5 and 7 of 12 instances
		w.place(w.nodes[0], true)
		w.run(40 * time.Second)
		w.calm()
		w.run(45 * time.Second)
		before := w.formations()
		w.run(20 * time.Second)
		g.Expect(w.broken).To(BeEmpty())
		g.Expect(w.formations()).To(Equal(before), "seed %d", seed)
	}
}

// Without faults, a single planner places all instances in groups if the group sizes allow it.
func TestFormsGroupsOfAllInstances(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 8, 1)
	w.faults = false
	w.place(w.nodes[0], true)
	w.run(10 * time.Second)
	g.Expect(w.broken).To(BeEmpty())
	alive, inGroups := w.serving()
	g.Expect(alive).To(Equal(16))
	g.Expect(inGroups).To(Equal(16))
}

// Instances that have seen later epochs than the planner refuse its first groups. The planner
// must skip past those epochs instead of repeating refused orders.
func TestAPlannerThatIsBehindGetsAhead(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 1, 8, 1)
	w.faults = false
	for _, target := range w.targets {
		target.newest = 200 << 20
	}
	w.place(w.nodes[0], true)
	w.run(20 * time.Second)
	g.Expect(w.broken).To(BeEmpty())
	_, inGroups := w.serving()
	g.Expect(inGroups).To(Equal(8))
}

// However many instances without models start at once, and whichever node leads, the loads from
// the weight store that begin within any five seconds stay below its limit.
func TestLoadsStayUnderTheCeiling(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3, 2, 4, 2)
	w.faults = false
	for _, target := range w.targets {
		target.Staged = []string{"large"}
		w.changed(target)
	}
	var began []time.Time
	w.ordered = func(o placement.Order) {
		if o.Action == placement.Stage {
			began = append(began, w.now)
		}
	}
	for i := range 6 {
		w.place(w.nodes[i%2], true)
		w.place(w.nodes[(i+1)%2], false)
		for range 10 {
			w.addTarget("d0")
			w.targets[newest(w)].Staged = nil
			w.changed(w.targets[newest(w)])
		}
		w.run(3 * time.Second)
	}
	g.Expect(w.broken).To(BeEmpty())
	g.Expect(len(began)).To(BeNumerically(">", 6), "instances must load missing models")
	e := engine()
	ceiling := int(e.LoadsPerSecond*5*1.1) + 3
	for i := range began {
		in := 0
		for _, at := range began[i:] {
			if at.Sub(began[i]) < 5*time.Second {
				in++
			}
		}
		g.Expect(in).To(BeNumerically("<=", ceiling))
	}
}

// A planner that takes over while a group is joining must not mistake the model of a member's
// previous group for the model of the new one: it would open the group with too few members.
func TestARecoveredGroupIsNotOpenedWithoutAllMembers(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochs(0, 1).Next)
	now := time.Unix(1000, 0)
	members := func(s fleet.MemberState, loaded string) []placement.Member {
		var list []placement.Member
		for rank, id := range []state.InstanceID{"a", "b"} {
			m := placement.Member{Known: true, Counted: true, Seen: now.Add(-time.Minute)}
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
	plan = placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochs(0, 1).Next).Step(now, members(fleet.Ready, "small"))
	g.Expect(plan.Orders).To(HaveLen(1), "group has two members, its model needs two")
	g.Expect(plan.Orders[0].Action).To(Equal(placement.Open))
}

// newest returns the most recently added target.
func newest(w *world) state.InstanceID {
	return slices.Max(slices.Collect(maps.Keys(w.targets)))
}

// Before the first request loads are nearly free, so a free instance stages a model then, for
// use when loads are costly.
func TestSparesAreStagedBeforeTheFirstRequest(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 8, 1)
	w.faults = false
	w.place(w.nodes[0], true)
	w.nodes[0].planner.Quiet = true
	w.run(10 * time.Second)
	spare := w.addTarget("d0")
	spare.Staged = nil
	w.run(10 * time.Second)
	_, inGroups := w.serving()
	g.Expect(inGroups).To(Equal(16))
	g.Expect(spare.Staged).NotTo(BeEmpty())
}
