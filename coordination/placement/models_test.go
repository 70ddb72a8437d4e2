package placement_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// withModels returns the engine of the simulation with other models.
func withModels(models ...catalog.Model) *catalog.Engine {
	e := engine()
	e.Models = models
	return e
}

// modelOf returns a model whose groups have a number of instances.
func modelOf(name string, size int) catalog.Model {
	return catalog.Model{Name: name, GroupSize: size, ExpectedShare: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, HostLoadTime: warmLoadTime}
}

// setEngine gives a new configuration to some nodes.
func (sim *simulation) setEngine(e *catalog.Engine, nodes ...*node) {
	sim.engine, sim.demand = e, nil
	for _, n := range nodes {
		if n.planner != nil {
			n.planner.SetEngine(e)
			n.planner.Demand = nil
		}
	}
}

// outdatedGroups returns the instances in groups of a model that the configuration does not have, or has with larger groups.
func (sim *simulation) outdatedGroups() []state.InstanceID {
	var list []state.InstanceID
	for id, t := range sim.targets {
		if t.dead || t.Membership.Group == "" {
			continue
		}
		if m := sim.engine.Model(t.Model); m == nil || len(t.members) < m.GroupSize {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Guards against a configuration that replaces a model and ends the processes of all leaders in turn: the planner used the
// position of the old model, which the configuration no longer had, as an index. Callers of every service lost requests,
// and the instances of the old model's groups served nothing from then on.
func TestGroupsOfRemovedModelsServeTheOthers(t *testing.T) {
	large, small, other := modelOf("large", 4), modelOf("small", 2), modelOf("other", 4)
	for _, c := range []struct {
		name    string
		models  []catalog.Model
		removed []string
	}{
		{"one is removed", []catalog.Model{small}, []string{"large"}},
		{"the other one is removed", []catalog.Model{large}, []string{"small"}},
		{"one is replaced", []catalog.Model{other, small}, []string{"large"}},
		{"the other one is replaced", []catalog.Model{large, other}, []string{"small"}},
		{"all are replaced", []catalog.Model{other, modelOf("another", 2)}, []string{"large", "small"}},
		{"another order", []catalog.Model{small, large}, nil},
		{"one needs larger groups", []catalog.Model{large, modelOf("small", 4)}, nil},
		{"one needs smaller groups", []catalog.Model{modelOf("large", 2), small}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(1, 2, 8, 1)
			sim.faultsEnabled = false
			sim.setLeading(sim.nodes[0], true)
			sim.run(20 * time.Second)
			sim.setEngine(withModels(c.models...), sim.nodes...)
			sim.run(20 * time.Second)
			g.Expect(sim.violations).To(BeEmpty())
			for _, name := range c.removed {
				g.Expect(sim.instancesServing(name)).To(BeZero(), name)
			}
			for _, m := range c.models {
				g.Expect(sim.instancesServing(m.Name)).To(BeNumerically(">=", m.GroupSize), m.Name)
			}
			g.Expect(sim.outdatedGroups()).To(BeEmpty())
		})
	}
}

// A configuration without models leaves no groups to form, and those that are formed are dissolved. With the models back,
// they are served again.
func TestEngineWithoutModelsHasNoGroups(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 2, 8, 1)
	sim.faultsEnabled = false
	sim.addTarget("d0").Staged = nil
	sim.setLeading(sim.nodes[0], true)
	sim.run(10 * time.Second)
	sim.setEngine(withModels(), sim.nodes...)
	sim.run(10 * time.Second)
	g.Expect(sim.outdatedGroups()).To(BeEmpty())
	sim.setEngine(engine(), sim.nodes...)
	sim.run(10 * time.Second)
	_, inGroups := sim.countServing()
	g.Expect(inGroups).To(BeNumerically(">=", 16))
}

// The requests of a removed model end whole: its groups finish what they have, however long that takes, and get no order to leave
// meanwhile.
func TestGroupOfRemovedModelFinishesItsRequests(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	members := func(s fleet.MemberState) []placement.Member {
		list := []placement.Member{groupMember("a", 0), groupMember("b", 1)}
		list[0].Membership.State = s
		return list
	}
	p.Step(testStart, members(fleet.Open))
	p.SetEngine(withModels(modelOf("large", 4)))
	plan := p.Step(testStart.Add(time.Second), members(fleet.Open))
	g.Expect(plan.Orders).To(HaveLen(1))
	g.Expect(plan.Orders[0].Action).To(Equal(placement.Close))
	g.Expect(plan.ExcludedGroups).To(HaveLen(1))
	for second := 2; second < 30; second++ {
		plan = p.Step(testStart.Add(time.Duration(second)*time.Second), members(fleet.Closing))
		g.Expect(plan.Orders).To(BeEmpty(), "second %d", second)
	}
	plan = p.Step(testStart.Add(30*time.Second), members(fleet.Ready))
	g.Expect(plan.Orders).To(BeEmpty())
	plan = p.Step(testStart.Add(31*time.Second), members(fleet.Ready))
	g.Expect(plan.Orders).To(HaveLen(2))
	g.Expect(plan.Orders[0].Action).To(Equal(placement.Leave))
}

// A leader that is cut off from the store may have an older configuration than others, and must not close the groups of models that only
// the newer one has.
func TestLeaderWithStaleConfigurationGivesUpNoGroup(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(withModels(modelOf("large", 4)), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	members := []placement.Member{groupMember("a", 0), groupMember("b", 1)} // of a model that this leader does not know
	members[0].Membership.State = fleet.Open
	p.ConfigStale = true
	for second := range 60 {
		plan := p.Step(testStart.Add(time.Duration(second)*time.Second), members)
		g.Expect(plan.Orders).To(BeEmpty(), "second %d", second)
		g.Expect(plan.Retired).To(BeEmpty())
	}
	p.ConfigStale = false
	plan := p.Step(testStart.Add(time.Minute), members)
	g.Expect(plan.Orders).To(HaveLen(1))
	g.Expect(plan.Orders[0].Action).To(Equal(placement.Close))
}

// A model that is back before its groups have been given up is served by them.
func TestModelThatReturnsKeepsItsGroups(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 2, 8, 1)
	sim.faultsEnabled = false
	sim.setLeading(sim.nodes[0], true)
	sim.run(20 * time.Second)
	before := sim.groupKeys()
	sim.setEngine(withModels(modelOf("small", 2)), sim.nodes...)
	sim.run(500 * time.Millisecond)
	sim.setEngine(engine(), sim.nodes...)
	sim.run(20 * time.Second)
	g.Expect(sim.violations).To(BeEmpty())
	g.Expect(sim.groupKeys()).To(Equal(before))
	_, inGroups := sim.countServing()
	g.Expect(inGroups).To(Equal(16))
}

// An instance that names a group but never a model, or a model of another size, ends no planner, and its group is dissolved.
func TestGroupsWithoutUsableModelAreDissolved(t *testing.T) {
	for _, c := range []struct {
		name  string
		model string
		size  int
	}{
		{"no model", "", 2},
		{"a model that no configuration had", "unknown", 2},
		{"fewer members than the model needs", "large", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
			var left []state.InstanceID
			for second := range 60 {
				var members []placement.Member
				for rank := range c.size {
					m := groupMember(state.InstanceID('a'+rune(rank)), rank)
					m.Model, m.Loaded = c.model, c.model
					if slices.Contains(left, m.ID) {
						m.Membership = fleet.Membership{}
					}
					members = append(members, m)
				}
				for _, o := range p.Step(testStart.Add(time.Duration(second)*time.Second), members).Orders {
					switch o.Action {
					case placement.Close:
						left = append(left, o.Instance) // it has no requests, and reports no group from then on
					case placement.Leave:
						left = append(left, o.Instance)
					}
				}
			}
			g.Expect(left).To(ContainElements(state.InstanceID("a"), state.InstanceID("b")))
		})
	}
}

