package tcpstate_test

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/tcpstate"
)

// pair returns both ends of a connection on loopback.
func pair(t testing.TB) (own, peer *net.TCPConn) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	dialed, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

func TestEndOfPeerIsKnownBeforeItsDataIsRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(own, peer *net.TCPConn)
		closed bool
	}{
		{"open", func(_, _ *net.TCPConn) {}, false},
		{"closed", func(_, peer *net.TCPConn) { _ = peer.Close() }, true},
		{"reset", func(_, peer *net.TCPConn) {
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}, true},
		{"peer closed its side only", func(_, peer *net.TCPConn) { _ = peer.CloseWrite() }, true},
		{"closed on this side", func(own, _ *net.TCPConn) { _ = own.Close() }, true},
		{"this side closed its own direction only", func(own, _ *net.TCPConn) { _ = own.CloseWrite() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			own, peer := pair(t)
			state := tcpstate.Of(own)
			_, err := peer.Write([]byte("unread"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.HasPeerClosed()).To(BeFalse())
			c.end(own, peer)
			if c.closed {
				g.Eventually(state.HasPeerClosed, time.Second, time.Millisecond).Should(BeTrue())
				return
			}
			g.Consistently(state.HasPeerClosed, 50*time.Millisecond, 5*time.Millisecond).Should(BeFalse())
		})
	}
}

func TestSinceDataIsHowLongDataLayUnread(t *testing.T) {
	g := NewWithT(t)
	own, peer := pair(t)
	_, err := peer.Write([]byte("unread"))
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(80 * time.Millisecond)
	age, known := tcpstate.Of(own).SinceData()
	g.Expect(known).To(BeTrue())
	g.Expect(age).To(And(BeNumerically(">=", 60*time.Millisecond), BeNumerically("<", 5*time.Second)))
}

func TestStateOfWrappedConnections(t *testing.T) {
	g := NewWithT(t)
	own, peer := pair(t)
	state := tcpstate.FromContext(tcpstate.NewContext(context.Background(), tls.Server(own, &tls.Config{}))) //nolint:gosec // no handshake is made
	g.Expect(state.HasPeerClosed()).To(BeFalse())
	_ = peer.Close()
	g.Eventually(state.HasPeerClosed, time.Second, time.Millisecond).Should(BeTrue())
}

func TestNothingIsKnownOfOtherConnections(t *testing.T) {
	g := NewWithT(t)
	own, _ := net.Pipe()
	state := tcpstate.Of(own)
	g.Expect(state.HasPeerClosed()).To(BeFalse())
	_, known := state.SinceData()
	g.Expect(known).To(BeFalse())
	g.Expect(tcpstate.FromContext(context.Background()).HasPeerClosed()).To(BeFalse())
}

// BenchmarkState measures both calls that are made for a request.
func BenchmarkState(b *testing.B) {
	own, _ := pair(b)
	state := tcpstate.Of(own)
	b.ReportAllocs()
	for b.Loop() {
		if state.HasPeerClosed() {
			b.Fatal("closed")
		}
		if _, known := state.SinceData(); !known {
			b.Fatal("unknown")
		}
	}
}
