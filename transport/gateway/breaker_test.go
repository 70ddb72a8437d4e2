package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// troubledInstance is an instance of a plain service that can be made to respond with bytes that never end.
type troubledInstance struct {
	received atomic.Int64
	// trouble is what never ends, a prefix and a text that repeats; nil while the instance is well.
	trouble atomic.Pointer[[2]string]
}

// troubles are the ways in which responses never end: a text, followed by another one again and again.
var troubles = []struct {
	name string
	text [2]string
}{
	{"bytes that are no HTTP", [2]string{"", "\x00no response"}},
	{"one head line", [2]string{"HTTP/1.1 200 OK\r\nMore: ", "x"}},
	{"informational responses", [2]string{"", "HTTP/1.1 102 Processing\r\n\r\n"}},
	{"a body without a length", [2]string{"HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\n\r\n", "x"}},
	{"a body with a length", [2]string{"HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 900000000000\r\n\r\n", "x"}},
}

// serve responds to the requests of a connection, each after the time that its work takes.
func (i *troubledInstance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		i.received.Add(1)
		id := req.Header.Get("Id")
		if t := i.trouble.Load(); t != nil {
			_, err := io.WriteString(conn, strings.ReplaceAll(t[0], "%s", id))
			for more := strings.Repeat(t[1], 64<<10/len(t[1])); err == nil; _, err = io.WriteString(conn, more) {
				time.Sleep(time.Millisecond)
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", id); err != nil {
			return
		}
	}
}

// addTroubled adds an instance of the plain service.
func (h *harness) addTroubled(id string) *troubledInstance {
	i := &troubledInstance{}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	h.addInstanceAt(id, "plain", netip.MustParseAddrPort(ln.Addr().String()))
	return i
}

// callUntil has a dozen callers send requests with a time-out of 500 ms one after the other until a time, and returns how many
// were served. The callers themselves leave after timeout.
func (h *harness) callUntil(until time.Time, path string, timeout time.Duration) int {
	const callers = 12
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				a := h.callWith(ctx, http.MethodPost, path, "", map[string]string{"Id": fmt.Sprintf("r%d-%d", i, n), "Patience": "500"})
				cancel()
				if a.err == nil && a.status == http.StatusOK && a.body == "ok" {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(served.Load())
}

// callBoth has the callers of two harnesses send requests at the same time and returns how many of each were served.
func callBoth(a, b *harness, span time.Duration, path string, timeout time.Duration) (servedA, servedB int) {
	until := time.Now().Add(span)
	var wg sync.WaitGroup
	wg.Go(func() { servedA = a.callUntil(until, path, timeout) })
	wg.Go(func() { servedB = b.callUntil(until, path, timeout) })
	wg.Wait()
	return servedA, servedB
}

// One instance of three that responds with bytes without end held the callers of two thirds of all requests until their
// deadline, again and again. It must cost its service little more than its part, and get requests again once it is well.
// The rate is compared with that of a sound service at the same time, since other load on the machine changes both.
func TestOneInstanceInTroubleCostsLittle(t *testing.T) {
	const span = 3 * time.Second
	for _, c := range troubles {
		for _, caller := range []struct {
			name, path string
			timeout    time.Duration
		}{
			{"not repeatable", "/unsafe/", 10 * time.Second},
			{"repeatable", "/safe/", 10 * time.Second},
			{"not repeatable, callers leave at their deadline", "/unsafe/", 490 * time.Millisecond},
		} {
			t.Run(c.name+", "+caller.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				h, sound := newHarness(t), newHarness(t)
				bad := h.addTroubled("bad")
				h.addTroubled("b")
				h.addTroubled("c")
				for _, id := range []string{"a", "b", "c"} {
					sound.addTroubled(id)
				}
				h.callUntil(time.Now().Add(span), caller.path, caller.timeout)
				g.Expect(bad.received.Load()).To(BeNumerically(">", 0))
				bad.trouble.Store(&c.text)
				h.callUntil(time.Now().Add(time.Second), caller.path, caller.timeout) // until the trouble is known
				before := bad.received.Load()
				served, calm := callBoth(h, sound, span, caller.path, caller.timeout)
				trials := bad.received.Load() - before
				t.Logf("served %d, %d by the sound service, %d requests to the instance", served, calm, trials)
				g.Expect(calm).To(BeNumerically(">", 0))
				g.Expect(served).To(BeNumerically(">", calm*2/3), "the part of the other two")
				g.Expect(trials).To(BeNumerically("<=", 4))
				bad.trouble.Store(nil)
				before = bad.received.Load()
				h.callUntil(time.Now().Add(2*span), caller.path, caller.timeout)
				g.Expect(bad.received.Load()-before).To(BeNumerically(">", trials+20), "the instance is well and gets requests again")
			})
		}
	}
}

// Where all instances send invalid responses, a request goes to one of them rather than nowhere: it may have recovered.
func TestInstancesInTroubleAreBetterThanNone(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	a, b := h.addTroubled("a"), h.addTroubled("b")
	for _, i := range []*troubledInstance{a, b} {
		i.trouble.Store(&troubles[0].text)
	}
	for range 10 {
		g.Expect(h.call(http.MethodPost, "/unsafe/", "", nil).status).To(Equal(http.StatusBadGateway))
	}
	for _, i := range []*troubledInstance{a, b} {
		i.trouble.Store(nil)
	}
	g.Expect(h.call(http.MethodPost, "/unsafe/", "", nil).status).To(Equal(http.StatusOK))
}

// A working instance stops at the deadline that was forwarded to it. It must get requests as before, although none of its
// long responses ends in time.
func TestLongResponsesOfASoundInstanceAreNoTrouble(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		deadline := time.Now().Add(500 * time.Millisecond)
		for text := strings.Repeat("x", 64<<10); time.Now().Before(deadline) && r.Context().Err() == nil; time.Sleep(time.Millisecond) {
			_, _ = io.WriteString(w, text)
		}
		closeConnection(w)
	})
	for range 5 {
		_ = h.call(http.MethodPost, "/unsafe/", "", map[string]string{"Patience": "500"})
	}
	time.Sleep(400 * time.Millisecond)
	g.Expect(h.recorder.counts["attempt.endless"]).To(BeZero())
}
