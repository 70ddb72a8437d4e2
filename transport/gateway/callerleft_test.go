package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/forwarding"
)

// gate holds back what a node has received, as if the node were frozen.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// close freezes the node until open.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

// open ends the freeze.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

// wait waits until the gate is open.
func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

// gatedListener accepts connections from which nothing is read while a gate is closed.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{conn, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

func (c *gatedConn) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}

// serveGated serves a handler of a harness behind a gate.
func serveGated(h *harness, handler http.HandlerFunc) (*gate, netip.AddrPort) {
	g := newGate()
	srv := httptest.NewUnstartedServer(handler)
	srv.Listener = &gatedListener{h.gateway.WrapListener(srv.Listener), g}
	srv.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return h.gateway.ConnContext(ctx, conn.(*gatedConn).Conn)
	}
	srv.Start()
	h.t.Cleanup(srv.Close)
	return g, netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// rawRequest returns the bytes of a request.
func rawRequest(id, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nModel: m\r\nPatience: 2000\r\nContent-Length: 4\r\n\r\nbody", path, id)
}

// dialCaller opens a connection to a node.
func dialCaller(t testing.TB, node netip.AddrPort) *net.TCPConn {
	conn, err := net.Dial("tcp4", node.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// sendRaw sends a request on a connection.
func sendRaw(t testing.TB, conn net.Conn, id, path string) {
	if _, err := io.WriteString(conn, rawRequest(id, path)); err != nil {
		t.Fatal(err)
	}
}

// readRaw reads a response, which must be complete.
func readRaw(t testing.TB, conn net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
}

// departures are the ways in which a caller ends its connection.
var departures = []struct {
	name  string
	leave func(*net.TCPConn)
}{
	{"closes", func(c *net.TCPConn) { _ = c.Close() }},
	{"resets", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}},
	{"closes its side", func(c *net.TCPConn) { _ = c.CloseWrite() }},
}

// arrivalTime is the time in which what a caller sends has arrived in the socket of the node.
const arrivalTime = 20 * time.Millisecond

// addServers adds an instance of each service that counts the requests it gets.
func (h *harness) addServers() {
	h.addInstance("plain", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	h.addInstance("lm", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
}

// runsOf returns how many instances got a request.
func (h *harness) runsOf(id string) int {
	n := 0
	for _, r := range h.runLog.all() {
		if r.id == id {
			n++
		}
	}
	return n
}

// Guards against a second run: a caller may send what a node had not read to another node.
func TestRequestIsNotSentAfterItsCallerHasLeft(t *testing.T) {
	for _, buffers := range []bool{false, true} {
		for _, kept := range []bool{false, true} {
			for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x", "/stream/x"} {
				for _, d := range departures {
					name := fmt.Sprintf("%s %s, kept %t, buffers %t", strings.Split(path, "/")[1], d.name, kept, buffers)
					t.Run(name, func(t *testing.T) {
						g := NewWithT(t)
						h := newHarness(t)
						if buffers {
							h = newBufferingHarness(t, smallNode, bufferingPolicy())
						}
						h.addServers()
						gate, node := serveGated(h, h.gateway.ServeHTTP)
						caller := dialCaller(t, node)
						if kept {
							sendRaw(t, caller, "first", path)
							readRaw(t, caller)
						}
						gate.close()
						sendRaw(t, caller, "left", path)
						d.leave(caller)
						time.Sleep(arrivalTime)
						gate.open()
						g.Eventually(func() int { return h.recorder.count("caller-left") }, time.Second).Should(BeNumerically(">", 0))
						g.Consistently(func() int { return h.runsOf("left") }, arrivalTime).Should(BeZero())
						g.Expect(h.recorder.count("caller-left")).To(Equal(1))
					})
				}
			}
		}
	}
}

// After a freeze a node must serve the callers that still wait.
func TestRequestThatLayUnreadIsServed(t *testing.T) {
	for _, buffers := range []bool{false, true} {
		t.Run(fmt.Sprintf("buffers %t", buffers), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			if buffers {
				h = newBufferingHarness(t, smallNode, bufferingPolicy())
			}
			h.addServers()
			gate, node := serveGated(h, h.gateway.ServeHTTP)
			caller := dialCaller(t, node)
			gate.close()
			sendRaw(t, caller, "waits", "/unsafe/x")
			time.Sleep(arrivalTime)
			gate.open()
			readRaw(t, caller)
			g.Expect(h.runsOf("waits")).To(Equal(1))
			g.Expect(h.recorder.count("caller-left")).To(BeZero())
		})
	}
}

// Guards against work for a caller that waits no longer: its time-out begins when the request arrives, not when it is read.
func TestTimeThatRequestLayUnreadCountsAgainstItsDeadline(t *testing.T) {
	const unread = 300 * time.Millisecond
	for _, frozen := range []string{"node", "origin", "peer"} {
		t.Run(frozen, func(t *testing.T) {
			g := NewWithT(t)
			origin, peer := newForwardingPair(t)
			origin.addServers()
			origin.peers.partitioned = frozen != "node"
			peer.addServers()
			originGate, originAddress := serveGated(origin, origin.gateway.ServeHTTP)
			peerGate, peerAddress := serveGated(peer, peer.gateway.ServeForwarded)
			origin.peers.peers = []forwarding.Peer{peerAt(peerAddress)}
			gate := originGate
			if frozen == "peer" {
				gate = peerGate
			}
			caller := dialCaller(t, originAddress)
			gate.close()
			sendRaw(t, caller, "late", "/unsafe/x")
			time.Sleep(unread)
			gate.open()
			readRaw(t, caller)
			runs := append(origin.runLog.all(), peer.runLog.all()...)
			g.Expect(runs).To(HaveLen(1))
			left, err := strconv.Atoi(runs[0].header.Get("Left"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Duration(left) * time.Millisecond).To(BeNumerically("<", 2*time.Second-unread+arrivalTime))
		})
	}
}

// Guards against a second run of a forwarded request when either node was frozen.
func TestForwardedRequestIsNotSentAfterItsCallerHasLeft(t *testing.T) {
	for _, isOriginFrozen := range []bool{true, false} {
		for _, d := range departures {
			t.Run(fmt.Sprintf("%s, origin frozen %t", d.name, isOriginFrozen), func(t *testing.T) {
				g := NewWithT(t)
				origin, peer := newForwardingPair(t)
				peer.addServers()
				originGate, originAddress := serveGated(origin, origin.gateway.ServeHTTP)
				peerGate, peerAddress := serveGated(peer, peer.gateway.ServeForwarded)
				origin.peers.peers = []forwarding.Peer{peerAt(peerAddress)}
				caller := dialCaller(t, originAddress)
				sendRaw(t, caller, "first", "/unsafe/x")
				readRaw(t, caller)

				frozen, gate := peer, peerGate
				if isOriginFrozen {
					frozen, gate = origin, originGate
				}
				gate.close()
				sendRaw(t, caller, "left", "/unsafe/x")
				if !isOriginFrozen {
					g.Eventually(origin.peers.flying, time.Second).Should(Equal(1))
					time.Sleep(arrivalTime)
				}
				d.leave(caller)
				g.Eventually(origin.peers.flying, time.Second).Should(BeZero())
				time.Sleep(arrivalTime)
				gate.open()
				g.Eventually(func() int { return frozen.recorder.count("caller-left") }, time.Second).Should(BeNumerically(">", 0))
				g.Consistently(func() int { return peer.runsOf("left") }, arrivalTime).Should(BeZero())
				g.Expect(frozen.recorder.count("caller-left")).To(Equal(1))
				g.Expect(origin.peers.outcomes).To(HaveEach(forwarding.Reached), "the caller's end says nothing of the peer")
				if isOriginFrozen {
					g.Expect(peer.recorder.count("forward.received")).To(Equal(1), "the first request alone")
				}
			})
		}
	}
}
