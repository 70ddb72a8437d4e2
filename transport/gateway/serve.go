package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/event"
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
	req := c.newInstanceRequest(target, sent)
	watched.beginWait()
	resp, err := c.Pool.Do(ctx, target.Address, req)
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
		return resultCallerGone
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
		MatchesResponse:  func(h http.Header) bool { return c.Codec.MatchesRequest(h, c.claims.ID) },
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
		After: c.Clock.Since(sent), Held: target.InFlight(), LastEvent: c.lastEventID,
	})
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
			Request: c.eventRequest(), Instance: target.ID, Status: resp.Status, Culprit: v.FaultyAddress, Held: target.InFlight(), Load: target.Load(), Cooldown: v.Cooldown, Sends: c.sends,
		})
		if v.FaultyAddress != "" && v.FaultyAddress != target.Address.String() {
			c.FailureDetector.ProbeGroup(target)
		}
		return resultNotRun
	}
	if v.PromisesNotRun {
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

// recordUnprovenRefusal records a refusal of an instance that does not say that it has not run the request. It must not reach the caller,
// to whom its status promises just that, so that the request would run again.
func (c *call) recordUnprovenRefusal(target *dispatch.Candidate, resp *direct.Response, sent time.Time) {
	target.RecordFailure()
	c.Recorder.Count("attempt.unproven-refusal")
	c.logFailure(target, sent, event.UnprovenRefusal, fmt.Errorf("status %d", resp.Status))
}

// responseSource is the sender of a response that is relayed to the caller.
type responseSource interface {
	// beginWait begins a wait for data of a stream, endWait ends it with its error. endWait reports whether the response has
	// been handed over meanwhile.
	beginWait()
	endWait(err error) (handedOver bool)
	// dataReceived records that data of a stream arrived.
	dataReceived(now time.Time)
	// completed records that the complete response arrived.
	completed(resp *direct.Response)
	// lost records that the response broke off, and returns the result of the attempt.
	lost(ctx context.Context, err error) attemptResult
}

// instanceSource is an instance that responds to an attempt.
type instanceSource struct {
	call    *call
	target  *dispatch.Candidate
	watched *watchedAttempt
	sent    time.Time
}

func (s *instanceSource) beginWait() { s.watched.beginWait() }

func (s *instanceSource) endWait(err error) bool { return s.watched.endWait(err) }

func (s *instanceSource) dataReceived(now time.Time) {
	s.call.StallDetector.recordData(s.watched, now)
	s.call.hold.RecordFirstEvent()
	s.call.recordFirstEvent(s.target.ID, now)
}

// completed records a complete response of the instance. A response that is delimited by the end of its
// connection also looks complete if the instance ended, so it clears the request only once the instance responds again.
func (s *instanceSource) completed(resp *direct.Response) {
	s.call.Breakers.RecordValidResponse(&s.target.Instance, s.sent)
	if resp.Status >= http.StatusInternalServerError {
		s.target.RecordFailure()
		return
	}
	s.target.RecordCompleteResponse()
	r := s.call.identity
	if resp.Status >= http.StatusMultipleChoices {
		r.Parts = nil // the instance may have refused the request before it read the prompt
	}
	if !resp.IsFramed() {
		s.call.Quarantine.RecordUnconfirmed(r, s.target.Instance, s.sent)
		return
	}
	s.call.Quarantine.RecordComplete(r)
}

func (s *instanceSource) lost(ctx context.Context, err error) attemptResult {
	return s.call.handleLostResponse(ctx, s.target, s.sent, err)
}

// Limits on what is read of the body of a refusal, so that its connection can be used again.
const (
	maxDrainedBytes = 64 << 10
	drainTimeout    = 100 * time.Millisecond
)

// drain reads the rest of a response that is not forwarded.
func drain(resp *direct.Response) {
	resp.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainedBytes))
	resp.SetReadDeadline(time.Time{})
}

// maxBufferedBytes is the size up to which a response is buffered before it is forwarded, in bytes.
const maxBufferedBytes = 1 << 20

// bufferedResponse is a response whose body has been read up to maxBufferedBytes.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered buffers a response and forwards it. A server error is kept in c.lastFailure
// instead, since the request may be retried. Nothing is forwarded if a stream has begun.
func (c *call) relayBuffered(ctx context.Context, src responseSource, resp *direct.Response) attemptResult {
	body, err := c.readResponse(resp.Body)
	if err != nil {
		c.checkOverdue(src, resp)
		return src.lost(ctx, err)
	}
	p := &bufferedResponse{status: resp.Status, header: c.callerHeaders(resp), body: body}
	if resp.Status >= http.StatusInternalServerError {
		src.completed(resp)
		if c.headerWritten {
			return resultUnknown
		}
		if len(body) < maxBufferedBytes {
			c.lastFailure = p // a part of a longer body would look complete
		}
		return resultFailed
	}
	if c.headerWritten {
		return resultUnknown
	}
	if len(body) == maxBufferedBytes {
		return c.relayLarge(ctx, src, resp, p)
	}
	src.completed(resp)
	p.writeTo(c)
	return resultAnswered
}

// writeTo forwards the response to the caller.
func (p *bufferedResponse) writeTo(c *call) {
	c.releaseResponse()
	c.writeHeader(p.status, p.header, int64(len(p.body)))
	_, _ = c.w.Write(p.body)
	c.hasResponded = true
}

// writeHeader writes the head of a response. A length of -1 means unknown.
func (c *call) writeHeader(status int, header http.Header, length int64) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	c.setForwardResult(forwardResult{})
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

// relayLarge forwards a response that is too large to be buffered as a whole.
func (c *call) relayLarge(ctx context.Context, src responseSource, resp *direct.Response, p *bufferedResponse) attemptResult {
	c.writeHeader(p.status, p.header, resp.Length)
	c.headerWritten = true
	c.releaseResponse()
	if _, err := c.w.Write(p.body); err != nil {
		c.checkOverdue(src, resp)
		return resultCallerGone
	}
	if _, err := io.Copy(c.w, resp.Body); err != nil {
		c.checkOverdue(src, resp)
		if c.r.Context().Err() != nil {
			return resultCallerGone
		}
		src.lost(ctx, err)
		panic(http.ErrAbortHandler)
	}
	src.completed(resp)
	c.hasResponded = true
	return resultAnswered
}
