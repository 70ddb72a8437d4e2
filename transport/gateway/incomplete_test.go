package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/gateway"
)

// responseHead is the head of a response in one of the forms that instances use, with %s for the ID of the request.
type responseHead struct {
	name, text string
}

// responseHeads are heads of successes and refusals whose bodies have a length, chunks or neither.
var responseHeads = []responseHead{
	{"length", "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n"},
	{"no body", "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"},
	{"bare line feeds", "HTTP/1.1 200 OK\nId: %s\nSeal: s\nContent-Type: text/event-stream\nContent-Length: 18\n\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"end of the connection", "HTTP/1.0 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"},
	{"refusal", "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{"after an informational response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"},
}

// hijack takes over the connection of a request, or returns nil if the connection has ended.
func hijack(w http.ResponseWriter) *net.TCPConn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	return conn.(*net.TCPConn)
}

// Guards against a head that ends early and is taken for that of a complete response.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	for _, isForwarded := range []bool{false, true} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			for _, head := range responseHeads {
				t.Run(fmt.Sprintf("%s, %s, forwarded %t", head.name, strings.Split(path, "/")[1], isForwarded), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					h := newHarness(t)
					serving := h
					if isForwarded {
						h, serving = newForwardingPair(t)
					}
					text, resets := fmt.Sprintf(head.text, "r1"), false
					cut := 0
					stop := func(w http.ResponseWriter, _ *http.Request) {
						conn := hijack(w)
						_, _ = io.WriteString(conn, text[:cut])
						if resets {
							_ = conn.SetLinger(0)
						}
						_ = conn.Close()
					}
					serving.addInstance("a", "plain", stop)
					serving.addInstance("b", "lm", stop)
					for cut = range len(text) {
						for _, resets = range []bool{false, true} {
							got := h.call(http.MethodPost, path, "body", nil)
							g.Expect(got.err).NotTo(HaveOccurred())
							g.Expect(got.status).To(Equal(http.StatusBadGateway), "cut after %q, resets %t", text[:cut], resets)
							g.Expect(got.header.Get("Seal")).To(BeEmpty())
						}
					}
				})
			}
		}
	}
}

// stage is where a request is when its caller closes its side of the connection.
type stage struct {
	name, path string
	// serve answers until the stage is reached, calls reached, and waits until the request has ended.
	serve func(w http.ResponseWriter, r *http.Request, reached func())
}

// stages are all waits of a request for its instance.
var stages = []stage{
	{"before the head", "/unsafe/x", func(_ http.ResponseWriter, r *http.Request, reached func()) {
		reached()
		<-r.Context().Done()
	}},
	{"before the head of a stream", "/once/x", func(_ http.ResponseWriter, r *http.Request, reached func()) {
		reached()
		<-r.Context().Done()
	}},
	{"in a buffered body", "/unsafe/x", func(w http.ResponseWriter, r *http.Request, reached func()) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		reached()
		<-r.Context().Done()
	}},
	{"in a body with chunks that is too large to be buffered", "/unsafe/x", func(w http.ResponseWriter, r *http.Request, reached func()) {
		_, _ = w.Write(make([]byte, 3<<20))
		_ = http.NewResponseController(w).Flush()
		reached()
		<-r.Context().Done()
	}},
	{"in a stream", "/stream/x", func(w http.ResponseWriter, r *http.Request, reached func()) {
		writeEvents(w, 1, 3)
		reached()
		<-r.Context().Done()
	}},
	{"in a stream that cannot be resumed", "/once/x", func(w http.ResponseWriter, r *http.Request, reached func()) {
		writeEvents(w, 1, 3)
		reached()
		<-r.Context().Done()
	}},
}

// Guards against a request that ends without a complete response and still looks like a success to a caller that reads on.
func TestRequestThatEndsEarlyHasNoCompleteResponse(t *testing.T) {
	for _, buffers := range []bool{false, true} {
		for _, isForwarded := range []bool{false, true} {
			for _, s := range stages {
				t.Run(fmt.Sprintf("%s, forwarded %t, buffers %t", s.name, isForwarded, buffers), func(t *testing.T) {
					g := NewWithT(t)
					h := newHarness(t)
					if buffers {
						h = newBufferingHarness(t, smallNode, bufferingPolicy())
					}
					serving := h
					if isForwarded {
						serving = newHarness(t)
						h.peers.partitioned = true
						h.peers.peers = append(h.peers.peers, servePeer(serving))
					}
					reached := make(chan struct{}, 8)
					serve := func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, func() { reached <- struct{}{} }) }
					serving.addInstance("a", "plain", serve)
					serving.addInstance("b", "lm", serve)
					_, node := serveGated(h, h.gateway.ServeHTTP)
					caller := dialCaller(t, node)
					sendRaw(t, caller, "r1", s.path)
					done := make(chan error, 1)
					go func() { done <- readSuccess(caller) }()
					g.Eventually(reached, time.Second).Should(Receive())
					time.Sleep(arrivalTime)
					_ = caller.CloseWrite()
					g.Eventually(done, 2*time.Second).Should(Receive(HaveOccurred()), "the caller got a complete success")
				})
			}
		}
	}
}

// readSuccess reads a complete response with a status that tells of success.
func readSuccess(conn net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err = io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

// A peer of another build may answer a forwarded request with a success that is no instance's.
func TestEmptyAnswerOfPeerIsNoResponse(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.peers.partitioned = true
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			t.Cleanup(srv.Close)
			h.peers.peers = append(h.peers.peers, peerAt(netip.MustParseAddrPort(srv.Listener.Addr().String())))
			got := h.call(http.MethodPost, path, "body", map[string]string{"Patience": "300"})
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
			g.Expect(got.body).To(Equal(string(gateway.CodeTimeout) + "\n"))
		})
	}
}
