package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/direct"
)

// largeRequest returns a request whose body does not fit into the buffers of the system.
func largeRequest(timeout time.Duration) *direct.Request {
	return &direct.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 20<<20)), HasBody: true, WriteTimeout: timeout,
	}
}

// serveConn accepts connections and handles each with a function.
func serveConn(t *testing.T, handle func(net.Conn)) netip.AddrPort {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go handle(conn)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// A server that does not read a request must not hold the sender for as long as the caller waits.
func TestWriteToServerThatDoesNotReadTimesOut(t *testing.T) {
	g := NewWithT(t)
	addr := serveConn(t, func(net.Conn) {})
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	_, err := pool.Do(ctx, addr, largeRequest(200*time.Millisecond))
	g.Expect(err).To(MatchError(direct.ErrNoResponse))
	g.Expect(err).To(MatchError(ContainSubstring(os.ErrDeadlineExceeded.Error())))
	g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
}

// A server that reads slowly makes progress, so that a long transfer must not time out.
func TestWriteToSlowServerCompletes(t *testing.T) {
	g := NewWithT(t)
	addr := serveConn(t, func(conn net.Conn) {
		for left := 20 << 20; left > 0; left -= 2 << 20 {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.CopyN(io.Discard, conn, 2<<20); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	resp, err := pool.Do(context.Background(), addr, largeRequest(400*time.Millisecond))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	g.Expect(resp.Status).To(Equal(http.StatusOK))
}

// The time-out of a write must not delay the end of an exchange whose caller has left.
func TestCancelEndsWriteWithTimeout(t *testing.T) {
	g := NewWithT(t)
	addr := serveConn(t, func(conn net.Conn) {
		for {
			time.Sleep(time.Millisecond)
			if _, err := io.CopyN(io.Discard, conn, 4096); err != nil {
				return
			}
		}
	})
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := pool.Do(ctx, addr, largeRequest(time.Minute))
	g.Expect(err).To(MatchError(direct.ErrNoResponse))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
}
