package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/troutmast/troutmast/protocol/direct"
)

// streamProgress is the progress of a streamed response.
type streamProgress struct {
	// headerWritten reports whether the head of the response has been written to the caller.
	headerWritten bool
	// lastEventID is the ID of the last event accepted for the caller.
	lastEventID string
	// lastWriteAt is when events were last written to the caller.
	lastWriteAt time.Time
	eventCount  int
	// firstEventLatency is the time from the arrival of the request to its first event.
	firstEventLatency time.Duration
	// maxEventGap is the longest time between two writes of events to the caller.
	maxEventGap time.Duration
}

// errEventOrder means that an instance repeated an event or sent it out of order.
var errEventOrder = errors.New("gateway: events out of order")

const (
	// streamReadSize is the size of one read of a stream, in bytes.
	streamReadSize = 4096
	// maxEventBytes is the maximum size of an event. An event holds a few tokens.
	maxEventBytes = 1 << 20
)

// relayStream forwards the events of a stream to the caller. It forwards complete events only,
// except for a framed response of another content type.
func (c *call) relayStream(ctx context.Context, src responseSource, resp *direct.Response) attemptResult {
	var pending []byte
	eventsBefore := c.eventCount
	buf := make([]byte, streamReadSize)
	for {
		src.beginWait()
		n, err := resp.Body.Read(buf)
		if src.endWait(waitError(n, err, c.endsEarly(resp, pending, eventsBefore))) {
			return resultHandedOver
		}
		if n > 0 {
			now := c.Clock.Now()
			src.dataReceived(now)
			pending = append(pending, buf[:n]...)
			rest, forwardErr := c.forwardEvents(pending, resp, now)
			if forwardErr == nil && len(rest) > maxEventBytes {
				forwardErr = errEventSize
			}
			if forwardErr == nil {
				forwardErr = c.countPending(len(rest))
			}
			if forwardErr != nil {
				return handleBrokenStream(ctx, src, forwardErr)
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case err == io.EOF && c.endsEarly(resp, pending, eventsBefore):
			return handleBrokenStream(ctx, src, io.ErrUnexpectedEOF)
		case err == io.EOF:
			src.completed(resp)
			return c.finishStream(resp, pending)
		case err != nil:
			return handleBrokenStream(ctx, src, err)
		}
	}
}

// endsEarly reports whether an end of the response now would break off the stream: inside an event, whether the response has a length, chunks
// or neither, since an instance may stop there. An unframed response is broken off before its first event, too, unless the caller
// resumes the stream and so may have all of its events.
func (c *call) endsEarly(resp *direct.Response, pending []byte, eventsBefore int) bool {
	if resp.IsFramed() {
		return isEventStream(resp) && len(bytes.TrimSpace(pending)) > 0
	}
	isEmpty := c.eventCount == eventsBefore && c.claims.LastEventID == ""
	return len(pending) > 0 || isEmpty
}

// isEventStream reports whether a response has the content type of a series of events.
func isEventStream(resp *direct.Response) bool {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// waitError returns the error of a read of a stream, or nil if the instance has sent data or the end of the stream.
// isTruncated reports whether an end now would be in the middle of an event.
func waitError(n int, err error, isTruncated bool) error {
	if n > 0 || errors.Is(err, io.EOF) && !isTruncated {
		return nil
	}
	return err
}

// handleBrokenStream handles a stream that ended early and returns the result of its attempt.
func handleBrokenStream(ctx context.Context, src responseSource, err error) attemptResult {
	if errors.Is(err, errCallerWrite) {
		return resultCallerGone
	}
	return src.lost(ctx, err)
}

// errCallerWrite means that writing to the caller failed.
var errCallerWrite = errors.New("gateway: write to the caller failed")

// forwardEvents writes the complete events at the start of pending to the caller and returns the
// rest.
func (c *call) forwardEvents(pending []byte, resp *direct.Response, now time.Time) ([]byte, error) {
	end, orderErr := c.scanEvents(pending)
	if end == 0 {
		return pending, orderErr
	}
	c.writeStreamHeader(resp)
	if _, err := c.w.Write(pending[:end]); err != nil {
		return nil, errCallerWrite
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return nil, errCallerWrite
	}
	if !c.lastWriteAt.IsZero() {
		c.maxEventGap = max(c.maxEventGap, now.Sub(c.lastWriteAt))
	}
	c.lastWriteAt = now
	return pending[end:], orderErr
}

// scanEvents returns the length of the complete events at the start of pending. It stops with
// errEventOrder before an event whose ID is not after that of the previous event.
func (c *call) scanEvents(pending []byte) (int, error) {
	end := 0
	for {
		n := firstEventLength(pending[end:])
		if n == 0 {
			return end, nil
		}
		if id := parseEventID(pending[end : end+n]); id != "" {
			if c.eventCount > 0 && !isAfterEventID(c.lastEventID, id) {
				return end, errEventOrder
			}
			c.lastEventID = id
		}
		c.eventCount++
		end += n
	}
}

// writeStreamHeader writes the head of the stream if it has not been written yet.
func (c *call) writeStreamHeader(resp *direct.Response) {
	if c.headerWritten {
		return
	}
	c.headerWritten = true
	c.firstEventLatency = c.Clock.Since(c.arrivedAt)
	c.Recorder.ObserveDuration("first-event", c.firstEventLatency)
	c.writeHeader(resp.Status, c.callerHeaders(resp), -1)
}

// finishStream completes a stream whose last byte has been read.
func (c *call) finishStream(resp *direct.Response, rest []byte) attemptResult {
	c.writeStreamHeader(resp)
	if len(rest) > 0 {
		_, _ = c.w.Write(rest)
	}
	c.hasResponded = true
	return resultAnswered
}

// firstEventLength returns the length of the first complete event, or 0 if there is none.
func firstEventLength(b []byte) int {
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

// parseEventID returns the ID of an event, or an empty string if it has none.
func parseEventID(event []byte) string {
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

// isAfterEventID reports whether an event ID comes after another. IDs that are not numbers are not
// compared: they always count as following.
func isAfterEventID(prev, id string) bool {
	a, errA := strconv.ParseInt(prev, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
