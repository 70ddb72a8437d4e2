package gateway

import (
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/transport/event"
)

// Lateness is the reason why a response missed the latency goals of its route. The empty value
// means that it met them.
type Lateness string

// The reasons for a late response, the most specific first.
const (
	// LateRetried means that an earlier attempt failed or was refused.
	LateRetried Lateness = "retried"
	// LateFirst means that the response, or the first event of a stream, took longer than Route.Goal.
	LateFirst Lateness = "first"
	// LateGap means that the gap between two events of a stream was longer than Route.GapGoal.
	LateGap Lateness = "gap"
)

// lateness compares the latency of a complete response with the goals of its route.
func (c *call) lateness(total time.Duration) Lateness {
	first, gap := total, time.Duration(0)
	if c.route.Kind == catalog.Stream {
		first, gap = c.firstAfter, c.longestGap
	}
	lateFirst := c.route.Goal > 0 && first > c.route.Goal
	lateGap := c.route.GapGoal > 0 && gap > c.route.GapGoal
	switch {
	case !lateFirst && !lateGap:
		return ""
	case c.sends > 1:
		return LateRetried
	case lateFirst:
		return LateFirst
	}
	return LateGap
}

// recordAnswer counts and logs a complete response, with the load of the target when it was picked.
func (c *call) recordAnswer(target *dispatch.Candidate) {
	total := c.Clock.Since(c.arrived)
	c.Recorder.Time("answer", total)
	late := c.lateness(total)
	if late != "" {
		c.Recorder.Count("late." + string(late))
	}
	c.Recorder.Decide(&event.RequestAnswered{
		Request: c.named(), Progress: c.progress(), Instance: target.ID, Group: target.Membership.Group, Prompt: c.claims.Prompt, Events: c.events,
		Load: c.loadWhenPicked, First: c.firstAfter, Gap: c.longestGap, Late: string(late),
	})
}
