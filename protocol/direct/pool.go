package direct

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits on the time that a connection may be idle.
const (
	// restDefault applies if the server sends no Keep-Alive timeout.
	restDefault = 4 * time.Second
	// restMargin is subtracted from the server's Keep-Alive timeout, so that the pool stops using a
	// connection before the server closes it.
	restMargin = 1100 * time.Millisecond
	// restFresh is the maximum idle time of a connection for a request with Fresh set.
	restFresh = 900 * time.Millisecond
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
	at    netip.AddrPort
	br    *bufio.Reader
	bw    *bufio.Writer
	wrote bool
	// since is the time at which the connection became idle; until is the time until which it may
	// be used again.
	since time.Time
	until time.Time
	keep  time.Duration
}

// get returns an idle connection or opens a new one.
func (p *Pool) get(ctx context.Context, at netip.AddrPort, fresh bool) (*conn, error) {
	for {
		c := p.take(at, fresh)
		if c == nil {
			break
		}
		if c.sound() {
			return c, nil
		}
		p.drop(c)
	}
	raw, err := p.dialer.Dial(ctx, at)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, at: at}
	c.newBuffers()
	return c, nil
}

// take removes the most recently used idle connection from the pool and returns
// it, or returns nil if that connection has been idle for too long.
func (p *Pool) take(at netip.AddrPort, fresh bool) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[at]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if now.After(c.until) || (fresh && now.Sub(c.since) > restFresh) {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[at] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	c.since = p.now()
	c.until = c.since.Add(c.keep)
	if c.keep <= 0 {
		p.drop(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.at] = append(p.idle[c.at], c)
}

// drop closes a connection.
func (p *Pool) drop(c *conn) { _ = c.Close() }

// Sweep closes the connections whose idle time has expired.
func (p *Pool) Sweep() {
	now := p.now()
	p.mu.Lock()
	var old []*conn
	for at, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		if p.idle[at] = kept; len(kept) == 0 {
			delete(p.idle, at)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// kill makes all current and later reads and writes on the connection fail.
func (c *conn) kill() { _ = c.SetDeadline(time.Unix(1, 0)) }

// rest sets the permitted idle time from a Keep-Alive header of the server.
func (c *conn) rest(keepAlive string) {
	if c.keep == 0 {
		c.keep = restDefault
	}
	for part := range strings.SplitSeq(keepAlive, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if n, err := strconv.Atoi(text); ok && err == nil {
			c.keep = time.Duration(n)*time.Second - restMargin
		}
	}
}

// errClosed means that the server closed an idle connection or sent unexpected data on it.
var errClosed = errors.New("direct: idle connection was closed or received unexpected data")

// sound reports whether an idle connection is open and has no unread data.
func (c *conn) sound() bool {
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
	var state error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		if n >= 0 && err == nil {
			state = errClosed
		} else if !errors.Is(err, syscall.EAGAIN) {
			state = err
		}
		return true
	})
	return err == nil && state == nil
}
