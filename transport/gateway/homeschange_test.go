package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/event"
	"github.com/troutmast/troutmast/transport/gateway"
)

// hookedCodec is a codec that calls a function after an instance was picked and before the request is sent to it.
type hookedCodec struct {
	testDialect
	beforeSend func()
}

func (c hookedCodec) SetForwardHeaders(h http.Header, f gateway.ForwardInfo) {
	c.beforeSend()
	c.testDialect.SetForwardHeaders(h, f)
}

// hookedRecorder is a recorder that calls a function after a node was chosen to forward a request to.
type hookedRecorder struct {
	*fakeRecorder
	beforeForward func()
}

func (r hookedRecorder) LogDecision(d event.Decision) {
	if _, ok := d.(*event.RequestForwarded); ok {
		r.beforeForward()
	}
}

// A connection may take longer to establish than a configuration takes to change. A request whose home moves meanwhile must
// not reach the instance that was picked for it.
func TestHomeThatMovesBeforeTheSendHoldsTheRequestBack(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h := newHomesHarness(t, "hall", homesCatalog(1, []state.RegionName{"south"}, nil))
			var once sync.Once
			h.gateway.Codec = hookedCodec{beforeSend: func() {
				once.Do(func() { h.source.current.Store(homesCatalog(2, nil, []state.RegionName{"north"})) })
			}}
			for _, service := range []state.ServiceName{"plain", "lm"} {
				h.addInHall("before "+string(service), service, "hall", answer)
				h.addInHall("after "+string(service), service, "north-1", answer)
			}
			h.source.current.Store(homesCatalog(1, []state.RegionName{"south"}, nil))
			got := h.call(http.MethodPost, path, "content", nil)
			g.Expect(got.status).To(Equal(http.StatusOK))
			g.Expect(h.recorder.counts["held-back.not-home"]).To(Equal(1))
			runs := h.runLog.all()
			g.Expect(runs).To(HaveLen(1))
			g.Expect(runs[0].instance).To(HavePrefix("after"))
		})
	}
}

// The same holds for a node that was chosen to forward a request to. It would also be told home regions that are out of date.
func TestHomeThatMovesBeforeForwardingHoldsTheBodyBack(t *testing.T) {
	for _, c := range []struct {
		name       string
		next, team []state.RegionName
	}{
		{"to a region that the node is not in", []state.RegionName{"west"}, nil},
		{"to a region that the node is in, but was not told of", []state.RegionName{"south"}, nil},
		{"from none to one", []state.RegionName{"north"}, nil},
		{"from none to no common region", []state.RegionName{"north"}, []state.RegionName{"south"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			first := homesCatalog(1, nil, nil)
			origin, peer := newHomesHarness(t, "south-2", first), newHomesHarness(t, "hall", first)
			origin.peers.partitioned = true
			origin.peers.peers = []forwarding.Peer{peerOf(peer, "hall", true)}
			peer.addInHall("a", "plain", "hall", answer)
			origin.gateway.Recorder = hookedRecorder{origin.recorder, func() { origin.source.current.Store(homesCatalog(2, c.next, c.team)) }}
			got := origin.call(http.MethodPost, "/safe/x", "content", nil)
			g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(peer.recorder.counts["forward.received"]).To(BeZero())
			g.Expect(origin.peers.inFlight).To(BeZero())
		})
	}
}
