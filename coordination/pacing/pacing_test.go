package pacing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/pacing"
)

func TestReportsToTheLeaderAreBounded(t *testing.T) {
	policy := pacing.Policy{MinInterval: 250 * time.Millisecond, MaxPerSecond: 1200}
	for _, c := range []struct {
		nodes    int
		interval time.Duration
	}{
		{1, 250 * time.Millisecond},
		{85, 250 * time.Millisecond},
		{295, 250 * time.Millisecond},
		{570, 475 * time.Millisecond},
		{1200, time.Second},
	} {
		g := NewWithT(t)
		interval := policy.Interval(c.nodes)
		g.Expect(interval).To(Equal(c.interval), "%d nodes", c.nodes)
		g.Expect(float64(c.nodes)/interval.Seconds()).To(BeNumerically("<=", policy.MaxPerSecond), "%d nodes", c.nodes)
	}
}

func TestUnboundedReportsKeepTheInterval(t *testing.T) {
	NewWithT(t).Expect(pacing.Policy{MinInterval: time.Second}.Interval(10000)).To(Equal(time.Second))
}

func TestFeedTimeoutAllowsForOneFailedReport(t *testing.T) {
	for _, c := range []struct{ interval, timeout time.Duration }{
		{250 * time.Millisecond, 800 * time.Millisecond},
		{400 * time.Millisecond, time.Second},
	} {
		NewWithT(t).Expect(pacing.FeedTimeout(c.interval, 800*time.Millisecond)).To(Equal(c.timeout))
	}
}
