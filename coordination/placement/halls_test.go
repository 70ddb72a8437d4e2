package placement_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// byHall is the fraction of the demand for a model that arrives in each hall.
type byHall = map[state.HallName]float64

// freeDomain returns free instances of a domain in a hall, which can join groups of either model at once.
func freeDomain(domain string, hall state.HallName, n int) []placement.Member {
	var list []placement.Member
	for i := range n {
		m := freeInstance(state.InstanceID(fmt.Sprintf("%s-%02d", domain, i)), "small", "large")
		m.Domain, m.Hall = domain, hall
		list = append(list, m)
	}
	return list
}

// joining returns the number of instances that a plan orders to join groups of each model, by hall.
func joining(plan placement.Plan, members []placement.Member) map[string]byHall {
	halls := map[state.InstanceID]state.HallName{}
	for i := range members {
		halls[members[i].ID] = members[i].Hall
	}
	counts := map[string]byHall{"large": {}, "small": {}}
	for _, o := range plan.Orders {
		if o.Action == placement.Join {
			counts[o.Model][halls[o.Instance]]++
		}
	}
	return counts
}

// newPlan returns the first plan of a planner for a demand.
func newPlan(demand []float64, demandByHall []byHall, members []placement.Member) placement.Plan {
	p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	p.Demand, p.DemandByHall = demand, demandByHall
	return p.Step(testStart, slices.Clone(members)) // a step marks members with pending orders
}

// Two layouts that differ only in which hall has which group are equally good by utility. The groups must be where the
// requests for their model arrive.
func TestGroupsAreFormedInTheHallOfTheirDemand(t *testing.T) {
	for _, c := range []struct {
		name         string
		demandByHall []byHall
		large        byHall // instances in large groups
	}{
		{"the large model's demand in hall a", []byHall{{"a": 0.9, "b": 0.1}, {"a": 0.5, "b": 0.5}}, byHall{"a": 4}},
		{"the large model's demand in hall b", []byHall{{"a": 0.1, "b": 0.9}, {"a": 0.5, "b": 0.5}}, byHall{"b": 4}},
		{"the small model's demand in hall a", []byHall{nil, {"a": 1}}, byHall{"b": 4}},
		{"the small model's demand in hall b", []byHall{nil, {"b": 1}}, byHall{"a": 4}},
		{"demand in another hall", []byHall{{"c": 1}, {"c": 1}}, byHall{"a": 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			members := append(freeDomain("d0", "a", 6), freeDomain("d1", "b", 6)...)
			demand := []float64{2, 9} // one group of the large model and all others of the small one are worth most
			without := joining(newPlan(demand, nil, members), members)
			g.Expect(without["large"]).To(Equal(byHall{"a": 4}), "the layout without demand by hall")
			got := joining(newPlan(demand, c.demandByHall, members), members)
			g.Expect(got["large"]).To(Equal(c.large))
		})
	}
}

// A group that lies in a hall covers its demand: a further one of the same model must go elsewhere.
func TestExistingGroupsCoverTheirHall(t *testing.T) {
	g := NewWithT(t)
	var members []placement.Member
	for rank := range 4 {
		m := freeInstance(state.InstanceID(fmt.Sprint("open-", rank)), "large", "small")
		m.Domain, m.Hall, m.Loaded = "d2", "b", "large"
		m.Membership = fleet.Membership{Group: "g", Epoch: 16 << 20, Rank: rank, State: fleet.Ready}
		if rank == 0 {
			m.Membership.State = fleet.Open
		}
		members = append(members, m)
	}
	members = append(members, freeDomain("d0", "a", 6)...)
	members = append(members, freeDomain("d1", "b", 6)...)
	p := placement.NewPlanner(engine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	p.Demand = []float64{12, 16} // one further group of the large model is worth most
	p.DemandByHall = []byHall{{"a": 0.5, "b": 0.5}, nil}
	plan := p.Step(testStart, members)
	g.Expect(joining(plan, members)["large"]).To(Equal(byHall{"a": 4}))
}

// The hall in which groups are must never cost utility: with and without demand by hall, groups of the same models are formed,
// and those with it cover at least as much of it.
func TestDemandByHallCostsNoUtility(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := []state.HallName{"a", "b", "c"}
		var members []placement.Member
		for d := range rapid.IntRange(1, 5).Draw(t, "domains") {
			members = append(members, freeDomain(fmt.Sprint("d", d), rapid.SampledFrom(halls).Draw(t, "hall"), rapid.IntRange(0, 11).Draw(t, "free"))...)
		}
		demand := []float64{rapid.Float64Range(0, 40).Draw(t, "large"), rapid.Float64Range(0, 40).Draw(t, "small")}
		demandByHall := make([]byHall, 2)
		for i := range demandByHall {
			x, y := rapid.Float64Range(0, 1).Draw(t, "share"), rapid.Float64Range(0, 1).Draw(t, "share")
			demandByHall[i] = byHall{"a": x, "b": (1 - x) * y, "c": (1 - x) * (1 - y)}
		}
		without := joining(newPlan(demand, nil, members), members)
		with := joining(newPlan(demand, demandByHall, members), members)
		var coveredWithout, coveredWith float64
		for i, model := range []string{"large", "small"} {
			totalWithout, totalWith := totalOf(without[model]), totalOf(with[model])
			if totalWithout != totalWith {
				t.Fatalf("%v instances in groups of %s, without demand by hall %v", totalWith, model, totalWithout)
			}
			for _, h := range halls {
				coveredWithout += min(without[model][h], demandByHall[i][h]*totalWithout)
				coveredWith += min(with[model][h], demandByHall[i][h]*totalWith)
			}
		}
		if coveredWith < coveredWithout-1e-5 {
			t.Fatalf("covers the demand of %v instances, without demand by hall %v", coveredWith, coveredWithout)
		}
	})
}

func totalOf(counts byHall) float64 {
	var total float64
	for _, n := range counts {
		total += n
	}
	return total
}

// BenchmarkFirstStepByHall measures the first step for all instances of a system, which chooses all layouts, with and without the
// demand by hall.
func BenchmarkFirstStepByHall(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprint("by-hall=", known), func(b *testing.B) {
			var members []placement.Member
			for d := range 9 {
				members = append(members, freeDomain(fmt.Sprint("d", d), state.HallName(fmt.Sprint("hall-", d%3)), 19)...)
			}
			var demandByHall []byHall
			if known {
				demandByHall = []byHall{{"hall-0": 0.2, "hall-1": 0.3, "hall-2": 0.5}, {"hall-0": 0.5, "hall-1": 0.3, "hall-2": 0.2}}
			}
			for b.Loop() {
				newPlan([]float64{100, 100}, demandByHall, members)
			}
		})
	}
}
