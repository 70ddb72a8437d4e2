package demand_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state/catalog"
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
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := demand.NewEnvelope(decay)
			var got []float64
			for i, m := range c.measured {
				got = e.Update(engine.Models, m, start.Add(time.Duration(i)*time.Second))
			}
			g.Expect(got).To(HaveLen(len(c.want)))
			for i := range c.want {
				g.Expect(got[i]).To(BeNumerically("~", c.want[i], 0.01))
			}
		})
	}
}

// The demand for a model must not pass to another one that takes its place in the configuration: groups would be planned for callers
// that do not exist, at the cost of those that do.
func TestEnvelopeFollowsModelsByName(t *testing.T) {
	models := func(names ...string) []catalog.Model {
		var list []catalog.Model
		for _, name := range names {
			list = append(list, catalog.Model{Name: name})
		}
		return list
	}
	for _, c := range []struct {
		name     string
		models   []catalog.Model
		measured []float64
		want     []float64
	}{
		{"the same models", models("a", "b"), []float64{0, 0}, []float64{9.36, 18.71}},
		{"another order", models("b", "a"), []float64{0, 0}, []float64{18.71, 9.36}},
		{"one replaced", models("c", "b"), []float64{0, 0}, []float64{0, 18.71}},
		{"one replaced, nothing measured", models("c", "b"), nil, []float64{0, 18.71}},
		{"one removed", models("b"), []float64{0}, []float64{18.71}},
		{"one added", models("a", "c", "b"), []float64{1, 5, 2}, []float64{9.36, 5, 18.71}},
		{"all replaced, nothing measured", models("c", "d"), nil, nil},
		{"another number of models", models("c", "d", "e"), []float64{5, 6, 7}, []float64{5, 6, 7}},
		{"none", nil, []float64{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := demand.NewEnvelope(15 * time.Second)
			e.Update(models("a", "b"), []float64{10, 20}, start)
			got := e.Update(c.models, c.measured, start.Add(time.Second))
			g.Expect(got).To(HaveLen(len(c.want)))
			for i := range c.want {
				g.Expect(got[i]).To(BeNumerically("~", c.want[i], 0.01))
			}
		})
	}
}

// A model that returns after it was removed starts with the demand that is measured then.
func TestEnvelopeForgetsRemovedModels(t *testing.T) {
	g := NewWithT(t)
	e := demand.NewEnvelope(15 * time.Second)
	e.Update(engine.Models, []float64{10, 20}, start)
	e.Update(engine.Models[1:], []float64{20}, start)
	g.Expect(e.Update(engine.Models, []float64{1, 2}, start)).To(Equal([]float64{1, 20}))
}
