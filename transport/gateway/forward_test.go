package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/gateway"
)

// servePeer serves forwarded requests for the given harness and returns it as a peer.
func servePeer(h *harness) forwarding.Peer {
	srv := httptest.NewServer(http.HandlerFunc(h.gateway.ServeForwarded))
	h.t.Cleanup(srv.Close)
	return peerAt(netip.MustParseAddrPort(srv.Listener.Addr().String()))
}

// peerAt returns a peer with an address.
func peerAt(address netip.AddrPort) forwarding.Peer {
	return forwarding.Peer{Address: address, Hall: "hall"}
}

// newForwardingPair returns a node that is partitioned from all instances and a node that it forwards to.
func newForwardingPair(t *testing.T) (origin, peer *harness) {
	origin, peer = newHarness(t), newHarness(t)
	origin.peers.partitioned = true
	origin.peers.peers = []forwarding.Peer{servePeer(peer)}
	return origin, peer
}

func TestForwardedRequestIsServedOnce(t *testing.T) {
	for _, c := range []struct{ name, path, service, body string }{
		{"a request that may be repeated", "/safe/x?q=1", "plain", ""},
		{"a request that may not be repeated", "/unsafe/x//y", "plain", "content"},
		{"a request that needs no key", "/public/x", "plain", ""},
		{"a stream", "/stream/x", "lm", "prompt"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			origin, peer := newForwardingPair(t)
			peer.addInstance("a", "plain", func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte("answer to " + r.RequestURI)) })
			peer.addInstance("b", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
			got := origin.call(http.MethodPost, c.path, c.body, map[string]string{"Troutmast-Forward": "forged"})
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.status).To(Equal(http.StatusOK))
			g.Expect(got.header.Get("Seal")).NotTo(BeEmpty())
			g.Expect(got.header.Get("Troutmast-Forward-Result")).To(BeEmpty())
			if c.service == "plain" {
				g.Expect(got.body).To(Equal("answer to " + c.path))
			} else {
				g.Expect(strings.Count(got.body, "id: ")).To(Equal(3))
			}
			runs := peer.runLog.all()
			g.Expect(runs).To(HaveLen(1))
			g.Expect(runs[0].body).To(Equal(c.body))
			g.Expect(runs[0].header.Get("Troutmast-Forward")).To(BeEmpty())
			g.Expect(runs[0].header.Get("Key")).To(BeEmpty())
		})
	}
}

// A refusal of the other node must reach the caller as a refusal that names a retry delay, and the request must go no further.
func TestForwardedRequestGoesNoFurther(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	peer.peers.partitioned = true
	peer.peers.peers = []forwarding.Peer{servePeer(origin)}
	got := origin.call(http.MethodGet, "/safe/x", "", nil)
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(got.body).To(Equal(string(gateway.CodeNoTarget) + "\n"))
	g.Expect(peer.recorder.counts["forward.received"]).To(Equal(1))
	g.Expect(origin.peers.outcomes).To(Equal([]forwarding.Outcome{forwarding.NoTarget}))
	g.Expect(origin.recorder.counts["forward.received"]).To(BeZero())
}

func TestForwardedRequestIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		header map[string]string
		change func(origin, peer *harness)
		code   gateway.Code
		// outcomes are what the forwarded requests show of the peer.
		outcomes []forwarding.Outcome
	}{
		{"the other node's keys may be stale", nil, func(_, peer *harness) { peer.catalogs.stale.Store(true) }, gateway.CodeKeysStale, []forwarding.Outcome{forwarding.Reached}},
		{"the other node is stopping", nil, func(_, peer *harness) { peer.gateway.RefuseNew() }, gateway.CodeStopping, []forwarding.Outcome{forwarding.NoTarget}},
		{"the other node serves too many", nil, func(_, peer *harness) {
			peer.gateway.Receiver = forwarding.NewReceiver(forwarding.Policy{})
		}, gateway.CodeForwardLimit, []forwarding.Outcome{forwarding.Reached}},
		{"the node's own keys are stale", nil, func(origin, _ *harness) { origin.catalogs.stale.Store(true) }, gateway.CodeKeysStale, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			origin, peer := newForwardingPair(t)
			peer.addInstance("a", "plain", func(http.ResponseWriter, *http.Request) {})
			c.change(origin, peer)
			got := origin.call(http.MethodGet, "/safe/x", "", c.header)
			g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(got.body).To(Equal(string(c.code) + "\n"))
			g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(peer.runLog.all()).To(BeEmpty())
			g.Expect(origin.peers.outcomes).To(Equal(c.outcomes))
		})
	}
}

