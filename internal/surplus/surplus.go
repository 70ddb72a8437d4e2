// Package surplus has an HTTP server send some of its responses a second time: late, when the next request arrives on the
// connection.
package surplus

import (
	"bytes"
	"net"
	"sync"
)

// Select reports whether a response, given as it was written, is sent a second time.
type Select func(response []byte) bool

// Refusals selects the responses with the statuses 421 and 503.
func Refusals(response []byte) bool {
	return bytes.HasPrefix(response, []byte("HTTP/1.1 421 ")) || bytes.HasPrefix(response, []byte("HTTP/1.1 503 "))
}

// All selects all responses.
func All(response []byte) bool { return bytes.HasPrefix(response, []byte("HTTP/1.1 ")) }

// NewListener returns a listener whose connections send the selected responses a second time. A response must be
// written with one call of Write, as net/http does with small ones.
func NewListener(ln net.Listener, selects Select) net.Listener { return &listener{ln, selects} }

type listener struct {
	net.Listener
	selects Select
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, selects: l.selects}, nil
}

// conn is a connection of the server. pending is the response that is due a second time.
type conn struct {
	net.Conn
	selects Select
	mu      sync.Mutex
	pending []byte
}

// Read implements net.Conn. The first bytes after a response are those of the next request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		_, _ = c.Conn.Write(c.pending)
		c.pending = nil
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.selects(p) {
		c.pending = bytes.Clone(p)
	}
	return c.Conn.Write(p)
}
