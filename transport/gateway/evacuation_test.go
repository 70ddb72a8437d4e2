package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// fakeEvacuations implements gateway.Evacuations.
type fakeEvacuations struct {
	mu     sync.Mutex
	phases evacuation.View
	// hiddenFor is the number of further checks that show no evacuation.
	hiddenFor int
}

func (e *fakeEvacuations) EvacuationPhase(hall state.HallName) evacuation.Phase {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hiddenFor > 0 {
		e.hiddenFor--
		return evacuation.Admitted
	}
	return e.phases[hall]
}

// setPhase sets the phase of the hall x. The first hiddenFor checks do not show it.
func (e *fakeEvacuations) setPhase(phase evacuation.Phase, hiddenFor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.phases, e.hiddenFor = evacuation.View{"x": phase}, hiddenFor
}

// newEvacuationHarness returns a harness with an instance of each service in each hall.
func newEvacuationHarness(t *testing.T, halls ...state.HallName) (*harness, *fakeEvacuations) {
	h := newHarness(t)
	evacuations := &fakeEvacuations{}
	h.gateway.Evacuations = evacuations
	for _, hall := range halls {
		h.addInstance(string(hall), "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
		h.addInstance("lm-"+string(hall), "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
		h.instances[len(h.instances)-1].Hall, h.instances[len(h.instances)-2].Hall = hall, hall
		h.updateTable()
	}
	return h, evacuations
}

// Guards against a request that was about to be sent when the node learned that the hall is evacuated.
func TestRequestIsHeldBackFromHallEvacuatedDuringDial(t *testing.T) {
	g := NewWithT(t)
	h, evacuations := newEvacuationHarness(t, "x")
	evacuations.setPhase(evacuation.Closed, 1) // the choice of an instance is the only check before the dial
	resp := h.call(http.MethodGet, "/safe/", "", nil)
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.body).To(Equal("evacuated\n"))
	g.Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(h.runLog.all()).To(BeEmpty())
	g.Expect(h.recorder.counts["evacuation.held-back"]).To(Equal(1))
	g.Expect(h.recorder.counts["refused.evacuated"]).To(Equal(1))
}

// Guards against requests, retries and resumed streams into evacuated halls while other halls serve.
func TestOnlyOtherHallsServeDuringEvacuation(t *testing.T) {
	for _, c := range []struct {
		name, path string
		phase      evacuation.Phase
	}{
		{"a plain service", "/safe/", evacuation.Closed},
		{"a group", "/stream/", evacuation.Closed},
		{"a group of a hall that has just been evacuated", "/stream/", evacuation.LastResort},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h, evacuations := newEvacuationHarness(t, "x", "y")
			evacuations.setPhase(c.phase, 0)
			for range 40 {
				g.Expect(h.call(http.MethodGet, c.path, "", nil).status).To(Equal(http.StatusOK))
			}
			for _, r := range h.runLog.all() {
				g.Expect(r.instance).To(HaveSuffix("y"))
			}
		})
	}
}

func TestRetryAndResumedStreamAvoidEvacuatedHall(t *testing.T) {
	for _, c := range []struct {
		name, path string
		breakOff   http.HandlerFunc
	}{
		{"a retry", "/safe/", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }},
		{"a resumed stream", "/stream/", func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 2)
			closeConnection(w)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h, evacuations := newEvacuationHarness(t, "x")
			service := state.ServiceName("plain")
			if c.path == "/stream/" {
				service = "lm"
			}
			h.addInstance("breaking", service, c.breakOff)
			h.instances[len(h.instances)-1].Hall = "y"
			h.updateTable()
			evacuations.setPhase(evacuation.Closed, 0)
			h.call(http.MethodGet, c.path, "", nil)
			g.Expect(h.countRuns("breaking")).To(Equal(1))
			g.Expect(h.runLog.all()).To(HaveLen(1), "nothing may be sent to the evacuated hall")
		})
	}
}

// Guards against a model that no hall serves any more while its groups elsewhere are still being formed.
func TestGroupsServeAsLastResort(t *testing.T) {
	for _, c := range []struct {
		name, path string
		phase      evacuation.Phase
		status     int
	}{
		{"a group, just evacuated", "/stream/", evacuation.LastResort, http.StatusOK},
		{"a group", "/stream/", evacuation.Closed, http.StatusServiceUnavailable},
		{"a plain service, just evacuated", "/safe/", evacuation.LastResort, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h, evacuations := newEvacuationHarness(t, "x")
			evacuations.setPhase(c.phase, 0)
			g.Expect(h.call(http.MethodGet, c.path, "", nil).status).To(Equal(c.status))
		})
	}
}

// Guards against a forwarded request that a peer sends into an evacuated hall, and against one that is lost because the
// peer refuses it.
func TestForwardedRequestIsNotServedByEvacuatedHall(t *testing.T) {
	g := NewWithT(t)
	peer, evacuations := newEvacuationHarness(t, "x")
	evacuations.setPhase(evacuation.Closed, 0)
	origin := newHarness(t)
	origin.addUnreachableInstances()
	origin.peers.peers = []forwarding.Peer{servePeer(peer)}
	resp := origin.call(http.MethodGet, "/safe/", "", nil)
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.body).To(Equal("evacuated\n"))
	g.Expect(peer.runLog.all()).To(BeEmpty())
	g.Expect(origin.peers.outcomes).To(Equal([]forwarding.Outcome{forwarding.NoTarget}))
}

// updateTable rebuilds the candidates after the instances were changed.
func (h *harness) updateTable() {
	h.table.Update(h.catalogs.current, h.instances, func(fleet.GroupKey) bool { return false })
}
