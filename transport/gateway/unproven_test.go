package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// refuseAfterRun returns a handler that runs a request and responds with a status.
func refuseAfterRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "of the instance")
	}
}

// Guards against a second run: an instance's refusal that does not say that the request has not run is no promise to the caller.
func TestUnprovenRefusalIsNoPromiseToCaller(t *testing.T) {
	for _, status := range promisingStatuses {
		for _, c := range []struct {
			path string
			// runs is how many instances get the request.
			runs int
		}{
			{"/unsafe/x", 1},
			{"/once/x", 1},
			{"/safe/x", 2},
			{"/stream/x", 2},
		} {
			for _, isForwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d %s, forwarded %t", status, c.path, isForwarded), func(t *testing.T) {
					g := NewWithT(t)
					h := newHarness(t)
					serving := h
					if isForwarded {
						h, serving = newForwardingPair(t)
					}
					for _, id := range []string{"a", "b"} {
						serving.addInstance("plain "+id, "plain", refuseAfterRun(status))
						serving.addInstance("lm "+id, "lm", refuseAfterRun(status))
					}
					got := h.call(http.MethodPost, c.path, "x", nil)
					g.Expect(got.err).NotTo(HaveOccurred())
					g.Expect(got.status).To(Equal(http.StatusBadGateway))
					g.Expect(got.header.Get("Seal")).To(BeEmpty())
					g.Expect(got.header.Get("Retry-After")).To(BeEmpty())
					g.Expect(serving.runLog.all()).To(HaveLen(c.runs))
					g.Expect(serving.recorder.count("attempt.unproven-refusal")).To(Equal(c.runs))
				})
			}
		}
	}
}

// Nodes of earlier builds relay such a refusal as the response of an instance.
func TestUnprovenRefusalOfEarlierBuildIsNoPromiseToCaller(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.peers.partitioned = true
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "seal-of-a")
		w.Header().Set("Troutmast-Forward-Result", "{}")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(srv.Close)
	h.peers.peers = append(h.peers.peers, peerAt(netip.MustParseAddrPort(srv.Listener.Addr().String())))
	got := h.call(http.MethodPost, "/unsafe/x", "x", nil)
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.status).To(Equal(http.StatusBadGateway))
	g.Expect(got.header.Get("Seal")).To(BeEmpty())
}
