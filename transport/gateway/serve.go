package gateway

import (
	"slices"

	"github.com/troutmast/troutmast/coordination/dispatch"
)

// attemptResult is the outcome of one attempt.
type attemptResult string

// The results of an attempt.
const (
	// resultAnswered means that the caller has received a complete response.
	resultAnswered attemptResult = "answered"
	// resultNotRun means that the instance has not run the request and will not run it.
	resultNotRun attemptResult = "not-run"
	// resultHeldBack means that the request was held back right before it was sent.
	resultHeldBack attemptResult = "held-back"
	// resultUnknown means that the request may have run and its response is lost.
	resultUnknown attemptResult = "unknown"
	// resultFailed means that the instance returned a server error.
	resultFailed attemptResult = "failed"
	// resultHandedOver means that another instance has answered the caller while this one was silent.
	resultHandedOver attemptResult = "handed-over"
	// resultSuperseded means that the attempt was ended because the instance that was silent has gone on.
	resultSuperseded attemptResult = "superseded"
	// resultCallerGone means that the caller has disconnected.
	resultCallerGone attemptResult = "caller-gone"
)

// serve sends a request to one instance after another until one responds. It returns a refusal
// if the request is given up.
func (c *call) serve() *refusal {
	for {
		if c.r.Context().Err() != nil || c.isSuperseded() {
			c.isGone = !c.isSuperseded()
			return nil
		}
		if c.isEnding() {
			return c.giveUp(CodeStopping)
		}
		if refused := c.checkAttemptAllowed(); refused != nil {
			return refused
		}
		target, refused, ended := c.choose()
		if ended {
			return refused
		}
		if c.decision.Instance == "" && c.shouldForward(target) {
			if refused, done := c.forward(); done {
				return refused
			}
		}
		c.recordDemand()
		if target == nil && c.headerWritten && !c.isPendingHandover() && c.waitForTarget() {
			continue
		}
		if target == nil {
			return c.refuseNoTarget()
		}
		if c.sends == 0 && c.decision.Instance == "" && target.IsFull(c.Clock.Now()) {
			return refusalWithRetryAfter(CodeOverloaded, c.Policy.OverloadRetryAfter)
		}
		if _, held := c.Quarantine.QuarantinedUntil(c.identity); c.sends > 0 && held {
			return c.giveUp(CodeQuarantined)
		}
		if c.headerWritten {
			c.Recorder.Count("retry.resume")
		}
		res, allowed := c.attemptWithinBudget(target)
		if !allowed {
			return c.giveUp(CodeRefusedByTargets)
		}
		c.Recorder.Count("attempt." + string(res))
		if res == resultHandedOver {
			return c.handoverRefusal
		}
		c.isGone = res == resultCallerGone
		if res == resultAnswered {
			c.recordAnswer(target)
		}
		switch {
		case res == resultAnswered || res == resultCallerGone || res == resultSuperseded:
			return nil
		case res == resultNotRun || res == resultHeldBack:
			continue
		case !c.route.CanRetry() || c.runs >= c.route.MaxAttempts:
			return c.giveUp(CodeResponseLost)
		}
	}
}

// attemptWithinBudget makes an attempt. It reports false if the retry budget does not allow it. The budget counts what
// instances receive, so that an attempt after refused connections only is free, and one that does not reach its
// instance is given back.
func (c *call) attemptWithinBudget(target *dispatch.Candidate) (res attemptResult, allowed bool) {
	if c.arrivals == 0 {
		return c.attempt(target), true
	}
	takenAt, arrivals := c.Clock.Now(), c.arrivals
	if !c.budget.TryTake(takenAt) {
		c.Recorder.Count("retry.no-budget")
		return resultNotRun, false
	}
	res = c.attempt(target)
	if c.arrivals == arrivals {
		c.Recorder.Count("retry.returned")
		c.budget.Return(takenAt)
	}
	return res, true
}

// checkAttemptAllowed returns a refusal if the request must not be sent: the keys may be stale before the first send, or no time
// or sends are left.
func (c *call) checkAttemptAllowed() *refusal {
	if c.sends == 0 && !c.keyTrusted() {
		return refusalWithRetryAfter(CodeKeysStale, c.Policy.RetryAfter)
	}
	left := c.deadline.Sub(c.Clock.Now())
	if left < c.Policy.MinTimeLeft {
		return c.giveUp(CodeNoTimeLeft)
	}
	if c.sends >= c.route.MaxAttempts+c.Policy.ExtraSends {
		return c.giveUp(CodeRefusedByTargets)
	}
	return nil
}