// Guards against a group that serves without all of its members: a leader that takes over while a group of four joins, and whose
// configuration has groups of two by then, must not take the two members that are ready for the whole group.
func TestGroupIsNotOpenedByTheNewSizeOfItsModel(t *testing.T) {
	g := NewWithT(t)
	former := placement.NewPlanner(withModels(modelOf("resized", 4)), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	free := func() []placement.Member { return freeInstances("d", 4, "resized", "resized") }
	joins := former.Step(testStart, free()).Orders
	g.Expect(joins).To(HaveLen(4))
	key := joins[0].Key
	next := placement.NewPlanner(withModels(modelOf("resized", 2)), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 2).Next)
	for second := range 60 {
		members := free()
		for i := range members {
			rank := slices.Index(joins[0].Members, members[i].ID)
			members[i].Membership = fleet.Membership{Group: key.Group, Epoch: key.Epoch, Rank: rank, State: fleet.Joining}
			if rank < 2 {
				members[i].Membership.State, members[i].Loaded = fleet.Ready, "resized"
			}
		}
		plan := next.Step(testStart.Add(time.Duration(second)*time.Second), members[:2])
		for _, o := range plan.Orders {
			g.Expect(o.Action).To(Equal(placement.Leave), "second %d", second)
		}
	}
}

