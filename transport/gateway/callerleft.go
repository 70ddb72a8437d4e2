package gateway

import (
	"cmp"
	"errors"
	"time"

	"github.com/troutmast/troutmast/internal/tcpstate"
	"github.com/troutmast/troutmast/transport/event"
)

// errCallerGone means that the caller left before its response was complete.
var errCallerGone = errors.New("gateway: caller left")

// callerState is the part of a call that concerns its caller's connection, which is that of another node for a forwarded request.
type callerState struct {
	socket *tcpstate.Conn
	// unread is how long the end of the request lay in the socket before it was read, to the millisecond; 0 if that is not known.
	unread time.Duration
	// isGone reports whether the caller left before its response was complete, leftWhen where the request was then.
	isGone   bool
	leftWhen event.Stage
}

// recordRead records that the request has been read.
func (c *call) recordRead() {
	age, _ := c.socket.SinceData()
	c.unread = max(age-c.Clock.Since(c.arrivedAt), 0)
}

// setDeadline sets the deadline of a request that its caller has sent with a time-out. The time-out has begun when the request arrived in
// the socket, which is before the node has read it.
func (c *call) setDeadline(timeout time.Duration) { c.deadline = c.arrivedAt.Add(timeout - c.unread) }

// recordCallerLeft counts and logs that the caller has left.
func (c *call) recordCallerLeft() {
	c.Recorder.Count("caller-left")
	c.Recorder.LogDecision(&event.CallerLeft{Request: c.eventRequest(), Progress: c.eventProgress(), When: cmp.Or(c.leftWhen, event.Waiting), Begun: c.headerWritten})
}

// checkCaller returns errCallerGone if the caller has closed its connection. The context of the request ends only when the HTTP server has
// read that far, which is too late for a node that stood still: it reads a request and the end of its connection at the same time. A
// caller may send a request elsewhere that the node had not read, even one that must not run twice.
func (c *call) checkCaller() error {
	if c.socket.HasPeerClosed() {
		return errCallerGone
	}
	return nil
}

// leaveBeforeSend returns the result of an attempt that was not sent because the caller had left.
func (c *call) leaveBeforeSend() attemptResult {
	c.leftWhen = event.BeforeSend
	return resultCallerGone
}
