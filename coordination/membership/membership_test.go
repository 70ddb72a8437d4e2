package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/membership"
	_ "github.com/troutmast/troutmast/internal/seed"
	"github.com/troutmast/troutmast/state"
)

// The shares add up to the number of places for any number of places and any demands.
func TestSplitSumsToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.MapOfN(rapid.StringMatching(`n[0-9]{1,3}`), rapid.IntRange(0, 1000), 1, 60).Draw(t, "demand")
		places := rapid.IntRange(0, 500).Draw(t, "whole")
		sum, withoutPlace := 0, 0
		for name := range demand {
			share := membership.ShareOf(places, demand, name)
			sum += share
			if share == 0 {
				withoutPlace++
			}
			if share < places/(2*len(demand)) {
				t.Fatalf("%s has %d of %d places, less than half of an equal share", name, share, places)
			}
		}
		if sum != places {
			t.Fatalf("shares add up to %d, want %d", sum, places)
		}
		if places >= len(demand) && withoutPlace > 0 {
			t.Fatalf("%d nodes got none of %d places", withoutPlace, places)
		}
	})
}

func TestOwnerMovesOnlyKeysOfRemovedNode(t *testing.T) {
	g := NewWithT(t)
	names := []string{"a", "b", "c", "d"}
	moved, owned := 0, map[string]int{}
	for n := range 4000 {
		key := fmt.Sprint(n)
		before := membership.Owner(key, names)
		owned[before]++
		after := membership.Owner(key, names[:3])
		if before != "d" {
			g.Expect(after).To(Equal(before))
			continue
		}
		moved++
	}
	g.Expect(moved).To(Equal(owned["d"]))
	for _, name := range names {
		g.Expect(owned[name]).To(BeNumerically("~", 1000, 150))
	}
}

func TestClearedOf(t *testing.T) {
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	group := &state.Group{Name: "g", Hall: "h", Drained: 10}
	cases := []struct {
		name     string
		node     membership.Node
		inFlight int
		cleared  bool
	}{
		{"applied and idle", membership.Node{Applied: 10, RequestedAt: now}, 0, true},
		{"request in flight", membership.Node{Applied: 10, RequestedAt: now}, 1, false},
		{"has not applied the drain", membership.Node{Applied: 9, RequestedAt: now}, 0, false},
		{"silent, may still be working on a request", membership.Node{Applied: 10, RequestedAt: now.Add(-3 * time.Second)}, 0, false},
		{"gone", membership.Node{Applied: 9, RequestedAt: now.Add(-time.Minute)}, 1, true},
		{"of another hall", membership.Node{Hall: "other", Applied: 0, RequestedAt: now}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := membership.NewDirectory(membership.Node{Name: "self", Hall: "h"}, 2*time.Second)
			c.node.Name = "n"
			if c.node.Hall == "" {
				c.node.Hall = "h"
			}
			d.UpdateInFlight(c.node, map[state.GroupName]int{"g": c.inFlight})
			NewWithT(t).Expect(d.IsDrained(group, now, 30*time.Second)).To(Equal(c.cleared))
		})
	}
}

// A relayed report may show that a node has applied the drain although its requests in
// flight were counted before that. It must not make the group count as cleared.
func TestIsDrainedIgnoresRelayedReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	group := &state.Group{Name: "g", Hall: "h", Drained: 10}
	d := membership.NewDirectory(membership.Node{Name: "self", Hall: "h"}, 2*time.Second)
	d.UpdateInFlight(membership.Node{Name: "n", Hall: "h", Applied: 9, RequestedAt: now.Add(-time.Second)}, nil)
	d.Update(membership.Node{Name: "n", Hall: "h", Applied: 10, RequestedAt: now})
	g.Expect(d.IsDrained(group, now, 30*time.Second)).To(BeFalse())
	d.UpdateInFlight(membership.Node{Name: "n", Hall: "h", Applied: 10, RequestedAt: now}, nil)
	g.Expect(d.IsDrained(group, now, 30*time.Second)).To(BeTrue())
	d.Update(membership.Node{Name: "m", Hall: "h", Applied: 10, RequestedAt: now})
	g.Expect(d.IsDrained(group, now, 30*time.Second)).To(BeFalse(), "m has not reported its requests in flight")
}

func TestUpdateKeepsNewestReport(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	d := membership.NewDirectory(membership.Node{Name: "self", Hall: "h"}, 2*time.Second)
	d.Update(membership.Node{Name: "n", Hall: "h", Applied: 9, RequestedAt: now})
	d.Update(membership.Node{Name: "n", Hall: "h", Applied: 4, RequestedAt: now.Add(-time.Second)})
	d.AddCaller(membership.Node{Name: "n", Hall: "h", Applied: 99})
	d.Update(membership.Node{Name: "self", Hall: "h", Applied: 1, RequestedAt: now})
	g.Expect(d.Peers()).To(HaveLen(1))
	g.Expect(d.Peers()[0].Applied).To(Equal(state.Offset(9)))
	g.Expect(d.LivePeers("h", now.Add(3*time.Second))).To(BeEmpty())
	d.Update(membership.Node{Name: "far", Hall: "other", RequestedAt: now})
	g.Expect(d.LivePeers("", now.Add(3*time.Second))).To(HaveLen(1))
	g.Expect(d.LivePeers("", now.Add(7*time.Second))).To(BeEmpty())
	d.MarkSuspected("far", now.Add(time.Second))
	g.Expect(d.LivePeers("other", now.Add(3*time.Second))).To(BeEmpty())
	d.Update(membership.Node{Name: "far", Hall: "other", RequestedAt: now.Add(time.Second / 2)})
	g.Expect(d.LivePeers("other", now.Add(3*time.Second))).To(BeEmpty(), "a report from before the suspicion does not clear it")
	d.Update(membership.Node{Name: "far", Hall: "other", RequestedAt: now.Add(2 * time.Second)})
	g.Expect(d.LivePeers("other", now.Add(3*time.Second))).To(HaveLen(1))
}
