package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/state"
)

// newPool returns a pool of n groups that are ready.
func newPool(n int) []*routing.Candidate {
	return newSimulation(n, 1).tables[0].Candidates("m")
}

// request is a request with a prompt of 16 blocks.
var request = routing.Request{Tokens: 1280, Prompt: 1024, Prefix: prefixOf(&job{prompt: 1024, shared: 1024, family: 3})}

// TestPickAllocatesNothing checks every picker with every pool size.
func TestPickAllocatesNothing(t *testing.T) {
	for _, size := range []int{50, 750} {
		pool := newPool(size)
		for _, c := range pickers {
			pick := c.pick()
			allocs := testing.AllocsPerRun(50, func() { pick.Pick(pool, request, time.Unix(0, 0)) })
			if allocs != 0 {
				t.Errorf("%s over %d: %.0f allocations", c.name, size, allocs)
			}
		}
	}
}

func TestOnlyOpenGroupsArePicked(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := routing.NewTable()
	group := func(name string, drained state.Offset) *state.Group {
		return &state.Group{Name: state.GroupName(name), Epoch: 1, Model: state.Model{Name: "m"}, Drained: drained, Members: []state.InstanceID{"i"}}
	}
	table.Update([]*state.Group{group("open", 0), group("drained", 9), group("leaving", 0), group("old", 0), group("failed", 0)})
	for _, c := range table.All() {
		c.UpdateEvidence(func(*state.Group) evidence.GroupEvidence {
			w := evidence.GroupEvidence{Expires: now.Add(time.Second), Leaving: c.Name == "leaving"}
			if c.Name == "old" {
				w.Expires = now
			}
			return w
		})
	}
	for _, c := range pickers {
		pick := c.pick()
		for range 50 {
			g.Expect(string(pick.Pick(table.Candidates("m"), routing.Request{ExcludedGroup: "failed"}, now).Name)).To(Equal("open"))
		}
		g.Expect(pick.Pick(table.Candidates("m"), routing.Request{ExcludedGroup: "open"}, now.Add(2*time.Second))).To(BeNil())
		g.Expect(pick.Pick(nil, routing.Request{}, now)).To(BeNil())
	}
}

// Guards against new requests to the groups of an evacuated hall, and against the loss of responses in flight there.
func TestGroupsOfEvacuatedHallAreNotPicked(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := routing.NewTable()
	var groups []*state.Group
	for _, hall := range []state.HallName{"x", "y"} {
		groups = append(groups, &state.Group{Name: state.GroupName("g-" + hall), Hall: hall, Epoch: 1, Model: state.Model{Name: "m"}, Members: []state.InstanceID{"i"}})
	}
	update := func(evacuated ...state.HallName) {
		table.SetEvacuated(func(hall state.HallName) bool { return slices.Contains(evacuated, hall) })
		table.Update(groups)
	}
	update()
	for _, c := range table.All() {
		c.UpdateEvidence(func(*state.Group) evidence.GroupEvidence {
			return evidence.GroupEvidence{Expires: now.Add(time.Second), IncarnationHash: 1}
		})
	}
	d := table.Get("g-x").BeginRequest(request)
	update("x")
	g.Expect(d.IsValid(now)).To(BeTrue(), "requests in flight end normally")
	for _, c := range pickers {
		pick := c.pick()
		for range 50 {
			g.Expect(string(pick.Pick(table.Candidates("m"), routing.Request{}, now).Name)).To(Equal("g-y"))
		}
	}
	update("x", "y")
	g.Expect((&routing.RoundRobin{}).Pick(table.Candidates("m"), routing.Request{}, now)).To(BeNil())
	update()
	g.Expect(table.Get("g-x").CanAccept(now)).To(BeTrue())
}

// TestDispatchIsInvalidAfterGroupChange checks every way in which a group can stop being the
// one that was picked. A dispatch that stayed valid would let a response from other members
// through.
func TestDispatchIsInvalidAfterGroupChange(t *testing.T) {
	now := time.Unix(1000, 0)
	group := &state.Group{Name: "g", Epoch: 1, Model: state.Model{Name: "m"}, Members: []state.InstanceID{"i"}}
	ready := evidence.GroupEvidence{Expires: now.Add(time.Second), IncarnationHash: 1}
	cases := []struct {
		name   string
		change func(table *routing.Table, c *routing.Candidate)
		at     time.Time
		valid  bool
	}{
		{"no change", func(*routing.Table, *routing.Candidate) {}, now, true},
		{"the evidence expires", func(*routing.Table, *routing.Candidate) {}, now.Add(time.Second), false},
		{"a member no longer matches", func(_ *routing.Table, c *routing.Candidate) {
			c.UpdateEvidence(func(*state.Group) evidence.GroupEvidence { return evidence.GroupEvidence{IncarnationHash: 1} })
		}, now, false},
		{"a member has restarted and is ready again", func(_ *routing.Table, c *routing.Candidate) {
			c.UpdateEvidence(func(*state.Group) evidence.GroupEvidence {
				return evidence.GroupEvidence{Expires: now.Add(time.Second), IncarnationHash: 2}
			})
		}, now, false},
		{"the group has a new epoch", func(table *routing.Table, c *routing.Candidate) {
			next := *group
			next.Epoch = 2
			table.Update([]*state.Group{&next})
			c.UpdateEvidence(func(*state.Group) evidence.GroupEvidence { return ready })
		}, now, false},
		{"the group is dissolved", func(table *routing.Table, _ *routing.Candidate) { table.Update(nil) }, now, false},
		{"the group is drained", func(table *routing.Table, _ *routing.Candidate) {
			next := *group
			next.Drained = 5
			table.Update([]*state.Group{&next})
		}, now, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := routing.NewTable()
			table.Update([]*state.Group{group})
			cand := table.Get("g")
			cand.UpdateEvidence(func(*state.Group) evidence.GroupEvidence { return ready })
			d := cand.BeginRequest(request)
			c.change(table, cand)
			g.Expect(d.IsValid(c.at)).To(Equal(c.valid))
			d.End()
			d.End()
			g.Expect(cand.InFlight()).To(BeZero())
		})
	}
}

// BenchmarkPick measures one pick over the groups of one data hall (50) and of all halls at the
// planned scale (750).
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{50, 750} {
		pool := newPool(size)
		for _, c := range pickers {
			b.Run(fmt.Sprintf("%d/%s", size, c.name), func(b *testing.B) {
				pick := c.pick()
				b.ReportAllocs()
				for b.Loop() {
					pick.Pick(pool, request, time.Unix(0, 0))
				}
			})
		}
	}
}

// TestPickCost bounds the time of a pick over 50 and over 750 groups by a multiple of
// round robin's time in the same run. The multiple is proportional to the pool size.
func TestPickCost(t *testing.T) {
	cost := func(size int, pick routing.Picker) float64 {
		pool := newPool(size)
		return float64(testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				pick.Pick(pool, request, time.Unix(0, 0))
			}
		}).NsPerOp())
	}
	for _, size := range []int{50, 750} {
		ratio := cost(size, pickers[len(pickers)-1].pick()) / max(1, cost(size, pickers[0].pick()))
		t.Logf("%d groups: a pick takes %.0f times the time of round robin", size, ratio)
		if limit := float64(size) * 2; ratio > limit {
			t.Errorf("%d groups: a pick takes %.0f times the time of round robin, want at most %.0f", size, ratio, limit)
		}
	}
}
