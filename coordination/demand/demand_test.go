package demand_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state/catalog"
)

var start = time.Unix(1000, 0)

// engine has two models, each with half of the expected load.
var engine = &catalog.Engine{
	BatchSlots: 10, StepTime: 10 * time.Millisecond, PrefillTokensPerSecond: 10_000, MeanResponseTokens: 100,
	Models: []catalog.Model{{Name: "long", GroupSize: 4, ExpectedShare: 0.5}, {Name: "short", GroupSize: 2, ExpectedShare: 0.5}},
}

// addRequests adds requests at a constant rate over a span.
func addRequests(m *demand.Meter, model string, perSecond int, answer int, span time.Duration) {
	n := int(span.Seconds() * float64(perSecond))
	for i := range n {
		m.Add("lm", model, 1000, answer, start.Add(span*time.Duration(i)/time.Duration(n)))
	}
}

func TestMeterMeasuresAndDecaysRates(t *testing.T) {
	g := NewWithT(t)
	m := demand.NewMeter(demand.DefaultPolicy())
	addRequests(m, "long", 50, 80, 20*time.Second)
	flows := m.Flows(start.Add(20 * time.Second))
	g.Expect(flows).To(HaveLen(1))
	g.Expect(flows[0].Requests).To(BeNumerically("~", 50, 2))
	g.Expect(flows[0].PromptTokens).To(BeNumerically("~", 50_000, 2000))
	g.Expect(flows[0].OutputTokens).To(BeNumerically("~", 4000, 200))
	g.Expect(m.Flows(start.Add(60 * time.Second))).To(BeEmpty())
}

func TestWorkOfFollowsMeasuredTokens(t *testing.T) {
	for _, c := range []struct {
		name  string
		flows []demand.Flow
		want  []float64
	}{
		{"nothing measured", nil, nil},
		{"request rate below the minimum", []demand.Flow{{Service: "lm", Model: "long", Requests: 2, OutputTokens: 300}}, nil},
		{"another service", []demand.Flow{{Service: "x", Model: "long", Requests: 90, OutputTokens: 300}}, nil},
		{"demand follows tokens, not requests", []demand.Flow{
			{Service: "lm", Model: "long", Requests: 10, OutputTokens: 3000},
			{Service: "lm", Model: "short", Requests: 30, OutputTokens: 1000},
		}, []float64{30, 10}},
		{"prompt tokens count", []demand.Flow{
			{Service: "lm", Model: "long", Requests: 10, OutputTokens: 1000, PromptTokens: 10_000},
			{Service: "lm", Model: "short", Requests: 10, OutputTokens: 2000},
		}, []float64{20, 20}},
		{"usual output length if none is measured", []demand.Flow{
			{Service: "lm", Model: "long", Requests: 10},
			{Service: "lm", Model: "short", Requests: 30},
		}, []float64{10, 30}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := demand.DefaultPolicy().OccupiedSlots("lm", engine, c.flows)
			g.Expect(got).To(HaveLen(len(c.want)))
			for i := range c.want {
				g.Expect(got[i]).To(BeNumerically("~", c.want[i], 0.001))
			}
		})
	}
}

func TestSumAddsUpFlowsOfNodes(t *testing.T) {
	g := NewWithT(t)
	a := []demand.Flow{{Service: "lm", Model: "long", Requests: 2, PromptTokens: 10}}
	b := []demand.Flow{{Service: "lm", Model: "long", Requests: 3, PromptTokens: 5}, {Service: "plain", Requests: 1}}
	g.Expect(demand.Sum(a, b)).To(Equal([]demand.Flow{{Service: "lm", Model: "long", Requests: 5, PromptTokens: 15}, {Service: "plain", Requests: 1}}))
}
