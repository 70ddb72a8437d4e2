package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that fail if the peer stops acknowledging data.
type Dialer struct {
	// Timeout is the maximum time to connect.
	Timeout time.Duration
	// AckTimeout is the maximum time that sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	// 0 leaves the system's default.
	AckTimeout time.Duration
}

// Dial connects to an IPv4 address.
func (d Dialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return d.DialContext(ctx, "tcp4", addr.String())
}

// DialContext connects to an address. It can be used as DialContext of an http.Transport.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1, Control: d.control}
	return dialer.DialContext(ctx, network, address)
}

// control sets TCP_USER_TIMEOUT on the socket.
func (d Dialer) control(_, _ string, raw syscall.RawConn) error {
	if d.AckTimeout <= 0 {
		return nil
	}
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// HTTPClient returns a client that connects with d and keeps at most maxIdleConns idle connections to each address, each
// for idleTimeout. 0 idle connections mean a new connection for each request. Heads of responses have the same limit as in
// a Pool. Redirects are responses like any other: the server must not choose where a call goes.
func (d Dialer) HTTPClient(maxIdleConns int, idleTimeout time.Duration) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      maxIdleConns == 0,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}}
}
