package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state"
)

// fingerprintOf returns the fingerprint of a POST request of the test team.
func fingerprintOf(target, body string) quarantine.Fingerprint {
	return quarantine.NewFingerprint(quarantine.Content{Method: http.MethodPost, Host: "h", Target: target, Caller: "team", Body: []byte(body)})
}

func TestQuarantinedRequestIsRefusedBeforeAnySend(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", respondWith("x"))
	h.quarantine.held[fingerprintOf("/safe/x?q=1", "deadly")] = true
	for _, header := range []map[string]string{nil, {"Id": "r2", "Patience": "1500", "Other": "header"}} {
		a := h.call(http.MethodPost, "/safe/x?q=1", "deadly", header)
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "the attempt has not run")
		g.Expect(a.body).To(Equal("quarantined\n"))
		g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(h.runLog.all()).To(BeEmpty())
	g.Expect(h.recorder.counts["refused.quarantined"]).To(Equal(2))
	for _, sound := range []struct{ path, body string }{{"/safe/x?q=2", "deadly"}, {"/safe/x?q=1", "sound"}, {"/public/x?q=1", "deadly"}} {
		g.Expect(h.call(http.MethodPost, sound.path, sound.body, nil).status).To(Equal(http.StatusOK), sound.path)
	}
}

// A request that is quarantined during an attempt is not retried on another instance.
func TestRequestQuarantinedDuringAttemptIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	f := fingerprintOf("/safe/", "deadly")
	crash := func(w http.ResponseWriter, _ *http.Request) {
		h.quarantine.mu.Lock()
		h.quarantine.held[f] = true
		h.quarantine.mu.Unlock()
		closeConnection(w)
	}
	h.addInstance("a", "plain", crash)
	h.addInstance("b", "plain", crash)
	a := h.call(http.MethodPost, "/safe/", "deadly", nil)
	g.Expect(a.status).To(Equal(http.StatusBadGateway), "the attempt may have run")
	g.Expect(a.header.Get("Retry-After")).To(BeEmpty())
	g.Expect(h.runLog.all()).To(HaveLen(1))
}

func TestQuarantineRecordsAttemptOutcomes(t *testing.T) {
	f := fingerprintOf("/unsafe/", "x")
	for _, c := range []struct {
		name                     string
		answer                   http.HandlerFunc
		wantBroken, wantAnswered bool
	}{
		{"complete response", respondWith("x"), false, true},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false, false},
		{"refusal by the instance", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false, false},
		{"no response", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, true, false},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("short"))
			closeConnection(w)
		}, true, false},
		{"response delimited by the end of its connection", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			w.Header().Set("Connection", "close")
			_, _ = w.Write([]byte("whole, or not"))
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", c.answer)
			h.call(http.MethodPost, "/unsafe/", "x", nil)
			g.Expect(h.quarantine.broken).To(HaveLen(map[bool]int{true: 1}[c.wantBroken]))
			g.Expect(h.quarantine.answered).To(HaveLen(map[bool]int{true: 1}[c.wantAnswered]))
			for _, seen := range append(h.quarantine.broken, h.quarantine.answered...) {
				g.Expect(seen).To(Equal(f))
			}
		})
	}
}

func TestRefusedConnectionIsReportedToQuarantine(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstanceAt("a", "plain", refusingAddress(t))
	h.call(http.MethodPost, "/unsafe/", "x", nil)
	g.Expect(h.quarantine.refused).To(ContainElement(BeEquivalentTo("a")))
	g.Expect(h.quarantine.broken).To(BeEmpty(), "no request was in progress at the instance")
}

// A suspected request may end its instance, so it goes where the fewest other requests would fail
// with it.
func TestSuspectedRequestGoesToLeastLoadedInstance(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		h.addInstance(id, "plain", respondWith("x"))
	}
	h.table.UpdateLoad(map[state.InstanceID]int{"a": 2, "c": 3}, nil, nil)
	h.quarantine.suspected[fingerprintOf("/safe/", "suspect")] = true
	for range 10 {
		g.Expect(h.call(http.MethodPost, "/safe/", "suspect", nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(h.countRuns("b")).To(Equal(10))
	h.table.UpdateLoad(map[state.InstanceID]int{"a": 2, "b": 9, "c": 3}, nil, nil)
	g.Expect(h.call(http.MethodPost, "/safe/", "suspect", nil).status).To(Equal(http.StatusOK))
	g.Expect(h.countRuns("a")).To(Equal(1))
	// Requests that are not suspected are still spread over all instances.
	h.table.UpdateLoad(nil, nil, nil)
	for range 60 {
		h.call(http.MethodPost, "/safe/", "sound", nil)
	}
	g.Expect(h.countRuns("c")).To(BeNumerically(">", 0))
}
