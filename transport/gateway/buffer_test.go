package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/buffering"
)

// smallSocket is the size of the buffers of both ends of a caller's connection in the tests, in bytes.
const smallSocket = 4096

// bufferingPolicy returns a policy with small sockets, so that slow callers are soon behind.
func bufferingPolicy() buffering.Policy {
	p := buffering.DefaultPolicy()
	p.SocketBytes = smallSocket
	return p
}

// newBufferingHarness returns a harness whose gateway bounds the bytes that it holds, as a node with that memory does.
func newBufferingHarness(t testing.TB, memory int64, p buffering.Policy) *harness {
	h := newHarness(t)
	h.gateway.Buffers = buffering.NewAccounts(memory, p)
	h.server = serveBuffered(h, h.gateway)
	return h
}

// serveBuffered serves a handler with the listener of the harness's gateway.
func serveBuffered(h *harness, handler http.Handler) *httptest.Server {
	srv := httptest.NewUnstartedServer(handler)
	srv.Listener = h.gateway.WrapListener(srv.Listener)
	srv.Config.ConnContext = h.gateway.ConnContext
	srv.Start()
	h.t.Cleanup(srv.Close)
	return srv
}

// slowCaller is a caller that reads its response only when the test does.
type slowCaller struct {
	net.Conn
	r *bufio.Reader
}

// startSlowCaller sends a request and reads nothing.
func (h *harness) startSlowCaller(path, body string, header map[string]string) *slowCaller {
	return startSlowCaller(h.t, h.server.Listener.Addr().String(), path, body, header)
}

// startSlowCaller sends a request to a node at an address and reads nothing.
func startSlowCaller(t testing.TB, address, path, body string, header map[string]string) *slowCaller {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocket)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	text := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n"
	all := map[string]string{"Id": "r1", "Key": "k", "Model": "m", "Patience": "3000"}
	for name, value := range header {
		all[name] = value
	}
	for name, value := range all {
		text += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		t.Fatal(err)
	}
	return &slowCaller{conn, bufio.NewReaderSize(conn, smallSocket)}
}

// read reads a successful response to its end. Between two reads of a kilobyte, it waits.
func (s *slowCaller) read(pause time.Duration) (string, error) {
	got := s.response(pause)
	if got.err == nil && got.status != http.StatusOK {
		return got.body, fmt.Errorf("status %d", got.status)
	}
	return got.body, got.err
}

// response reads a response like read, whatever its status is.
func (s *slowCaller) response(pause time.Duration) callResponse {
	resp, err := http.ReadResponse(s.r, nil)
	if err != nil {
		return callResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	for {
		n, err := io.CopyN(&text, resp.Body, 1024)
		if errors.Is(err, io.EOF) {
			return callResponse{resp.StatusCode, resp.Header, text.String(), nil}
		}
		if err != nil {
			return callResponse{resp.StatusCode, resp.Header, text.String(), fmt.Errorf("after %d bytes: %w", n, err)}
		}
		time.Sleep(pause)
	}
}

// largeEvents returns events of 480 bytes with the IDs first to last.
func largeEvents(first, last int) string {
	var text strings.Builder
	for i := first; i <= last; i++ {
		head := fmt.Sprintf("id: %d\ndata: ", i)
		text.WriteString(head + strings.Repeat("x", 480-len(head)-2) + "\n\n")
	}
	return text.String()
}

// streamLargeEvents returns a handler that responds with events as fast as they are read, and closes done when all are.
func streamLargeEvents(count int, done chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeLargeEvents(w, 1, count)
		close(done)
	}
}

// writeLargeEvents writes events of 480 bytes and flushes each of them.
func writeLargeEvents(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = io.WriteString(w, largeEvents(i, i))
		_ = http.NewResponseController(w).Flush()
	}
}

// A slow caller must not occupy a slot of the instance: the instance finishes at its own pace. The caller still gets the
// whole response, in order, after the instance has finished.
func TestInstanceFinishesBeforeSlowCaller(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, 184_000_000, bufferingPolicy())
	done := make(chan struct{})
	h.addInstance("a", "lm", streamLargeEvents(75, done))
	caller := h.startSlowCaller("/stream/", "prompt", nil)
	g.Eventually(done, 2*time.Second).Should(BeClosed())
	g.Eventually(h.gateway.StallDetector.ActiveCount, time.Second).Should(BeZero(), "the attempt has ended")
	g.Expect(h.gateway.Buffers.Bytes()).To(BeNumerically(">", 10_000))
	text, err := caller.read(0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(largeEvents(1, 75)))
	g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
}

// With the switch off, nothing is kept beyond what the system keeps.
func TestWithoutBoundsNothingIsBuffered(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	g.Expect(h.gateway.WrapListener(h.server.Listener)).To(BeIdenticalTo(h.server.Listener))
	g.Expect(h.gateway.ConnContext(context.Background(), &net.TCPConn{})).To(Equal(context.Background()))
}
