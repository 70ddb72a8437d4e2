// Package direct sends an HTTP/1.1 request over one connection and reads its
// response. It never retries a request. It keeps idle connections for later
// requests, reports whether a failed request may have reached the server, and
// never returns a response that belongs to another request.
package direct

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/troutmast/troutmast/internal/tcpstate"
)

// Errors that Pool.Do returns.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("direct: request not sent")
	// ErrNoResponse means that the request may have reached the server but no response was received.
	ErrNoResponse = errors.New("direct: no response received")
	// ErrInvalidResponse means that the server sent bytes that are no response, or more than a response may have before its
	// body. Reading a body returns it, too.
	ErrInvalidResponse = errors.New("direct: invalid response")
)

// Limits on what is read before the body of a response.
const (
	// MaxHeadBytes is the maximum size of the head of a response, with the informational responses before it.
	MaxHeadBytes = 64 << 10
	// maxInformational is the maximum number of informational responses before a response.
	maxInformational = 32
	// maxSkippedResponses is the number of responses to other requests that are skipped before the
	// connection is closed, maxSkippedBytes the maximum length of such a response.
	maxSkippedResponses = 2
	maxSkippedBytes     = 4 << 20
)

// The reasons for which a response is invalid, beside those of net/http.
var (
	errHeadTooLarge     = fmt.Errorf("head exceeds %d bytes", MaxHeadBytes)
	errInformational    = fmt.Errorf("more than %d informational responses", maxInformational)
	errOtherRequest     = errors.New("response belongs to another request")
	errSkippedResponses = errors.New("too many responses, or too large ones, to other requests")
)

// Request is an HTTP request to send.
type Request struct {
	Method string
	// URI is the request target as written in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the request has a body, even an empty one.
	HasBody bool
	// ID is the ID that the server repeats in its response, from which ResponseID reads it. Responses with another ID are
	// skipped. If ResponseID is nil, the next response counts. A connection carries one request with an ID at most, so that
	// the late copy of a response to an earlier send never has the ID that is expected.
	ID         string
	ResponseID func(http.Header) string
	// Trace, if set, is filled in by Do, also if Do fails.
	Trace *Trace
	// RequireFreshConn requires a connection that is new or has been idle for at most maxFreshIdle.
	RequireFreshConn bool
	// BeforeSend, if set, is called once the connection is established, right before the first byte is
	// sent, since its result may change during a slow dial. If it returns an error, the request is
	// not sent and Do returns ErrNotSent.
	BeforeSend func() error
	// WriteTimeout, if positive, is the time after which sending fails if the server takes no further byte.
	WriteTimeout time.Duration
}

// maxTracedID is the number of bytes of an ID that a Trace holds. Callers and servers may send long ones.
const maxTracedID = 64

// shortID returns the beginning of an ID. It does not keep the rest in memory.
func shortID(id string) string { return strings.Clone(id[:min(len(id), maxTracedID)]) }

// Trace describes the connection of an exchange. Its IDs are cut after maxTracedID bytes.
type Trace struct {
	// Exchanges is the number of exchanges that the connection carried before, 0 on a new one.
	Exchanges int
	// PreviousID is the Request.ID of the last of them.
	PreviousID string
	// Skipped are the IDs of the responses to other requests that were skipped.
	Skipped []string
}

// Response is a response whose body has not been read yet. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64

	conn         *conn
	pool         *Pool
	inner        *http.Response
	stop         func() bool
	bodyComplete bool
	// lingers is set once CloseAndCheck closes the connection.
	lingers bool
}

// Do sends a request and reads the status line and the headers of its response.
// Cancelling ctx aborts the exchange, also while the body is being read.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	id := newRequestID(r.ID)
	c, err := p.get(ctx, addr, id, r.RequireFreshConn)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := r.runCheck(); err != nil {
		c.setIdleTimeout("")
		p.put(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	trace := r.trace()
	trace.Exchanges, trace.PreviousID = len(c.carried), c.lastID
	c.carried, c.lastID = append(c.carried, id), shortID(r.ID)
	stop := context.AfterFunc(ctx, c.abort)
	req := r.httpRequest()
	c.writeTimeout = r.WriteTimeout
	err = c.send(req, r.URI)
	if err != nil {
		stop()
		p.discard(c)
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	resp, err := c.readResponse(req, r, trace) //nolint:bodyclose // Response.Close ends the exchange
	if err != nil {
		stop()
		p.discard(c)
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: c, pool: p, inner: resp, stop: stop}
	out.Body = &bodyReader{r: out}
	return out, nil
}

// runCheck returns the error of BeforeSend, or nil if BeforeSend is not set.
func (r *Request) runCheck() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// trace returns where Do describes the connection.
func (r *Request) trace() *Trace {
	if r.Trace == nil {
		return &Trace{}
	}
	return r.Trace
}

// httpRequest returns the request as an *http.Request.
func (r *Request) httpRequest() *http.Request {
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Opaque: r.URI},
		Host:          r.Host,
		Header:        r.Header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(r.Body)),
	}
	if _, hasUserAgent := r.Header["User-Agent"]; !hasUserAgent {
		r.Header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	} else if r.HasBody {
		req.Body = http.NoBody
	}
	return req
}

