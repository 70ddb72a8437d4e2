package direct

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits on the time that a connection may be idle.
const (
	// defaultIdleTimeout applies if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's Keep-Alive timeout, so that the pool stops
	// using a connection before the server closes it.
	idleTimeoutMargin = 1100 * time.Millisecond
	// maxFreshIdle is the maximum idle time of a connection for a request with RequireFreshConn set.
	maxFreshIdle = 900 * time.Millisecond
)

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	dialer Dialer
	now    func() time.Time
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
}

// NewPool returns an empty Pool.
func NewPool(d Dialer, now func() time.Time) *Pool {
	return &Pool{dialer: d, now: now, idle: map[netip.AddrPort][]*conn{}}
}

// conn is a connection that is idle or in use by one exchange.
type conn struct {
	net.Conn
	addr  netip.AddrPort
	br    *bufio.Reader
	bw    *bufio.Writer
	wrote bool
	// carried are the IDs of the requests whose exchanges began on the connection, lastID is the Request.ID of the last one.
	carried []requestID
	lastID  string
	timedWrites
	// inHead is set while a head is read, headLeft is the number of bytes that it may still have. readErr is the error
	// with which the connection failed.
	inHead   bool
	headLeft int
	readErr  error
	// idleSince is the time at which the connection became idle; reusableUntil is the time until
	// which it may be used again.
	idleSince     time.Time
	reusableUntil time.Time
	idleTimeout   time.Duration
}

// get returns an idle connection that has not carried a request, or opens a new one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort, id requestID, fresh bool) (*conn, error) {
	for {
		c := p.takeIdle(addr, id, fresh)
		if c == nil {
			break
		}
		if c.isReusable() {
			return c, nil
		}
		p.discard(c)
	}
	if c := p.takeCarrier(addr, id); c != nil {
		p.discard(c) // otherwise idle connections accumulate if a caller sends all requests with the same ID
	}
	raw, err := p.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, addr: addr}
	c.initBuffers()
	return c, nil
}

// takeIdle removes the most recently used idle connection that has not carried a request from the pool and returns it. It
// returns nil if there is none or if that connection has been idle for too long.
func (p *Pool) takeIdle(addr netip.AddrPort, id requestID, fresh bool) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if c.hasCarried(id) {
			continue
		}
		if now.After(c.reusableUntil) || (fresh && now.Sub(c.idleSince) > maxFreshIdle) {
			return nil
		}
		p.idle[addr] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

// takeCarrier removes an idle connection that has carried a request from the pool and returns it, or nil if there is none.
func (p *Pool) takeCarrier(addr netip.AddrPort, id requestID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	i := slices.IndexFunc(list, func(c *conn) bool { return c.hasCarried(id) })
	if i < 0 {
		return nil
	}
	c := list[i]
	p.idle[addr] = slices.Delete(list, i, i+1)
	return c
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	c.idleSince = p.now()
	c.reusableUntil = c.idleSince.Add(c.idleTimeout)
	if c.idleTimeout <= 0 || len(c.carried) >= MaxExchanges {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// discard closes a connection.
func (p *Pool) discard(c *conn) { _ = c.Close() }

// CloseExpired closes the connections whose idle time has expired.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	var expired []*conn
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.After(c.reusableUntil) {
				expired = append(expired, c)
				continue
			}
			remaining = append(remaining, c)
		}
		clear(list[len(remaining):])
		if p.idle[addr] = remaining; len(remaining) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// setIdleTimeout sets the permitted idle time from a Keep-Alive header of the server.
func (c *conn) setIdleTimeout(keepAlive string) {
	if c.idleTimeout == 0 {
		c.idleTimeout = defaultIdleTimeout
	}
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil {
			c.idleTimeout = time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
}

// errNotReusable means that the server closed an idle connection or sent unexpected data on it.
var errNotReusable = errors.New("direct: idle connection was closed or received unexpected data")

// isReusable reports whether an idle connection is open and has no unread data.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		if n >= 0 && err == nil {
			readErr = errNotReusable
		} else if !errors.Is(err, syscall.EAGAIN) {
			readErr = err
		}
		return true
	})
	return err == nil && readErr == nil
}
