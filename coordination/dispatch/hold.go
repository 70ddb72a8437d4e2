package dispatch

import (
	"sync/atomic"
	"time"
)

// InFlightRequest is one request in flight from this node to a candidate. It is safe for
// concurrent use.
type InFlightRequest struct {
	load *load
	// began is when the request was sent to the candidate.
	began     time.Time
	candidate *Candidate
	// prompt is the number of prompt tokens, or 0 after prefill.
	prompt atomic.Int64
}

// BeginRequest records that a request with a number of prompt tokens is sent to the instance now.
func (c *Candidate) BeginRequest(prompt int, now time.Time) *InFlightRequest {
	if limit, paced := c.paceLimit(); paced {
		c.load.pacer.spend(now, limit, time.Duration(float64(prompt)*c.prefillTimePerToken))
	}
	h := &InFlightRequest{load: c.load, began: now, candidate: c}
	h.prompt.Store(int64(prompt))
	c.load.inFlight.Add(1)
	c.load.prefillTokens.Add(int64(prompt))
	return h
}

// RecordFirstEvent records that the first event has arrived, so the prefill is done.
func (h *InFlightRequest) RecordFirstEvent() { h.load.prefillTokens.Add(-h.prompt.Swap(0)) }

// RecordComplete records that the request got a complete response now, so that the time since it was sent is that for
// which it occupied a slot.
func (h *InFlightRequest) RecordComplete(now time.Time) {
	if c := h.candidate; c.holdTime != nil {
		c.holdTime.Record(now.Sub(h.began), c.expectedHold)
	}
}

// End records that the request has ended. It must be called exactly once.
func (h *InFlightRequest) End() {
	h.RecordFirstEvent()
	h.load.inFlight.Add(-1)
}
