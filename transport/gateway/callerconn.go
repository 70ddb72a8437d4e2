package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/troutmast/troutmast/coordination/buffering"
)

// errReaderCut means that the caller was cut off because it reads too slowly.
var errReaderCut = errors.New("gateway: caller cut off: it reads too slowly")

// chunkSize is the least capacity of a chunk of unread bytes, in bytes. Events are much smaller.
const chunkSize = 4096

// maxKeptWrite is the size of the largest write of unread bytes, in bytes. They count as unread until the write has ended.
const maxKeptWrite = 16 << 10

// waitParts is the number of parts of a wait after which a caller is cut off. A node that was frozen meanwhile loses one of them, and
// writes what the caller can take in the next.
const waitParts = 4

// callerConn is a caller's connection. While a call is served, Write does not wait for the caller: what the system does not
// take at once is kept, counted in the account of the call, and written by a goroutine that runs only as long as something is
// kept. At other times, Write waits, but no longer than IdleTimeout without progress.
type callerConn struct {
	net.Conn
	raw    syscall.RawConn
	policy buffering.Policy
	// onIdle is called if the connection is closed because a write outside of a call made no progress.
	onIdle func(net.Addr)
	// tried is what rawWrite writes next, and the result of its last write. Guarded by mu.
	tried struct {
		p   []byte
		n   int
		err error
	}
	rawWrite func(fd uintptr) bool
	// progress receives a value when unread bytes were written, or the connection failed.
	progress chan struct{}

	mu sync.Mutex
	// account counts the unread bytes of the current call. It is nil between calls.
	account *buffering.Account
	// cancel ends the current call, done is closed when it has ended.
	cancel context.CancelFunc
	done   <-chan struct{}
	// chunks are the unread bytes, without the chunk that is being written. unread includes that chunk.
	chunks  [][]byte
	unread  int64
	writing bool
	err     error
}

// newCallerConn returns a callerConn for a connection.
func newCallerConn(conn *net.TCPConn, p buffering.Policy, onIdle func(net.Addr)) (*callerConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := conn.SetWriteBuffer(p.SocketBytes); err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, raw: raw, policy: p, onIdle: onIdle, progress: make(chan struct{}, 1)}
	c.rawWrite = c.tryWrite
	return c, nil
}

// tryWrite writes what the system takes of tried.p without waiting.
func (c *callerConn) tryWrite(fd uintptr) bool {
	for {
		c.tried.n, c.tried.err = unix.Write(int(fd), c.tried.p)
		if c.tried.err != unix.EINTR { //nolint:errorlint // a system call returns the plain number
			return true
		}
	}
}

// writeNow writes what the system takes of p without waiting. The caller holds mu, and no goroutine writes.
func (c *callerConn) writeNow(p []byte) (int, error) {
	c.tried.p = p
	err := c.raw.Write(c.rawWrite)
	c.tried.p = nil
	switch {
	case err != nil:
		return 0, err
	case errors.Is(c.tried.err, unix.EAGAIN):
		return 0, nil
	case c.tried.err != nil:
		return 0, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", c.tried.err)}
	}
	return c.tried.n, nil
}

// Write implements net.Conn. Calls of Write must not overlap.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	account, err, n := c.account, c.err, 0
	if err == nil && !c.writing {
		n, err = c.writeNow(p)
	}
	c.mu.Unlock()
	switch {
	case err != nil:
		c.fail(err)
		return n, err
	case n == len(p):
		return n, nil
	case account == nil:
		return c.writeWaiting(p, n)
	}
	if err := c.keep(account, p[n:]); err != nil {
		return n, err
	}
	return len(p), nil
}

// writeWaiting writes what follows the first n bytes of p and waits for the caller. It returns n plus the number of bytes written.
func (c *callerConn) writeWaiting(p []byte, n int) (int, error) {
	for n < len(p) {
		written, err := c.writeStep(p[n:])
		n += written
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.onIdle(c.RemoteAddr())
		}
		if err != nil {
			c.fail(err)
			return n, err
		}
	}
	return n, nil
}

