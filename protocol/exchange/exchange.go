// Package exchange sends HTTP requests and says, when one fails, whether any
// byte of it can have left this process.
package exchange

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/troutmast/troutmast/protocol/direct"
)

// ErrCut means a connection was cut off because its exchange had been given up.
var ErrCut = errors.New("exchange: connection given up")

// Options bound a Client.
type Options struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// KeepAlive lets connections be used for several exchanges, one after the other.
	KeepAlive bool
	// IdleConns is the greatest number of idle connections to one address.
	IdleConns int
	// Source, when valid, is the address from which connections are made.
	Source netip.Addr
	// TLS, when set, is used for addresses that are called by https.
	TLS *tls.Config
	// Meter, when set, counts the bytes of all connections.
	Meter *Meter
}

// Client sends requests; safe for concurrent use.
//
// Without KeepAlive every exchange has a new connection, so that net/http never
// sends a request a second time on its own.
type Client struct {
	hc *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	t := &http.Transport{
		DisableKeepAlives:   !o.KeepAlive,
		DisableCompression:  true,
		TLSClientConfig:     o.TLS.Clone(),
		MaxIdleConnsPerHost: o.IdleConns,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         o.Meter.Dial(o.DialTimeout, o.Source),

		MaxResponseHeaderBytes: direct.MaxHeadBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{hc: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// ErrHeldBack means that the check of a request kept it from being sent.
var ErrHeldBack = errors.New("exchange: held back")

// Do sends a request. When it fails, sent reports whether a byte of it may have
// left; after a failure no further byte of it leaves.
func (c *Client) Do(req *http.Request) (resp *http.Response, sent bool, err error) {
	return c.DoIf(req, nil)
}

// DoIf sends a request unless a check fails, which is asked once a connection is there,
// right before the first byte leaves: a dial may take long. Without a check it is Do.
func (c *Client) DoIf(req *http.Request, check func() error) (resp *http.Response, sent bool, err error) {
	used := &usedConns{}
	var held error
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used.add(info.Conn)
		if check == nil || held != nil {
			return
		}
		if held = check(); held != nil {
			used.cut()
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil
	if req.Body == nil && req.Method != http.MethodGet && req.Method != http.MethodHead {
		req.Body = io.NopCloser(eofReader{})
	}
	resp, err = c.hc.Do(req)
	if held != nil {
		return nil, used.cut(), fmt.Errorf("%w: %w", ErrHeldBack, held)
	}
	if err != nil {
		return nil, used.cut(), err
	}
	if !direct.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		used.cut()
		return nil, true, fmt.Errorf("%w: status %d", direct.ErrInvalidResponse, resp.StatusCode)
	}
	return resp, true, nil
}

// eofReader is an empty body that net/http cannot rewind and so never sends twice.
type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// usedConns are the connections that an exchange was given, with what had been written before.
type usedConns struct {
	mu    sync.Mutex
	conns []*countedConn
	base  []int64
	// uncounted is set when a connection was used whose bytes are not counted.
	uncounted bool
}

// add notes a connection. Of one whose bytes cannot be counted, some are taken to have left.
func (u *usedConns) add(conn net.Conn) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	c, ok := conn.(*countedConn)
	if !ok {
		u.uncounted = true
		return
	}
	u.conns = append(u.conns, c)
	u.base = append(u.base, c.begun())
}

// cut ends all writing and reports whether anything was written.
func (u *usedConns) cut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	sent := u.uncounted
	for i, c := range u.conns {
		sent = c.cut() > u.base[i] || sent
	}
	return sent
}

// countedConn counts the bytes whose writing was begun.
type countedConn struct {
	net.Conn
	meter *Meter
	mu    sync.Mutex
	count int64
	dead  bool
}

// Write implements net.Conn; the bytes are counted before the first can leave.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return 0, ErrCut
	}
	c.count += int64(len(b))
	c.mu.Unlock()
	c.meter.sent(len(b))
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received(n)
	return n, err
}

// NetConn returns the connection itself.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// begun returns the number of bytes whose writing was begun.
func (c *countedConn) begun() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// cut closes the connection to further writes and returns the count, which then is final.
func (c *countedConn) cut() int64 {
	c.mu.Lock()
	c.dead = true
	n := c.count
	c.mu.Unlock()
	_ = c.Close()
	return n
}
