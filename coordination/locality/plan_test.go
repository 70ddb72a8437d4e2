package locality_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/locality"
	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

func hall(n int) state.HallName { return state.HallName(fmt.Sprint("hall-", n)) }

// delaysOf returns a delay in milliseconds between each pair of halls.
func delaysOf(halls int, ms func(a, b int) float64) []catalog.HallDelay {
	var list []catalog.HallDelay
	for a := range halls {
		for b := range halls {
			if a != b {
				list = append(list, catalog.HallDelay{From: hall(a), To: hall(b), Delay: time.Duration(ms(a, b) * float64(time.Millisecond))})
			}
		}
	}
	return list
}

// equal returns the delays of halls that are equally far from each other.
func equal(halls int) []catalog.HallDelay {
	return delaysOf(halls, func(int, int) float64 { return 3 })
}

func TestPlan(t *testing.T) {
	h0, h1, h2 := hall(0), hall(1), hall(2)
	load := func(h state.HallName, capacity, arriving float64) locality.HallLoad {
		return locality.HallLoad{Hall: h, Capacity: capacity, Arriving: arriving}
	}
	lineDelays := delaysOf(3, func(a, b int) float64 { return 3 * math.Abs(float64(a-b)) })
	for _, c := range []struct {
		name   string
		loads  []locality.HallLoad
		delays []catalog.HallDelay
		want   map[state.HallName]float64 // fractions of the first hall's requests
	}{
		{"one hall", []locality.HallLoad{load(h0, 100, 300)}, nil, map[state.HallName]float64{h0: 1}},
		{"room at home", []locality.HallLoad{load(h0, 100, 50), load(h1, 100, 0)}, equal(2), map[state.HallName]float64{h0: 1}},
		{"above the set point", []locality.HallLoad{load(h0, 100, 80), load(h1, 100, 0)}, equal(2), map[state.HallName]float64{h0: 5. / 8, h1: 3. / 8}},
		{"above the common utilization", []locality.HallLoad{load(h0, 100, 160), load(h1, 100, 0)}, equal(2), map[state.HallName]float64{h0: 0.5, h1: 0.5}},
		{"below the common utilization", []locality.HallLoad{load(h0, 100, 70), load(h1, 100, 90)}, equal(2), map[state.HallName]float64{h0: 1}},
		{"no capacity at home", []locality.HallLoad{load(h0, 0, 20), load(h1, 100, 10), load(h2, 100, 30)}, equal(3), map[state.HallName]float64{h1: 40. / 60, h2: 20. / 60}},
		{"no capacity and no requests at home", []locality.HallLoad{load(h0, 0, 0), load(h1, 100, 10)}, equal(2), map[state.HallName]float64{h1: 1}},
		{"the nearer hall first", []locality.HallLoad{load(h0, 100, 90), load(h1, 100, 0), load(h2, 100, 0)}, lineDelays, map[state.HallName]float64{h0: 5. / 9, h1: 4. / 9}},
		{"the farther hall for the rest", []locality.HallLoad{load(h0, 100, 90), load(h1, 100, 30), load(h2, 100, 0)}, lineDelays, map[state.HallName]float64{h0: 5. / 9, h1: 2. / 9, h2: 2. / 9}},
		{"a hall without stated delays last", []locality.HallLoad{load(h0, 100, 60), load(h1, 100, 0), load(h2, 100, 0)},
			[]catalog.HallDelay{{From: h2, To: h0, Delay: time.Hour}}, map[state.HallName]float64{h0: 5. / 6, h2: 1. / 6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := locality.DefaultPolicy().Plan(h0, c.loads, c.delays)
			g.Expect(got.Fractions).To(HaveLen(len(c.want)))
			for h, f := range c.want {
				g.Expect(got.Fractions[h]).To(BeNumerically("~", f, 0.002), string(h))
			}
		})
	}
	NewWithT(t).Expect(locality.DefaultPolicy().Plan(h0, []locality.HallLoad{load(h0, 0, 5)}, nil)).To(BeNil(), "no capacity at all")
}

