package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/gateway"
)

// fakeTraffic implements gateway.HallTraffic and keeps the sums.
type fakeTraffic struct {
	mu             sync.Mutex
	crossings      map[gateway.CrossHallReason]int
	sent, received int64
	halls          []state.HallName
}

func (f *fakeTraffic) RecordCrossing(to state.HallName, reason gateway.CrossHallReason, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crossings[reason]++
	f.sent += int64(bytes)
	f.halls = append(f.halls, to)
}

func (f *fakeTraffic) RecordCrossingResponse(bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received += bytes
}

// Operators must see why requests leave their hall, and what that costs on the links between halls.
func TestRequestsToOtherHallsAreCountedByReason(t *testing.T) {
	text := func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "0123456789") }
	for _, c := range []struct {
		name     string
		homes    []state.RegionName
		path     string
		change   func(h *homesHarness)
		want     map[gateway.CrossHallReason]int
		received int64
	}{
		{"the own hall serves the request", nil, "/safe/x", func(h *homesHarness) { h.addInHall("a", "plain", "hall", text) }, nil, 0},
		{"the own hall is no home", []state.RegionName{"north"}, "/safe/x", func(h *homesHarness) {
			h.addInHall("a", "plain", "hall", text)
			h.addInHall("b", "plain", "north-1", text)
		}, map[gateway.CrossHallReason]int{gateway.CrossHallHome: 1}, 10},
		{"no instance in the own hall", nil, "/safe/x", func(h *homesHarness) { h.addInHall("b", "plain", "north-1", text) },
			map[gateway.CrossHallReason]int{gateway.CrossHallNoTarget: 1}, 10},
		{"a stream", nil, "/stream/x", func(h *homesHarness) { h.addInHall("b", "lm", "north-1", answer) },
			map[gateway.CrossHallReason]int{gateway.CrossHallNoTarget: 1}, 2 * int64(len("id: 1\ndata: x1\n\n"))},
		{"the own hall refused the request", nil, "/safe/x", func(h *homesHarness) {
			h.addInHall("a", "plain", "hall", behaviors["refuses"])
			h.addInHall("b", "plain", "north-1", text)
			for range 1000 { // the target in the other hall costs more, so that it is the second one
				h.table.Candidates("plain", "")[1].BeginRequest(0, time.Now())
			}
		}, map[gateway.CrossHallReason]int{gateway.CrossHallUnavailable: 1}, 10},
		{"the group of the own hall is full", nil, "/stream/x", func(h *homesHarness) {
			h.addInHall("a", "lm", "hall", answer)
			h.addInHall("b", "lm", "north-1", answer)
			for range 4 {
				h.table.Candidates("lm", "m")[0].BeginRequest(0, time.Now())
			}
		}, map[gateway.CrossHallReason]int{gateway.CrossHallFull: 1}, 2 * int64(len("id: 1\ndata: x1\n\n"))},
		{"the own hall is more loaded", nil, "/stream/x", func(h *homesHarness) {
			h.addInHall("a", "lm", "hall", answer)
			h.addInHall("b", "lm", "north-1", answer)
			for range 3 {
				h.table.Candidates("lm", "m")[0].BeginRequest(0, time.Now())
			}
		}, map[gateway.CrossHallReason]int{gateway.CrossHallBalance: 1}, 2 * int64(len("id: 1\ndata: x1\n\n"))},
		{"no connection to the other hall", nil, "/safe/x", func(h *homesHarness) {
			h.addInstanceAt("b", "plain", refusingAddress(h.t))
		}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHomesHarness(t, "hall", homesCatalog(1, c.homes, nil))
			c.change(h)
			h.call(http.MethodPost, c.path, "content", nil)
			if c.want == nil {
				g.Expect(h.traffic.crossings).To(BeEmpty())
				return
			}
			g.Expect(h.traffic.crossings).To(Equal(c.want))
			g.Expect(h.traffic.halls).To(Equal([]state.HallName{"north-1"}))
			g.Expect(h.traffic.sent).To(Equal(int64(len("content"))))
			g.Expect(h.traffic.received).To(Equal(c.received))
		})
	}
}

func TestForwardingToAnotherHallIsCounted(t *testing.T) {
	for _, c := range []struct {
		hall    state.HallName
		crosses int
	}{{"hall", 0}, {"north-1", 1}} {
		t.Run(string(c.hall), func(t *testing.T) {
			g := NewWithT(t)
			current := homesCatalog(1, nil, nil)
			origin, peer := newHomesHarness(t, "hall", current), newHomesHarness(t, c.hall, current)
			origin.peers.partitioned = true
			origin.peers.peers = []forwarding.Peer{peerOf(peer, c.hall, true)}
			peer.addInHall("a", "plain", c.hall, answer)
			g.Expect(origin.call(http.MethodPost, "/safe/x", "content", nil).status).To(Equal(http.StatusOK))
			g.Expect(origin.traffic.crossings[gateway.CrossHallForwarded]).To(Equal(c.crosses))
			g.Expect(origin.traffic.sent).To(Equal(int64(c.crosses * len("content"))))
		})
	}
}
