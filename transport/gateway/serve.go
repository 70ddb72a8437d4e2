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

// result is the outcome of one attempt.
type result string

// The results of an attempt.
const (
	// answered means that the caller has received a complete response.
	answered result = "answered"
	// notRun means that the instance has not run the request and will not run it.
	notRun result = "not-run"
	// heldBack means that the request was held back right before it was sent.
	heldBack result = "held-back"
	// unknown means that the request may have run and its response is lost.
	unknown result = "unknown"
	// failed means that the instance returned a server error.
	failed result = "failed"
	// callerGone means that the caller has disconnected.
	callerGone result = "caller-gone"
)

// serve sends a request to one instance after another until one responds. It returns a refusal
// if the request is given up.
func (c *call) serve() *refusal {
	for {
		if no := c.mayGoOn(); no != nil {
			return no
		}
		target := c.pick()
		if target == nil && c.begun && c.waitForTarget() {
			continue
		}
		if target == nil {
			return c.noTarget()
		}
		if c.sends == 0 && target.Full(c.Clock.Now()) {
			return refusedAt(CodeOverloaded, c.Policy.OverloadRetryAfter)
		}
		if _, held := c.Quarantine.HeldUntil(c.fingerprint); c.sends > 0 && held {
			return c.giveUp(CodeQuarantined)
		}
		if c.sends > 0 && !c.budget.Take(c.Clock.Now()) {
			c.Recorder.Count("retry.no-budget")
			return c.giveUp(CodeRefused)
		}
		if c.begun {
			c.Recorder.Count("retry.resume")
		}
		res := c.attempt(target)
		c.Recorder.Count("attempt." + string(res))
		if res == answered {
			c.recordAnswer(target)
		}
		switch {
		case res == answered || res == callerGone:
			return nil
		case res == notRun || res == heldBack:
			continue
		case !c.route.Repeatable() || c.runs >= c.route.MaxAttempts:
			return c.giveUp(CodeBroken)
		}
	}
}

// mayGoOn returns a refusal if the request must not be sent again: the caller has disconnected,
// the keys may be stale before the first send, or no time or sends are left.
func (c *call) mayGoOn() *refusal {
	if c.r.Context().Err() != nil {
		return c.giveUp(CodeBroken)
	}
	if c.sends == 0 && !c.keyHolds() {
		return refusedAt(CodeStale, c.Policy.RetryAfter)
	}
	left := c.deadline.Sub(c.Clock.Now())
	if left < c.Policy.MinTimeLeft {
		return c.giveUp(CodeNoTime)
	}
	if c.sends >= c.route.MaxAttempts+c.Policy.ExtraSends {
		return c.giveUp(CodeRefused)
	}
	return nil
}

// giveUp ends a request that is not tried again. It forwards the last server error of an
// instance if there is one, and otherwise returns a refusal: with the given code only if the
// request has certainly not run.
func (c *call) giveUp(code Code) *refusal {
	switch {
	case c.begun:
		return &refusal{code: CodeBroken}
	case c.last != nil:
		c.last.write(c)
		return nil
	case c.runs == 0:
		return refusedAt(code, c.comeBack(c.Policy.RetryAfter))
	case !c.Clock.Now().Before(c.deadline.Add(-c.Policy.MinTimeLeft)):
		return &refusal{code: CodeTimeout}
	}
	return &refusal{code: CodeBroken}
}

// pick returns the next target of the request, or nil. It never returns the same instance twice.
// A retry goes to an instance with a rate limit only if every other one is full or unavailable.
func (c *call) pick() *dispatch.Candidate {
	if c.sends > 0 {
		if t := c.pickUnless(c.limited); t != nil && !t.Full(c.Clock.Now()) {
			return t
		}
	}
	return c.pickUnless(func(t *dispatch.Candidate) bool { return !c.Backpressure.Open(&t.Instance) })
}

// limited reports whether a target has a rate limit.
func (c *call) limited(t *dispatch.Candidate) bool {
	_, limited := c.Backpressure.RateLimit(&t.Instance)
	return limited
}

// pickUnless picks a target that has not been tried, is not cooling down, and for which avoid
// reports false. A request suspected of ending instances goes to the target with the lowest load.
func (c *call) pickUnless(avoid func(*dispatch.Candidate) bool) *dispatch.Candidate {
	unfit := func(t *dispatch.Candidate) bool {
		if slices.Contains(c.tried, t.ID) || avoid(t) {
			return true
		}
		_, cooling := c.Backpressure.CoolingDown(&t.Instance)
		return cooling
	}
	if c.Quarantine.Suspected(c.fingerprint) {
		return c.Table.PickIdlest(c.service, c.model, unfit)
	}
	return c.Table.Pick(c.service, c.model, c.Clock.Now(), unfit)
}

