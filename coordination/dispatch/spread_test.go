package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// readingConfig has a service with groups of one instance that read 1,000 tokens a second at pace 1.
func readingConfig() *catalog.Catalog {
	engine := &catalog.Engine{Slots: 20, ReadPerSecond: 1000, Models: []catalog.Model{{Name: "m", Size: 1, Pace: 0.5}}}
	return catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{})
}

// heads returns the heads of so many open groups of one instance.
func heads(n int) []roster.View {
	var views []roster.View
	for i := range n {
		v := member(fmt.Sprintf("head-%d", i), 0, fleet.Open)
		v.Membership.Group = state.GroupName(fmt.Sprintf("group-%d", i))
		views = append(views, v)
	}
	return views
}

// drawn returns what part of many requests each target draws.
func drawn(table *dispatch.Table) map[state.InstanceID]float64 {
	const draws = 4000
	got := map[state.InstanceID]float64{}
	for range draws {
		got[table.Pick("lm", "m", start, nobody).ID] += 1.0 / draws
	}
	return got
}

// A group that has just opened is the emptiest for all nodes at once. Without
// a bound it draws every request, and reads their prompts one after another.
func TestAGroupThatJustOpenedDrawsABoundedShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		maxShare float64
		want     float64
	}{
		{"without a bound", 0, 1},
		{"twice its part", 2, 0.4},
		{"its part alone", 1, 0.2},
		{"a bound below its part counts as its part", 0.5, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			policy := dispatch.DefaultPolicy()
			policy.MaxShare, policy.SpreadHorizon = c.maxShare, 250*time.Millisecond
			table := dispatch.NewTable("h", policy)
			table.Update(readingConfig(), heads(5), func(fleet.GroupKey) bool { return false })
			others := map[state.InstanceID]int{"head-1": 10, "head-2": 10, "head-3": 10, "head-4": 10}
			table.SetOthers(others, []demand.Flow{{Service: "lm", Model: "m", Requests: 16}}, nil)
			got := drawn(table)
			g.Expect(got["head-0"]).To(BeNumerically("~", c.want, 0.03))
			for _, id := range []state.InstanceID{"head-1", "head-2", "head-3", "head-4"} {
				g.Expect(got[id]).To(BeNumerically("~", (1-c.want)/4, 0.03))
			}
		})
	}
}

func TestPromptsStillBeingReadCountUntilTheFirstEvent(t *testing.T) {
	g := NewWithT(t)
	policy := dispatch.DefaultPolicy()
	policy.ReadingCost = 1
	table := dispatch.NewTable("h", policy)
	table.Update(readingConfig(), heads(2), func(fleet.GroupKey) bool { return false })
	first := table.Pick("lm", "m", start, nobody)
	hold := first.Hold(1000, start)
	g.Expect(first.Reading()).To(Equal(500*time.Millisecond), "1,000 tokens at 1,000 a second and pace 0.5")
	for range 50 {
		g.Expect(table.Pick("lm", "m", start, nobody).ID).NotTo(Equal(first.ID))
	}
	hold.Started()
	hold.Started()
	g.Expect(first.Reading()).To(BeZero())
	g.Expect(first.Held()).To(Equal(int64(1)))
	other := first.Hold(300, start)
	hold.End()
	other.End()
	g.Expect(first.Reading()).To(BeZero())
	g.Expect(first.Held()).To(BeZero())
}

// pacedTable returns a table with one group and a limit on reading, at a node that
// callers ask for half of all requests.
func pacedTable() *dispatch.Table {
	policy := dispatch.DefaultPolicy()
	policy.ReadLimit, policy.PaceBurst = 0.8, 250*time.Millisecond
	table := dispatch.NewTable("h", policy)
	table.Update(readingConfig(), heads(1), func(fleet.GroupKey) bool { return false })
	asked := []demand.Flow{{Service: "lm", Model: "m", Requests: 10}}
	own := []demand.Flow{{Service: "lm", Model: "m", Requests: 5}}
	table.SetOthers(nil, asked, own)
	return table
}

// A node sends a group prompts no faster than its part of what the group can
// read, also where every other group is full.
func TestAGroupIsSentPromptsAtTheNodesPartOfItsReading(t *testing.T) {
	g := NewWithT(t)
	head := pacedTable().Pick("lm", "m", start, nobody)
	now := start
	var read time.Duration
	for range 10000 {
		now = now.Add(time.Millisecond)
		if head.Full(now) {
			continue
		}
		head.Hold(100, now).End()
		read += 50 * time.Millisecond // 100 tokens at 1,000 a second and pace 0.5
	}
	// Half of 0.8 of 10 s, and at most one prompt more than the level allows.
	g.Expect(read).To(BeNumerically("~", 4*time.Second, 200*time.Millisecond))
}

func TestAGroupThatRestedIsSentNoMoreThanTheBurst(t *testing.T) {
	g := NewWithT(t)
	head := pacedTable().Pick("lm", "m", start, nobody)
	now := start.Add(time.Hour)
	g.Expect(head.Full(now)).To(BeFalse())
	sent := 0
	for ; !head.Full(now); sent++ {
		head.Hold(100, now)
	}
	// The burst is 0.4 of 250 ms: two prompts of 50 ms bring the level to 0, a third below it.
	g.Expect(sent).To(Equal(3))
}

// With 68 nodes each may send a group a prompt every few seconds; waiting for
// that refused requests while groups were idle.
func TestANodeWithASmallPartIsNotPaced(t *testing.T) {
	for _, c := range []struct {
		name string
		own  float64
		full bool
	}{
		{"a tenth of the requests", 1, true},
		{"a hundredth of the requests", 0.1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			policy := dispatch.DefaultPolicy()
			policy.ReadLimit, policy.PaceBurst = 0.8, 250*time.Millisecond
			table := dispatch.NewTable("h", policy)
			table.Update(readingConfig(), heads(1), func(fleet.GroupKey) bool { return false })
			// Prompts of 100 tokens take 50 ms; a tenth of 0.8 of a second holds one, a hundredth does not.
			asked := []demand.Flow{{Service: "lm", Model: "m", Requests: 10, Prompt: 1000}}
			table.SetOthers(nil, asked, []demand.Flow{{Service: "lm", Model: "m", Requests: c.own}})
			head := table.Pick("lm", "m", start, nobody)
			for range 3 {
				head.Hold(100, start)
			}
			NewWithT(t).Expect(head.Full(start)).To(Equal(c.full))
		})
	}
}

// A bucket that began empty refused the first request of each node and model.
func TestTheFirstRequestFindsNoGroupFull(t *testing.T) {
	g := NewWithT(t)
	head := pacedTable().Pick("lm", "m", start, nobody)
	g.Expect(head.Full(start)).To(BeFalse())
	head.Hold(300, start)
	g.Expect(head.Full(start)).To(BeTrue(), "300 tokens take 150 ms, the burst is 100 ms")
}