// writeStep writes p, or the part of it that is written within IdleTimeout. The error is os.ErrDeadlineExceeded if that is nothing.
func (c *callerConn) writeStep(p []byte) (int, error) {
	n, err := 0, os.ErrDeadlineExceeded
	for i := 0; i < waitParts && n == 0 && errors.Is(err, os.ErrDeadlineExceeded); i++ {
		if err := c.SetWriteDeadline(time.Now().Add(c.policy.IdleTimeout / waitParts)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Write(p)
	}
	if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n, errors.Join(err, c.SetWriteDeadline(time.Time{}))
}

// keep keeps a copy of p to be written when the caller reads. If the account is full, it waits for the caller to read, for
// StreamWait at most.
func (c *callerConn) keep(account *buffering.Account, p []byte) error {
	if account.IsFull() {
		c.waitForRoom(account)
	}
	if !account.AddUnread(int64(len(p))) {
		return errReaderCut
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		account.ReleaseUnread(int64(len(p)))
		return c.err
	}
	c.unread += int64(len(p))
	if last := len(c.chunks) - 1; last >= 0 && cap(c.chunks[last])-len(c.chunks[last]) >= len(p) {
		c.chunks[last] = append(c.chunks[last], p...)
	} else {
		c.chunks = append(c.chunks, append(make([]byte, 0, max(chunkSize, len(p))), p...))
	}
	if !c.writing {
		c.writing = true
		go c.writeKept(account)
	}
	return nil
}

// waitForRoom waits until the account is not full, and cuts the reader off after StreamWait.
func (c *callerConn) waitForRoom(account *buffering.Account) {
	timer := time.NewTicker(max(c.policy.StreamWait/waitParts, time.Millisecond))
	defer timer.Stop()
	for parts := 0; account.IsFull(); {
		select {
		case <-c.progress:
		case <-c.done:
			return
		case <-timer.C:
			parts++
		}
		if parts == waitParts {
			account.CutFull()
			return
		}
	}
}

// writeKept writes the unread bytes until none are left or the connection fails.
func (c *callerConn) writeKept(account *buffering.Account) {
	for {
		chunk := c.nextChunk()
		if chunk == nil {
			return
		}
		for len(chunk) > 0 {
			n, err := c.writeStep(chunk[:min(len(chunk), maxKeptWrite)])
			chunk = chunk[n:]
			c.release(account, int64(n))
			if errors.Is(err, os.ErrDeadlineExceeded) {
				account.CutIdle()
			}
			if err != nil {
				c.fail(err)
				break
			}
		}
	}
}

// nextChunk removes the first chunk and returns it. It returns nil, and ends the writing, if there is none.
func (c *callerConn) nextChunk() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.chunks) == 0 {
		c.chunks, c.writing = nil, false
		c.signalProgress()
		return nil
	}
	chunk := c.chunks[0]
	c.chunks[0] = nil
	c.chunks = c.chunks[1:]
	return chunk
}

// release records that n unread bytes were written.
func (c *callerConn) release(account *buffering.Account, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.unread -= n
		account.ReleaseUnread(n)
		c.signalProgress()
	}
}

// signalProgress wakes a goroutine that waits for progress.
func (c *callerConn) signalProgress() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// fail makes all later writes fail, drops the unread bytes and ends the current call. Only the first error is kept.
func (c *callerConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	if c.account != nil {
		c.account.ReleaseUnread(c.unread)
		c.cancel()
	}
	c.chunks, c.unread = nil, 0
	c.signalProgress()
}

// cut disconnects a caller that reads too slowly. The bytes in the system's send buffer are dropped, too.
func (c *callerConn) cut() {
	c.fail(errReaderCut)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// begin makes Write keep what the caller does not read at once, until end. cancel ends the call if the connection fails.
func (c *callerConn) begin(ctx context.Context, cancel context.CancelFunc, account *buffering.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account, c.cancel, c.done = account, cancel, ctx.Done()
}

// end waits until the caller has been sent everything or the connection has failed. Later writes wait for the caller. The end of
// the context is ignored: it also ends when the caller closes its side of the connection and still reads.
func (c *callerConn) end() {
	for c.hasUnread() {
		<-c.progress
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account, c.cancel = nil, nil
}

// hasUnread reports whether bytes are left to be written.
func (c *callerConn) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && (c.writing || c.unread > 0)
}

// NetConn returns the connection itself.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.fail(net.ErrClosed)
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side. The HTTP server calls it to let a caller read a response to a request whose body was not read.
func (c *callerConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.CloseWrite()
}
