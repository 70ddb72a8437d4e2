package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/troutmast/troutmast/protocol/direct"
)

// responseSource is the sender of a response that is relayed to the caller.
type responseSource interface {
	// beginWait begins a wait for data of a stream, endWait ends it with its error. endWait reports whether the response has
	// been handed over meanwhile.
	beginWait()
	endWait(err error) (handedOver bool)
	// dataReceived records that data of a stream arrived.
	dataReceived(now time.Time)
	// completed records that the complete response arrived.
	completed(resp *direct.Response)
	// lost records that the response broke off, and returns the result of the attempt.
	lost(ctx context.Context, err error) attemptResult
}

// Limits on what is read of the body of a refusal, so that its connection can be used again.
const (
	maxDrainedBytes = 64 << 10
	drainTimeout    = 100 * time.Millisecond
)

// drain reads the rest of a response that is not forwarded.
func drain(resp *direct.Response) {
	resp.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainedBytes))
	resp.SetReadDeadline(time.Time{})
}

// maxBufferedBytes is the size up to which a response is buffered before it is forwarded, in bytes.
const maxBufferedBytes = 1 << 20

// bufferedResponse is a response whose body has been read up to maxBufferedBytes.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered buffers a response and forwards it. A server error is kept in c.lastFailure
// instead, since the request may be retried. Nothing is forwarded if a stream has begun.
func (c *call) relayBuffered(ctx context.Context, src responseSource, resp *direct.Response) attemptResult {
	body, err := c.readResponse(resp.Body)
	if err != nil {
		c.checkOverdue(src, resp)
		return src.lost(ctx, err)
	}
	p := &bufferedResponse{status: resp.Status, header: c.callerHeaders(resp), body: body}
	if resp.Status >= http.StatusInternalServerError {
		src.completed(resp)
		if c.headerWritten {
			return resultUnknown
		}
		if len(body) < maxBufferedBytes {
			c.lastFailure = p // a part of a longer body would look complete
		}
		return resultFailed
	}
	if c.headerWritten {
		return resultUnknown
	}
	if len(body) == maxBufferedBytes {
		return c.relayLarge(ctx, src, resp, p)
	}
	src.completed(resp)
	p.writeTo(c)
	return resultAnswered
}

// writeTo forwards the response to the caller.
func (p *bufferedResponse) writeTo(c *call) {
	c.releaseResponse()
	c.writeHeader(p.status, p.header, int64(len(p.body)))
	_, _ = c.w.Write(p.body)
	c.hasResponded = true
}

// writeHeader writes the head of a response. A length of -1 means unknown.
func (c *call) writeHeader(status int, header http.Header, length int64) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	c.setForwardResult(forwardResult{})
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

// relayLarge forwards a response that is too large to be buffered as a whole.
func (c *call) relayLarge(ctx context.Context, src responseSource, resp *direct.Response, p *bufferedResponse) attemptResult {
	c.writeHeader(p.status, p.header, resp.Length)
	c.headerWritten = true
	c.releaseResponse()
	if _, err := c.w.Write(p.body); err != nil {
		c.checkOverdue(src, resp)
		return resultCallerGone
	}
	if _, err := io.Copy(c.w, resp.Body); err != nil {
		c.checkOverdue(src, resp)
		if c.r.Context().Err() != nil {
			return resultCallerGone
		}
		src.lost(ctx, err)
		panic(http.ErrAbortHandler)
	}
	src.completed(resp)
	c.hasResponded = true
	return resultAnswered
}
