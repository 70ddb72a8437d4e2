package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/internal/surplus"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/protocol/target"
)

// Guards against a second run: the late copy of a refusal was taken for the response to the next send of the request.
func TestCopyOfARefusalDoesNotAnswerTheNextSend(t *testing.T) {
	g := NewWithT(t)
	var sends atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		if sends.Add(1) == 1 {
			w.Header().Set(target.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "done")
	}))
	srv.Listener = surplus.NewListener(srv.Listener, surplus.Refusals)
	srv.Start()
	defer srv.Close()
	kept := exchange.New(exchange.Options{DialTimeout: time.Second, KeepAlive: true, IdleConns: 2})
	c := target.NewClient(kept, kept, exchange.New(exchange.Options{DialTimeout: time.Second}))
	q := &request{id: "r1"}
	call := target.Call{Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Method: http.MethodPost, Path: "/", Body: []byte("x"), RequestID: q.id}
	for _, want := range []retry.Outcome{retry.NotRun, retry.Completed, retry.Completed} {
		resp, outcome, _ := c.Send(context.Background(), q.nextSend(call))
		g.Expect(outcome).To(Equal(want))
		if resp != nil {
			_ = resp.Body.Close()
		}
	}
}
