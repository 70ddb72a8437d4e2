package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// fakeBackpressure implements gateway.Backpressure with real cooldown and rate limit trackers.
type fakeBackpressure struct {
	cooldowns *cooldown.Tracker
	mu        sync.Mutex
	leaving   map[state.InstanceID]bool
	limits    *ratelimit.Tracker
	// cooldownHiddenFor is the number of further checks that do not show the cooldown of an instance.
	cooldownHiddenFor map[state.InstanceID]int
	// limitHiddenFor is the number of further checks that do not show the rate limit of an instance.
	limitHiddenFor map[state.InstanceID]int
}

func newFakeBackpressure() *fakeBackpressure {
	return &fakeBackpressure{cooldowns: cooldown.NewTracker(cooldown.DefaultPolicy()), leaving: map[state.InstanceID]bool{}, limitHiddenFor: map[state.InstanceID]int{}, limits: ratelimit.NewTracker(ratelimit.DefaultPolicy()), cooldownHiddenFor: map[state.InstanceID]int{}}
}

func (b *fakeBackpressure) RecordNotice(in *fleet.Instance, n fleet.Notice, _ string, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving[in.ID] = b.leaving[in.ID] || n.Leaving
	b.limits.Observe(in.Incarnation(), n.RateLimit, time.Now(), time.Now())
	if n.Cooldown > 0 {
		b.cooldowns.Record(in.Incarnation(), n.Cooldown, time.Now())
	}
}

func (b *fakeBackpressure) CooldownUntil(in *fleet.Instance) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cooldownHiddenFor[in.ID] > 0 {
		b.cooldownHiddenFor[in.ID]--
		return time.Time{}, false
	}
	return b.cooldowns.Until(in.Incarnation(), time.Now())
}

func (b *fakeBackpressure) IsLeaving(in *fleet.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving[in.ID]
}

func (b *fakeBackpressure) RateLimit(in *fleet.Instance) (float64, bool) {
	return b.limits.Limited(in.Incarnation())
}

func (b *fakeBackpressure) CanSend(in *fleet.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limitHiddenFor[in.ID] > 0 {
		b.limitHiddenFor[in.ID]--
		return true
	}
	return b.limits.Allow(in.Incarnation(), time.Now())
}

func (b *fakeBackpressure) TrySend(in *fleet.Instance) bool {
	return b.limits.Take(in.Incarnation(), time.Now())
}

// startCooldown starts a cooldown of an instance. The first hiddenFor checks do not show it.
func (h *harness) startCooldown(id string, d time.Duration, hiddenFor int) {
	h.backpressure.RecordNotice(&fleet.Instance{ID: state.InstanceID(id)}, fleet.Notice{Cooldown: d}, "", time.Now())
	h.backpressure.cooldownHiddenFor[state.InstanceID(id)] = hiddenFor
}

// countRuns returns the number of requests that an instance received.
func (h *harness) countRuns(id string) int {
	n := 0
	for _, r := range h.runLog.all() {
		if r.instance == id {
			n++
		}
	}
	return n
}

// refuseWithCooldown returns a handler that refuses requests and asks for a cooldown.
func refuseWithCooldown(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// respondStatus returns a handler that responds with a status code.
func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func TestNoRequestIsSentDuringCooldown(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// otherHandler is the handler of the instance that is not cooling down.
		otherHandler http.HandlerFunc
		status       int
		// hiddenFor is the number of checks that do not show the cooldown yet.
		hiddenFor int
	}{
		{"first attempts", "/safe/", respondWith("x"), http.StatusOK, 0},
		{"retries after a server error", "/safe/", respondStatus(http.StatusInternalServerError), http.StatusInternalServerError, 0},
		{"retries after a broken connection", "/safe/", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, http.StatusBadGateway, 0},
		{"retries of a request that was not run", "/unsafe/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable, 0},
		{"cooldown starts between pick and send", "/safe/", respondWith("x"), http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("cooling", "plain", respondWith("x"))
			h.addInstance("other", "plain", c.otherHandler)
			for i := range 8 {
				h.startCooldown("cooling", time.Minute, c.hiddenFor)
				a := h.call(http.MethodPost, c.path, "x", map[string]string{"Id": fmt.Sprint("r", i)})
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(c.status))
			}
			g.Expect(h.countRuns("cooling")).To(BeZero())
			g.Expect(h.countRuns("other")).To(Equal(8))
		})
	}
}

