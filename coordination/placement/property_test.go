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

// Several planners at once, frozen and cut off from the list, with orders that
// are late, lost or doubled and targets that die: no instance joins a group while
// its own one serves, and no group opens without all of its members. Once the
// faults end, one planner has the instances in groups again.
func TestNoInstanceWorksTwiceUnderAnyPlanners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playPlanners(t, 0, 0) })
}

// The same while the store comes back from older copies, several times, with nodes that
// start again and get offsets that other lives of nodes had: no formation is made twice.
func TestNoInstanceWorksTwiceWhenTheStoreGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playPlanners(t, 0.3, 0.3) })
}

// playPlanners plays a drawn world, of whose crashed targets a part start again under their
// ids, and of whose faults a part has the store come back from an older copy.
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
		t.Fatalf("seed %d, after the faults: %v", seed, w.broken)
	}
	alive, inGroups := w.serving()
	if alive-inGroups > 3*2 {
		t.Fatalf("seed %d: %d of %d instances are in groups that serve", seed, inGroups, alive)
	}
}

// The same with targets that crash and start again under their ids, knowing nothing of
// before, while orders to their earlier lives are still on their way.
func TestInstancesThatStartAgainUnderTheirIDsWorkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playPlanners(t, 0.8, 0) })
}

// Two domains that could both change for the same want do not change in turn: once
// the faults have ended, groups stay as they are.
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

// Without any fault, one planner forms groups of all instances that fit.
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

// Instances that have seen later epochs than the planner refuse its first groups;
// it goes on past those epochs instead of asking again and again.
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

// However many empty instances come at once, and whoever places, the loads from
// the weight store that begin in any five seconds stay under its ceiling.
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
	g.Expect(len(began)).To(BeNumerically(">", 6), "instances load what they lack")
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

// A planner that takes over while a group is joining must not take the model of a
// member's last group for that of the new one: it would open the group too small.
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
		g.Expect(o.Action).NotTo(Equal(placement.Open), "two members of a model of four")
	}
	plan = placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochs(0, 1).Next).Step(now, members(fleet.Ready, "small"))
	g.Expect(plan.Orders).To(HaveLen(1), "two members of a model of two")
	g.Expect(plan.Orders[0].Action).To(Equal(placement.Open))
}

// newest returns the target that was added last.
func newest(w *world) state.InstanceID {
	return slices.Max(slices.Collect(maps.Keys(w.targets)))
}

// Before the first request loads are nearly free: then an instance that is in no
// group loads a model to its host, for when loads are not free any more.
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
