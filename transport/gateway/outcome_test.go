package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state/catalog"
)

func TestLatenessNamesTheGoalThatWasMissed(t *testing.T) {
	stream := &catalog.Route{Kind: catalog.Stream, Goal: 500 * time.Millisecond, GapGoal: 300 * time.Millisecond}
	plain := &catalog.Route{Kind: catalog.Safe, Goal: 500 * time.Millisecond}
	for _, c := range []struct {
		name                 string
		route                *catalog.Route
		first, gap, duration time.Duration
		sends                int
		want                 Lateness
	}{
		{"stream in time, however long it lasts", stream, 400 * time.Millisecond, 200 * time.Millisecond, 9 * time.Second, 1, ""},
		{"stream resumed in time", stream, 400 * time.Millisecond, 200 * time.Millisecond, time.Second, 2, ""},
		{"first event late", stream, 600 * time.Millisecond, 400 * time.Millisecond, time.Second, 1, LateFirst},
		{"pause too long", stream, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 1, LateGap},
		{"pause at a failed group", stream, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 2, LateRetried},
		{"whole answer late", plain, 0, 0, time.Second, 1, LateFirst},
		{"whole answer in time", plain, 0, 0, 100 * time.Millisecond, 1, ""},
		{"no goals", &catalog.Route{Kind: catalog.Stream}, time.Hour, time.Hour, time.Hour, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			call := &call{route: c.route, sends: c.sends}
			call.firstAfter, call.longestGap = c.first, c.gap
			NewWithT(t).Expect(call.lateness(c.duration)).To(Equal(c.want))
		})
	}
}
