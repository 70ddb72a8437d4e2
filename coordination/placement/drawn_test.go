package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/state/catalog"
)

// drawEngine draws an engine service with groups that fit into a domain.
func drawEngine(t *rapid.T, domain int) *catalog.Engine {
	e := &catalog.Engine{
		BatchSlots: rapid.IntRange(4, 40).Draw(t, "slots"), MaxLoadsPerSecond: 10, MaxConcurrentLoads: 10, MaxReportAge: reportLag, FormTime: openTime,
	}
	sizes := rapid.SliceOfNDistinct(rapid.SampledFrom([]int{2, 3, 4, 8, 16, 32}), 1, 3, rapid.ID[int]).Draw(t, "sizes")
	for _, size := range sizes {
		e.Models = append(e.Models, catalog.Model{
			Name: fmt.Sprintf("m%d", size), GroupSize: min(size, domain), TimeFactor: rapid.Float64Range(0.4, 1.5).Draw(t, "pace"),
			ExpectedShare: rapid.Float64Range(0.2, 1).Draw(t, "share"), LoadTime: 16 * time.Second, HostLoadTime: warmLoadTime,
		})
	}
	return e
}

// drawDemand draws the demand for each model, in slots.
func drawDemand(t *rapid.T, e *catalog.Engine, instances int, name string) []float64 {
	demand := make([]float64, len(e.Models))
	for i, m := range e.Models {
		slots := float64(instances*e.BatchSlots) / float64(m.GroupSize)
		demand[i] = slots * rapid.Float64Range(0, 0.6).Draw(t, name)
	}
	return demand
}

// drawSimulation draws a simulation of one service without faults and with a single leader.
func drawSimulation(t *rapid.T) *simulation {
	domains, perDomain := rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(4, 40).Draw(t, "instances of a domain")
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 0, 0, 1)
	sim.faultsEnabled = false
	sim.engine = drawEngine(t, perDomain)
	for d := range domains {
		for range perDomain {
			target := sim.addTarget(fmt.Sprintf("d%d", d))
			target.Staged = nil
			for _, m := range sim.engine.Models {
				target.Staged = append(target.Staged, m.Name)
			}
			sim.recordChange(target)
		}
	}
	sim.setLeading(sim.nodes[0], true)
	return sim
}

// For any sizes of domains and groups, the instances are placed in groups, and the groups
// become stable again after a change of demand.
func TestGroupsStabilizeInDrawnDeployments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t)
		sim.run(14 * time.Second)
		checkPlacement(t, sim)
		alive, _ := sim.countServing()
		sim.nodes[0].planner.Demand = drawDemand(t, sim.engine, alive, "work")
		sim.run(45 * time.Second)
		before := sim.groupKeys()
		sim.run(10 * time.Second)
		if len(sim.violations) > 0 {
			t.Fatalf("%v", sim.violations)
		}
		for id, key := range sim.groupKeys() {
			if key != before[id] {
				t.Fatalf("%s moved from %v to %v although neither demand nor instances changed", id, before[id], key)
			}
		}
	})
}

// checkPlacement checks that no invariant was violated, and that in each domain fewer
// instances are free than the largest group has members.
func checkPlacement(t *rapid.T, sim *simulation) {
	if len(sim.violations) > 0 {
		t.Fatalf("%v", sim.violations)
	}
	largest := 0
	for _, m := range sim.engine.Models {
		largest = max(largest, m.GroupSize)
	}
	free := map[string]int{}
	for _, target := range sim.targets {
		if target.Membership.Group == "" {
			free[target.Domain]++
		}
	}
	for domain, n := range free {
		if n >= largest {
			t.Fatalf("%d instances of %s are free, want fewer than the %d of the largest group", n, domain, largest)
		}
	}
}
