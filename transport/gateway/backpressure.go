package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/direct"
)

// errHeldBack means that a request was kept back right before it would have left.
var errHeldBack = errors.New("gateway: held back")

// The reasons for which a request is held back.
var (
	errCoolingDown = fmt.Errorf("%w: the instance is cooling down", errHeldBack)
	errLeaving     = fmt.Errorf("%w: the instance is leaving", errHeldBack)
	errStaleKeys   = fmt.Errorf("%w: keys may be stale", errHeldBack)
)

// heldBackCounters are the counters of requests held back, by reason.
var heldBackCounters = map[error]string{
	errCoolingDown: "held-back.cooling-down",
	errLeaving:     "held-back.leaving",
	errStaleKeys:   "held-back.keys-may-be-stale",
}

// mayLeave reports why a request must not leave for an instance now, or nil. It is asked
// last, with a connection at hand: while the request waited for one, other requests may
// have learned that the instance wants none.
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
	return nil
}

// holdBack records that an attempt was not made after all: it counts neither as a send nor as a run.
func (c *call) holdBack(target *dispatch.Candidate, err error) result {
	c.sends--
	c.runs--
	for reason, counter := range heldBackCounters {
		if errors.Is(err, reason) {
			c.Recorder.Count(counter)
		}
	}
	c.Recorder.Decide("attempt-held-back", c.claims.ID, map[string]any{"instance": target.ID, "error": err.Error(), "sends": c.sends})
	return heldBack
}

// cooldownEnd returns when the first of the instances that could run the request is no
// longer cooling down, and whether all of them are.
func (c *call) cooldownEnd() (first time.Time, all bool) {
	targets := c.Table.Candidates(c.service, c.model)
	for _, t := range targets {
		until, cooling := c.Backpressure.CoolingDown(&t.Instance)
		if !cooling {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, len(targets) > 0
}

// comeBack returns when a caller should come back: after a usual time, or once the first
// instance is no longer cooling down where all are.
func (c *call) comeBack(usual time.Duration) time.Duration {
	if until, cooling := c.cooldownEnd(); cooling {
		return max(until.Sub(c.Clock.Now()), 0)
	}
	return usual
}

// toCaller returns the head of an instance's answer as its caller gets it.
func (c *call) toCaller(resp *direct.Response) http.Header {
	h := travelling(resp.Header)
	c.Dialect.ToCaller(resp.Status, h)
	return h
}