func TestUnreachablePeerIsReplacedByAnother(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	peer.addInstance("a", "plain", func(http.ResponseWriter, *http.Request) {})
	origin.peers.peers = append([]forwarding.Peer{{Address: refusingAddress(t)}}, origin.peers.peers...)
	got := origin.call(http.MethodPost, "/unsafe/x", "content", nil)
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(peer.runLog.all()).To(HaveLen(1))
	g.Expect(origin.peers.outcomes).To(Equal([]forwarding.Outcome{forwarding.Unreachable, forwarding.Reached}))
	g.Expect(origin.peers.inFlight).To(BeZero())
}

// A node that reaches instances must forward nothing.
func TestRequestIsNotForwardedWithoutNeed(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	origin.peers.partitioned = false
	origin.addInstance("a", "plain", func(http.ResponseWriter, *http.Request) {})
	g.Expect(origin.call(http.MethodGet, "/safe/x", "", nil).status).To(Equal(http.StatusOK))
	g.Expect(origin.call(http.MethodGet, "/stream/x", "", nil).status).To(Equal(http.StatusServiceUnavailable), "no node has a group")
	g.Expect(peer.recorder.counts["forward.received"]).To(BeZero())
}

// A stream whose instance becomes unreachable is resumed at the other node after the last event that the caller received.
func TestInterruptedStreamResumesAtAnotherNode(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	origin.peers.partitioned = false
	origin.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		origin.peers.mu.Lock()
		origin.peers.partitioned = true
		origin.peers.mu.Unlock()
		closeConnection(w)
	})
	peer.addInstance("b", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, 4) })
	got := origin.call(http.MethodPost, "/stream/x", "prompt", nil)
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.header.Get("Seal")).To(Equal("seal-of-a"))
	g.Expect(got.body).To(Equal("id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n"))
	g.Expect(peer.runLog.all()[0].last).To(Equal("2"))
}

// The other node must stop working for a caller that has disconnected.
func TestForwardedRequestEndsWithItsCaller(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	running, ended := make(chan struct{}), make(chan struct{})
	peer.addInstance("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-running
		cancel()
	}()
	origin.callWith(ctx, http.MethodGet, "/safe/x", "", nil)
	g.Eventually(ended, 2*time.Second).Should(BeClosed())
}

// The time that the instance gets must not exceed what the caller gave.
func TestForwardedRequestKeepsItsDeadline(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	peer.addInstance("a", "plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	began := time.Now()
	got := origin.call(http.MethodGet, "/safe/x", "", map[string]string{"Patience": "300"})
	g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	left, err := time.ParseDuration(peer.runLog.all()[0].header.Get("Left") + "ms")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeNumerically("<=", 300*time.Millisecond))
}

// behaviors are the ways in which an instance handles a request, by name.
var behaviors = map[string]http.HandlerFunc{
	"answers": func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/stream") || strings.HasPrefix(r.RequestURI, "/once") {
			writeEvents(w, 1, 2)
		}
	},
	"breaks off": func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) },
	"fails":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	"refuses": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	},
}

