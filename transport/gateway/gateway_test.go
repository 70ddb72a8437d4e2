package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/gateway"
)

// respondWith returns a handler that responds with a body.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func TestResponseIsForwardedUnchanged(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Own", "kept")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.Method+" "+r.RequestURI)
	})
	a := h.call(http.MethodPost, "/unsafe/x%2Fy?q=%20z", "body", map[string]string{"Other": "travels", "Connection": "keep-alive"})
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.status).To(Equal(http.StatusCreated))
	g.Expect(a.body).To(Equal("POST /unsafe/x%2Fy?q=%20z"))
	g.Expect(a.header.Get("Seal")).To(Equal("seal-of-a"))
	g.Expect(a.header.Get("Own")).To(Equal("kept"))
	ran := h.runLog.all()[0]
	g.Expect(ran.body).To(Equal("body"))
	g.Expect(ran.header.Get("Other")).To(Equal("travels"))
	g.Expect(ran.header.Get("For")).To(Equal("a"))
	g.Expect(ran.header).NotTo(HaveKey("Key"))
	left, _ := strconv.Atoi(ran.header.Get("Left"))
	g.Expect(left).To(And(BeNumerically("<=", 2000), BeNumerically(">", 1000)))
}

func TestRefusalsBeforeAnySend(t *testing.T) {
	for _, c := range []struct {
		name, path     string
		header         map[string]string
		body           string
		prepare        func(h *harness)
		status         int
		wantRetryAfter bool
	}{
		{name: "no id", path: "/safe/", header: map[string]string{"Id": ""}, status: http.StatusBadRequest},
		{name: "no route", path: "/none/", status: http.StatusNotFound},
		{name: "unknown key", path: "/safe/", header: map[string]string{"Key": "other"}, status: http.StatusUnauthorized},
		{name: "too large", path: "/unsafe/", body: strings.Repeat("x", 1001), status: http.StatusRequestEntityTooLarge},
		{name: "no configuration", path: "/safe/", prepare: func(h *harness) { h.catalogs.current = nil }, status: http.StatusServiceUnavailable, wantRetryAfter: true},
		{name: "keys may be stale", path: "/safe/", prepare: func(h *harness) { h.catalogs.stale.Store(true) }, status: http.StatusServiceUnavailable, wantRetryAfter: true},
		{name: "stopping", path: "/safe/", prepare: func(h *harness) { h.gateway.RefuseNew() }, status: http.StatusServiceUnavailable, wantRetryAfter: true},
		{name: "no group serves the model", path: "/stream/", status: http.StatusServiceUnavailable, wantRetryAfter: true},
		{name: "the model is not configured", path: "/stream/", header: map[string]string{"Model": "none"}, status: http.StatusServiceUnavailable, wantRetryAfter: true},
		{name: "no model", path: "/stream/", header: map[string]string{"Model": ""}, status: http.StatusServiceUnavailable, wantRetryAfter: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", respondWith("x"))
			if c.prepare != nil {
				c.prepare(h)
			}
			a := h.call(http.MethodPost, c.path, c.body, c.header)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(c.status))
			g.Expect(a.header.Get("Retry-After") != "").To(Equal(c.wantRetryAfter))
			g.Expect(h.runLog.all()).To(BeEmpty())
		})
	}
}

// Requests for a model that the configuration does not have are refused as such and leave nothing behind: their names come from
// callers, and would grow the measured demand, which nodes send to each other.
func TestRequestsForOtherModelsAreNoDemand(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", respondWith("x"))
	for i := range 20 {
		a := h.call(http.MethodPost, "/stream/", "", map[string]string{"Model": fmt.Sprintf("removed-%d", i)})
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(a.body).To(Equal(string(gateway.CodeNoModel) + "\n"))
	}
	g.Expect(h.recorder.count("refused.no-model")).To(Equal(20))
	g.Expect(h.gateway.Demand.Flows(time.Now())).To(BeEmpty())
}

// staleOnRead is a request body that makes the keys stale when it is read.
type staleOnRead struct {
	io.Reader
	catalogs *fixedCatalogs
}

func (s staleOnRead) Read(p []byte) (int, error) {
	s.catalogs.stale.Store(true)
	return s.Reader.Read(p)
}

