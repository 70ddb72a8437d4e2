package placement_test

import (
	"fmt"
	"math"
	"runtime"
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

// memberOf returns an instance that states a membership.
func memberOf(id state.InstanceID, m fleet.Membership) placement.Member {
	in := freeInstance(id, "small", "small")
	in.Membership = m
	return in
}

// allocatedBytes returns the number of bytes that f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// One instance with an impossible rank ended the processes of all leaders in turn, since the planner used the rank as
// an index, or made them allocate a list of that length. The groups of other instances must stay as they are.
func TestInstanceWithImpossibleRankChangesNoOtherGroup(t *testing.T) {
	const maxBytes = 1 << 20
	for _, c := range []struct {
		name string
		rank int
	}{
		{"below zero", -1},
		{"the lowest", math.MinInt},
		{"above the size of every group", 16},
		{"a million", 1_000_000},
		{"the highest", math.MaxInt},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := placement.NewPlanner(unequalEngine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
			stray := memberOf("other", fleet.Membership{Group: "stray", Epoch: 3, Rank: c.rank, State: fleet.Ready})
			stray.Lost = true
			now := testStart
			for range 5 {
				members := append(groupsOfFour("d", 3, "large"), stray)
				var plan placement.Plan
				g.Expect(allocatedBytes(func() { plan = p.Step(now, members) })).To(BeNumerically("<", maxBytes))
				g.Expect(plan.OpenGroups).To(HaveKeyWithValue("small", 3))
				for _, o := range plan.Orders {
					g.Expect(o.Key.Group).To(BeElementOf(state.GroupName("stray"), state.GroupName("")), "%+v", o)
				}
				now = now.Add(time.Second)
			}
		})
	}
}

// drawnRanks are ranks of possible groups, and impossible ones.
var drawnRanks = []int{0, 1, 2, 3, 5, 15, 16, 36, -1, -7, 1 << 20, math.MinInt, math.MaxInt}

// drawMember draws an instance with any membership that its decoder could produce.
func drawMember(t *rapid.T, id state.InstanceID) placement.Member {
	m := memberOf(id, fleet.Membership{
		Group: rapid.SampledFrom([]state.GroupName{"", "g1", "g2", "g3"}).Draw(t, "group"),
		Epoch: rapid.SampledFrom([]state.Epoch{0, 1, 1 << 20, 1<<20 | 1, math.MaxUint64}).Draw(t, "epoch"),
		Rank:  rapid.SampledFrom(drawnRanks).Draw(t, "rank"),
		State: rapid.SampledFrom([]fleet.MemberState{fleet.Joining, fleet.Ready, fleet.Open, fleet.Closing, fleet.Broken, "", "other"}).Draw(t, "state"),
	})
	m.Model = rapid.SampledFrom([]string{"", "large", "small", "other"}).Draw(t, "model")
	m.Loaded = rapid.SampledFrom([]string{"", m.Model}).Draw(t, "loaded")
	m.Staged = rapid.SampledFrom([][]string{nil, {"large"}, {"small", "other"}}).Draw(t, "staged")
	m.Slots = rapid.SampledFrom([]int{26, 0, -7, math.MaxInt}).Draw(t, "slots")
	m.AcceptedOrders = rapid.SampledFrom([]int64{0, 3, -1, math.MaxInt64}).Draw(t, "orders")
	m.Lost, m.Far, m.Ended = rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "far"), rapid.Bool().Draw(t, "ended")
	m.Draining, m.Unlisted = rapid.Bool().Draw(t, "draining"), rapid.Bool().Draw(t, "unlisted")
	return m
}

// The planner runs in the background of the leader, where a panic ends the process and all requests in it. No states of
// instances, no demand and no change of the configuration may make it panic or allocate by the value of a field.
func TestPlannerAcceptsAnyInput(t *testing.T) {
	const maxBytes = 4 << 20
	demands := []float64{0, 1, 60, -5, 1e300, math.Inf(1), math.NaN()}
	rapid.Check(t, func(t *rapid.T) {
		p := placement.NewPlanner(unequalEngine(), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
		now := testStart
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			members := groupsOfFour("d", 2, "large")
			for i := range rapid.IntRange(0, 12).Draw(t, "others") {
				members = append(members, drawMember(t, state.InstanceID(fmt.Sprintf("o%02d", i))))
			}
			if rapid.Bool().Draw(t, "new configuration") {
				e := unequalEngine()
				e.Models = slices.Repeat(e.Models, 2)[:rapid.IntRange(0, 3).Draw(t, "models")]
				p.SetEngine(e)
			}
			p.Demand = rapid.SliceOfN(rapid.SampledFrom(demands), 0, 3).Draw(t, "demand")
			if len(p.Demand) == 0 {
				p.Demand = nil
			}
			p.BeforeTraffic = rapid.Bool().Draw(t, "before traffic")
			if n := allocatedBytes(func() { p.Step(now, members) }); n > maxBytes {
				t.Fatalf("step allocated %d bytes", n)
			}
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute}).Draw(t, "pause"))
		}
	})
}
