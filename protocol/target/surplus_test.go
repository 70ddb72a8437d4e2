package target_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/control"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/internal/surplus"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/protocol/target"
)

// newSurplusTarget returns a client, and the address of a target that sends each response a second time when the next request arrives
// on the connection.
func newSurplusTarget(t *testing.T, respond http.HandlerFunc) (*target.Client, netip.AddrPort) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.Header().Set(target.HeaderExchange, r.Header.Get(target.HeaderExchange))
		respond(w, r)
	}))
	srv.Listener = surplus.NewListener(srv.Listener, surplus.All)
	srv.Start()
	t.Cleanup(srv.Close)
	kept := exchange.New(exchange.Options{DialTimeout: time.Second, KeepAlive: true, IdleConns: 2})
	once := exchange.New(exchange.Options{DialTimeout: time.Second})
	return target.NewClient(kept, kept, once), netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// Guards against a probe that is answered by the late copy of the response to the one before it.
func TestCopyOfAReportIsNoReport(t *testing.T) {
	g := NewWithT(t)
	var epoch atomic.Int64
	c, addr := newSurplusTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"instance":"a","incarnation":"1","phase":"ready","group":"g","epoch":%d}`, epoch.Add(1))
	})
	valid := 0
	for range 10 {
		r, err := c.Probe(context.Background(), addr)
		if err != nil {
			continue
		}
		valid++
		g.Expect(r.Epoch).To(BeEquivalentTo(epoch.Load()))
	}
	g.Expect(valid).To(BeNumerically(">", 2), "hardly any report was accepted")
}

// Guards against an order that is believed to be accepted by the late copy of an earlier response.
func TestCopyOfAResponseAcceptsNoOrder(t *testing.T) {
	g := NewWithT(t)
	var orders atomic.Int64
	c, addr := newSurplusTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		if orders.Add(1) > 1 {
			w.WriteHeader(http.StatusConflict)
		}
	})
	g.Expect(c.Order(context.Background(), addr, control.Order{Group: "g", Epoch: 1})).To(Succeed())
	for range 5 {
		g.Expect(c.Order(context.Background(), addr, control.Order{Group: "g", Epoch: 1})).To(MatchError(target.ErrFenced))
	}
}

// Guards against the late copy of a refusal that answers another call: callers choose the IDs of their requests, and two may have
// the same.
func TestCopyOfARefusalDoesNotAnswerACallWithTheSameID(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	c, addr := newSurplusTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set(target.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	call := target.Call{Address: addr, Method: http.MethodPost, Path: "/", RequestID: "r1"}
	_, outcome, err := c.Send(context.Background(), call)
	g.Expect(err).To(MatchError(target.ErrNotRun))
	g.Expect(outcome).To(Equal(retry.NotRun))
	mismatches := 0
	for range 5 {
		resp, outcome, err := c.Send(context.Background(), call)
		if err == nil {
			g.Expect(resp.Body.Close()).To(Succeed())
			continue
		}
		g.Expect(outcome).To(Equal(retry.Unknown), "the target has run the call")
		if errors.Is(err, target.ErrExchangeMismatch) {
			mismatches++
		}
	}
	g.Expect(mismatches).To(BeNumerically(">", 0), "no copy arrived")
}
