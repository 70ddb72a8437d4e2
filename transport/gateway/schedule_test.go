package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/transport/gateway"
)

// fixedScheduler gives the same decision on every request.
type fixedScheduler struct {
	decision scheduling.Decision
	decides  bool

	mu       sync.Mutex
	requests []scheduling.Request
	samples  []scheduling.Sample
}

// Schedules implements gateway.Scheduler.
func (*fixedScheduler) Schedules(service state.ServiceName) bool { return service == "lm" }

// Schedule implements gateway.Scheduler.
func (s *fixedScheduler) Schedule(_ context.Context, r *scheduling.Request) (scheduling.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, *r)
	return s.decision, s.decides
}

// RecordLatency implements gateway.Scheduler.
func (s *fixedScheduler) RecordLatency(_ scheduling.Pool, sample scheduling.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

// taken returns the requests and samples so far.
func (s *fixedScheduler) taken() ([]scheduling.Request, []scheduling.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.samples
}

// setPriorities replaces the configuration by one with streams of a priority and one more route of priority 1. The team
// has a priority of its own unless it is negative.
func (h *harness) setPriorities(stream, team int) {
	route := func(name string, priority int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: catalog.Stream, Resumable: true, Timeout: 3 * time.Second, MaxAttempts: 2, Priority: priority,
			Shares: []catalog.WeightedService{{Service: "lm", Weight: 1}},
		}
	}
	owner := &catalog.Team{Name: "team"}
	if team >= 0 {
		owner.Priority = &team
	}
	old := h.catalogs.current
	services := []catalog.Service{*old.Services["plain"], *old.Services["lm"]}
	engine := *services[1].Engine
	engine.Delays = []catalog.HallDelay{{From: "hall", To: "other", Delay: h.hallDelay}}
	services[1].Engine = &engine
	h.catalogs.current = catalog.New(2, []catalog.Route{route("stream", stream), route("other", 1)}, services, map[string]*catalog.Team{"k": owner}, catalog.Limits{})
}

func writesEvents(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) }

// Guards against a node that follows its own old view of the groups although the scheduler has decided.
func TestRequestGoesWhereTheSchedulerSays(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		h.addInstance(id, "lm", writesEvents)
	}
	s := &fixedScheduler{decision: scheduling.Decision{Instance: "b", Wait: time.Millisecond}, decides: true}
	h.gateway.Scheduler = s
	for range 5 {
		g.Expect(h.call(http.MethodPost, "/stream/x", "p", nil).status).To(Equal(http.StatusOK))
	}
	for _, run := range h.runLog.all() {
		g.Expect(run.header.Get("For")).To(Equal("b"))
	}
	requests, samples := s.taken()
	g.Expect(requests[0].Pool).To(Equal(scheduling.Pool{Service: "lm", Model: "m"}))
	g.Expect(requests[0].Team).To(BeEquivalentTo("team"))
	g.Expect(samples).To(HaveLen(5))
	g.Expect(samples[0].Instance).To(BeEquivalentTo("b"))
}

// Guards against a request that is sent although the scheduler refused it, and against a caller without a time to return.
func TestRequestThatTheSchedulerRefusesIsNotSent(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "lm", writesEvents)
	h.gateway.Scheduler = &fixedScheduler{decision: scheduling.Decision{Refused: true, Reason: scheduling.WaitTooLong, RetryAfter: 1500 * time.Millisecond}, decides: true}
	got := h.call(http.MethodPost, "/stream/x", "p", nil)
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.body).To(Equal("overloaded\n"))
	g.Expect(got.header.Get("Retry-After")).To(HavePrefix("1.5"))
	g.Expect(h.runLog.all()).To(BeEmpty())
}

// Guards against callers who are refused or sent to an instance that cannot be used because no decision came, or one
// about a group that this node does not know or has tried.
func TestNodePicksTargetWithoutUsableDecision(t *testing.T) {
	for _, c := range []struct {
		name      string
		scheduler *fixedScheduler
	}{
		{"no decision", &fixedScheduler{}},
		{"an unknown instance", &fixedScheduler{decision: scheduling.Decision{Instance: "gone"}, decides: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "lm", writesEvents)
			h.gateway.Scheduler = c.scheduler
			g.Expect(h.call(http.MethodPost, "/stream/x", "p", nil).status).To(Equal(http.StatusOK))
		})
	}
}

