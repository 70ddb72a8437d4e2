package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// warmthEngine returns an engine with one model in groups of four.
func warmthEngine() *catalog.Engine {
	return &catalog.Engine{
		BatchSlots: 34, MaxLoadsPerSecond: 25, MaxConcurrentLoads: 37, FormTime: 200 * time.Millisecond,
		Models: []catalog.Model{{Name: "small", GroupSize: 4, ExpectedShare: 1, TimeFactor: 1, LoadTime: 12 * time.Second, HostLoadTime: 1100 * time.Millisecond}},
	}
}

// newWarmthPlanner returns a planner of warmthEngine.
func newWarmthPlanner() *placement.Planner {
	epoch := state.Epoch(1 << 30)
	return placement.NewPlanner(warmthEngine(), placement.DefaultPolicy(), func(state.Epoch) state.Epoch {
		epoch += 1 << 20
		return epoch
	})
}

// Requests go to the head of a group, so a group whose head is cold serves few although its other members are warm.
func TestHeadOfNewGroupIsWarmIfThereIsAChoice(t *testing.T) {
	const cold = 3 * time.Second
	for _, c := range []struct {
		name string
		// coldLeft is the remaining cold time of each instance, models is its last model.
		coldLeft []time.Duration
		models   []string
		want     []state.InstanceID
	}{
		{"all warm", []time.Duration{0, 0, 0, 0}, nil, []state.InstanceID{"i0", "i1", "i2", "i3"}},
		{"the last one is warm", []time.Duration{cold, cold, cold, 0}, nil, []state.InstanceID{"i3", "i0", "i1", "i2"}},
		{"all cold", []time.Duration{cold, cold, cold, cold}, nil, []state.InstanceID{"i0", "i1", "i2", "i3"}},
		{"all cold, one for a shorter time", []time.Duration{cold, cold, cold - time.Second, cold}, nil, []state.InstanceID{"i2", "i0", "i1", "i3"}},
		{"more than needed", []time.Duration{cold, cold, 0, 0, 0, 0}, nil, []state.InstanceID{"i2", "i3", "i4", "i5"}},
		{
			"warm ones have to load the model", []time.Duration{cold, cold, cold, cold, 0}, []string{"small", "small", "small", "small", "large"},
			[]state.InstanceID{"i0", "i1", "i2", "i3"},
		},
		{"warm by the time the group opens", []time.Duration{100 * time.Millisecond, 0, 0, 0}, nil, []state.InstanceID{"i0", "i1", "i2", "i3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var members []placement.Member
			for i, left := range c.coldLeft {
				m := freeInstance(state.InstanceID(fmt.Sprint("i", i)), "small", "small")
				if c.models != nil {
					m.Model = c.models[i]
				}
				if left > 0 {
					m.ColdUntil = testStart.Add(left)
				}
				members = append(members, m)
			}
			plan := newWarmthPlanner().Step(testStart, members)
			var ordered [][]state.InstanceID
			for _, o := range plan.Orders {
				if o.Action == placement.Join {
					ordered = append(ordered, o.Members)
				}
			}
			NewWithT(t).Expect(ordered).NotTo(BeEmpty())
			NewWithT(t).Expect(ordered[0]).To(Equal(c.want))
		})
	}
}

// servedBy returns how many requests a new group serves within a time, where demand requests a second arrive for it. The
// group opens openAfter from the start; until warmAfter its head is cold and serves coldPerSecond requests a second at
// most, later warmPerSecond.
func servedBy(openAfter, warmAfter, until time.Duration, demand, coldPerSecond, warmPerSecond float64) float64 {
	served := 0.0
	const tick = 10 * time.Millisecond
	for at := openAfter; at < until; at += tick {
		rate := warmPerSecond
		if at < warmAfter {
			rate = coldPerSecond
		}
		served += min(demand, rate) * tick.Seconds()
	}
	return served
}

// Weighs whether the planner should wait for warm instances instead of forming groups of cold ones: whatever the demand, a
// group whose head is cold serves at least as many requests. The planner therefore does not wait, unless warm instances
// are ready as soon.
func TestUsingColdHeadsServesMoreThanWaitingForWarmOnes(t *testing.T) {
	const coldFor, horizon = 3 * time.Second, 10 * time.Second
	const coldPerSecond, warmPerSecond = 0.75 * 26, 34 / 1.2 // three quarters of the limit are used
	openAfter := func(coldLeft time.Duration) time.Duration {
		p, now := newWarmthPlanner(), testStart
		var members []placement.Member
		for i := range 4 {
			m := freeInstance(state.InstanceID(fmt.Sprint("i", i)), "small", "small")
			m.ColdUntil = testStart.Add(coldLeft)
			members = append(members, m)
		}
		for ; now.Sub(testStart) < horizon; now = now.Add(100 * time.Millisecond) {
			plan := p.Step(now, slices.Clone(members))
			if slices.ContainsFunc(plan.Orders, func(o placement.Order) bool { return o.Action == placement.Join }) {
				break
			}
		}
		return now.Sub(testStart) + warmthEngine().FormTime
	}
	for _, demand := range []float64{5, 13, 20, 26, 60} {
		using := servedBy(openAfter(coldFor), coldFor, horizon, demand, coldPerSecond, warmPerSecond)
		waiting := servedBy(coldFor+warmthEngine().FormTime, coldFor, horizon, demand, coldPerSecond, warmPerSecond)
		t.Logf("%g requests a second: %.0f served within 10 s with a cold head, %.0f after waiting for warm ones", demand, using, waiting)
		NewWithT(t).Expect(using).To(BeNumerically(">", waiting))
	}
}
