package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/event"
)

// attempt sends the request to one instance and relays its response.
func (c *call) attempt(target *dispatch.Candidate) attemptResult {
	var crossing CrossHallReason
	if target.Hall != c.Hall {
		crossing = c.crossHallReason()
	}
	c.tried = append(c.tried, target.ID)
	c.sends++
	c.loadAtPick = target.Load()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	sent := c.Clock.Now()
	c.hold = target.BeginRequest(c.claims.PromptTokens, sent)
	defer c.hold.End()
	c.runs++
	c.hasArrived = false
	watched := c.StallDetector.add(c, target, sent, cancel)
	defer c.StallDetector.remove(watched)
	c.trace = &direct.Trace{}
	req := c.newInstanceRequest(target, sent)
	watched.beginWait()
	resp, err := c.Pool.Do(ctx, target.Address, req)
	c.countSkipped()
	if watched.endWait(err) {
		if err == nil {
			resp.Close()
		}
		return resultHandedOver
	}
	switch {
	case err != nil && c.isSuperseded():
		return resultSuperseded
	case errors.Is(err, errHeldBack):
		return c.recordHeldBack(target, err)
	case errors.Is(err, errCallerGone):
		c.sends--
		c.runs--
		return c.leaveBeforeSend()
	case errors.Is(err, direct.ErrNotSent):
		c.runs--
		if c.r.Context().Err() != nil {
			return resultCallerGone
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.Quarantine.RecordConnectionRefused(target)
		}
		c.recordFailure(target, sent, "not reached", err)
		return resultNotRun
	}
	if crossing != "" {
		defer c.countCrossing(target.Hall, crossing, resp)()
	}
	c.arrivals++
	c.hasArrived = true
	if err != nil {
		return c.handleLostResponse(ctx, target, sent, err)
	}
	defer resp.Close()
	c.FailureDetector.RecordResponse(target.ID, sent)
	return c.handleResponse(ctx, target, resp, watched, sent)
}

// newInstanceRequest returns the request to send to an instance.
func (c *call) newInstanceRequest(target *dispatch.Candidate, now time.Time) *direct.Request {
	h := endToEndHeaders(c.r.Header)
	f := ForwardInfo{
		Instance:    target.ID,
		TimeLeft:    c.deadline.Sub(now) - c.Policy.NetworkAllowance,
		LastEventID: c.lastEventID,
		Priority:    c.forwardedPriority(),
	}
	if c.team != nil {
		f.Team = c.team.Name
	}
	c.Codec.SetForwardHeaders(h, f)
	return &direct.Request{
		Method:           c.r.Method,
		URI:              c.r.RequestURI,
		Host:             c.r.Host,
		Header:           h,
		Body:             c.body,
		HasBody:          c.r.ContentLength != 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut,
		ID:               c.claims.ID,
		ResponseID:       c.Codec.ResponseID,
		Trace:            c.trace,
		RequireFreshConn: !c.route.CanRetry(),
		WriteTimeout:     c.instanceWriteTimeout(),
		BeforeSend:       func() error { return c.checkBeforeSend(target) },
	}
}

// recordFailure records and logs that an instance failed a request, and reports it to the failure
// detector.
func (c *call) recordFailure(target *dispatch.Candidate, sent time.Time, failure event.Failure, err error) {
	target.RecordFailure()
	c.FailureDetector.RecordFailure(target.ID, sent)
	c.logFailure(target, sent, failure, err)
}

// logFailure logs an attempt without a usable response.
func (c *call) logFailure(target *dispatch.Candidate, sent time.Time, failure event.Failure, err error) {
	c.Recorder.LogDecision(&event.AttemptFailed{
		Request: c.eventRequest(), Instance: target.ID, Group: target.Membership.Group, Epoch: target.Membership.Epoch, What: failure, Err: err,
		After: c.Clock.Since(sent), Held: target.InFlight(), LastEvent: c.lastEventID, Connection: c.eventConnection(target),
	})
}

// eventConnection describes the connection of the current attempt.
func (c *call) eventConnection(target *dispatch.Candidate) event.Connection {
	return event.Connection{Address: target.Address, Exchanges: c.trace.Exchanges, Previous: c.trace.PreviousID, Skipped: c.trace.Skipped}
}

// countSkipped counts the responses to other requests that the current attempt skipped.
func (c *call) countSkipped() {
	for range c.trace.Skipped {
		c.Recorder.Count("attempt.skipped-response")
	}
}

