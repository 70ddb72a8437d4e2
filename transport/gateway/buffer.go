package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/troutmast/troutmast/coordination/buffering"
	"github.com/troutmast/troutmast/internal/tcpstate"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/transport/event"
)

// errEventSize means that an instance sent an event that exceeds the bound of a stream, and probably never ends.
var errEventSize = fmt.Errorf("%w: event exceeds the bound of a stream", direct.ErrInvalidResponse)

// errMemory means that a request body was not read because the node holds as many bytes as it may.
var errMemory = errors.New("gateway: no memory for the request body")

// bufferState is the part of a call that concerns the bytes that the node holds for it. All fields are zero if the node has no
// bound on these.
type bufferState struct {
	account *buffering.Account
	// endRequest ends the context of the request.
	endRequest context.CancelFunc
	// conn is the caller's connection, or nil if it was not accepted by a listener of WrapListener.
	conn *callerConn
	// responseBytes and pendingBytes are the bytes counted for a buffered response and for an incomplete event.
	responseBytes int64
	pendingBytes  int64
}

// callerListener accepts connections whose writes are buffered.
type callerListener struct {
	net.Listener
	gateway *Gateway
}

// WrapListener returns a listener for callers whose unread responses are buffered, or ln itself if the node has no bound on
// the bytes that it holds.
func (g *Gateway) WrapListener(ln net.Listener) net.Listener {
	if g.Buffers == nil {
		return ln
	}
	return &callerListener{ln, g}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c, err := newCallerConn(tcp, l.gateway.Buffers.Policy(), l.gateway.recordIdleConn)
	if err != nil {
		return conn, nil //nolint:nilerr // the connection has already ended, which its first read reports
	}
	return c, nil
}

// callerConnKey is the key of the caller's connection in the context of its requests.
type callerConnKey struct{}

// ConnContext adds the connection and its state to the context of its requests. It is meant for http.Server.ConnContext.
func (g *Gateway) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = tcpstate.NewContext(ctx, conn)
	if c, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	return ctx
}

// recordIdleConn records that a connection without a call in progress was closed because its caller reads nothing.
func (g *Gateway) recordIdleConn(remote net.Addr) {
	g.Recorder.Count("buffer.cut." + string(buffering.Idle))
	g.Recorder.LogDecision(&event.ReaderCut{Caller: remote.String(), Reason: string(buffering.Idle), NodeBytes: g.Buffers.Bytes()})
}

// beginBuffering opens the account of the call. endBuffering must be called when the call has ended.
func (c *call) beginBuffering() {
	if c.Buffers == nil {
		return
	}
	ctx, cancel := context.WithCancel(c.r.Context())
	c.r, c.endRequest = c.r.WithContext(ctx), cancel
	c.conn, _ = ctx.Value(callerConnKey{}).(*callerConn)
	c.account = c.Buffers.Open(func(cut buffering.Cut) {
		cancel()
		if c.conn != nil {
			c.conn.cut()
		}
		c.recordCut(cut)
	})
	if c.conn != nil {
		c.conn.begin(ctx, cancel, c.account)
	}
}

// endBuffering waits until the caller has been sent the response, and closes the account.
func (c *call) endBuffering() {
	if c.account == nil {
		return
	}
	c.body = nil
	c.account.ReleaseRequest()
	if c.conn != nil && c.isGone {
		c.conn.fail(errCallerGone) // a caller that only closed its side must not see the end of an incomplete response
	}
	if c.conn != nil {
		c.conn.end()
	}
	c.account.Close()
	c.endRequest()
}

// recordCut counts and logs that the caller was cut off.
func (c *call) recordCut(cut buffering.Cut) {
	c.Recorder.Count("buffer.cut." + string(cut.Reason))
	c.Recorder.LogDecision(&event.ReaderCut{
		Request: c.eventRequest(), Caller: c.r.RemoteAddr, Origin: c.origin, Route: c.routeName(), Model: c.model,
		Reason: string(cut.Reason), Unread: cut.Unread, NodeBytes: cut.NodeBytes, Took: c.Clock.Since(c.arrivedAt),
	})
}

// memoryRefusal returns the refusal of a request whose body the node cannot hold. An earlier build that forwarded the request
// knows only CodeForwardLimit, which guarantees the same.
func (c *call) memoryRefusal() *refusal {
	code := CodeMemory
	if c.origin != "" {
		code = CodeForwardLimit
	}
	return refusalWithRetryAfter(code, c.Policy.OverloadRetryAfter)
}

// countedRequest returns a reader of the request body that counts it in the account. Reading fails with errMemory if the node
// cannot hold more.
func (c *call) countedRequest(body io.Reader) io.Reader {
	if c.account == nil {
		return body
	}
	return readerFunc(func(p []byte) (int, error) {
		n, err := body.Read(p)
		if n > 0 && !c.account.TryAddRequest(int64(n)) {
			return 0, errMemory
		}
		return n, err
	})
}

// readResponse reads a response up to maxBufferedBytes and counts it in the account. The counts of earlier responses end, except for
// that of the last failure, which the call keeps.
func (c *call) readResponse(body io.Reader) ([]byte, error) {
	in := io.LimitReader(body, maxBufferedBytes)
	if c.account == nil {
		return io.ReadAll(in)
	}
	kept := int64(0)
	if c.lastFailure != nil {
		kept = int64(len(c.lastFailure.body))
	}
	c.account.ReleaseUnread(c.responseBytes - kept)
	c.responseBytes = kept
	return io.ReadAll(readerFunc(func(p []byte) (int, error) {
		n, err := in.Read(p)
		c.responseBytes += int64(n)
		if n > 0 && !c.account.AddUnread(int64(n)) {
			return n, errReaderCut
		}
		return n, err
	}))
}

// releaseResponse ends the count of the buffered response, right before it is written to the caller.
func (c *call) releaseResponse() {
	if c.responseBytes > 0 {
		c.account.ReleaseUnread(c.responseBytes)
		c.responseBytes = 0
	}
}

// countPending counts the n bytes of an incomplete event in the account, unless they fit into one read.
func (c *call) countPending(n int) error {
	if c.account == nil || n <= streamReadSize && c.pendingBytes == 0 {
		return nil
	}
	grown := int64(n) - c.pendingBytes
	c.pendingBytes = int64(n)
	if grown <= 0 {
		c.account.ReleaseUnread(-grown)
		return nil
	}
	if !c.account.AddUnread(grown) {
		return errCallerWrite
	}
	if n > c.Buffers.Policy().StreamBytes {
		return errEventSize
	}
	return nil
}

// instanceWriteTimeout returns the time without progress after which a write to an instance fails. 0 means no time-out.
func (c *call) instanceWriteTimeout() time.Duration {
	if c.Buffers == nil {
		return 0
	}
	return c.Buffers.Policy().InstanceWriteTimeout
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