// waitForTarget waits for one poll interval and reports whether to search again for a group that
// can resume the stream.
func (c *call) waitForTarget() bool {
	if c.Clock.Since(c.moved) > c.Policy.ResumeWait {
		return false
	}
	select {
	case <-c.ctx.Done():
		return false
	case <-c.Clock.After(c.Policy.ResumePoll):
		return true
	}
}

// noTarget returns the refusal of a request that no instance can accept.
func (c *call) noTarget() *refusal {
	if c.sends > 0 {
		return c.giveUp(CodeUnreachable)
	}
	if code, after, all := c.allHeldOff(); all {
		return refusedAt(code, after)
	}
	return refusedAt(CodeNoTarget, c.Policy.RepairRetryAfter)
}

// attempt sends the request to one instance and relays its response.
func (c *call) attempt(target *dispatch.Candidate) result {
	c.tried = append(c.tried, target.ID)
	c.sends++
	c.loadWhenPicked = target.Load()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	sent := c.Clock.Now()
	c.hold = target.Hold(c.claims.Prompt, sent)
	defer c.hold.End()
	c.runs++
	resumable := c.route.Kind == catalog.Stream && c.route.Repeatable() && c.runs < c.route.MaxAttempts
	watched := c.Watch.add(target, resumable, sent, cancel)
	defer c.Watch.remove(watched)
	resp, err := c.Pool.Do(ctx, target.Address, c.request(target, sent))
	switch {
	case errors.Is(err, errHeldBack):
		return c.holdBack(target, err)
	case errors.Is(err, direct.ErrUnsent):
		c.runs--
		if c.r.Context().Err() != nil {
			return callerGone
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.Quarantine.Refused(target)
		}
		c.trouble(target, sent, "not reached", err)
		return notRun
	case err != nil:
		return c.lost(ctx, target, sent, err)
	}
	defer resp.Close()
	c.Health.Heard(target.ID, sent)
	return c.follow(ctx, target, resp, watched, sent)
}

// request returns the request to send to an instance.
func (c *call) request(target *dispatch.Candidate, now time.Time) *direct.Request {
	h := travelling(c.r.Header)
	f := Forward{
		Instance:  target.ID,
		Left:      c.deadline.Sub(now) - c.Policy.NetworkAllowance,
		LastEvent: c.lastEvent,
		Urgency:   -1,
	}
	if c.team != nil {
		f.Team = c.team.Name
	}
	c.Dialect.Forward(h, f)
	return &direct.Request{
		Method:  c.r.Method,
		URI:     c.r.RequestURI,
		Host:    c.r.Host,
		Header:  h,
		Body:    c.body,
		HasBody: c.r.ContentLength != 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut,
		Match:   func(h http.Header) bool { return c.Dialect.Belongs(h, c.claims.ID) },
		Fresh:   !c.route.Repeatable(),
		Check:   func() error { return c.mayLeave(target) },
	}
}

// trouble records and logs that an instance failed a request, and reports it to the failure detector.
func (c *call) trouble(target *dispatch.Candidate, sent time.Time, what event.Failure, err error) {
	target.Failed()
	c.Health.Failed(target.ID, sent)
	c.logFailure(target, sent, what, err)
}

// logFailure logs an attempt without a usable response.
func (c *call) logFailure(target *dispatch.Candidate, sent time.Time, what event.Failure, err error) {
	c.Recorder.Decide(&event.AttemptFailed{
		Request: c.named(), Instance: target.ID, Group: target.Membership.Group, Epoch: target.Membership.Epoch, What: what, Err: err,
		After: c.Clock.Since(sent), Held: target.Held(), LastEvent: c.lastEvent,
	})
}

