package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/locality"
	"github.com/troutmast/troutmast/coordination/roster"
	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// headsIn returns the heads of n open groups of one instance in a hall.
func headsIn(hall state.HallName, n int) []roster.View {
	views := openHeads(n)
	for i := range views {
		views[i].ID = state.InstanceID(fmt.Sprint(hall, "-", i))
		views[i].Hall = hall
		views[i].Membership.Group = state.GroupName(views[i].ID)
	}
	return views
}

// distant returns the delays between halls for a pool.
func distant(delays ...catalog.HallDelay) func(dispatch.Pool) []catalog.HallDelay {
	return func(dispatch.Pool) []catalog.HallDelay { return delays }
}

// hallShares returns the fraction of picks in each hall.
func hallShares(table *dispatch.Table, now time.Time, exclude func(*dispatch.Candidate) bool) map[state.HallName]float64 {
	const draws = 4000
	shares := map[state.HallName]float64{}
	for range draws {
		if c := table.Pick("lm", "m", now, exclude); c != nil {
			shares[c.Hall] += 1.0 / draws
		}
	}
	return shares
}

// Requests must stay in their hall while it has room, follow the plan once it has none, and still find a group if the plan is
// wrong: it may be as old as the totals.
func TestPickFollowsThePlanOfHalls(t *testing.T) {
	delays := distant(catalog.HallDelay{From: "h", To: "far", Delay: 3 * time.Millisecond})
	busy := func(hall string, n, load int) map[state.InstanceID]int {
		m := map[state.InstanceID]int{}
		for i := range n {
			m[state.InstanceID(fmt.Sprint(hall, "-", i))] = load
		}
		return m
	}
	for _, c := range []struct {
		name    string
		local   int // groups in the own hall
		load    map[state.InstanceID]int
		rates   map[state.HallName]float64
		age     time.Duration
		exclude func(*dispatch.Candidate) bool
		min     float64 // fraction of picks in the own hall
		max     float64
	}{
		{"room in the own hall", 3, busy("h", 3, 5), map[state.HallName]float64{"h": 10, "far": 10}, 0, excludeNone, 1, 1},
		{"no room in the own hall", 3, busy("h", 3, 16), map[state.HallName]float64{"h": 30, "far": 1}, 0, excludeNone, 0, 0.4},
		{"no group in the own hall", 0, nil, map[state.HallName]float64{"h": 10}, 0, excludeNone, 0, 0},
		{"only full groups in the own hall", 3, busy("h", 3, 18), map[state.HallName]float64{"h": 1, "far": 90}, 0, excludeNone, 0, 0},
		{"all groups of the own hall are excluded", 3, nil, map[state.HallName]float64{"h": 1}, 0, func(c *dispatch.Candidate) bool { return c.Hall == "h" }, 0, 0},
		{"an old plan", 3, busy("h", 3, 5), map[state.HallName]float64{"h": 10, "far": 10}, time.Minute, excludeNone, 0, 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := dispatch.NewTable("h", dispatch.DefaultPolicy())
			table.Update(prefillCatalog(), append(headsIn("h", c.local), headsIn("far", 3)...), func(fleet.GroupKey) bool { return false })
			load := map[state.InstanceID]int{"far-0": 4, "far-1": 4, "far-2": 4}
			for id, n := range c.load {
				load[id] = n
			}
			flow := demand.HallFlow{Service: "lm", Model: "m", Requests: c.rates}
			table.UpdateLoad(load, []demand.Flow{{Service: "lm", Model: "m", Requests: flow.Total()}}, nil)
			table.UpdateHalls(locality.DefaultPolicy(), []demand.HallFlow{flow}, delays, start.Add(time.Second))
			g.Expect(hallShares(table, start.Add(c.age), c.exclude)["h"]).To(And(BeNumerically(">=", c.min-1e-9), BeNumerically("<=", c.max+1e-9)))
		})
	}
}

