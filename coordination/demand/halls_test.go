package demand_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state"
)

// isConfigured counts only the models of the test engine.
func isConfigured(service state.ServiceName, model string) bool {
	return service == "lm" && engine.Model(model) != nil
}

// The models of requests are chosen by callers. Only configured ones may enter the leader's answers.
func TestHallSumCountsConfiguredModels(t *testing.T) {
	g := NewWithT(t)
	s := demand.NewHallSum(isConfigured)
	s.Add("a", []demand.Flow{{Service: "lm", Model: "long", Requests: 1.25}, {Service: "lm", Model: "unknown", Requests: 5}, {Service: "plain", Requests: 3}})
	s.Add("b", []demand.Flow{{Service: "lm", Model: "long", Requests: 2}, {Service: "lm", Model: "short", Requests: 4}})
	s.Add("a", []demand.Flow{{Service: "lm", Model: "long", Requests: 0.08}})
	g.Expect(s.Flows()).To(Equal([]demand.HallFlow{
		{Service: "lm", Model: "long", Requests: map[state.HallName]float64{"a": 1.3, "b": 2}},
		{Service: "lm", Model: "short", Requests: map[state.HallName]float64{"b": 4}},
	}))
	for i := range 100 {
		s.Add(state.HallName(fmt.Sprint("hall-", i)), []demand.Flow{{Service: "lm", Model: "short", Requests: 1}})
	}
	g.Expect(s.Flows()).To(HaveLen(1), "a flow of too many halls is left out")
}

// Waves of the demand must not move groups back and forth: their placement follows the mean of several waves.
func TestHallAverageEvensOutWaves(t *testing.T) {
	g := NewWithT(t)
	a := demand.NewHallAverage(demand.DefaultPolicy().PlanDecay)
	g.Expect(a.Update("lm", engine, nil, start)).To(BeNil(), "nothing measured yet")
	flow := func(inA, inB float64) []demand.HallFlow {
		return []demand.HallFlow{{Service: "lm", Model: "long", Requests: map[state.HallName]float64{"a": inA, "b": inB}}, {Service: "x", Model: "short", Requests: map[state.HallName]float64{"a": 1}}}
	}
	now := start
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		peak := 155 - 110*float64(i/65%2) // a wave of 13 s
		got := a.Update("lm", engine, flow(peak, 200-peak), now)
		if i > 300 {
			g.Expect(got[0]["a"]).To(BeNumerically("~", 0.5, 0.15))
		}
		g.Expect(got[1]).To(BeNil(), "no demand for the other model of the service")
	}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		a.Update("lm", engine, flow(0, 100), now)
	}
	g.Expect(a.Update("lm", engine, flow(0, 100), now)[0]["b"]).To(BeNumerically(">", 0.95), "a lasting change")
}