// The name of a group comes from a list that others write to: no size that it states makes a leader allocate by it.
func TestNamesWithImpossibleSizesChangeNoOtherGroup(t *testing.T) {
	for _, name := range []state.GroupName{"g1-0", "g1--4", "g1-257", "g1-4096", "g1-9223372036854775807", "g1-99999999999999999999", "g1-", "-", "g1-4-4"} {
		t.Run(string(name), func(t *testing.T) {
			g := NewWithT(t)
			p := placement.NewPlanner(unequalEngine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
			stray := memberOf("other", fleet.Membership{Group: name, Epoch: 3, Rank: 0, State: fleet.Ready})
			for second := range 5 {
				members := append(groupsOfFour("d", 3, "large"), stray)
				var plan placement.Plan
				g.Expect(allocatedBytes(func() { plan = p.Step(testStart.Add(time.Duration(second)*time.Second), members) })).To(BeNumerically("<", 1<<20))
				g.Expect(plan.OpenGroups).To(HaveKeyWithValue("small", 3))
			}
		})
	}
}

// Guards against a new model that never gets a group: hosts that kept models of the earlier configuration counted as having one, so
// that the few that had loaded a new model loaded the other one over it, again and again.
func TestHostsWithFormerModelsLoadTheNewOnes(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 3, 6, 1)
	sim.faultsEnabled, sim.singleModelHosts = false, true
	sim.engine = withModels(modelOf("former", 1))
	sim.setLeading(sim.nodes[0], true)
	sim.run(5 * time.Second)
	sim.setEngine(withModels(modelOf("new", 1), modelOf("newer", 2)), sim.nodes...)
	sim.run(70 * time.Second)
	g.Expect(sim.violations).To(BeEmpty())
	g.Expect(sim.instancesServing("new")).To(BeNumerically(">=", 1))
	g.Expect(sim.instancesServing("newer")).To(BeNumerically(">=", 2))
}

// Guards against a new model that is not served for tens of seconds: two versions of the configuration came within a second, and the
// second load of each host counted as in progress although its order had not been sent.
func TestLoadsOfASecondVersionAreOrdered(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(withModels(modelOf("for-a-moment", 2)), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	free := func(staged string) []placement.Member { return freeInstances("d", 4, "former", staged) }
	first := stagedInstances(p.Step(testStart, free("former")))
	g.Expect(first).NotTo(BeEmpty())
	p.SetEngine(withModels(modelOf("new", 2)))
	ordered := map[state.InstanceID]bool{}
	for i := range 10 { // the loads of the first version have completed
		plan := p.Step(testStart.Add(time.Duration(i+1)*100*time.Millisecond), free("for-a-moment"))
		for _, o := range plan.Orders {
			if o.Action == placement.Stage {
				g.Expect(o.Model).To(Equal("new"))
				ordered[o.Instance] = true
			}
		}
	}
	for _, st := range p.Stagings() {
		g.Expect(ordered).To(HaveKey(st.Instance), "its load counts as in progress")
	}
	g.Expect(len(ordered)).To(BeNumerically(">=", 2))
}

// drawModels draws the models of a configuration from a few names, so that successive ones add, drop, rename, resize and
// reorder models. Each domain holds a group of every model.
func drawModels(t *rapid.T, domain int) []catalog.Model {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"m1", "m2", "m3", "m4"}), 0, 3, rapid.ID[string]).Draw(t, "names")
	var models []catalog.Model
	for _, name := range names {
		models = append(models, modelOf(name, rapid.IntRange(1, domain/3).Draw(t, "size")))
	}
	return models
}

// For any configurations that follow one another, with leaders that change or have an older configuration, no planner panics, no
// instance serves two groups, and in the end every model is served and no instance is in a group of another model.
func TestEveryModelIsServedAfterDrawnConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains, perDomain := rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(6, 18).Draw(t, "instances of a domain")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), domains, perDomain, 2)
		sim.faultsEnabled = rapid.Bool().Draw(t, "faults")
		sim.singleModelHosts = rapid.Bool().Draw(t, "single-model hosts")
		sim.setLeading(sim.nodes[0], true)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			sim.run(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second}).Draw(t, "pause"))
			nodes := sim.nodes
			if rapid.Bool().Draw(t, "one node has the older configuration") {
				nodes = nodes[:1]
			}
			sim.setEngine(withModels(drawModels(t, perDomain)...), nodes...)
			if rapid.Bool().Draw(t, "new leader") {
				sim.setLeading(sim.nodes[1], !sim.nodes[1].leading)
			}
		}
		sim.run(5 * time.Second)
		sim.endFaults()
		models := drawModels(t, perDomain)
		sim.setEngine(withModels(models...), sim.nodes...)
		sim.run(2 * time.Minute)
		if len(sim.violations) > 0 {
			t.Fatalf("%v", sim.violations)
		}
		for _, m := range models {
			if sim.instancesServing(m.Name) < m.GroupSize {
				t.Fatalf("%s in groups of %d is not served", m.Name, m.GroupSize)
			}
		}
		if list := sim.outdatedGroups(); len(list) > 0 {
			t.Fatalf("%v are in groups of models that are not configured", list)
		}
	})
}
