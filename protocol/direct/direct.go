// Package direct sends one HTTP/1.1 request over one connection and reads its
// answer, without ever sending it a second time. It keeps connections for later
// requests, reports whether a failed request can have arrived, and lets out no
// answer that belongs to another request.
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
)

// The errors of an exchange.
var (
	// ErrUnsent means that no byte of the request left.
	ErrUnsent = errors.New("direct: not sent")
	// ErrUnknown means that the request may have arrived, and no answer to it did.
	ErrUnknown = errors.New("direct: no answer")
)

// maxForeign is how many answers to other requests are read past before a connection is given up.
const maxForeign = 2

// Request is one request to send.
type Request struct {
	Method string
	// URI is the request's target as it stands in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells that the request has a body, if an empty one.
	HasBody bool
	// Match reports whether an answer belongs to the request.
	Match func(http.Header) bool
	// Fresh asks for a connection that has not rested for longer than a moment.
	Fresh bool
	// Check, if set, is called once a connection is there, right before the first byte leaves:
	// a dial may take long. Its error keeps the request from being sent, as ErrUnsent.
	Check func() error
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, or -1 when it is not told.
	Length int64

	conn  *conn
	pool  *Pool
	inner *http.Response
	stop  func() bool
	whole bool
}

// Do sends a request and reads the head of its answer. Ending ctx ends the
// exchange, also while the body is read.
func (p *Pool) Do(ctx context.Context, at netip.AddrPort, r *Request) (*Response, error) {
	c, err := p.get(ctx, at, r.Fresh)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	if err := r.check(); err != nil {
		c.rest("")
		p.put(c)
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, c.kill)
	req := r.http()
	err = c.send(req)
	if err != nil {
		stop()
		p.drop(c)
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	resp, err := c.answer(req, r.Match) //nolint:bodyclose // Response.Close ends the exchange
	if err != nil {
		stop()
		p.drop(c)
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: c, pool: p, inner: resp, stop: stop}
	out.Body = &bodyReader{r: out}
	return out, nil
}

// check reports why the request must not be sent now, or nil.
func (r *Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

// http returns the request as net/http writes it.
func (r *Request) http() *http.Request {
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
	if strings.HasPrefix(r.URI, "//") {
		req.URL = &url.URL{Path: r.URI}
	}
	if _, named := r.Header["User-Agent"]; !named {
		r.Header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	} else if r.HasBody {
		req.Body = http.NoBody
	}
	return req
}

// send writes a request as a whole.
func (c *conn) send(req *http.Request) error {
	c.wrote = true
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// answer reads the head of the request's own answer, reading past answers to others.
func (c *conn) answer(req *http.Request, match func(http.Header) bool) (*http.Response, error) {
	for foreign := 0; ; {
		resp, err := http.ReadResponse(c.br, req)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < http.StatusOK:
			continue
		case match == nil || match(resp.Header):
			return resp, nil
		case foreign == maxForeign || resp.Close || resp.ContentLength < 0:
			return nil, errors.New("answer to another request")
		}
		foreign++
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

// bodyReader reads a body and notes its end.
type bodyReader struct{ r *Response }

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.inner.Body.Read(p)
	if err == io.EOF {
		b.r.whole = true
	}
	return n, err
}

// Framed reports whether the answer itself says where it ends, apart from the end of its connection.
func (r *Response) Framed() bool { return r.Length >= 0 || len(r.inner.TransferEncoding) > 0 }

// Close ends the exchange. The connection is kept if the whole answer was read, else it is cut.
func (r *Response) Close() {
	undisturbed := r.stop()
	if !undisturbed || !r.whole || r.inner.Close || r.conn.br.Buffered() > 0 {
		r.pool.drop(r.conn)
		return
	}
	r.conn.rest(r.Header.Get("Keep-Alive"))
	r.pool.put(r.conn)
}

// ReadDeadline lets reading of the body fail at a time.
func (r *Response) ReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Cut ends the exchange from another goroutine: what is being read fails at once.
func (r *Response) Cut() { r.conn.kill() }

// readerSize is the size of a connection's buffers, in bytes.
const readerSize = 4096

// newBuffers gives a connection its buffers.
func (c *conn) newBuffers() {
	c.br = bufio.NewReaderSize(c.Conn, readerSize)
	c.bw = bufio.NewWriterSize(c.Conn, readerSize)
}
