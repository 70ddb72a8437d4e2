package exchange

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// Meter counts the bytes of connections; a nil Meter counts nothing.
type Meter struct {
	in, out atomic.Int64
}

// Totals returns the bytes received and sent so far.
func (m *Meter) Totals() (in, out int64) { return m.in.Load(), m.out.Load() }

// received counts bytes that came in.
func (m *Meter) received(n int) {
	if m != nil {
		m.in.Add(int64(n))
	}
}

// sent counts bytes that went out.
func (m *Meter) sent(n int) {
	if m != nil {
		m.out.Add(int64(n))
	}
}

// Dial returns a function that connects within a time and counts the
// connection's bytes. A valid source is the address from which it connects.
func (m *Meter) Dial(timeout time.Duration, source netip.Addr) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout}
	if source.IsValid() && !source.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, meter: m}, nil
	}
}

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

// meteredListener counts the bytes of the connections that it accepts.
type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, meter: l.meter}, nil
}
