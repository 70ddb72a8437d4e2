package gateway

import (
	"time"

	"github.com/troutmast/troutmast/internal/tcpstate"
	"github.com/troutmast/troutmast/transport/event"
)

// callerState is the part of a call that concerns its caller's connection, which is that of another node for a forwarded request.
type callerState struct {
	socket *tcpstate.Conn
	// unread is how long the end of the request lay in the socket before it was read.
	unread time.Duration
}

// recordRead records that the request has just been read.
func (c *call) recordRead() { c.unread, _ = c.socket.SinceData() }

// recordCallerLeft counts and logs that the caller has left.
func (c *call) recordCallerLeft(when event.Stage) {
	c.Recorder.Count("caller-left")
	c.Recorder.LogDecision(&event.CallerLeft{Request: c.eventRequest(), Progress: c.eventProgress(), When: when, Begun: c.headerWritten})
}

// noteCallerLeft logs that a request is sent whose caller has left.
func (c *call) noteCallerLeft() {
	if c.socket.HasPeerClosed() {
		c.recordCallerLeft(event.BeforeSend)
	}
}
