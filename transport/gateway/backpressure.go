package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/transport/event"
)

// errHeldBack means that a request was held back right before its first byte was sent.
var errHeldBack = errors.New("gateway: held back")

// The reasons for holding a request back.
var (
	errCoolingDown = fmt.Errorf("%w: the instance is cooling down", errHeldBack)
	errLeaving     = fmt.Errorf("%w: the instance is leaving", errHeldBack)
	errKeysStale   = fmt.Errorf("%w: keys may be stale", errHeldBack)
	errEvacuated   = fmt.Errorf("%w: the instance's hall is evacuated", errHeldBack)
	errNotHome     = fmt.Errorf("%w: the instance is outside the home regions", errHeldBack)
	errRateLimited = fmt.Errorf("%w: the instance takes no more requests for now", errHeldBack)
)

// heldBackCounters names the counter of held-back requests for each reason.
var heldBackCounters = map[error]string{
	errCoolingDown: "held-back.cooling-down",
	errLeaving:     "held-back.leaving",
	errKeysStale:   "held-back.keys-may-be-stale",
	errEvacuated:   "evacuation.held-back",
	errNotHome:     "held-back.not-home",
	errRateLimited: "held-back.rate-limited",
}

// checkBeforeSend returns the reason why a request must not be sent to an instance now, or nil. It
// is called once the connection is established: other requests may have received a cooldown, a
// rate limit or a leaving notice of the instance during the dial, its hall may have been evacuated, and the caller may have left.
func (c *call) checkBeforeSend(target *dispatch.Candidate) error {
	if err := c.checkCaller(); err != nil {
		return err
	}
	if _, cooling := c.Backpressure.CooldownUntil(&target.Instance); cooling {
		return errCoolingDown
	}
	if c.Backpressure.IsLeaving(&target.Instance) {
		return errLeaving
	}
	if c.isEvacuated(target) {
		return errEvacuated
	}
	if c.sends == 1 && !c.keyTrusted() {
		return errKeysStale
	}
	if !c.isHome(target) {
		return errNotHome
	}
	// This check is last because it spends a grant: the request must be sent if it passes.
	if !c.Backpressure.TrySend(&target.Instance) {
		return errRateLimited
	}
	return nil
}

// recordHeldBack records that a request was held back. The attempt counts neither as a send nor as
// a run.
func (c *call) recordHeldBack(target *dispatch.Candidate, err error) attemptResult {
	c.sends--
	c.runs--
	for reason, counter := range heldBackCounters {
		if errors.Is(err, reason) {
			c.Recorder.Count(counter)
		}
	}
	c.Recorder.LogDecision(&event.AttemptHeldBack{Request: c.eventRequest(), Instance: target.ID, Err: err, Sends: c.sends})
	return resultHeldBack
}

// allUnderBackpressure reports whether all instances that could run the request are cooling down or
// rate-limited, and returns the reason and the retry delay.
func (c *call) allUnderBackpressure() (code Code, after time.Duration, all bool) {
	var earliestCooldownEnd time.Time
	limited, perSecond := false, 0.0
	targets := c.homeCandidates()
	for _, t := range targets {
		until, cooling := c.Backpressure.CooldownUntil(&t.Instance)
		switch {
		case cooling && (earliestCooldownEnd.IsZero() || until.Before(earliestCooldownEnd)):
			earliestCooldownEnd = until
		case cooling:
		case c.Backpressure.CanSend(&t.Instance):
			return "", 0, false
		default:
			rate, _ := c.Backpressure.RateLimit(&t.Instance)
			limited, perSecond = true, perSecond+rate
		}
	}
	cooldownLeft := max(earliestCooldownEnd.Sub(c.Clock.Now()), 0)
	switch {
	case !limited:
		return CodeCoolingDown, cooldownLeft, len(targets) > 0
	case earliestCooldownEnd.IsZero():
		return CodeRateLimited, c.rateLimitWait(perSecond), true
	}
	return CodeRateLimited, min(c.rateLimitWait(perSecond), cooldownLeft), true
}

// rateLimitWait returns the retry delay for instances that together accept perSecond requests a
// second: the time in which they accept the requests that callers send in one second.
func (c *call) rateLimitWait(perSecond float64) time.Duration {
	seconds := max(c.Table.RequestRate(c.service, c.model), 1) / perSecond
	return time.Duration(min(seconds, c.Policy.RateLimitRetryAfterMax.Seconds()) * float64(time.Second))
}

// retryDelay returns the time after which the caller may retry: until the first instance accepts
// requests again if all are cooling down or rate-limited, and fallback otherwise.
func (c *call) retryDelay(fallback time.Duration) time.Duration {
	if _, after, all := c.allUnderBackpressure(); all {
		return after
	}
	return fallback
}

// callerHeaders returns the headers of an instance's response that are forwarded to the caller.
func (c *call) callerHeaders(resp *direct.Response) http.Header {
	h := endToEndHeaders(resp.Header)
	c.Codec.RemoveNodeHeaders(resp.Status, h)
	h.Del(headerForwardResult)
	return h
}