// Guards against a retry that is sent to the instance that rejected the request because the scheduler names it again.
func TestRejectedRequestIsNotSentToTheSameInstanceAgain(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h.addInstance("b", "lm", writesEvents)
	s := &fixedScheduler{decision: scheduling.Decision{Instance: "a"}, decides: true}
	h.gateway.Scheduler = s
	g.Expect(h.call(http.MethodPost, "/stream/x", "p", nil).status).To(Equal(http.StatusOK))
	requests, _ := s.taken()
	g.Expect(requests).To(HaveLen(2))
	g.Expect(requests[1].Excluded).To(Equal([]state.InstanceID{"a"}))
	g.Expect(requests[1].Returning).To(BeTrue())
}

// Guards against a scheduler that chooses groups outside a request's home regions, against a message that grows with their
// number, and against a scheduler that is asked for a request that can run nowhere.
func TestSchedulerIsAskedForGroupsInHomeRegions(t *testing.T) {
	g := NewWithT(t)
	h := newHomesHarness(t, "hall", homesCatalog(1, []state.RegionName{"south"}, nil))
	h.gateway.Regions = testRegions
	s := &fixedScheduler{}
	h.gateway.Scheduler = s
	h.addInHall("a", "lm", "north-1", writesEvents)
	g.Expect(h.call(http.MethodPost, "/stream/x", "p", nil).body).To(Equal(string(gateway.CodeNoHome) + "\n"))
	for _, id := range []string{"b", "c", "d"} {
		h.addInHall(id, "lm", "south-2", writesEvents)
	}
	g.Expect(h.call(http.MethodPost, "/stream/x", "p", nil).status).To(Equal(http.StatusOK))
	requests, _ := s.taken()
	g.Expect(requests).To(HaveLen(1))
	g.Expect(requests[0].Halls).To(Equal([]state.HallName{"south-2"}))
	g.Expect(requests[0].Excluded).To(BeEmpty())
}

// Guards against engines that run requests in another order than the configuration ranks them, and against a header
// that changes nothing.
func TestPriorityIsForwardedIfThereAreSeveral(t *testing.T) {
	for _, c := range []struct {
		name         string
		stream, team int
		delay        time.Duration
		want         string
	}{
		{"one priority", 1, -1, 2 * time.Millisecond, ""},
		{"the route's", 3, -1, 2 * time.Millisecond, "3"},
		{"the team's", 3, 2, 2 * time.Millisecond, "2"},
		{"the highest", 0, -1, 2 * time.Millisecond, "0"},
		{"above the scale", 40, -1, 2 * time.Millisecond, "9"},
		{"halls of one site", 3, 2, time.Millisecond / 2, ""},
		{"no delays stated", 3, 2, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.hallDelay = c.delay
			h.setPriorities(c.stream, c.team)
			h.addInstance("a", "lm", writesEvents)
			g.Expect(h.call(http.MethodPost, "/stream/x", "p", nil).status).To(Equal(http.StatusOK))
			g.Expect(h.runLog.all()[0].header.Get("Rank")).To(Equal(c.want))
		})
	}
}

// Guards against a forwarded request that is treated as one of another priority than at the node that received it.
func TestForwardedRequestKeepsItsPriority(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newForwardingPair(t)
	origin.hallDelay, peer.hallDelay = 2*time.Millisecond, 2*time.Millisecond
	origin.setPriorities(4, -1)
	peer.setPriorities(2, -1)
	peer.addInstance("a", "lm", writesEvents)
	g.Expect(origin.call(http.MethodPost, "/stream/x", "p", nil).status).To(Equal(http.StatusOK))
	g.Expect(peer.runLog.all()[0].header.Get("Rank")).To(Equal("4"))
}
