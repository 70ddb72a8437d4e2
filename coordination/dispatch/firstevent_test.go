package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
)

func TestUnusualWaitFollowsTheLoad(t *testing.T) {
	const minimum = 600 * time.Millisecond
	for _, c := range []struct {
		name    string
		times   []time.Duration
		unusual time.Duration
	}{
		{"no request yet", nil, minimum},
		{"light load", []time.Duration{200 * time.Millisecond, 250 * time.Millisecond}, minimum},
		{"full groups", []time.Duration{1500 * time.Millisecond, 1500 * time.Millisecond}, 3 * time.Second},
		{"one slow request under light load", []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := dispatch.NewFirstEventTimes()
			for _, d := range c.times {
				f.Record("lm", "m", d)
			}
			g := NewWithT(t)
			g.Expect(f.Unusual("lm", "m", minimum)).To(BeNumerically("~", c.unusual, time.Microsecond))
			g.Expect(f.Unusual("lm", "other", minimum)).To(Equal(minimum), "another model")
		})
	}
}

// Once the load has passed, stalled groups are noticed as fast as before.
func TestUnusualWaitReturnsToTheMinimum(t *testing.T) {
	g := NewWithT(t)
	f := dispatch.NewFirstEventTimes()
	f.Record("lm", "m", 3*time.Second)
	for range 12 {
		f.Record("lm", "m", 200*time.Millisecond)
	}
	g.Expect(f.Unusual("lm", "m", 600*time.Millisecond)).To(Equal(600 * time.Millisecond))
}
