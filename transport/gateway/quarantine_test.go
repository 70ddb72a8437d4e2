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

func TestAQuarantinedRequestIsRefusedBeforeAnythingIsSent(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "plain", ok("x"))
	l.quarantine.held[fingerprintOf("/safe/x?q=1", "deadly")] = true
	for _, header := range []map[string]string{nil, {"Id": "r2", "Patience": "1500", "Other": "header"}} {
		a := l.call(http.MethodPost, "/safe/x?q=1", "deadly", header)
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "the attempt has not run")
		g.Expect(a.body).To(Equal("quarantined\n"))
		g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(l.journal.all()).To(BeEmpty())
	g.Expect(l.counts.counts["refused.quarantined"]).To(Equal(2))
	for _, sound := range []struct{ path, body string }{{"/safe/x?q=2", "deadly"}, {"/safe/x?q=1", "sound"}, {"/public/x?q=1", "deadly"}} {
		g.Expect(l.call(http.MethodPost, sound.path, sound.body, nil).status).To(Equal(http.StatusOK), sound.path)
	}
}

// A request that is quarantined during an attempt is not retried on another instance.
func TestAnAttemptEndsWhenItsRequestIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	f := fingerprintOf("/safe/", "deadly")
	crash := func(w http.ResponseWriter, _ *http.Request) {
		l.quarantine.mu.Lock()
		l.quarantine.held[f] = true
		l.quarantine.mu.Unlock()
		cut(w)
	}
	l.instance("a", "plain", crash)
	l.instance("b", "plain", crash)
	a := l.call(http.MethodPost, "/safe/", "deadly", nil)
	g.Expect(a.status).To(Equal(http.StatusBadGateway), "the attempt may have run")
	g.Expect(a.header.Get("Retry-After")).To(BeEmpty())
	g.Expect(l.journal.all()).To(HaveLen(1))
}

func TestTheQuarantineLearnsHowAttemptsEnd(t *testing.T) {
	f := fingerprintOf("/unsafe/", "x")
	for _, c := range []struct {
		name             string
		answer           http.HandlerFunc
		broken, answered bool
	}{
		{"a whole answer", ok("x"), false, true},
		{"a failure of the instance", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false, false},
		{"a refusal of the instance", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false, false},
		{"no answer", func(w http.ResponseWriter, _ *http.Request) { cut(w) }, true, false},
		{"an answer cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("short"))
			cut(w)
		}, true, false},
		{"an answer that ends with its connection", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			w.Header().Set("Connection", "close")
			_, _ = w.Write([]byte("whole, or not"))
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("a", "plain", c.answer)
			l.call(http.MethodPost, "/unsafe/", "x", nil)
			g.Expect(l.quarantine.broken).To(HaveLen(map[bool]int{true: 1}[c.broken]))
			g.Expect(l.quarantine.answered).To(HaveLen(map[bool]int{true: 1}[c.answered]))
			for _, seen := range append(l.quarantine.broken, l.quarantine.answered...) {
				g.Expect(seen).To(Equal(f))
			}
		})
	}
}

func TestAnAddressThatRefusesConnectionsProvesThatItsInstanceEnded(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.at("a", "plain", deadAddress(t))
	l.call(http.MethodPost, "/unsafe/", "x", nil)
	g.Expect(l.quarantine.refused).To(ContainElement(BeEquivalentTo("a")))
	g.Expect(l.quarantine.broken).To(BeEmpty(), "no request was in progress at the instance")
}

// A suspected request may end its instance, so it goes where the fewest other requests would fail
// with it.
func TestASuspectGoesToTheInstanceThatHoldsTheFewestRequests(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	for _, id := range []string{"a", "b", "c"} {
		l.instance(id, "plain", ok("x"))
	}
	l.table.SetOthers(map[state.InstanceID]int{"a": 2, "c": 3}, nil, nil)
	l.quarantine.suspected[fingerprintOf("/safe/", "suspect")] = true
	for range 10 {
		g.Expect(l.call(http.MethodPost, "/safe/", "suspect", nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(l.runsAt("b")).To(Equal(10))
	l.table.SetOthers(map[state.InstanceID]int{"a": 2, "b": 9, "c": 3}, nil, nil)
	g.Expect(l.call(http.MethodPost, "/safe/", "suspect", nil).status).To(Equal(http.StatusOK))
	g.Expect(l.runsAt("a")).To(Equal(1))
	// Requests that are not suspected are still spread over all instances.
	l.table.SetOthers(nil, nil, nil)
	for range 60 {
		l.call(http.MethodPost, "/safe/", "sound", nil)
	}
	g.Expect(l.runsAt("c")).To(BeNumerically(">", 0))
}
