// Package tcpstate reads the kernel's state of a TCP connection, which is ahead of what the program has read from it.
package tcpstate

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn gives access to the kernel's state of a TCP connection. All methods may be called concurrently with reads and writes. Of a nil
// Conn nothing is known.
type Conn struct{ raw syscall.RawConn }

// Of returns the Conn of a connection or of the connection that it wraps, or nil if that is no TCP connection.
func Of(conn net.Conn) *Conn {
	for {
		if sc, ok := conn.(syscall.Conn); ok {
			raw, err := sc.SyscallConn()
			if err != nil {
				return nil
			}
			return &Conn{raw}
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// HasPeerClosed reports whether the peer has closed its side of the connection or reset it, or the connection is closed on this side.
// Data before the end may still be unread.
func (c *Conn) HasPeerClosed() bool {
	if c == nil {
		return false
	}
	fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	var pollErr error
	err := c.raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		for {
			if _, pollErr = unix.Poll(fds, 0); !errors.Is(pollErr, unix.EINTR) {
				return
			}
		}
	})
	if err != nil {
		return true
	}
	return pollErr == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// SinceData returns the time since the system received the last data of the peer, to the millisecond. It reports false if it is not
// known.
func (c *Conn) SinceData() (time.Duration, bool) {
	if c == nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// contextKey is the key of a Conn in a context.
type contextKey struct{}

// NewContext returns a context with the Conn of a connection, if it has one. It is meant for http.Server.ConnContext.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	if c := Of(conn); c != nil {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the Conn of a context, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