// Keys can become stale between the key lookup and the send: the body may take long to arrive,
// or the machine may be suspended.
func TestKeysStaleBeforeSendAreNotTrusted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", respondWith("x"))
	req, err := http.NewRequest(http.MethodPost, h.server.URL+"/unsafe/", staleOnRead{strings.NewReader("body"), h.catalogs})
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k")
	req.Header.Set("Expect", "100-continue") // the client sends the body when the node starts to read it
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	resp, err := client.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.runLog.all()).To(BeEmpty())
}

func TestPublicRouteNeedsNeitherKeyNorFreshKeys(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.catalogs.stale.Store(true)
	h.addInstance("a", "plain", respondWith("x"))
	g.Expect(h.call(http.MethodGet, "/public/", "", map[string]string{"Key": ""}).status).To(Equal(http.StatusOK))
}

func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		status int
	}{
		{"response missing", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, http.StatusBadGateway},
		{"response truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
			closeConnection(w)
		}, http.StatusBadGateway},
		{"response without seal", func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Seal") }, http.StatusBadGateway},
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "other")
			w.Header().Set("Connection", "close")
		}, http.StatusBadGateway},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", c.answer)
			h.addInstance("b", "plain", c.answer)
			a := h.call(http.MethodPost, "/unsafe/", "x", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(c.status))
			g.Expect(h.runLog.all()).To(HaveLen(1))
		})
	}
}

func TestRepeatableRequestIsRetriedOnAnotherInstance(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	h.addInstance("b", "plain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	h.addInstance("c", "plain", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	a := h.call(http.MethodGet, "/safe/", "", nil)
	g.Expect(a.status).To(BeNumerically(">=", 500))
	runs := h.runLog.all()
	g.Expect(runs).To(HaveLen(2), "at most as many attempts as the route allows")
	g.Expect(runs[0].instance).NotTo(Equal(runs[1].instance))
}

func TestRequestNotRunIsRetriedEvenIfNotRepeatable(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstanceAt("dead", "plain", refusingAddress(t))
	h.addInstance("full", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h.addInstance("good", "plain", respondWith("done"))
	for i := range 6 {
		a := h.call(http.MethodPost, "/unsafe/", "x", map[string]string{"Id": fmt.Sprint("r", i)})
		g.Expect(a.status).To(Equal(http.StatusOK))
		g.Expect(a.body).To(Equal("done"))
	}
}

func TestUnreachableTargetsReturnRetryAfter(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstanceAt("dead", "plain", refusingAddress(t))
	a := h.call(http.MethodPost, "/unsafe/", "x", nil)
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		conn, buf, _ := http.NewResponseController(w).Hijack()
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwrong")
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSeal: s\r\nContent-Length: 5\r\n\r\nright")
		_ = buf.Flush()
		_ = conn.Close()
	})
	a := h.call(http.MethodPost, "/unsafe/", "x", nil)
	g.Expect(a.status).To(Equal(http.StatusOK))
	g.Expect(a.body).To(Equal("right"))
}

func TestStreamResumesOnAnotherGroup(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	attempts := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		if attempts++; attempts == 1 {
			writeEvents(w, last+1, 3)
			_, _ = io.WriteString(w, "id: 4\nda") // incomplete event
			closeConnection(w)
			return
		}
		writeEvents(w, last+1, 6)
	}
	h.addInstance("a", "lm", handler)
	h.addInstance("b", "lm", handler)
	a := h.call(http.MethodPost, "/stream/", "x", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	var want strings.Builder
	for i := 1; i <= 6; i++ {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: x%d\n\n", i, i)
	}
	g.Expect(a.body).To(Equal(want.String()))
	runs := h.runLog.all()
	g.Expect(runs).To(HaveLen(2))
	g.Expect(runs[1].last).To(Equal("3"))
	g.Expect(a.header.Get("Seal")).To(Equal("seal-of-"+runs[0].instance), "the head of the response is that of the first attempt")
}

