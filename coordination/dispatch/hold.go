package dispatch

import (
	"sync/atomic"
	"time"
)

// Hold is one request that this node has sent to a candidate and that has not
// ended. It is safe for concurrent use.
type Hold struct {
	load *load
	// prompt is the number of prompt tokens, 0 once they have been read.
	prompt atomic.Int64
}

// Hold counts a request with a number of prompt tokens as sent to the instance now.
func (c *Candidate) Hold(prompt int, now time.Time) *Hold {
	if by, paced := c.pace(); paced {
		c.load.pacer.spend(now, by, time.Duration(float64(prompt)*c.readTime))
	}
	h := &Hold{load: c.load}
	h.prompt.Store(int64(prompt))
	c.load.held.Add(1)
	c.load.reading.Add(int64(prompt))
	return h
}

// Started records that the instance has read the prompt: the first event has come.
func (h *Hold) Started() { h.load.reading.Add(-h.prompt.Swap(0)) }

// End records that the request has ended; it must be called once.
func (h *Hold) End() {
	h.Started()
	h.load.held.Add(-1)
}