// A request that is in progress can't move: a hall that is full of them sends all new ones away and receives none.
func TestRequestsInProgressStay(t *testing.T) {
	g := NewWithT(t)
	loads := []locality.HallLoad{{Hall: hall(0), Capacity: 100, InUse: 95, Arriving: 10}, {Hall: hall(1), Capacity: 100, InUse: 10, Arriving: 10}}
	p := locality.DefaultPolicy()
	g.Expect(p.Plan(hall(0), loads, equal(2)).Fractions).To(Equal(map[state.HallName]float64{hall(1): 1}))
	g.Expect(p.Plan(hall(1), loads, equal(2)).Fractions).To(Equal(map[state.HallName]float64{hall(1): 1}))
}

func TestForecast(t *testing.T) {
	g := NewWithT(t)
	p := locality.Policy{Horizon: time.Second}
	kept, perRate := p.Forecast(200, 100) // a request occupies its slot for 2 s
	g.Expect(kept).To(BeNumerically("~", math.Exp(-0.5), 1e-9))
	g.Expect(kept*200+perRate*100).To(BeNumerically("~", 200, 1e-9), "a steady load stays")
	for _, c := range [][2]float64{{0, 100}, {100, 0}, {0, 0}} {
		kept, perRate = p.Forecast(c[0], c[1])
		g.Expect(kept).To(Equal(1.0))
		g.Expect(perRate).To(BeZero())
	}
}

// drawLoads draws 1 to 8 halls with skewed demand and capacity, some of them empty.
func drawLoads(t *rapid.T) []locality.HallLoad {
	loads := make([]locality.HallLoad, rapid.IntRange(1, 8).Draw(t, "halls"))
	amount := rapid.Custom(func(t *rapid.T) float64 {
		if rapid.IntRange(0, 5).Draw(t, "empty") == 0 {
			return 0
		}
		return rapid.Float64Range(1, 500).Draw(t, "amount")
	})
	for i := range loads {
		loads[i] = locality.HallLoad{Hall: hall(i), Capacity: amount.Draw(t, "capacity"), InUse: 0.5 * amount.Draw(t, "in use"), Arriving: amount.Draw(t, "arriving")}
	}
	return loads
}

// planned is what the plans of all halls do together.
type planned struct {
	plans []*locality.Plan
	// level is the utilization up to which halls are filled, common that of all slots.
	level, common float64
}

func planAll(p locality.Policy, loads []locality.HallLoad, delays []catalog.HallDelay) *planned {
	out := &planned{}
	var used, capacity float64
	for _, l := range loads {
		used += l.InUse + max(l.Arriving, 0.01)
		capacity += l.Capacity
		out.plans = append(out.plans, p.Plan(l.Hall, loads, delays))
	}
	out.common = used / capacity
	out.level = max(out.common, p.SetPoint)
	return out
}

// used returns the slots that are in use in each hall if the requests of each hall are divided by its plan.
func (p *planned) used(loads []locality.HallLoad) []float64 {
	used := make([]float64, len(loads))
	for i, l := range loads {
		used[i] += l.InUse
		for j := range loads {
			used[j] += l.Arriving * p.plans[i].Fractions[hall(j)]
		}
	}
	return used
}

// The plans of all halls together must fill no hall above the common level, unless it is already, and send nothing that
// has room in its own hall.
func TestPlansServeLocallyAndLevelTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := locality.Policy{SetPoint: rapid.Float64Range(0, 1).Draw(t, "set point")}
		loads := drawLoads(t)
		n := len(loads)
		delays := delaysOf(n, func(a, b int) float64 { return float64(rapid.IntRange(1, 3).Draw(t, "delay")) })
		all := planAll(p, loads, delays)
		if all.plans[0] == nil {
			return
		}
		used := all.used(loads)
		var total float64
		for _, l := range loads {
			total += max(l.Arriving, 0.01)
		}
		slack := 0.002*float64(n)*total + 0.1
		for i, l := range loads {
			var sum float64
			for _, f := range all.plans[i].Fractions {
				if f < 0 || math.IsNaN(f) {
					t.Fatalf("fraction %v", f)
				}
				sum += f
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("the fractions of hall %d add up to %v", i, sum)
			}
			if used[i] > max(all.level*l.Capacity, l.InUse)+slack {
				t.Fatalf("hall %d is filled to %v of %v slots, the common level is %v", i, used[i], l.Capacity, all.level)
			}
			excess := min(max(l.InUse+l.Arriving-all.level*l.Capacity, 0), l.Arriving)
			if away := (1 - all.plans[i].Fractions[hall(i)]) * l.Arriving; math.Abs(away-excess) > slack {
				t.Fatalf("hall %d sends %v slots away and has no room for %v", i, away, excess)
			}
			if share := all.plans[0].Served[hall(i)] * total; math.Abs(share-(used[i]-l.InUse)) > slack {
				t.Fatalf("hall %d serves %v slots by the plan and %v by the fractions", i, share, used[i]-l.InUse)
			}
		}
	})
}