// A plan as old as the totals may send requests to a hall that has filled up since: the limit on its slots still holds.
func TestStalePlanDoesNotOverfillAnotherHall(t *testing.T) {
	g := NewWithT(t)
	table := dispatch.NewTable("h", dispatch.DefaultPolicy())
	table.Update(prefillCatalog(), append(headsIn("h", 1), headsIn("far", 1)...), func(fleet.GroupKey) bool { return false })
	flow := demand.HallFlow{Service: "lm", Model: "m", Requests: map[state.HallName]float64{"h": 30}}
	delays := distant(catalog.HallDelay{From: "h", To: "far", Delay: 3 * time.Millisecond})
	table.UpdateLoad(map[state.InstanceID]int{"h-0": 16}, []demand.Flow{{Service: "lm", Model: "m", Requests: 30}}, nil)
	table.UpdateHalls(locality.DefaultPolicy(), []demand.HallFlow{flow}, delays, start.Add(time.Second))
	g.Expect(hallShares(table, start, excludeNone)["far"]).To(BeNumerically(">", 0.5))
	table.UpdateLoad(map[state.InstanceID]int{"h-0": 16, "far-0": 17}, []demand.Flow{{Service: "lm", Model: "m", Requests: 30}}, nil)
	g.Expect(hallShares(table, start, excludeNone)["far"]).To(BeZero())
}

// Where requests stay in their hall, a group gets prompts only from the nodes of its hall. A node that paced them at its share of
// all requests counted the groups of its hall as full while they were idle.
func TestPacingFollowsTheNodesShareOfItsHall(t *testing.T) {
	sent := func(planned bool) time.Duration {
		policy := dispatch.DefaultPolicy()
		policy.ReadLimit, policy.PaceBurst = 0.8, 250*time.Millisecond
		table := dispatch.NewTable("h", policy)
		table.Update(prefillCatalog(), append(headsIn("h", 1), append(headsIn("b", 1), headsIn("c", 2)...)...), func(fleet.GroupKey) bool { return false })
		total, own := []demand.Flow{{Service: "lm", Model: "m", Requests: 20}}, []demand.Flow{{Service: "lm", Model: "m", Requests: 4}}
		table.UpdateLoad(nil, total, own)
		if planned {
			flow := demand.HallFlow{Service: "lm", Model: "m", Requests: map[state.HallName]float64{"h": 5, "b": 5, "c": 10}}
			delays := distant(catalog.HallDelay{From: "h", To: "b", Delay: 3 * time.Millisecond})
			table.UpdateLoad(map[state.InstanceID]int{"h-0": 1, "b-0": 1, "c-0": 1, "c-1": 1}, total, own)
			table.UpdateHalls(locality.DefaultPolicy(), []demand.HallFlow{flow}, delays, start.Add(time.Hour))
		}
		head := table.Pick("lm", "m", start, func(c *dispatch.Candidate) bool { return c.ID != "h-0" })
		var prefill time.Duration
		for i := range 10000 {
			if now := start.Add(time.Duration(i) * time.Millisecond); !head.IsFull(now) {
				head.BeginRequest(100, now).End()
				prefill += 50 * time.Millisecond // 100 tokens at 1,000 per second and TimeFactor 0.5
			}
		}
		return prefill
	}
	g := NewWithT(t)
	// The node has a fifth of all requests and four fifths of those of its hall.
	g.Expect(sent(false)).To(BeNumerically("~", 1600*time.Millisecond, 200*time.Millisecond))
	g.Expect(sent(true)).To(BeNumerically("~", 6400*time.Millisecond, 300*time.Millisecond))
}

// referencePick is the choice of a candidate without plans of halls, for load and health as given.
func referencePick(pool []referenceCandidate, p dispatch.Policy, rate, random float64) state.InstanceID {
	candidates := slices.Clone(pool)
	isFull := func(c referenceCandidate) bool { return float64(c.load) >= p.FullAt*20 }
	if slices.ContainsFunc(candidates, func(c referenceCandidate) bool { return !isFull(c) }) {
		candidates = slices.DeleteFunc(candidates, isFull)
	}
	costOf := func(c referenceCandidate) float64 {
		cost := float64(c.load) / 20
		if c.hall != "h" {
			cost += p.RemoteHallCost
		}
		return cost
	}
	slices.SortFunc(candidates, func(a, b referenceCandidate) int { return cmp.Compare(costOf(a), costOf(b)) })
	requests := max(rate*p.SpreadHorizon.Seconds(), 1)
	maxPerSlot := max(p.MaxShare, 1) * requests / (20 * float64(len(candidates)))
	low, high := costOf(candidates[0]), costOf(candidates[len(candidates)-1])+requests/20
	at := func(c referenceCandidate, level float64) float64 {
		return 20 * min(max(level-costOf(c), 0), maxPerSlot)
	}
	for range 60 {
		level, filled := (low+high)/2, 0.0
		for _, c := range candidates {
			filled += at(c, level)
		}
		if filled < requests {
			low = level
		} else {
			high = level
		}
	}
	remaining := random * requests
	for _, c := range candidates {
		if remaining -= at(c, high); remaining < 0 {
			return c.id
		}
	}
	return candidates[0].id
}

