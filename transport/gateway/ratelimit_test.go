package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// setRateLimit sets the rate limit of an instance and the number of this node's grants. The first
// hiddenFor checks do not show the limit.
func (h *harness) setRateLimit(id string, perSecond float64, grants, hiddenFor int) {
	in := fleet.Instance{ID: state.InstanceID(id)}
	now := time.Now()
	h.backpressure.limits.Observe(in.Incarnation(), fleet.LimitedTo(perSecond), now, now)
	h.backpressure.limits.AddGrants([]ratelimit.Grant{{Instance: in.ID, Requests: grants}}, now.Add(time.Minute))
	h.backpressure.mu.Lock()
	defer h.backpressure.mu.Unlock()
	h.backpressure.limitHiddenFor[in.ID] = hiddenFor
}

func TestRateLimitedInstanceGetsNoRequestWithoutGrant(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// otherHandler is the handler of the instance without a limit.
		otherHandler   http.HandlerFunc
		status, grants int
		// hiddenFor is the number of checks that do not show the limit yet.
		hiddenFor int
	}{
		{"first attempts", "/safe/", respondWith("x"), http.StatusOK, 0, 0},
		{"retries after a server error", "/safe/", respondStatus(http.StatusBadGateway), http.StatusBadGateway, 0, 0},
		{"retries after a broken connection", "/safe/", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, http.StatusBadGateway, 0, 0},
		{"limit becomes known between pick and send", "/safe/", respondWith("x"), http.StatusOK, 0, 9},
		{"more requests than grants", "/unsafe/", refuseWithCooldown(0), http.StatusServiceUnavailable, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("limited", "plain", respondWith("x"))
			h.addInstance("other", "plain", c.otherHandler)
			h.setRateLimit("limited", 2, c.grants, c.hiddenFor)
			refused := 0
			for i := range 8 {
				a := h.call(http.MethodPost, c.path, "x", map[string]string{"Id": fmt.Sprint("r", i)})
				g.Expect(a.err).NotTo(HaveOccurred())
				if a.status == c.status {
					refused++
				}
			}
			g.Expect(h.countRuns("limited")).To(Equal(c.grants))
			g.Expect(refused).To(Equal(8 - c.grants))
			if c.hiddenFor > 0 {
				g.Expect(h.recorder.counts["held-back.rate-limited"]).To(BeNumerically(">", 0))
			}
		})
	}
}

// A retry goes to a rate-limited instance only if no other instance accepts it.
func TestStreamResumesOnInstanceWithoutRateLimit(t *testing.T) {
	for _, c := range []struct {
		name        string
		others      int
		wantResumed int
	}{
		{"another instance without a limit", 1, 0},
		{"no instance without a limit", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("breaks", "lm", func(w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, 1, 3)
				closeConnection(w)
			})
			h.addInstance("limited", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 4, 5) })
			for i := range c.others {
				h.addInstance(fmt.Sprint("other", i), "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 4, 5) })
			}
			resumed := 0
			for i := range 12 {
				h.setRateLimit("limited", 2, 1, 0)
				a := h.call(http.MethodPost, "/stream/", "x", map[string]string{"Id": fmt.Sprint("r", i)})
				g.Expect(a.err).NotTo(HaveOccurred())
				for _, r := range h.runLog.all() {
					if r.instance == "limited" && r.id == fmt.Sprint("r", i) && r.last != "" {
						resumed++
					}
				}
			}
			if c.wantResumed == 0 {
				g.Expect(resumed).To(BeZero())
			} else {
				g.Expect(resumed).To(BeNumerically(">", 0))
			}
		})
	}
}

func TestRateLimitedRequestIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name          string
		prepare       func(h *harness)
		code          string
		minRetryAfter float64
		maxRetryAfter float64
	}{
		{"all instances have limits", func(h *harness) { h.setRateLimit("a", 0.3, 0, 0); h.setRateLimit("b", 0.2, 0, 0) }, "refused.rate-limited", 2, 3},
		{"all limits are zero", func(h *harness) { h.setRateLimit("a", 0, 0, 0); h.setRateLimit("b", 0, 0, 0) }, "refused.rate-limited", 3, 4.5},
		{"one limited, one cooling down", func(h *harness) { h.setRateLimit("a", 0.1, 0, 0); h.startCooldown("b", time.Second, 0) }, "refused.rate-limited", 0.9, 1.5},
		{"limits become known between pick and send", func(h *harness) { h.setRateLimit("a", 1, 0, 1); h.setRateLimit("b", 1, 0, 1) }, "refused.rate-limited", 0.5, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", respondWith("x"))
			h.addInstance("b", "plain", respondWith("x"))
			c.prepare(h)
			began := time.Now()
			a := h.call(http.MethodPost, "/safe/", "x", nil)
			g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the caller is refused without waiting")
			g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(And(BeNumerically(">=", c.minRetryAfter), BeNumerically("<=", c.maxRetryAfter)))
			g.Expect(h.recorder.counts[c.code]).To(Equal(1), "%v", h.recorder.counts)
			g.Expect(h.runLog.all()).To(BeEmpty())
		})
	}
}

// A node that has just started does not know how many other nodes there are. It must not take the
// whole slack of the retry budget that all nodes share.
func TestUnknownNodeCountTakesNoRetrySlack(t *testing.T) {
	for _, c := range []struct {
		name       string
		nodes      int
		maxRetries int
	}{
		{"unknown", 0, 4},
		{"alone", 1, 20},
		{"one of fifty", 50, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.gateway.SetNodes(c.nodes)
			h.addInstance("a", "plain", respondStatus(http.StatusInternalServerError))
			h.addInstance("b", "plain", respondStatus(http.StatusInternalServerError))
			for i := range 20 {
				h.call(http.MethodPost, "/safe/", "x", map[string]string{"Id": fmt.Sprint("r", i)})
			}
			retries := len(h.runLog.all()) - 20
			g.Expect(retries).To(And(BeNumerically("<=", c.maxRetries), BeNumerically(">=", c.maxRetries/2)))
		})
	}
}