// For any instances on both sides, a request runs at no more instances than its route allows, at most once if it is not
// repeatable, and at none if the response states that it has not run.
func TestForwardedRequestsKeepTheBoundsOfTheirRoute(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kinds := []string{"answers", "breaks off", "fails", "refuses"}
		origin, peer := newForwardingPair(t)
		origin.peers.partitioned = rapid.Bool().Draw(rt, "partitioned")
		path := rapid.SampledFrom([]string{"/safe/", "/unsafe/", "/stream/", "/once/"}).Draw(rt, "route")
		ran := 0
		for _, h := range []*harness{origin, peer} {
			for _, kind := range rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 3).Draw(rt, "instances") {
				for _, service := range []string{"plain", "lm"} {
					id := fmt.Sprintf("%s %d %s", service, len(h.instances), kind)
					h.addInstance(id, state.ServiceName(service), behaviors[kind])
				}
			}
		}
		if rapid.Bool().Draw(rt, "others are unreachable") {
			origin.addUnreachableInstances()
		}
		if rapid.Bool().Draw(rt, "peer is down") {
			origin.peers.peers = []forwarding.Peer{{Address: refusingAddress(t)}}
		}
		got := origin.call(http.MethodPost, path, "content", nil)
		for _, h := range []*harness{origin, peer} {
			for _, r := range h.runLog.all() {
				if !strings.HasSuffix(r.instance, "refuses") {
					ran++
				}
			}
		}
		most := 2
		if path == "/unsafe/" || path == "/once/" {
			most = 1
		}
		if ran > most {
			rt.Fatalf("the request ran at %d instances, the route allows %d", ran, most)
		}
		if got.status == http.StatusServiceUnavailable && ran > 0 {
			rt.Fatalf("the caller was told that the request has not run, but it ran at %d instances", ran)
		}
		if n := peer.recorder.counts["forward.received"]; n > 1 {
			rt.Fatalf("the request was forwarded %d times", n)
		}
	})
}

func TestAttemptsBeforeForwardingCount(t *testing.T) {
	for _, c := range []struct {
		name, path    string
		first, second string
		runs, status  int
	}{
		{"an attempt that broke off", "/safe/x", "breaks off", "breaks off", 2, http.StatusBadGateway},
		{"an attempt that failed", "/safe/x", "fails", "fails", 2, http.StatusInternalServerError},
		{"an attempt that was refused", "/safe/x", "refuses", "fails", 3, http.StatusInternalServerError},
		{"an attempt that may have run and may not be repeated", "/unsafe/x", "breaks off", "answers", 1, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			origin, peer := newForwardingPair(t)
			origin.peers.partitioned = false
			origin.addInstance("own", "plain", behaviors[c.first])
			origin.addUnreachableInstances()
			for _, id := range []string{"a", "b", "c"} {
				peer.addInstance(id, "plain", behaviors[c.second])
			}
			g.Expect(origin.call(http.MethodPost, c.path, "content", nil).status).To(Equal(c.status))
			g.Expect(len(origin.runLog.all()) + len(peer.runLog.all())).To(Equal(c.runs))
		})
	}
}

