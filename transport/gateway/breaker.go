package gateway

import (
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/direct"
)

// isBreakerOpen reports whether a target gets no requests but trials.
func (c *call) isBreakerOpen(t *dispatch.Candidate) bool {
	return c.Breakers.IsBreakerOpen(&t.Instance)
}

// pickTrial returns a target with an open breaker for which a trial is due, or nil.
func (c *call) pickTrial() *dispatch.Candidate {
	if !c.Breakers.HasOpenBreakers() || c.sends > 0 {
		return nil
	}
	isRepeatable := c.route.CanRetry() && c.runs+1 < c.route.MaxAttempts
	now := c.Clock.Now()
	for _, t := range c.Table.Candidates(c.service, c.model) {
		if c.isUnavailable(t) || t.IsFull(now) {
			continue
		}
		if c.Breakers.TryTrial(&t.Instance, isRepeatable) {
			c.Recorder.Count("breaker.trial")
			return t
		}
	}
	return nil
}

const (
	// overdueGrace is the time after the deadline of a request in which data that its instance has sent before arrives.
	overdueGrace = 100 * time.Millisecond
	// maxEarlyLeave is the time before the deadline in which a caller leaves that has waited for all of its own time, which
	// began before the request arrived.
	maxEarlyLeave = 200 * time.Millisecond
)

// checkOverdue ends an exchange whose response is incomplete. If that was for lack of time, it finds out in the background
// whether the instance goes on sending: a working instance stops at the deadline that was forwarded to it.
func (c *call) checkOverdue(src responseSource, resp *direct.Response) {
	s, ok := src.(*instanceSource)
	left := max(c.deadline.Sub(c.Clock.Now()), 0)
	if !ok || c.ctx.Err() == nil || left > maxEarlyLeave {
		return
	}
	c.Breakers.SuspectInvalidResponse(&s.target.Instance, left+2*overdueGrace)
	resp.CloseAndCheck(left+overdueGrace, func(stillSending bool) {
		if stillSending {
			c.Recorder.Count("attempt.endless")
			c.Breakers.RecordInvalidResponse(&s.target.Instance, s.sent)
		}
	})
}
