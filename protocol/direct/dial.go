package direct

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer makes TCP connections that notice a silent peer.
type Dialer struct {
	// Timeout bounds the time to connect.
	Timeout time.Duration
	// Silence bounds how long sent bytes may stay unacknowledged; 0 leaves it to the system.
	Silence time.Duration
}

// Dial connects to an address.
func (d Dialer) Dial(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
	return d.DialContext(ctx, "tcp4", at.String())
}

// DialContext connects to an address as net/http asks for it.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nd := net.Dialer{Timeout: d.Timeout, KeepAlive: -1, Control: d.control}
	return nd.DialContext(ctx, network, address)
}

// control sets the socket options.
func (d Dialer) control(_, _ string, raw syscall.RawConn) error {
	if d.Silence <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
