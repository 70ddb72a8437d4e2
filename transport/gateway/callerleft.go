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
	// unread is how long the last bytes of the request waited in the socket buffer, to the millisecond; 0 if unknown.
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

// setDeadline sets the deadline of a request from the caller's time-out, which begins when the request arrives in the socket buffer.
func (c *call) setDeadline(timeout time.Duration) { c.deadline = c.arrivedAt.Add(timeout - c.unread) }

// recordCallerLeft counts and logs that the caller has left.
func (c *call) recordCallerLeft() {
	c.Recorder.Count("caller-left")
	c.Recorder.LogDecision(&event.CallerLeft{Request: c.eventRequest(), Progress: c.eventProgress(), When: cmp.Or(c.leftWhen, event.Waiting), Begun: c.headerWritten})
}

// checkCaller returns errCallerGone if the caller has closed its connection. The context of the request is cancelled only once the HTTP
// server has read the end of the connection, which after a freeze is later than the send. A caller that closed a connection whose request
// was unread may repeat it at another node, even one that must not run twice.
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
