package overload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/overload"
	"github.com/troutmast/troutmast/state"
)

// drawRoom draws the room of 1 to 32 groups with any load.
func drawRoom(t *rapid.T) float64 {
	policy, room := overload.DefaultPolicy(), 0.0
	hold := time.Duration(rapid.IntRange(0, 6000).Draw(t, "hold")) * time.Millisecond
	for range rapid.IntRange(1, 32).Draw(t, "groups") {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		room += policy.Room(overload.Group{Slots: float64(slots), InFlight: float64(rapid.IntRange(0, 2*slots).Draw(t, "in flight"))}, hold, 700)
	}
	return room
}

// drawArrivals draws the classes of the requests that arrive in one second at 1 to 300 nodes, from teams with a skew.
func drawArrivals(t *rapid.T, nodes, teams int) [][]demand.Class {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	skew := rapid.Float64Range(0.3, 4).Draw(t, "skew")
	priorities := rapid.IntRange(1, demand.Priorities).Draw(t, "priorities")
	returning := rapid.Float64Range(0, 1).Draw(t, "returning")
	arrivals := make([][]demand.Class, nodes)
	for range rapid.IntRange(0, 1500).Draw(t, "requests") {
		c := demand.Class{Priority: rng.IntN(priorities), Returning: rng.Float64() < returning}
		if team := int(float64(teams) * min(rng.ExpFloat64()/skew, 0.99)); team > 0 {
			c.Team = state.TeamName(fmt.Sprint("team", team))
		}
		i := rng.IntN(nodes)
		arrivals[i] = append(arrivals[i], c)
	}
	return arrivals
}

// flowsOf returns the flows that nodes report of their arrivals in one second, summed up by the leader.
func flowsOf(arrivals [][]demand.Class) []demand.ClassFlow {
	reports := make([][]demand.Flow, 0, len(arrivals))
	for _, classes := range arrivals {
		counts := map[demand.Class]float64{}
		for _, c := range classes {
			counts[c]++
		}
		f := demand.Flow{Service: "lm", Model: "m", Requests: float64(len(classes))}
		for c, n := range counts {
			f.Classes = append(f.Classes, demand.ClassFlow{Class: c, Requests: n})
		}
		reports = append(reports, []demand.Flow{f})
	}
	total := demand.Sum(reports...)
	return total[0].Classes
}

// tolerance covers the rounding of rates in messages, of 0.005 for each class.
const tolerance = 0.005 * 2 * demand.Priorities * 33

// Guards against nodes that together admit more than there is room for, and against refusals without need. The slack is
// that of the policy and one request for each node, since each admits its part to within one request.
func TestNodesTogetherAdmitWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 300).Draw(t, "nodes")
		gates := make([]*overload.Gate, nodes)
		for i := range gates {
			gates[i] = overload.NewGate(rapid.Float64Range(0, 0.999).Draw(t, "start"))
		}
		policy := overload.DefaultPolicy()
		for range rapid.IntRange(1, 4).Draw(t, "seconds") {
			room := drawRoom(t)
			arrivals := drawArrivals(t, nodes, 24)
			plan := policy.Plan(room, 1, flowsOf(arrivals))
			admitted, refused := 0, 0
			for i, classes := range arrivals {
				for _, c := range classes {
					if gates[i].Admit(plan.Fraction(c)) {
						admitted++
					} else {
						refused++
					}
				}
			}
			slack := policy.Slack*math.Sqrt(float64(admitted+refused)) + float64(nodes)
			if float64(admitted) > room+slack+tolerance {
				t.Fatalf("%d admitted with room for %.1f at %d nodes", admitted, room, nodes)
			}
			if demanded := float64(admitted + refused); refused > 0 && demanded < room-tolerance {
				t.Fatalf("%d refused of %.0f with room for %.1f", refused, demanded, room)
			}
			if refused > 0 && float64(admitted) < room-float64(nodes)-tolerance {
				t.Fatalf("%d admitted, %d refused, with room for %.1f", admitted, refused, room)
			}
		}
	})
}

// Guards against room for a lower rank while a higher one is refused, and against a team below its part of a rank while
// another has more. All teams are named here; those that are not share the fraction of their class.
func TestPlanFollowsRanksAndFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := drawRoom(t)
		flows := flowsOf(drawArrivals(t, rapid.IntRange(1, 300).Draw(t, "nodes"), rapid.IntRange(1, 32).Draw(t, "teams")))
		policy := overload.DefaultPolicy()
		plan := policy.Plan(room, 1, flows)
		rank := func(c demand.Class) int {
			if c.Returning {
				return 2 * c.Priority
			}
			return 2*c.Priority + 1
		}
		got := map[demand.Class]float64{} // by priority and team
		for _, f := range flows {
			got[demand.Class{Priority: f.Priority, Team: f.Team}] += plan.Fraction(f.Class) * f.Requests
		}
		for _, a := range flows {
			if plan.Fraction(a.Class) > 0.999 {
				continue
			}
			for _, b := range flows {
				if rank(b.Class) > rank(a.Class) && plan.Fraction(b.Class) > 0 {
					t.Fatalf("%v gets %.2f and %v gets %.2f", a, plan.Fraction(a.Class), b, plan.Fraction(b.Class))
				}
				ofA, ofB := got[demand.Class{Priority: a.Priority, Team: a.Team}], got[demand.Class{Priority: b.Priority, Team: b.Team}]
				if rank(a.Class) == rank(b.Class) && plan.Fraction(b.Class) > 0 && ofA < ofB-0.01 {
					t.Fatalf("%v gets %.2f in all, below %v with %.2f", a, ofA, b, ofB)
				}
			}
		}
	})
}