// giveUp ends a request that is not tried again. It forwards the last server error of an
// instance if there is one, and otherwise returns a refusal: with the given code only if the
// request has certainly not run.
func (c *call) giveUp(code Code) *refusal {
	switch {
	case c.headerWritten:
		return &refusal{code: CodeResponseLost}
	case c.lastFailure != nil:
		c.lastFailure.writeTo(c)
		return nil
	case c.runs == 0 && c.peerRefusal != nil:
		return c.peerRefusal
	case c.runs == 0:
		return refusalWithRetryAfter(code, c.retryDelay(c.Policy.RetryAfter))
	case !c.Clock.Now().Before(c.deadline.Add(-c.Policy.MinTimeLeft)):
		return &refusal{code: CodeTimeout}
	}
	return &refusal{code: CodeResponseLost}
}

// pick returns the next target of the request, or nil. It never returns the same instance twice.
// A retry goes to an instance with a rate limit only if every other one is full or unavailable, and any attempt to one
// with an open breaker only if there is no other.
func (c *call) pick() *dispatch.Candidate {
	if c.sends > 0 {
		unlimited := c.pickExcept(func(t *dispatch.Candidate) bool { return c.hasRateLimit(t) || c.isBreakerOpen(t) })
		if unlimited != nil && !unlimited.IsFull(c.Clock.Now()) {
			return unlimited
		}
	}
	cannotSend := func(t *dispatch.Candidate) bool { return !c.Backpressure.CanSend(&t.Instance) }
	if t := c.pickExcept(func(t *dispatch.Candidate) bool { return cannotSend(t) || c.isBreakerOpen(t) }); t != nil || !c.Breakers.HasOpenBreakers() {
		return t
	}
	return c.pickExcept(cannotSend) // an instance that may have recovered is better than none
}

// hasRateLimit reports whether a target has a rate limit.
func (c *call) hasRateLimit(t *dispatch.Candidate) bool {
	_, limited := c.Backpressure.RateLimit(&t.Instance)
	return limited
}

// pickExcept picks a target that has not been tried, is not cooling down, and for which exclude
// reports false. A request suspected of ending instances goes to the target with the lowest load.
func (c *call) pickExcept(exclude func(*dispatch.Candidate) bool) *dispatch.Candidate {
	excluded := func(t *dispatch.Candidate) bool {
		if slices.Contains(c.tried, t.ID) || c.isEvacuated(t) || !c.isHome(t) || exclude(t) {
			return true
		}
		_, cooling := c.Backpressure.CooldownUntil(&t.Instance)
		return cooling
	}
	if c.Quarantine.IsSuspected(c.identity) {
		return c.Table.PickLeastLoaded(c.service, c.model, excluded)
	}
	return c.Table.Pick(c.service, c.model, c.Clock.Now(), excluded)
}

// waitForTarget waits for one poll interval and reports whether to search again for a group that
// can resume the stream.
func (c *call) waitForTarget() bool {
	if c.Clock.Since(c.lastWriteAt) > c.Policy.ResumeWait {
		return false
	}
	select {
	case <-c.ctx.Done():
		return false
	case <-c.Clock.After(c.Policy.ResumePoll):
		return true
	}
}

// refuseNoTarget returns the refusal of a request that no instance can accept.
func (c *call) refuseNoTarget() *refusal {
	if c.sends > 0 || c.peerRefusal != nil {
		return c.giveUp(CodeTargetsUnreachable)
	}
	if c.allEvacuated() {
		return refusalWithRetryAfter(CodeEvacuated, c.Policy.RepairRetryAfter)
	}
	if c.lacksHome() {
		return refusalWithRetryAfter(CodeNoHome, c.Policy.RepairRetryAfter)
	}
	if code, after, all := c.allUnderBackpressure(); all {
		return refusalWithRetryAfter(code, after)
	}
	return refusalWithRetryAfter(CodeNoTarget, c.Policy.RepairRetryAfter)
}