type referenceCandidate struct {
	id   state.InstanceID
	hall state.HallName
	load int
}

// Where the configuration states no delays between halls, the choices must be what they were before there were plans.
func TestPickIsUnchangedWithoutDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := dispatch.DefaultPolicy()
		table := dispatch.NewTable("h", p)
		var views []roster.View
		var pool []referenceCandidate
		load := map[state.InstanceID]int{}
		for _, hall := range []state.HallName{"h", "far", "farther"} {
			heads := headsIn(hall, rapid.IntRange(0, 4).Draw(t, "groups"))
			views = append(views, heads...)
			for i := range heads {
				load[heads[i].ID] = rapid.IntRange(0, 22).Draw(t, "load")
				pool = append(pool, referenceCandidate{heads[i].ID, hall, load[heads[i].ID]})
			}
		}
		if len(pool) == 0 {
			return
		}
		rate := rapid.Float64Range(0, 400).Draw(t, "rate")
		table.Update(prefillCatalog(), views, func(fleet.GroupKey) bool { return false })
		table.UpdateLoad(load, []demand.Flow{{Service: "lm", Model: "m", Requests: rate}}, nil)
		flow := demand.HallFlow{Service: "lm", Model: "m", Requests: map[state.HallName]float64{"h": rate}}
		table.UpdateHalls(locality.DefaultPolicy(), []demand.HallFlow{flow}, distant(), start.Add(time.Minute))
		seed := rapid.Uint64().Draw(t, "seed")
		random, reference := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 0))
		table.SetRandom(random.Float64)
		for range 20 {
			want := referencePick(pool, p, rate, reference.Float64())
			if got := table.Pick("lm", "m", start, excludeNone).ID; got != want {
				t.Fatalf("picked %s, before %s", got, want)
			}
		}
	})
}

// BenchmarkUpdateHalls measures what a node does for each answer of the leader, for one model with the given number of groups.
func BenchmarkUpdateHalls(b *testing.B) {
	for _, halls := range []int{3, 8} {
		for _, groups := range []int{6, 200} {
			b.Run(fmt.Sprintf("halls=%d/groups=%d", halls, groups), func(b *testing.B) {
				table := dispatch.NewTable("h", dispatch.DefaultPolicy())
				var views []roster.View
				flow := demand.HallFlow{Service: "lm", Model: "m", Requests: map[state.HallName]float64{}}
				var delays []catalog.HallDelay
				load := map[state.InstanceID]int{}
				for i := range halls {
					hall := state.HallName(fmt.Sprint("hall-", i))
					heads := headsIn(hall, groups)
					views = append(views, heads...)
					flow.Requests[hall] = 50 * (1 + math.Sin(float64(i)))
					for j := range heads {
						load[heads[j].ID] = 3 * i
					}
					for j := range halls {
						delays = append(delays, catalog.HallDelay{From: hall, To: state.HallName(fmt.Sprint("hall-", j)), Delay: 3 * time.Millisecond})
					}
				}
				table.Update(prefillCatalog(), views, func(fleet.GroupKey) bool { return false })
				table.UpdateLoad(load, nil, nil)
				b.ReportAllocs()
				for b.Loop() {
					table.UpdateHalls(locality.DefaultPolicy(), []demand.HallFlow{flow}, distant(delays...), start.Add(time.Second))
				}
			})
		}
	}
}

// BenchmarkPick measures the choice of a group for one request, with and without a plan of halls.
func BenchmarkPick(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprint("planned=", planned), func(b *testing.B) {
			table := dispatch.NewTable("hall-0", dispatch.DefaultPolicy())
			var views []roster.View
			flow := demand.HallFlow{Service: "lm", Model: "m", Requests: map[state.HallName]float64{}}
			for i := range 3 {
				views = append(views, headsIn(state.HallName(fmt.Sprint("hall-", i)), 6)...)
				flow.Requests[state.HallName(fmt.Sprint("hall-", i))] = 100
			}
			table.Update(prefillCatalog(), views, func(fleet.GroupKey) bool { return false })
			table.UpdateLoad(nil, []demand.Flow{{Service: "lm", Model: "m", Requests: 300}}, nil)
			if planned {
				table.UpdateHalls(locality.DefaultPolicy(), []demand.HallFlow{flow}, distant(catalog.HallDelay{From: "hall-0", To: "hall-1", Delay: time.Millisecond}), start.Add(time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Pick("lm", "m", start, excludeNone)
			}
		})
	}
}
