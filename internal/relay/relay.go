// Package relay stands between a server and its callers on loopback, and delays, holds up,
// silences or resets their connections, or cuts some callers off.
package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// ErrRelay means that a relay could not be set up.
var ErrRelay = errors.New("relay")

// Way is a direction in which bytes pass.
type Way int

// The directions.
const (
	ToServer Way = iota
	ToCaller
	ways
)

// Relay passes the bytes of connections on; safe for concurrent use.
type Relay struct {
	ln net.Listener
	to netip.AddrPort

	// closed is closed with the relay.
	closed chan struct{}

	mu    sync.Mutex
	delay time.Duration
	held  [ways]bool
	cut   map[netip.Addr]bool
	open  map[*connection]bool
}

// connection is one connection of a caller, and that to the server.
type connection struct {
	caller, server *net.TCPConn
	// from is the caller's IP number.
	from netip.Addr
	// silent tells that the connection carries no byte any more.
	silent bool
}

// chunk is the most that is passed on at a time, in bytes.
const chunk = 16 << 10

// holdCheck is the time between two looks whether bytes are still held up.
const holdCheck = 5 * time.Millisecond

// dialTimeout bounds the time to connect to the server.
const dialTimeout = time.Second

// New returns a running relay that listens at an IP number for a server.
func New(ip netip.Addr, to netip.AddrPort) (*Relay, error) {
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRelay, err)
	}
	r := &Relay{ln: ln, to: to, closed: make(chan struct{}), cut: map[netip.Addr]bool{}, open: map[*connection]bool{}}
	go r.accept()
	return r, nil
}

// Addr returns the address at which callers reach the server.
func (r *Relay) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.ln.Addr().String()) }

// Delay has each chunk wait for a time; 0 ends that.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Hold holds up what goes one way until it is called again, as a link does that is cut one way.
func (r *Relay) Hold(way Way, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[way] = held
}

// Silence has the connections that are open now carry no byte any more; new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.silent = true
	}
}

// Reset resets the connections that are open now.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.reset()
	}
}

// Cut cuts the callers with an IP number off, or lets them in again.
func (r *Relay) Cut(from netip.Addr, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[from] = cut
	for c := range r.open {
		if cut && c.from == from {
			c.reset()
		}
	}
}

// Close stops listening and resets all connections, as the end of the server's process does.
func (r *Relay) Close() error {
	err := r.ln.Close()
	if err == nil {
		close(r.closed)
	}
	r.Reset()
	return err
}

// accept accepts connections until the relay is closed.
func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		if caller, ok := c.(*net.TCPConn); ok {
			go r.carry(caller)
		}
	}
}

// carry passes the bytes of one connection on until one side ends it.
func (r *Relay) carry(caller *net.TCPConn) {
	from, err := netip.ParseAddrPort(caller.RemoteAddr().String())
	if err != nil {
		reset(caller)
		return
	}
	s, err := net.DialTimeout("tcp4", r.to.String(), dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	server, ok := s.(*net.TCPConn)
	if !ok {
		reset(caller)
		return
	}
	c := &connection{caller: caller, server: server, from: from.Addr()}
	if !r.enter(c) {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.pass(c, ToServer, caller, server) })
	both.Go(func() { r.pass(c, ToCaller, server, caller) })
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// enter records a connection, unless its caller is cut off.
func (r *Relay) enter(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[c.from] {
		return false
	}
	r.open[c] = true
	return true
}

// pass passes bytes on one way until a side ends the connection, then ends both sides.
func (r *Relay) pass(c *connection, way Way, from, to *net.TCPConn) {
	defer c.close()
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if !r.through(c, way) {
			<-r.closed // neither side hears anything, not even the end of the other one
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// through waits while bytes are delayed or held up, and reports whether they come through at all.
func (r *Relay) through(c *connection, way Way) bool {
	r.mu.Lock()
	wait := r.delay
	r.mu.Unlock()
	for {
		time.Sleep(wait)
		r.mu.Lock()
		silent, held := c.silent, r.held[way]
		r.mu.Unlock()
		select {
		case <-r.closed:
			return !silent
		default:
		}
		if silent || !held {
			return !silent
		}
		wait = holdCheck
	}
}

// close ends both sides of the connection.
func (c *connection) close() {
	_ = c.caller.Close() // nothing is left to be done with either
	_ = c.server.Close()
}

// reset resets both sides of the connection.
func (c *connection) reset() {
	reset(c.caller)
	reset(c.server)
}

// reset closes a connection without the usual end.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails for a connection that is closed already
	_ = c.Close()
}
