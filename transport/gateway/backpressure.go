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
	errStaleKeys   = fmt.Errorf("%w: keys may be stale", errHeldBack)
	errRateLimited = fmt.Errorf("%w: the instance takes no more requests for now", errHeldBack)
)

// heldBackCounters names the counter of held-back requests for each reason.
var heldBackCounters = map[error]string{
	errCoolingDown: "held-back.cooling-down",
	errLeaving:     "held-back.leaving",
	errStaleKeys:   "held-back.keys-may-be-stale",
	errRateLimited: "held-back.rate-limited",
}

// mayLeave returns the reason why a request must not be sent to an instance now, or nil. It is
// called once the connection is established: other requests may have received a cooldown, a rate
// limit or a leaving notice of the instance during the dial.
func (c *call) mayLeave(target *dispatch.Candidate) error {
	if _, cooling := c.Backpressure.CoolingDown(&target.Instance); cooling {
		return errCoolingDown
	}
	if c.Backpressure.Leaving(&target.Instance) {
		return errLeaving
	}
	if c.sends == 1 && !c.keyHolds() {
		return errStaleKeys
	}
	// This check is last because it spends a grant: the request must be sent if it passes.
	if !c.Backpressure.Send(&target.Instance) {
		return errRateLimited
	}
	return nil
}

// holdBack records that a request was held back. The attempt counts neither as a send nor as a run.
func (c *call) holdBack(target *dispatch.Candidate, err error) result {
	c.sends--
	c.runs--
	for reason, counter := range heldBackCounters {
		if errors.Is(err, reason) {
			c.Recorder.Count(counter)
		}
	}
	c.Recorder.Decide(&event.AttemptHeldBack{Request: c.named(), Instance: target.ID, Err: err, Sends: c.sends})
	return heldBack
}

// allHeldOff reports whether all instances that could run the request are cooling down or
// rate-limited, and returns the reason and the retry delay.
func (c *call) allHeldOff() (code Code, after time.Duration, all bool) {
	var cooled time.Time
	limited, perSecond := false, 0.0
	targets := c.Table.Candidates(c.service, c.model)
	for _, t := range targets {
		until, cooling := c.Backpressure.CoolingDown(&t.Instance)
		switch {
		case cooling && (cooled.IsZero() || until.Before(cooled)):
			cooled = until
		case cooling:
		case c.Backpressure.Open(&t.Instance):
			return "", 0, false
		default:
			rate, _ := c.Backpressure.RateLimit(&t.Instance)
			limited, perSecond = true, perSecond+rate
		}
	}
	free := max(cooled.Sub(c.Clock.Now()), 0)
	switch {
	case !limited:
		return CodeCoolingDown, free, len(targets) > 0
	case cooled.IsZero():
		return CodeRateLimited, c.rateLimitWait(perSecond), true
	}
	return CodeRateLimited, min(c.rateLimitWait(perSecond), free), true
}

// rateLimitWait returns the retry delay for instances that together accept perSecond requests a
// second: the time in which they accept the requests that callers send in one second.
func (c *call) rateLimitWait(perSecond float64) time.Duration {
	seconds := max(c.Table.Asked(c.service, c.model), 1) / perSecond
	return time.Duration(min(seconds, c.Policy.RateLimitRetryAfterMax.Seconds()) * float64(time.Second))
}

// comeBack returns the retry delay: the usual one, or, if all instances are cooling down or
// rate-limited, the time until the first of them accepts requests again.
func (c *call) comeBack(usual time.Duration) time.Duration {
	if _, after, all := c.allHeldOff(); all {
		return after
	}
	return usual
}

// toCaller returns the headers of an instance's response that are forwarded to the caller.
func (c *call) toCaller(resp *direct.Response) http.Header {
	h := travelling(resp.Header)
	c.Dialect.ToCaller(resp.Status, h)
	return h
}
