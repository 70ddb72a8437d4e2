package direct_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/direct"
)

// response is a response without a body to the request with an ID.
func response(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nContent-Length: 0\r\n\r\n", status, id)
}

// server is a server whose open connections are counted.
type server struct {
	addr netip.AddrPort
	open atomic.Int32
}

// scriptedServer serves connections one request after the other. The response to the nth request of a connection is what respond
// returns for n, counted from 0, and the ID of the request.
func scriptedServer(t *testing.T, respond func(n int, id string) string) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &server{addr: netip.MustParseAddrPort(ln.Addr().String())}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			s.open.Add(1)
			go func() {
				defer s.open.Add(-1)
				br := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := conn.Write([]byte(respond(n, r.Header.Get("Id")))); err != nil {
						return
					}
				}
			}()
		}
	}()
	return s
}

// newRequest returns a request with an ID, which its response repeats.
func newRequest(id string) *direct.Request {
	return &direct.Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id,
		ResponseID: func(h http.Header) string { return h.Get("Id") }, Trace: &direct.Trace{},
	}
}

// exchange sends a request and returns the status of its response.
func exchange(p *direct.Pool, addr netip.AddrPort, r *direct.Request) (int, error) {
	resp, err := p.Do(context.Background(), addr, r)
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	_, err = direct.ReadBody(resp.Body, 1<<10)
	return resp.Status, err
}

func TestTraceDescribesTheConnection(t *testing.T) {
	g := NewWithT(t)
	srv := scriptedServer(t, func(n int, id string) string {
		if n == 1 {
			return response(http.StatusServiceUnavailable, "first") + response(http.StatusOK, id)
		}
		return response(http.StatusOK, id)
	})
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	for _, c := range []struct {
		id   string
		want direct.Trace
	}{
		{"first", direct.Trace{}},
		{"second", direct.Trace{Exchanges: 1, PreviousID: "first", Skipped: []string{"first"}}},
		{"third", direct.Trace{Exchanges: 2, PreviousID: "second"}},
	} {
		r := newRequest(c.id)
		status, err := exchange(pool, srv.addr, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(*r.Trace).To(Equal(c.want))
	}
}

// Guards against long IDs that are kept with each connection and logged with each attempt.
func TestTraceHoldsTheBeginningOfLongIDs(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 1000)
	srv := scriptedServer(t, func(n int, id string) string {
		if n == 1 {
			return response(http.StatusOK, long) + response(http.StatusOK, id)
		}
		return response(http.StatusOK, id)
	})
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	for _, id := range []string{long, "a"} {
		r := newRequest(id)
		_, err := exchange(pool, srv.addr, r)
		g.Expect(err).NotTo(HaveOccurred())
		if id == "a" {
			g.Expect(*r.Trace).To(Equal(direct.Trace{Exchanges: 1, PreviousID: long[:64], Skipped: []string{long[:64]}}))
		}
	}
}

// Guards against a response to an earlier send of the request: a server may send one a second time, late.
func TestRequestIsSentOnceOverAConnection(t *testing.T) {
	g := NewWithT(t)
	var earlier string
	srv := scriptedServer(t, func(n int, id string) string {
		if n == 0 {
			return response(http.StatusServiceUnavailable, id)
		}
		return response(http.StatusServiceUnavailable, earlier) + response(http.StatusOK, id)
	})
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	for _, c := range []struct {
		name, id  string
		status    int
		exchanges int
	}{
		{"first send", "a", http.StatusServiceUnavailable, 0},
		{"sent again", "a", http.StatusServiceUnavailable, 0},
		{"another request on the connection of a refusal", "b", http.StatusOK, 1},
		{"sent a third time, after another request", "a", http.StatusServiceUnavailable, 0},
	} {
		r := newRequest(c.id)
		status, err := exchange(pool, srv.addr, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(c.status), c.name)
		g.Expect(r.Trace.Exchanges).To(Equal(c.exchanges), c.name)
		earlier = "a"
	}
}

// Guards against connections that remember requests without bound.
func TestConnectionIsClosedAfterItsLastExchange(t *testing.T) {
	g := NewWithT(t)
	srv := scriptedServer(t, func(_ int, id string) string { return response(http.StatusOK, id) })
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	for i := range 2 * direct.MaxExchanges {
		r := newRequest(fmt.Sprint("r", i))
		_, err := exchange(pool, srv.addr, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Trace.Exchanges).To(Equal(i % direct.MaxExchanges))
	}
}

// Requests without an ID share a connection, since their responses are not matched by ID.
func TestRequestsWithoutIDShareAConnection(t *testing.T) {
	g := NewWithT(t)
	srv := scriptedServer(t, func(_ int, id string) string { return response(http.StatusOK, id) })
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	for i := range 3 {
		r := newRequest("")
		_, err := exchange(pool, srv.addr, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Trace.Exchanges).To(Equal(i))
	}
}

// Guards against idle connections that accumulate if all requests of a caller have the same ID.
func TestRequestsWithOneIDKeepOneConnectionOpen(t *testing.T) {
	g := NewWithT(t)
	srv := scriptedServer(t, func(_ int, id string) string { return response(http.StatusOK, id) })
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	for range 50 {
		r := newRequest("a")
		status, err := exchange(pool, srv.addr, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(r.Trace.Exchanges).To(BeZero())
	}
	g.Eventually(srv.open.Load, time.Second, time.Millisecond).Should(BeEquivalentTo(1))
}
