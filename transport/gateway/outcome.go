package gateway

import (
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/transport/event"
)

// Lateness names why an answer missed the goals of its route; the empty value
// means that it met them.
type Lateness string

// The reasons for a late answer, the most specific first.
const (
	// LateRetried means that an attempt before the last one failed or was refused.
	LateRetried Lateness = "retried"
	// LateFirst means that the answer, or the first event of a stream, came after Route.Goal.
	LateFirst Lateness = "first"
	// LateGap means that two events of a stream were further apart than Route.GapGoal.
	LateGap Lateness = "gap"
)

// lateness judges a whole answer against the goals of its route.
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

// recordAnswer counts and logs a whole answer, with what the target held when it was chosen.
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
