package direct_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/direct"
)

// The conditions for sending a request may change while it waits for a connection. A request whose
// check then fails must not be sent, and the new connection stays in the pool for the next request.
func TestFailedCheckSendsNothingAndKeepsTheConnection(t *testing.T) {
	g := NewWithT(t)
	var requests, connections atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = io.WriteString(w, "x")
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	errCheck := errors.New("not now")
	for range 2 {
		_, err := pool.Do(context.Background(), addr, &direct.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, BeforeSend: func() error { return errCheck }})
		g.Expect(err).To(MatchError(direct.ErrNotSent))
		g.Expect(err).To(MatchError(errCheck))
	}
	g.Expect(requests.Load()).To(BeZero())
	resp, err := pool.Do(context.Background(), addr, &direct.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, BeforeSend: func() error { return nil }})
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	g.Expect(requests.Load()).To(BeEquivalentTo(1))
	g.Expect(connections.Load()).To(BeEquivalentTo(1))
}