// Forwarding a request that an instance has received is a retry of the service and needs its budget.
func TestForwardingAfterAnAttemptNeedsTheRetryBudget(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	origin.peers.partitioned = false
	origin.gateway.SetNodes(1000) // reduces this node's share of the slack to almost nothing
	origin.addInstance("own", "plain", behaviors["refuses"])
	origin.addUnreachableInstances()
	peer.addInstance("a", "plain", behaviors["answers"])
	g.Expect(origin.call(http.MethodGet, "/safe/x", "", nil).status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(peer.runLog.all()).To(BeEmpty())
	origin.gateway.SetNodes(1)
	g.Expect(origin.call(http.MethodGet, "/safe/x", "", nil).status).To(Equal(http.StatusOK))
}

// An instance that refused a request at the other node has received it: sending it again is a retry.
func TestArrivalsAtAnotherNodeCountAsAttempts(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	origin.gateway.SetNodes(1000) // reduces this node's share of the slack to almost nothing
	origin.addInstance("own", "plain", behaviors["answers"])
	peer.addInstance("other", "plain", func(w http.ResponseWriter, r *http.Request) {
		origin.peers.mu.Lock()
		origin.peers.partitioned = false
		origin.peers.mu.Unlock()
		behaviors["refuses"](w, r)
	})
	g.Expect(origin.call(http.MethodGet, "/safe/x", "", nil).status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(peer.runLog.all()).To(HaveLen(1))
	g.Expect(origin.runLog.all()).To(BeEmpty())
}

// A request whose response was lost at the other node may have run there, even if this node reaches instances again.
func TestRequestLostAtAnotherNodeIsNotSentAgain(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			origin, peer := newForwardingPair(t)
			breakOff := func(w http.ResponseWriter, _ *http.Request) {
				origin.peers.mu.Lock()
				origin.peers.partitioned = false
				origin.peers.mu.Unlock()
				closeConnection(w)
			}
			for _, service := range []state.ServiceName{"plain", "lm"} {
				origin.addInstance("own "+string(service), service, behaviors["answers"])
				peer.addInstance("other "+string(service), service, breakOff)
			}
			g.Expect(origin.call(http.MethodPost, path, "content", nil).status).To(Equal(http.StatusBadGateway))
			g.Expect(origin.runLog.all()).To(BeEmpty())
			g.Expect(peer.runLog.all()).To(HaveLen(1))
		})
	}
}

// A request that is quarantined once its first instance has ended must not reach another one by way of another node.
func TestQuarantinedRequestIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	origin.peers.partitioned = false
	origin.quarantine.holdsInterrupted = true
	origin.addInstance("own", "plain", behaviors["breaks off"])
	origin.addUnreachableInstances()
	peer.addInstance("other", "plain", behaviors["answers"])
	g.Expect(origin.call(http.MethodGet, "/safe/x", "", nil).status).NotTo(Equal(http.StatusOK))
	g.Expect(peer.runLog.all()).To(BeEmpty())
}

func TestInvalidForwardedRequestIsRefused(t *testing.T) {
	for _, value := range []string{
		"", "x", "{}", "[]", `{"origin":"a"}`, `{"origin":"a","attempts":1}`, `{"origin":"a","attempts":0,"left":100}`, `{"origin":"a","attempts":1,"left":-1}`,
		`{"origin":"a","attempts":"1","left":100}`, `{"origin":"a","attempts":1,"left":100,"service":"plain","team":"other"}`, `{"origin":"a","attempts":1,"left":100,"service":"plain"}`,
		`{"origin":"a","attempts":1,"left":100,"service":"plain","public":true}`,
	} {
		t.Run(value, func(t *testing.T) {
			g := NewWithT(t)
			peer := newHarness(t)
			peer.addInstance("a", "plain", behaviors["answers"])
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+servePeer(peer).Address.String()+gateway.ForwardPath+"/safe/x", nil)
			g.Expect(err).NotTo(HaveOccurred())
			for name, text := range map[string]string{"Id": "r1", "Key": "k", "Troutmast-Forward": value} {
				req.Header.Set(name, text)
			}
			resp, err := http.DefaultClient.Do(req)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Body.Close()).To(Succeed())
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(peer.runLog.all()).To(BeEmpty())
		})
	}
}

// The node that sends a request to an instance counts its demand, from which its share of the instances' rates follows; counted
// at both nodes, the request would be planned for twice.
func TestForwardedRequestCountsInTheDemandOfItsReceiver(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	peer.addInstance("a", "plain", behaviors["answers"])
	g.Expect(origin.call(http.MethodGet, "/safe/x", "", nil).status).To(Equal(http.StatusOK))
	g.Expect(origin.gateway.Demand.Flows(time.Now())).To(BeEmpty())
	g.Expect(peer.gateway.Demand.Flows(time.Now())).To(HaveLen(1))
	origin.peers.peers = nil
	origin.call(http.MethodGet, "/safe/x", "", nil)
	g.Expect(origin.gateway.Demand.Flows(time.Now())).To(HaveLen(1), "a request that is not forwarded counts where it arrived")
}
