package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/direct"
)

// stream is the progress of a streamed response.
type stream struct {
	// begun reports whether the head of the response has been written to the caller.
	begun bool
	// lastEvent is the ID of the last event accepted for the caller.
	lastEvent string
	// moved is when events were last written to the caller.
	moved  time.Time
	events int
	// firstAfter is the time from the arrival of the request to its first event.
	firstAfter time.Duration
	// longestGap is the longest time between two writes of events to the caller.
	longestGap time.Duration
}

// errOrder means that an instance repeated an event or sent it out of order.
var errOrder = errors.New("gateway: events out of order")

// readSize is the size of one read of a stream, in bytes.
const readSize = 4096

// relay forwards the events of a stream to the caller. It forwards complete events only, except
// for a remainder at the end of a framed response.
func (c *call) relay(ctx context.Context, target *dispatch.Candidate, resp *direct.Response, w *watched, sent time.Time) result {
	var pending []byte
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			now := c.Clock.Now()
			w.move(now)
			c.hold.Started()
			pending = append(pending, buf[:n]...)
			rest, fault := c.pass(pending, resp, now)
			if fault != nil {
				return c.broken(ctx, target, sent, fault)
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case err == io.EOF && len(pending) > 0 && !resp.Framed():
			return c.broken(ctx, target, sent, io.ErrUnexpectedEOF)
		case err == io.EOF:
			c.answeredBy(target, resp)
			return c.finish(resp, pending)
		case err != nil:
			return c.broken(ctx, target, sent, err)
		}
	}
}

// broken handles a stream that ended early and returns the result of its attempt.
func (c *call) broken(ctx context.Context, target *dispatch.Candidate, sent time.Time, err error) result {
	if errors.Is(err, errCaller) {
		return callerGone
	}
	return c.lost(ctx, target, sent, err)
}

// errCaller means that writing to the caller failed.
var errCaller = errors.New("gateway: write to the caller failed")

// pass writes the complete events at the start of pending to the caller and returns the rest.
func (c *call) pass(pending []byte, resp *direct.Response, now time.Time) ([]byte, error) {
	end, fault := c.take(pending)
	if end == 0 {
		return pending, fault
	}
	c.begin(resp)
	if _, err := c.w.Write(pending[:end]); err != nil {
		return nil, errCaller
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return nil, errCaller
	}
	if !c.moved.IsZero() {
		c.longestGap = max(c.longestGap, now.Sub(c.moved))
	}
	c.moved = now
	return pending[end:], fault
}

// take returns the length of the complete events at the start of pending. It stops with errOrder
// before an event whose ID is not after that of the previous event.
func (c *call) take(pending []byte) (int, error) {
	end := 0
	for {
		n := eventEnd(pending[end:])
		if n == 0 {
			return end, nil
		}
		if id := eventID(pending[end : end+n]); id != "" {
			if c.events > 0 && !follows(c.lastEvent, id) {
				return end, errOrder
			}
			c.lastEvent = id
		}
		c.events++
		end += n
	}
}

// begin writes the head of the stream if it has not been written yet.
func (c *call) begin(resp *direct.Response) {
	if c.begun {
		return
	}
	c.begun = true
	c.firstAfter = c.Clock.Since(c.arrived)
	c.Recorder.Time("first-event", c.firstAfter)
	c.head(resp.Status, c.toCaller(resp), -1)
}

// finish completes a stream whose last byte has been read.
func (c *call) finish(resp *direct.Response, rest []byte) result {
	c.begin(resp)
	if len(rest) > 0 {
		_, _ = c.w.Write(rest)
	}
	return answered
}

// eventEnd returns the length of the first complete event, or 0 if there is none.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	}
	return 0
}

// eventID returns the ID of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows reports whether an event ID comes after another. IDs that are not numbers are not
// compared: they always count as following.
func follows(before, id string) bool {
	a, errA := strconv.ParseInt(before, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
