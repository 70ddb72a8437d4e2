package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/transport/gateway"
)

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
	h.catalogs.current = catalog.New(2, []catalog.Route{route("stream", stream), route("other", 1)}, services, map[string]*catalog.Team{"k": owner}, catalog.Limits{})
}

// setDemand gives the table totals with requests in flight and the demand for the model by class.
func (h *harness) setDemand(inFlight map[state.InstanceID]int, classes ...demand.ClassFlow) {
	f := demand.Flow{Service: "lm", Model: "m", Classes: classes}
	for _, c := range classes {
		f.Requests += c.Requests
	}
	h.table.UpdateLoad(inFlight, []demand.Flow{f}, nil)
}

// ofClass returns the demand of the team in a class.
func ofClass(priority int, returning bool, rate float64) demand.ClassFlow {
	return demand.ClassFlow{Class: demand.Class{Priority: priority, Returning: returning, Team: "team"}, Requests: rate}
}

func writesEvents(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) }

func TestPriorityIsForwardedIfThereAreSeveral(t *testing.T) {
	for _, c := range []struct {
		name         string
		stream, team int
		want         string
	}{
		{"one priority", 1, -1, ""},
		{"the route's", 3, -1, "3"},
		{"the team's", 3, 2, "2"},
		{"the highest", 0, -1, "0"},
		{"above the scale", 40, -1, "9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
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
	origin.setPriorities(4, -1)
	peer.setPriorities(2, -1)
	peer.addInstance("a", "lm", writesEvents)
	g.Expect(origin.call(http.MethodPost, "/stream/x", "p", nil).status).To(Equal(http.StatusOK))
	g.Expect(peer.runLog.all()[0].header.Get("Rank")).To(Equal("4"))
	classes := peer.gateway.Demand.Flows(time.Now())[0].Classes
	g.Expect(classes).To(HaveLen(1))
	g.Expect(classes[0].Class).To(Equal(demand.Class{Priority: 4, Returning: true, Team: "team"}))
}

func TestRequestWithoutRoomIsRefusedBeforeAnySend(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.setPriorities(3, -1)
	h.addInstance("a", "lm", writesEvents)
	h.setDemand(map[state.InstanceID]int{"a": 4}, ofClass(3, true, 50))
	got := h.call(http.MethodPost, "/stream/x", "p", nil)
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.body).To(Equal(string(gateway.CodeOverloaded) + "\n"))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(BeNumerically("~", 0.45, 0.22), "one report interval at least, a third of 2 s at most")
	g.Expect(h.runLog.all()).To(BeEmpty())
	g.Expect(h.recorder.counts["refused.overloaded.p3"]).To(Equal(1))
	g.Expect(h.gateway.Demand.Flows(time.Now())[0].Waiting).To(Equal(1.0))
}

// Guards against a request that each of several full instances rejects in turn.
func TestRejectedRequestIsSentOnOnlyWhereThereIsRoom(t *testing.T) {
	for _, c := range []struct {
		name      string
		overload  float64
		otherLoad int
		patience  string
		runs      int
		status    int
	}{
		{"the other group is full", 1000, 5, "2000", 1, http.StatusServiceUnavailable},
		{"the other group has room", 1000, 3, "2000", 2, http.StatusOK},
		{"too little time is left", 1000, 3, "250", 1, http.StatusServiceUnavailable},
		{"demand is below the room", 0.1, 3, "250", 2, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.setPriorities(0, -1)
			h.catalogs.current.Route("h", "/stream/x").Goal = 300 * time.Millisecond
			for _, id := range []string{"a", "b"} {
				h.addInstance(id, "lm", func(w http.ResponseWriter, r *http.Request) {
					if id == "a" {
						w.Header().Set("Not-Run", "1")
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					writesEvents(w, r)
				})
			}
			h.setDemand(map[state.InstanceID]int{"b": c.otherLoad}, ofClass(0, true, 0.1), ofClass(1, false, c.overload))
			h.table.SetRandom(func() float64 { return 0.4 }) // the draw of "a", which has more room
			got := h.call(http.MethodPost, "/stream/x", "p", map[string]string{"Patience": c.patience})
			g.Expect(got.status).To(Equal(c.status))
			g.Expect(h.runLog.all()).To(HaveLen(c.runs))
			g.Expect(h.runLog.all()[0].instance).To(Equal("a"))
		})
	}
}

// Guards against callers that gain from returning at once instead of waiting.
func TestCallersThatWaitedAreAdmittedBeforeNewOnes(t *testing.T) {
	for _, c := range []struct {
		name   string
		header map[string]string
		status int
	}{
		{"a new caller", map[string]string{"Patience": "3000"}, http.StatusServiceUnavailable},
		{"a caller that returns at once", map[string]string{"Patience": "2970"}, http.StatusServiceUnavailable},
		{"a caller that waited", map[string]string{"Patience": "2500"}, http.StatusOK},
		{"a resumed stream", map[string]string{"Patience": "3000", "Last": "1"}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.table.SetRandom(func() float64 { return 0.5 })
			h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 2, 3) })
			h.setDemand(map[state.InstanceID]int{"a": 2}, ofClass(0, true, 2), ofClass(0, false, 1000))
			g.Expect(h.table.IsOverloaded(dispatch.Pool{Service: "lm", Model: "m"})).To(BeTrue())
			g.Expect(h.call(http.MethodPost, "/stream/x", "p", c.header).status).To(Equal(c.status))
		})
	}
}
