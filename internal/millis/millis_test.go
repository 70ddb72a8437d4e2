package millis_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/millis"
)

// A number past the longest duration must not become a time of the other sign.
func TestDurationKeepsItsSign(t *testing.T) {
	for _, c := range []struct {
		ms   int64
		want time.Duration
	}{
		{0, 0},
		{1500, 1500 * time.Millisecond},
		{-3, -3 * time.Millisecond},
		{math.MaxInt64, math.MaxInt64 / time.Millisecond * time.Millisecond},
		{math.MinInt64, -(math.MaxInt64 / time.Millisecond * time.Millisecond)},
	} {
		NewWithT(t).Expect(millis.Duration(c.ms)).To(Equal(c.want))
	}
}

func TestScaleKeepsItsSign(t *testing.T) {
	for _, c := range []struct {
		v    float64
		want time.Duration
	}{
		{1.5, 1500 * time.Millisecond},
		{-0.25, -250 * time.Millisecond},
		{1e300, math.MaxInt64},
		{math.Inf(-1), math.MinInt64},
		{math.NaN(), 0},
	} {
		NewWithT(t).Expect(millis.Scale(c.v, time.Second)).To(Equal(c.want))
	}
}