// lost handles an attempt whose response is missing or incomplete. It records the failure and
// returns the result.
func (c *call) lost(ctx context.Context, target *dispatch.Candidate, sent time.Time, err error) result {
	if c.r.Context().Err() != nil {
		return callerGone
	}
	cause := context.Cause(ctx)
	c.Quarantine.Broken(c.fingerprint, mayHaveEnded(target, cause), sent)
	switch {
	case errors.Is(cause, errStalled):
		c.trouble(target, sent, event.Stalled, err)
	case errors.Is(cause, errSilent):
		target.Failed()
		c.Recorder.Count("attempt.silent")
		c.logFailure(target, sent, event.Silent, err)
	case c.ctx.Err() != nil:
		c.logFailure(target, sent, event.TimeIsUp, err)
	default:
		target.Failed()
		c.logFailure(target, sent, event.BrokenOff, err)
	}
	return unknown
}

// mayHaveEnded returns the instances of which one may have ended during an attempt: any member
// of a stalled group, or else the target, whose connection broke.
func mayHaveEnded(target *dispatch.Candidate, cause error) []fleet.Instance {
	if errors.Is(cause, errStalled) && len(target.Members) > 0 {
		return target.Members
	}
	return []fleet.Instance{target.Instance}
}

// follow evaluates the head of a response and relays it to the caller if it is usable.
func (c *call) follow(ctx context.Context, target *dispatch.Candidate, resp *direct.Response, w *watched, sent time.Time) result {
	v := c.Dialect.Verdict(resp.Status, resp.Header)
	replaced := v.NotRun && v.Instance != "" && v.Instance != target.ID
	if replaced {
		c.Health.Replaced(target.ID)
	} else {
		c.Backpressure.Told(&target.Instance, v.Notice, c.claims.ID, sent)
	}
	if v.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBuffered))
		c.runs--
		if v.Cooldown == 0 {
			target.Failed()
		}
		c.Recorder.Decide(&event.AttemptRefused{
			Request: c.named(), Instance: target.ID, Status: resp.Status, Culprit: v.Culprit, Held: target.Held(), Load: target.Load(), Cooldown: v.Cooldown, Sends: c.sends,
		})
		if v.Culprit != "" && v.Culprit != target.Address.String() {
			c.Health.Suspect(target)
		}
		return notRun
	}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !v.Sealed {
		c.logFailure(target, sent, event.Unsealed, fmt.Errorf("status %d", resp.Status))
		return unknown
	}
	if success && c.route.Kind == catalog.Stream {
		return c.relay(ctx, target, resp, w, sent)
	}
	return c.whole(ctx, target, resp, sent)
}

// answeredBy records a complete response of an instance. A response that is delimited by the end
// of its connection also looks complete if the instance ended, so it does not clear the request.
func (c *call) answeredBy(target *dispatch.Candidate, resp *direct.Response) {
	target.Answered()
	if resp.Framed() {
		c.Quarantine.Answered(c.fingerprint)
	}
}

// maxBuffered is the size up to which a response is buffered before it is forwarded, in bytes.
const maxBuffered = 1 << 20

// plain is a buffered response.
type plain struct {
	status int
	header http.Header
	body   []byte
}

// whole buffers a response and forwards it. A server error is kept in c.last instead, since the
// request may be retried. Nothing is forwarded if a stream has begun.
func (c *call) whole(ctx context.Context, target *dispatch.Candidate, resp *direct.Response, sent time.Time) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		return c.lost(ctx, target, sent, err)
	}
	p := &plain{status: resp.Status, header: c.toCaller(resp), body: body}
	if resp.Status >= http.StatusInternalServerError {
		target.Failed()
		if c.begun {
			return unknown
		}
		c.last = p
		return failed
	}
	if c.begun {
		return unknown
	}
	if len(body) == maxBuffered {
		return c.large(ctx, target, resp, p, sent)
	}
	c.answeredBy(target, resp)
	p.write(c)
	return answered
}

// write forwards the response to the caller.
func (p *plain) write(c *call) {
	c.head(p.status, p.header, int64(len(p.body)))
	_, _ = c.w.Write(p.body)
}

// head writes the head of a response. A length of -1 means unknown.
func (c *call) head(status int, header http.Header, length int64) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

// large forwards a response that is too large to be buffered as a whole.
func (c *call) large(ctx context.Context, target *dispatch.Candidate, resp *direct.Response, p *plain, sent time.Time) result {
	c.head(p.status, p.header, resp.Length)
	c.begun = true
	if _, err := c.w.Write(p.body); err != nil {
		return callerGone
	}
	if _, err := io.Copy(c.w, resp.Body); err != nil {
		if c.r.Context().Err() != nil {
			return callerGone
		}
		c.lost(ctx, target, sent, err)
		panic(http.ErrAbortHandler)
	}
	c.answeredBy(target, resp)
	return answered
}
