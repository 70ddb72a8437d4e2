package direct_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/direct"
)

// Guards against targets that are escaped again or lose a part on their way.
func TestTargetIsSentUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { targets <- r.RequestURI }))
	defer srv.Close()
	addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	for _, target := range []string{
		"/", "/a/b%20c?x=1", "/a?", "/a|b", "/a:b", "//", "//a/b%20c?x=1", "//a?", "//a|b", "///a//b", "//a:b@c/%2F", "//" + strings.Repeat("a", 8192),
	} {
		t.Run(target[:min(len(target), 16)], func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				g := NewWithT(t)
				resp, err := pool.Do(context.Background(), addr, &direct.Request{Method: method, URI: target, Host: "h", Header: http.Header{}, Body: []byte("body"), HasBody: true})
				g.Expect(err).NotTo(HaveOccurred())
				resp.Close()
				g.Expect(targets).To(Receive(Equal(target)))
			}
		})
	}
}
