package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// testPool is the pool of the groups in the tests.
var testPool = dispatch.Pool{Service: "lm", Model: "m"}

// tableOf returns a table with a number of groups of 10 slots with heads "g0", "g1" and so on.
func tableOf(groups int, admission bool, random func() float64) *dispatch.Table {
	policy := dispatch.DefaultPolicy()
	policy.Admission.Enabled = admission
	table := dispatch.NewTable("h", policy)
	table.SetRandom(random)
	var views []roster.View
	for i := range groups {
		for rank, id := range []string{fmt.Sprint("g", i), fmt.Sprint("m", i)} {
			v := member(id, rank, []fleet.MemberState{fleet.Open, fleet.Ready}[rank])
			v.Membership.Group = state.GroupName(fmt.Sprint("group", i))
			views = append(views, v)
		}
	}
	table.Update(testCatalog(), views, func(fleet.GroupKey) bool { return false })
	return table
}

// flowOf returns the demand for the test pool.
func flowOf(rate float64, classes ...demand.ClassFlow) []demand.Flow {
	return []demand.Flow{{Service: "lm", Model: "m", Requests: rate, Classes: classes}}
}

// Guards against effects of admission while demand is below the room: the same groups are picked, and no request is
// refused.
func TestAdmissionChangesNothingBelowRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, groups := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 32).Draw(t, "groups")
		tables := []*dispatch.Table{}
		for _, admission := range []bool{false, true} {
			tables = append(tables, tableOf(groups, admission, rand.New(rand.NewPCG(seed, 1)).Float64))
		}
		if !tables[1].Admits() || tables[0].Admits() {
			t.Fatal("the switch is without effect")
		}
		inFlight := map[state.InstanceID]int{}
		for i := range groups {
			inFlight[state.InstanceID(fmt.Sprint("g", i))] = rapid.IntRange(0, 7).Draw(t, "in flight")
		}
		// A group with 7 of 10 slots in use has room for (0.8 x 10 - 7) / 0.6 s = 1.7 requests a second.
		flows := flowOf(float64(groups) * rapid.Float64Range(0.1, 1.6).Draw(t, "rate"))
		picked := make([][]state.InstanceID, 2)
		for i, table := range tables {
			if i == 1 {
				table.SetRandom(func() float64 { return 0 }) // a new gate draws its start
			}
			table.UpdateLoad(inFlight, flows, flows)
			table.SetRandom(rand.New(rand.NewPCG(seed, 2)).Float64)
			for range 2 * groups {
				c := table.Pick("lm", "m", start, excludeNone)
				if table.IsOverloaded(testPool) || !table.Admit(testPool, demand.Class{Priority: 5}) || !c.HasRoom() {
					t.Fatal("refused below the room")
				}
				picked[i] = append(picked[i], c.ID)
				c.BeginRequest(0, start)
			}
		}
		if fmt.Sprint(picked[0]) != fmt.Sprint(picked[1]) {
			t.Fatalf("picked %v without admission and %v with it", picked[0], picked[1])
		}
	})
}

func TestPickFollowsRoomUnderOverload(t *testing.T) {
	g := NewWithT(t)
	table := tableOf(3, true, rand.New(rand.NewPCG(1, 1)).Float64)
	table.UpdateLoad(map[state.InstanceID]int{"g0": 2, "g1": 5, "g2": 9}, flowOf(100), nil)
	g.Expect(table.IsOverloaded(testPool)).To(BeTrue())
	picks := map[state.InstanceID]int{}
	for range 3000 {
		picks[table.Pick("lm", "m", start, excludeNone).ID]++
	}
	g.Expect(picks["g0"]).To(BeNumerically("~", 2000, 100))
	g.Expect(picks["g1"]).To(BeNumerically("~", 1000, 100))
	g.Expect(picks["g2"]).To(BeZero())
	admitted := 0
	for i := range 1000 {
		if table.Admit(testPool, demand.Class{Priority: i % 3}) {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("~", 150, 2), "room for 9 requests in 0.6 s of 100 a second")
	first := table.Pick("lm", "m", start, func(c *dispatch.Candidate) bool { return c.ID != "g0" })
	for range 11 {
		first.BeginRequest(0, start)
	}
	g.Expect(first.IsFull(start)).To(BeTrue(), "the limit on slots in use holds whatever the totals say")
}

// Guards against a node without a leader that admits as if it were alone: its own load stands for that of each node.
func TestNodeWithoutTotalsAssumesItsShare(t *testing.T) {
	g := NewWithT(t)
	table := tableOf(2, true, func() float64 { return 0.5 })
	own := flowOf(1, demand.ClassFlow{Class: demand.Class{Team: "a"}, Requests: 1})
	held := table.Pick("lm", "m", start, excludeNone).BeginRequest(0, start)
	table.AssumeLoad(own, 1)
	g.Expect(table.IsOverloaded(testPool)).To(BeFalse())
	table.AssumeLoad(own, 100)
	g.Expect(table.IsOverloaded(testPool)).To(BeTrue())
	g.Expect(table.Plans()[0].Demand).To(BeNumerically("~", 100, 0.1))
	g.Expect(table.RequestRate("lm", "m")).To(BeNumerically("~", 100, 0.1))
	held.End()
	table.Pick("lm", "m", start, excludeNone).BeginRequest(0, start)
	table.AssumeLoad(own, 9)
	for _, c := range table.Candidates("lm", "m") {
		g.Expect(c.Load()-c.InFlight()).To(Equal(int64(4)), "8 other nodes with one request each, spread over two groups")
	}
}

func TestClassesAreSentWhereDemandNearsRoom(t *testing.T) {
	for _, c := range []struct {
		name    string
		planned float64
		classes int
	}{
		{"no plan yet", 0, 3},
		{"well below the room", 10, 1},
		{"near the room", 20, 3},
		{"above the room", 90, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := tableOf(2, true, func() float64 { return 0.5 })
			table.UpdateLoad(nil, flowOf(c.planned), nil) // room for 26.7 requests a second
			total := flowOf(7, demand.ClassFlow{Requests: 2}, demand.ClassFlow{Class: demand.Class{Priority: 2}, Requests: 4}, demand.ClassFlow{Class: demand.Class{Priority: 1}, Requests: 1})
			table.TrimClasses(total)
			g.Expect(total[0].Classes).To(HaveLen(c.classes))
			if c.classes == 1 {
				g.Expect(total[0].Classes[0]).To(Equal(demand.ClassFlow{Class: demand.Class{Priority: 2}, Requests: 7}))
			}
		})
	}
}

