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
	firstLatency, maxGap := total, time.Duration(0)
	if c.route.Kind == catalog.Stream {
		firstLatency, maxGap = c.firstEventLatency, c.maxEventGap
	}
	isFirstLate := c.route.Goal > 0 && firstLatency > c.route.Goal
	isGapLate := c.route.GapGoal > 0 && maxGap > c.route.GapGoal
	switch {
	case !isFirstLate && !isGapLate:
		return ""
	case c.sends > 1:
		return LateRetried
	case isFirstLate:
		return LateFirst
	}
	return LateGap
}

// recordAnswer counts and logs a complete response of an instance, with the load of the target when it was
// picked, or a complete response that another node forwarded if the target is nil.
func (c *call) recordAnswer(target *dispatch.Candidate) {
	total := c.Clock.Since(c.arrivedAt)
	late := c.lateness(total)
	if c.origin == "" { // the node that received the request counts it
		c.Recorder.ObserveDuration("answer", total)
		if late != "" {
			c.Recorder.Count("late." + string(late))
		}
	}
	e := &event.RequestAnswered{
		Request: c.eventRequest(), Progress: c.eventProgress(), Prompt: c.claims.PromptTokens, Events: c.eventCount,
		Load: c.loadAtPick, First: c.firstEventLatency, Gap: c.maxEventGap, Late: string(late),
	}
	if target != nil {
		e.Instance, e.Group = target.ID, target.Membership.Group
	}
	c.Recorder.LogDecision(e)
}
