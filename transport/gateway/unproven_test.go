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
		for _, path := range []string{"/unsafe/x", "/once/x"} {
			for _, isForwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d %s, forwarded %t", status, path, isForwarded), func(t *testing.T) {
					g := NewWithT(t)
					h, serving := newHarnesses(t, isForwarded)
					for _, id := range []string{"a", "b"} {
						serving.addInstance("plain "+id, "plain", refuseAfterRun(status))
						serving.addInstance("lm "+id, "lm", refuseAfterRun(status))
					}
					got := h.call(http.MethodPost, path, "x", nil)
					g.Expect(got.err).NotTo(HaveOccurred())
					g.Expect(got.status).To(Equal(http.StatusBadGateway))
					g.Expect(got.header.Get("Seal")).To(BeEmpty())
					g.Expect(got.header.Get("Retry-After")).To(BeEmpty())
					g.Expect(serving.runLog.all()).To(HaveLen(1))
					g.Expect(serving.recorder.count("attempt.unproven-refusal")).To(Equal(1))
				})
			}
		}
	}
}

// newHarnesses returns the harness that callers call and the one whose instances serve: the same, or that of a peer.
func newHarnesses(t *testing.T, isForwarded bool) (called, serving *harness) {
	if isForwarded {
		return newForwardingPair(t)
	}
	h := newHarness(t)
	return h, h
}

// What may be repeated reaches the caller as the instance's own failure, once no other instance has served it.
func TestRefusalOfRepeatableRequestIsRelayed(t *testing.T) {
	for _, isForwarded := range []bool{false, true} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(fmt.Sprintf("%s, forwarded %t", path, isForwarded), func(t *testing.T) {
				g := NewWithT(t)
				h, serving := newHarnesses(t, isForwarded)
				for _, id := range []string{"a", "b"} {
					serving.addInstance("plain "+id, "plain", refuseAfterRun(http.StatusServiceUnavailable))
					serving.addInstance("lm "+id, "lm", refuseAfterRun(http.StatusServiceUnavailable))
				}
				got := h.call(http.MethodPost, path, "x", nil)
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(got.body).To(Equal("of the instance"))
				g.Expect(got.header.Get("Seal")).NotTo(BeEmpty())
				g.Expect(serving.runLog.all()).To(HaveLen(2))
			})
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
