package demand_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
)

func TestEnvelopeRisesAtOnceAndFallsSlowly(t *testing.T) {
	const decay = 15 * time.Second
	for _, c := range []struct {
		name     string
		measured [][]float64 // one measurement a second
		want     []float64
	}{
		{"nothing measured", [][]float64{nil, nil}, nil},
		{"a rise", [][]float64{{10, 20}, {30, 20}}, []float64{30, 20}},
		{"a gap of three seconds", [][]float64{{10, 20}, nil, nil, nil}, []float64{8.19, 16.37}},
		{"a fall", [][]float64{{10, 20}, {2, 20}}, []float64{9.36, 20}},
		{"another number of models", [][]float64{{10, 20}, {5, 6, 7}}, []float64{5, 6, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := demand.NewEnvelope(decay)
			var got []float64
			for i, m := range c.measured {
				got = e.Update(m, start.Add(time.Duration(i)*time.Second))
			}
			g.Expect(got).To(HaveLen(len(c.want)))
			for i := range c.want {
				g.Expect(got[i]).To(BeNumerically("~", c.want[i], 0.01))
			}
		})
	}
}