// A connection may go silent for good without a reset while its group keeps working. The group
// answers probes, so only the missing events reveal the fault, and the caller gives up after some
// seconds.
func TestStreamResumesWhenConnectionGoesSilent(t *testing.T) {
	for _, c := range []struct {
		name, path string
		wantEvents int
		wantSilent int
	}{
		{"resumable route", "/stream/", 6, 1},
		{"route not resumable", "/once/", 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			runs, released := 0, make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get("Last"))
				if runs++; runs == 1 {
					writeEvents(w, last+1, 3)
					<-released
					return
				}
				writeEvents(w, last+1, 6)
			}
			h.addInstance("a", "lm", handler)
			h.addInstance("b", "lm", handler)
			checksDone := make(chan struct{})
			go func() {
				defer close(checksDone)
				for end := time.Now().Add(gateway.DefaultPolicy().SilentAfter + 500*time.Millisecond); time.Now().Before(end); {
					time.Sleep(50 * time.Millisecond)
					h.gateway.StallDetector.Check()
				}
				close(released)
			}()
			a := h.call(http.MethodPost, c.path, "x", nil)
			<-checksDone
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(strings.Count(a.body, "id: ")).To(Equal(c.wantEvents))
			g.Expect(h.runLog.all()).To(HaveLen(1 + c.wantSilent))
			g.Expect(h.recorder.counts["attempt.silent"]).To(Equal(c.wantSilent))
		})
	}
}

func TestInterruptedStreamNeverLooksComplete(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			handler := func(w http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get("Last"))
				writeEvents(w, last+1, last+2)
				closeConnection(w)
			}
			h.addInstance("a", "lm", handler)
			h.addInstance("b", "lm", handler)
			a := h.call(http.MethodPost, path, "x", nil)
			g.Expect(a.err).To(HaveOccurred())
			g.Expect(len(h.runLog.all())).To(BeNumerically("<=", 2))
		})
	}
}

func TestOutOfOrderEventsEndTheAttempt(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		writeEvents(w, 2, 4)
	})
	a := h.call(http.MethodPost, "/once/", "x", nil)
	g.Expect(a.err).To(HaveOccurred())
	g.Expect(a.body).NotTo(ContainSubstring("x4"))
}

func TestTimeoutReturnsGatewayTimeout(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	a := h.call(http.MethodPost, "/unsafe/", "x", map[string]string{"Patience": "300"})
	g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(h.runLog.all()).To(HaveLen(1))
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	started, ended := make(chan struct{}), make(chan struct{})
	h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 1)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	h.callWith(ctx, http.MethodPost, "/stream/", "x", nil)
	g.Eventually(ended, 5*time.Second).Should(BeClosed())
	g.Expect(h.runLog.all()).To(HaveLen(1))
}

func TestStreamResumesAfterGroupStalls(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	var stalled atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		writeEvents(w, last+1, last+2)
		if stalled.CompareAndSwap(false, true) {
			<-r.Context().Done()
		}
	}
	h.addInstance("a", "lm", handler)
	h.addInstance("b", "lm", handler)
	result := make(chan callResponse, 1)
	go func() { result <- h.call(http.MethodPost, "/stream/", "x", nil) }()
	g.Eventually(func() int {
		h.gateway.StallDetector.Check()
		h.health.mu.Lock()
		defer h.health.mu.Unlock()
		return h.health.suspected
	}, 3*time.Second).Should(BeNumerically(">", 0), "the group of a silent stream is probed")
	for _, v := range h.instances {
		if h.runLog.all()[0].instance == string(v.ID) {
			h.gateway.StallDetector.CancelGroup(v.ID)
		}
	}
	a := <-result
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(HaveSuffix("id: 4\ndata: x4\n\n"))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.gateway.SetNodes(1000) // reduces this node's share of the slack to almost nothing
	h.addInstance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	h.addInstance("b", "plain", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	for i := range 10 {
		h.call(http.MethodGet, "/safe/", "", map[string]string{"Id": fmt.Sprint("r", i)})
	}
	g.Expect(len(h.runLog.all())).To(BeNumerically("<=", 12))
}

// A service counts what reaches its instances, so that a refused connection is no attempt.
func TestAttemptAfterRefusedConnectionNeedsNoRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.gateway.SetNodes(1000) // reduces this node's share of the slack to almost nothing
	h.addInstance("a", "plain", respondWith("a"))
	for _, id := range []string{"gone-1", "gone-2"} {
		h.addInstanceAt(id, "plain", refusingAddress(t))
	}
	for range 20 {
		g.Expect(h.call(http.MethodGet, "/safe/x", "", nil).status).To(Equal(http.StatusOK))
	}
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	g.Expect(h.recorder.counts["attempt.not-run"]).To(BeNumerically(">", 0))
}