// Guards against a node that refuses more than others because it reaches fewer groups, and against a partitioned hall
// that counts the room of groups that none of its nodes reaches.
func TestNodeThatReachesFewerGroupsAdmitsTheSameFraction(t *testing.T) {
	g := NewWithT(t)
	rooms := make([]float64, 3)
	for i, c := range []struct {
		unreachable bool
		others      int
	}{{false, 3}, {true, 3}, {true, 0}} {
		table := dispatch.NewTable("h", dispatch.DefaultPolicy())
		views := []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready), member("c", 0, fleet.Open), member("d", 1, fleet.Ready)}
		for j := range views[2:] {
			views[2+j].Membership.Group = "other"
			views[2+j].Unreachable = c.unreachable
		}
		table.Update(testCatalog(), views, func(fleet.GroupKey) bool { return false })
		table.UpdateLoad(map[state.InstanceID]int{"c": c.others}, flowOf(100), nil)
		rooms[i] = table.Plans()[0].Room
	}
	g.Expect(rooms[0]).To(BeNumerically(">", 0))
	g.Expect(rooms[1]).To(Equal(rooms[0]))
	g.Expect(rooms[2]).To(BeNumerically("<", 0.7*rooms[0]))
}

func TestReturningCallersHaveShorterDeadline(t *testing.T) {
	table := dispatch.NewTable("h", dispatch.DefaultPolicy())
	for _, c := range []struct {
		name           string
		route, timeout time.Duration
		want           bool
	}{
		{"a new caller", 9 * time.Second, 9 * time.Second, false},
		{"a caller that waited", 9 * time.Second, 8500 * time.Millisecond, true},
		{"a caller that returns at once", 9 * time.Second, 8980 * time.Millisecond, false},
		{"a caller without a deadline", 9 * time.Second, 0, false},
		{"a route without a time-out", 0, 8 * time.Second, false},
		{"a deadline beyond the route's", 9 * time.Second, 20 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(table.IsReturning(c.route, c.timeout)).To(Equal(c.want))
		})
	}
}

func BenchmarkPlans(b *testing.B) {
	table := tableOf(30, true, rand.Float64)
	var classes []demand.ClassFlow
	for i := range 84 {
		classes = append(classes, demand.ClassFlow{Class: demand.Class{Priority: i % 3, Team: state.TeamName(fmt.Sprint("team", i/3))}, Requests: 20})
	}
	inFlight, flows := map[state.InstanceID]int{}, flowOf(1600, classes...)
	for i := range 30 {
		inFlight[state.InstanceID(fmt.Sprint("g", i))] = 5
	}
	b.ReportAllocs()
	for b.Loop() {
		table.UpdateLoad(inFlight, flows, nil)
	}
}

func BenchmarkAdmit(b *testing.B) {
	table := tableOf(30, true, rand.Float64)
	var classes []demand.ClassFlow
	for i := range 32 {
		classes = append(classes, demand.ClassFlow{Class: demand.Class{Team: state.TeamName(fmt.Sprint("team", i))}, Requests: 50})
	}
	inFlight := map[state.InstanceID]int{}
	for i := range 30 {
		inFlight[state.InstanceID(fmt.Sprint("g", i))] = 5
	}
	table.UpdateLoad(inFlight, flowOf(1600, classes...), nil)
	if !table.IsOverloaded(testPool) {
		b.Fatal("not overloaded")
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Admit(testPool, demand.Class{Team: "team9"})
		table.Pick("lm", "m", start, excludeNone)
	}
}