// handleLostResponse handles an attempt whose response is missing or incomplete. It records the
// failure and returns the result.
func (c *call) handleLostResponse(ctx context.Context, target *dispatch.Candidate, sent time.Time, err error) attemptResult {
	if c.r.Context().Err() != nil {
		return resultCallerGone
	}
	cause := context.Cause(ctx)
	if c.isSuperseded() {
		return resultSuperseded
	}
	err = withCause(cause, err)
	isStalled := errors.Is(cause, errGroupStalled)
	failure := event.BrokenOff
	if isStalled {
		failure = event.Stalled
	}
	c.Quarantine.RecordInterruption(c.identity, possiblyEndedInstances(target, failure), sent)
	switch {
	case isStalled:
		c.recordFailure(target, sent, event.Stalled, err)
	case errors.Is(err, direct.ErrInvalidResponse):
		if !c.isBreakerOpen(target) {
			target.RecordFailure()
		}
		c.Recorder.Count("attempt.invalid")
		c.logFailure(target, sent, event.Invalid, err)
		c.Breakers.RecordInvalidResponse(&target.Instance, sent)
	case c.ctx.Err() != nil:
		c.logFailure(target, sent, event.TimeIsUp, err)
	default:
		target.RecordFailure()
		c.logFailure(target, sent, event.BrokenOff, err)
	}
	return resultUnknown
}

// withCause adds the cause of a cancelled attempt to its error, which is that of a connection with a deadline in the past.
func withCause(cause, err error) error {
	if cause == nil {
		return err
	}
	return fmt.Errorf("%w: %w", cause, err)
}

// possiblyEndedInstances returns the instances of which one may have ended during an attempt: all
// members of a stalled group, or else the target, whose connection broke.
func possiblyEndedInstances(target *dispatch.Candidate, failure event.Failure) []fleet.Instance {
	if failure == event.Stalled && len(target.Members) > 0 {
		return target.Members
	}
	return []fleet.Instance{target.Instance}
}

// handleResponse evaluates the head of a response and relays it to the caller if it is usable.
func (c *call) handleResponse(ctx context.Context, target *dispatch.Candidate, resp *direct.Response, w *watchedAttempt, sent time.Time) attemptResult {
	v := c.Codec.ParseReply(resp.Status, resp.Header)
	replaced := v.NotRun && v.Instance != "" && v.Instance != target.ID
	if replaced {
		c.FailureDetector.RecordReplaced(target.ID)
	} else {
		c.Backpressure.RecordNotice(&target.Instance, v.Notice, c.claims.ID, sent)
		c.Quarantine.RecordAlive(target.Instance, sent)
	}
	if v.NotRun {
		drain(resp)
		c.Breakers.RecordValidResponse(&target.Instance, sent)
		c.runs--
		if v.Cooldown == 0 {
			target.RecordFailure()
		}
		c.Recorder.LogDecision(&event.AttemptRefused{
			Request: c.eventRequest(), Instance: target.ID, Responder: v.Instance, Status: resp.Status, Culprit: v.FaultyAddress, Held: target.InFlight(), Load: target.Load(), Cooldown: v.Cooldown, Sends: c.sends,
			Connection: c.eventConnection(target),
		})
		if v.FaultyAddress != "" && v.FaultyAddress != target.Address.String() {
			c.FailureDetector.ProbeGroup(target)
		}
		return resultNotRun
	}
	if v.PromisesNotRun && !c.route.CanRetry() {
		drain(resp)
		c.Breakers.RecordValidResponse(&target.Instance, sent)
		c.recordUnprovenRefusal(target, resp, sent)
		return resultUnknown
	}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !v.HasSeal {
		c.logFailure(target, sent, event.Unsealed, fmt.Errorf("status %d", resp.Status))
		return resultUnknown
	}
	src := &instanceSource{call: c, target: target, watched: w, sent: sent}
	if success && c.route.Kind == catalog.Stream {
		return c.relayStream(ctx, src, resp)
	}
	return c.relayBuffered(ctx, src, resp)
}

// recordUnprovenRefusal records a refusal of an instance that does not say that it has not run a request which must not run twice. It must
// not reach the caller, who would send the request again: to callers the status promises that it has not run.
func (c *call) recordUnprovenRefusal(target *dispatch.Candidate, resp *direct.Response, sent time.Time) {
	target.RecordFailure()
	c.Recorder.Count("attempt.unproven-refusal")
	c.logFailure(target, sent, event.UnprovenRefusal, fmt.Errorf("status %d", resp.Status))
}
