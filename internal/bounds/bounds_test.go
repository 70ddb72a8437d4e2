package bounds_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/bounds"
)

// An age below 0 would make data look newer than the message that states it. One just below is no fault of the sender.
func TestAgesAreBroughtIntoTheirRange(t *testing.T) {
	for _, c := range []struct {
		ms, want int64
		replaced bool
	}{
		{0, 0, false},
		{1500, 1500, false},
		{-3, 0, false},
		{-2000, 0, true},
		{math.MinInt64, 0, true},
		{math.MaxInt64, 1 << 40, true},
	} {
		g := NewWithT(t)
		var check bounds.Check
		ms := c.ms
		check.Age("age", &ms)
		g.Expect(ms).To(Equal(c.want))
		g.Expect(check.Err() != nil).To(Equal(c.replaced))
	}
}

func TestErrorNamesEachFieldOnce(t *testing.T) {
	g := NewWithT(t)
	var c bounds.Check
	g.Expect(c.Err()).NotTo(HaveOccurred())
	counts := map[string]int{"a": -1, "b": 7, "c": math.MaxInt}
	bounds.Counts(&c, "held", counts)
	rate := math.Inf(1)
	c.Rate("demand", &rate)
	g.Expect(counts).To(Equal(map[string]int{"a": 0, "b": 7, "c": bounds.MaxCount}))
	g.Expect(math.IsInf(rate, 0)).To(BeFalse())
	g.Expect(c.Err()).To(MatchError(bounds.ErrRange))
	g.Expect(c.Err()).To(MatchError(HaveSuffix(": held, demand")))
}