// send writes a request with a target and flushes the buffer.
func (c *conn) send(req *http.Request, target string) error {
	c.wrote = true
	var w io.Writer = c.bw
	if strings.HasPrefix(target, "//") {
		w = &requestLineWriter{w: c.bw, line: req.Method + " " + target + " HTTP/1.1\r\n"}
	}
	if err := req.Write(w); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readResponse reads the head of the response to a request. It skips informational
// responses and responses to other requests.
func (c *conn) readResponse(req *http.Request, r *Request, trace *Trace) (*http.Response, error) {
	for {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if r.ResponseID == nil {
			return resp, nil
		}
		id := r.ResponseID(resp.Header)
		switch {
		case id == r.ID:
			return resp, nil
		case resp.Close || resp.ContentLength < 0:
			return nil, errOtherRequest
		case len(trace.Skipped) == maxSkippedResponses || resp.ContentLength > maxSkippedBytes:
			return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, errSkippedResponses)
		}
		trace.Skipped = append(trace.Skipped, shortID(id))
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of the next response that is not informational.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.inHead, c.headLeft = true, MaxHeadBytes
	defer func() { c.inHead = false }()
	for informational := 0; ; informational++ {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, c.readFault(err)
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		switch {
		case IsFinalStatus(resp.StatusCode):
			return resp, nil
		case informational == maxInformational:
			return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, errInformational)
		}
	}
}

// readFault returns the error of reading a response. It is ErrInvalidResponse unless the connection failed.
func (c *conn) readFault(err error) error {
	if c.readErr != nil && !errors.Is(c.readErr, errHeadTooLarge) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
}

// headReader reads from a connection and fails once a head exceeds its limit.
type headReader struct{ c *conn }

// Read implements io.Reader.
func (r headReader) Read(p []byte) (int, error) {
	c := r.c
	if c.inHead && c.headLeft <= 0 {
		c.readErr = errHeadTooLarge
		return 0, errHeadTooLarge
	}
	if c.inHead {
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Read(p)
	c.headLeft -= n
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// bodyReader reads a body and records that its end was reached.
type bodyReader struct{ r *Response }

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.inner.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.r.bodyComplete = true
	case err != nil:
		err = b.r.conn.readFault(err)
	}
	return n, err
}

// IsFramed reports whether the end of the body is known from a content length or a transfer encoding,
// not only from the end of the connection.
func (r *Response) IsFramed() bool { return r.Length >= 0 || len(r.inner.TransferEncoding) > 0 }

// Close ends the exchange. The connection returns to the pool if the complete response was read;
// otherwise it is closed.
func (r *Response) Close() {
	if r.lingers {
		return
	}
	notCancelled := r.stop()
	if !notCancelled || !r.bodyComplete || r.inner.Close || r.conn.br.Buffered() > 0 {
		r.pool.discard(r.conn)
		return
	}
	r.conn.setIdleTimeout(r.Header.Get("Keep-Alive"))
	r.pool.put(r.conn)
}

// checkTime is how long CloseAndCheck waits for data after its delay.
const checkTime = 100 * time.Millisecond

// CloseAndCheck ends the exchange like Close, but closes the connection in the background. It calls report with whether the
// server sends data after a delay, within checkTime. Data that arrived before and is read late does not count.
func (r *Response) CloseAndCheck(delay time.Duration, report func(stillSending bool)) {
	r.stop()
	r.lingers = true
	c, from := r.conn, time.Now().Add(delay)
	c.linger(from.Add(checkTime))
	go func() {
		defer r.pool.discard(c)
		buf := make([]byte, bufferSize)
		for {
			n, err := c.Read(buf)
			if n > 0 && c.lastDataAt().After(from) {
				report(true)
				return
			}
			if err != nil {
				report(false)
				return
			}
		}
	}()
}

// lastDataAt returns when the last data of the server arrived, or the current time if the system does not tell.
func (c *conn) lastDataAt() time.Time {
	age, _ := tcpstate.Of(c.Conn).SinceData()
	return time.Now().Add(-age)
}

// SetReadDeadline sets the time after which reading the body fails.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Abort ends the exchange at once: a read in progress fails. It may be called from another
// goroutine.
func (r *Response) Abort() { r.conn.abort() }

// bufferSize is the size of the read buffer and of the write buffer of a connection, in bytes.
const bufferSize = 4096

// initBuffers allocates the buffers of a connection.
func (c *conn) initBuffers() {
	c.br = bufio.NewReaderSize(headReader{c}, bufferSize)
	c.bw = bufio.NewWriterSize(timedWriter{c}, bufferSize)
}
