package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state/catalog"
)

func TestLatenessNamesMissedGoal(t *testing.T) {
	stream := &catalog.Route{Kind: catalog.Stream, Goal: 500 * time.Millisecond, GapGoal: 300 * time.Millisecond}
	plain := &catalog.Route{Kind: catalog.Safe, Goal: 500 * time.Millisecond}
	for _, c := range []struct {
		name                 string
		route                *catalog.Route
		first, gap, duration time.Duration
		sends                int
		want                 Lateness
	}{
		{"long stream within its goals", stream, 400 * time.Millisecond, 200 * time.Millisecond, 9 * time.Second, 1, ""},
		{"resumed stream within its goals", stream, 400 * time.Millisecond, 200 * time.Millisecond, time.Second, 2, ""},
		{"late first event", stream, 600 * time.Millisecond, 400 * time.Millisecond, time.Second, 1, LateFirst},
		{"gap too long", stream, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 1, LateGap},
		{"gap due to a failed group", stream, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 2, LateRetried},
		{"late response", plain, 0, 0, time.Second, 1, LateFirst},
		{"response within its goal", plain, 0, 0, 100 * time.Millisecond, 1, ""},
		{"no goals", &catalog.Route{Kind: catalog.Stream}, time.Hour, time.Hour, time.Hour, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			call := &call{route: c.route, sends: c.sends}
			call.firstEventLatency, call.maxEventGap = c.first, c.gap
			NewWithT(t).Expect(call.lateness(c.duration)).To(Equal(c.want))
		})
	}
}
