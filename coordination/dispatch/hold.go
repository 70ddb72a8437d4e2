package dispatch

import (
	"sync/atomic"
	"time"
)

// Hold is one request in flight from this node to a candidate. It is safe for
// concurrent use.
type Hold struct {
	load *load
	// prompt is the number of prompt tokens, or 0 after prefill.
	prompt atomic.Int64
}

// Hold records that a request with a number of prompt tokens is sent to the instance now.
func (c *Candidate) Hold(prompt int, now time.Time) *Hold {
	if limit, paced := c.paceLimit(); paced {
		c.load.pacer.spend(now, limit, time.Duration(float64(prompt)*c.prefillTimePerToken))
	}
	h := &Hold{load: c.load}
	h.prompt.Store(int64(prompt))
	c.load.inFlight.Add(1)
	c.load.prefillTokens.Add(int64(prompt))
	return h
}

// Started records that the first event has arrived, so the prefill is done.
func (h *Hold) Started() { h.load.prefillTokens.Add(-h.prompt.Swap(0)) }

// End records that the request has ended. It must be called exactly once.
func (h *Hold) End() {
	h.Started()
	h.load.inFlight.Add(-1)
}