// The nodes of a hall compute its plan each for themselves: it must not depend on the order of the halls.
func TestPlanDoesNotDependOnTheOrderOfHalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := drawLoads(t)
		delays := delaysOf(len(loads), func(a, b int) float64 { return float64(1 + (a+b)%3) })
		want := locality.DefaultPolicy().Plan(hall(0), loads, delays)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
		got := locality.DefaultPolicy().Plan(hall(0), loads, delays)
		if (got == nil) != (want == nil) {
			t.Fatalf("%v, in another order %v", want, got)
		}
		if got == nil {
			return
		}
		for i := range loads {
			if math.Abs(got.Fractions[hall(i)]-want.Fractions[hall(i)]) > 1e-9 {
				t.Fatalf("%v, in another order %v", want, got)
			}
		}
	})
}

// Totals are up to 500 ms old. In that time a wave of 0.55 in 13 s changes a hall's demand by up to an eighth. The error of a
// plan must not exceed that of the demand that it was made for, and the most loaded hall must not be worse off than without it.
func TestStaleTotalsCostNoMoreThanTheChangeOfDemand(t *testing.T) {
	const swing, age = 0.55, 500 * time.Millisecond
	period := 13 * time.Second
	change := swing * 2 * math.Pi * age.Seconds() / period.Seconds() / (1 - swing)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "halls")
		demand := rapid.Float64Range(0.2, 1.2).Draw(t, "demand")
		at := rapid.Float64Range(0, 13).Draw(t, "time")
		skew := rapid.SliceOfN(rapid.Float64Range(0.3, 1.7), n, n).Draw(t, "skew")
		loadsAt := func(at float64) []locality.HallLoad {
			loads := make([]locality.HallLoad, n)
			for i := range loads {
				wave := 1 + swing*math.Sin(2*math.Pi*(at/period.Seconds()+float64(i)/float64(n)))
				loads[i] = locality.HallLoad{Hall: hall(i), Capacity: 100, Arriving: 100 * demand * wave * skew[i]}
			}
			return loads
		}
		p := locality.DefaultPolicy()
		known, now := planAll(p, loadsAt(at), equal(n)), loadsAt(at+age.Seconds())
		var worstBefore, worst float64
		for i, used := range known.used(now) {
			worst = max(worst, used/100)
			worstBefore = max(worstBefore, now[i].Arriving/100)
		}
		if limit := known.level * (1 + change) * 1.01; worst > limit {
			t.Fatalf("the worst hall is filled to %v, %v is allowed", worst, limit)
		}
		if limit := max(worstBefore, known.level) * (1 + change) * 1.01; worst > limit {
			t.Fatalf("the worst hall is filled to %v, without transfers to %v", worst, worstBefore)
		}
	})
}

// BenchmarkPlan measures the plan of one pool.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{3, 8} {
		b.Run(fmt.Sprint("halls=", n), func(b *testing.B) {
			var loads []locality.HallLoad
			for i := range n {
				loads = append(loads, locality.HallLoad{Hall: hall(i), Capacity: 100, InUse: 30, Arriving: float64(20 * i)})
			}
			delays := equal(n)
			b.ReportAllocs()
			for b.Loop() {
				locality.DefaultPolicy().Plan(hall(0), loads, delays)
			}
		})
	}
}
