package gateway

import (
	"io"
	"slices"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
)

// CrossHallReason is the reason why a request was sent to another data hall.
type CrossHallReason string

// The reasons.
const (
	// CrossHallHome means that the node's own hall is not in a home region of the request.
	CrossHallHome CrossHallReason = "home"
	// CrossHallNoTarget means that the node's own hall has no instance for the request.
	CrossHallNoTarget CrossHallReason = "no-target"
	// CrossHallUnavailable means that the request was sent to all instances of the hall before, or that they asked for
	// a cooldown or have reached their rate limits.
	CrossHallUnavailable CrossHallReason = "unavailable"
	// CrossHallFull means that all instances of the hall that could get the request are full.
	CrossHallFull CrossHallReason = "full"
	// CrossHallBalance means that the hall has room but the request is among those that others serve.
	CrossHallBalance CrossHallReason = "balance"
	// CrossHallForwarded means that the request was forwarded to a node in another hall.
	CrossHallForwarded CrossHallReason = "forwarded"
)

// HallTraffic records the traffic to other data halls.
type HallTraffic interface {
	// RecordCrossing records that a request with a body of a number of bytes was sent to another hall.
	RecordCrossing(to state.HallName, reason CrossHallReason, bytes int)
	// RecordCrossingResponse records the number of bytes in the body of its response.
	RecordCrossingResponse(bytes int64)
}

// crossHallReason returns the reason why the request goes to a target in another hall.
func (c *call) crossHallReason() CrossHallReason {
	if !c.currentHomes().Allows(c.ownRegion()) {
		return CrossHallHome
	}
	reason := CrossHallNoTarget
	for _, t := range c.Table.Candidates(c.service, c.model) {
		if t.Hall != c.Hall {
			continue
		}
		switch {
		case !c.isAvailable(t):
			if reason == CrossHallNoTarget {
				reason = CrossHallUnavailable
			}
		case t.IsFull(c.Clock.Now()):
			reason = CrossHallFull
		default:
			return CrossHallBalance
		}
	}
	return reason
}

// isAvailable reports whether the request was not sent to a target yet and the target accepts requests.
func (c *call) isAvailable(t *dispatch.Candidate) bool {
	_, cooling := c.Backpressure.CooldownUntil(&t.Instance)
	return !cooling && !slices.Contains(c.tried, t.ID) && c.Backpressure.CanSend(&t.Instance)
}

// countingReader counts the bytes that are read from a body.
type countingReader struct {
	io.Reader
	n int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += int64(n)
	return n, err
}

// countCrossing records that the request was sent to another hall. It returns a function that records the response once its body
// has been read.
func (c *call) countCrossing(to state.HallName, reason CrossHallReason, resp *direct.Response) (done func()) {
	c.HallTraffic.RecordCrossing(to, reason, len(c.body))
	if resp == nil {
		return func() {}
	}
	body := &countingReader{Reader: resp.Body}
	resp.Body = body
	return func() { c.HallTraffic.RecordCrossingResponse(body.n) }
}

// countForwarded counts a request that was forwarded to a node, if that is in another hall.
func (c *call) countForwarded(p forwarding.Peer, resp *direct.Response) (done func()) {
	if p.Hall == c.Hall {
		return func() {}
	}
	return c.countCrossing(p.Hall, CrossHallForwarded, resp)
}
