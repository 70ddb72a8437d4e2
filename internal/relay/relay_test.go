package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/relay"
)

// echo starts a server that answers each line with itself, and a relay before it.
func echo(g *WithT, t *testing.T) *relay.Relay {
	local := netip.MustParseAddr("127.0.0.1")
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(local, 0).String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	r, err := relay.New(local, netip.MustParseAddrPort(ln.Addr().String()))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// caller is one connection to a relay.
type caller struct {
	net.Conn
	in *bufio.Reader
}

// dial connects to a relay.
func dial(g *WithT, t *testing.T, r *relay.Relay) *caller {
	c, err := tryDial(t, r)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// tryDial connects to a relay, which may reset the connection before the call has returned.
func tryDial(t *testing.T, r *relay.Relay) (*caller, error) {
	c, err := net.Dial("tcp4", r.Addr().String())
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = c.Close() })
	return &caller{Conn: c, in: bufio.NewReader(c)}, nil
}

// ask sends a line and returns what comes back within a time.
func (c *caller) ask(line string, within time.Duration) (string, error) {
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return "", err
	}
	return c.in.ReadString('\n')
}

func TestWhatARelayDoesToConnections(t *testing.T) {
	const long, short = 5 * time.Second, 200 * time.Millisecond
	for _, c := range []struct {
		name string
		harm func(r *relay.Relay)
		// old and new tell whether a connection from before, and one from after, is answered.
		old, new bool
	}{
		{"nothing", func(*relay.Relay) {}, true, true},
		{"delays", func(r *relay.Relay) { r.Delay(20 * time.Millisecond) }, true, true},
		{"holds up what goes to the server", func(r *relay.Relay) { r.Hold(relay.ToServer, true) }, false, false},
		{"holds up what goes to the caller", func(r *relay.Relay) { r.Hold(relay.ToCaller, true) }, false, false},
		{"silences", func(r *relay.Relay) { r.Silence() }, false, true},
		{"resets", func(r *relay.Relay) { r.Reset() }, false, true},
		{"cuts the caller off", func(r *relay.Relay) { r.Cut(netip.MustParseAddr("127.0.0.1"), true) }, false, false},
		{"cuts another caller off", func(r *relay.Relay) { r.Cut(netip.MustParseAddr("127.0.0.2"), true) }, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := echo(g, t)
			old := dial(g, t, r)
			g.Expect(old.ask("first", long)).To(Equal("first\n"))
			c.harm(r)
			next, err := tryDial(t, r)
			g.Expect(err != nil && c.new).To(BeFalse(), "a connection that is served can be opened")
			for _, conn := range []struct {
				c        *caller
				answered bool
			}{{old, c.old}, {next, c.new}} {
				if conn.c == nil {
					continue // reset while it was opened
				}
				if conn.answered {
					g.Expect(conn.c.ask("second", long)).To(Equal("second\n"))
					continue
				}
				_, err := conn.c.ask("second", short)
				g.Expect(err).To(HaveOccurred())
			}
		})
	}
}

func TestWhatWasHeldUpComesInFull(t *testing.T) {
	g := NewWithT(t)
	r := echo(g, t)
	c := dial(g, t, r)
	r.Hold(relay.ToServer, true)
	time.AfterFunc(50*time.Millisecond, func() { r.Hold(relay.ToServer, false) })
	g.Expect(c.ask("late", 5*time.Second)).To(Equal("late\n"))
}

func TestNothingListensAtAClosedRelay(t *testing.T) {
	g := NewWithT(t)
	r := echo(g, t)
	g.Expect(r.Close()).To(Succeed())
	_, err := net.Dial("tcp4", r.Addr().String())
	g.Expect(err).To(HaveOccurred())
}