func TestStreamResumesOnGroupNotCoolingDown(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 3)
		closeConnection(w)
	})
	a := func() callResponse { return h.call(http.MethodPost, "/stream/", "x", nil) }
	h.addInstance("cooling", "lm", respondWith("x"))
	h.startCooldown("cooling", time.Minute, 0)
	g.Expect(a().err).To(HaveOccurred(), "there is no other group to resume on")
	h.addInstance("b", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 4, 5) })
	g.Eventually(func() string { return a().body }).Should(HaveSuffix("id: 5\ndata: x5\n\n"))
	g.Expect(h.countRuns("cooling")).To(BeZero())
}

func TestRetryAfterIsEarliestCooldownEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(h *harness)
		code    string
	}{
		{"all instances are cooling down", func(h *harness) { h.startCooldown("a", 4*time.Second, 0); h.startCooldown("b", 9*time.Second, 0) }, "refused.cooling-down"},
		{"all instances ask for a cooldown in their responses", func(*harness) {}, "refused.targets-unreachable"},
		{"cooldowns start between pick and send", func(h *harness) { h.startCooldown("a", 4*time.Second, 1); h.startCooldown("b", 9*time.Second, 1) }, "refused.cooling-down"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", refuseWithCooldown(4*time.Second))
			h.addInstance("b", "plain", refuseWithCooldown(9*time.Second))
			c.prepare(h)
			began := time.Now()
			a := h.call(http.MethodPost, "/unsafe/", "x", nil)
			g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the caller is refused without waiting")
			g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(And(BeNumerically(">", 3), BeNumerically("<=", 6)))
			g.Expect(h.recorder.counts[c.code]).To(Equal(1), "%v", h.recorder.counts)
		})
	}
}

func TestInstanceRetryAfterIsNotForwardedToCaller(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "77") // without stating whether the request ran
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	a := h.call(http.MethodPost, "/safe/", "x", nil)
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Seal")).To(Equal("seal-of-a"))
	g.Expect(a.header).NotTo(HaveKey("Retry-After"))
	h.call(http.MethodPost, "/safe/", "x", nil)
	g.Expect(h.countRuns("a")).To(Equal(1), "the instance asked for a cooldown")
}

// A cooldown is not a failure: the instance serves again when it ends, and no failure is recorded.
func TestInstanceServesAgainAfterCooldown(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	overloaded := true
	h.addInstance("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if overloaded {
			overloaded = false
			refuseWithCooldown(50*time.Millisecond)(w, r)
			return
		}
		respondWith("x")(w, r)
	})
	g.Expect(h.call(http.MethodPost, "/unsafe/", "x", nil).status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(func() int { return h.call(http.MethodPost, "/unsafe/", "x", nil).status }).Should(Equal(http.StatusOK))
	g.Expect(h.health.failed).To(BeEmpty())
}

func TestLeavingInstanceGetsNoFurtherRequest(t *testing.T) {
	for _, c := range []struct {
		name, path, service string
		answer              http.HandlerFunc
	}{
		{"in a complete response", "/safe/", "plain", respondWith("x")},
		{"in a server error", "/safe/", "plain", respondStatus(http.StatusInternalServerError)},
		{"in a refusal", "/unsafe/", "plain", refuseWithCooldown(0)},
		{"in the head of a stream", "/stream/", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) }},
		{"in a stream that is interrupted", "/stream/", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2); closeConnection(w) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("leaving", state.ServiceName(c.service), func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Leaving", "1")
				c.answer(w, r)
			})
			h.addInstance("stays", state.ServiceName(c.service), func(w http.ResponseWriter, r *http.Request) {
				if c.service == "lm" {
					writeEvents(w, 3, 4)
					return
				}
				respondWith("x")(w, r)
			})
			for i := range 30 {
				h.call(http.MethodPost, c.path, "x", map[string]string{"Id": fmt.Sprint("r", i)})
			}
			g.Expect(h.countRuns("leaving")).To(Equal(1))
			g.Expect(h.countRuns("stays")).To(BeNumerically(">=", 29))
		})
	}
}
