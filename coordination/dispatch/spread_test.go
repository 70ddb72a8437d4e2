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

// prefillCatalog returns a catalog with groups of one instance. They process 1,000 prompt
// tokens per second at TimeFactor 1; the model has TimeFactor 0.5.
func prefillCatalog() *catalog.Catalog {
	engine := &catalog.Engine{BatchSlots: 20, PrefillTokensPerSecond: 1000, Models: []catalog.Model{{Name: "m", GroupSize: 1, TimeFactor: 0.5}}}
	return catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{})
}

// openHeads returns the heads of n open groups of one instance each.
func openHeads(n int) []roster.View {
	var views []roster.View
	for i := range n {
		v := member(fmt.Sprintf("head-%d", i), 0, fleet.Open)
		v.Membership.Group = state.GroupName(fmt.Sprintf("group-%d", i))
		views = append(views, v)
	}
	return views
}

// pickShares returns the fraction of picks that selects each target.
func pickShares(table *dispatch.Table) map[state.InstanceID]float64 {
	const draws = 4000
	shares := map[state.InstanceID]float64{}
	for range draws {
		shares[table.Pick("lm", "m", start, excludeNone).ID] += 1.0 / draws
	}
	return shares
}

// A group that has just opened is the least loaded for all nodes at once. Without a
// limit it gets every request, and processes their prompts one after another.
func TestNewlyOpenedGroupGetsBoundedShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		maxShare float64
		want     float64
	}{
		{"no limit", 0, 1},
		{"twice its share", 2, 0.4},
		{"exactly its share", 1, 0.2},
		{"a limit below its share counts as its share", 0.5, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			policy := dispatch.DefaultPolicy()
			policy.MaxShare, policy.SpreadHorizon = c.maxShare, 250*time.Millisecond
			table := dispatch.NewTable("h", policy)
			table.Update(prefillCatalog(), openHeads(5), func(fleet.GroupKey) bool { return false })
			others := map[state.InstanceID]int{"head-1": 10, "head-2": 10, "head-3": 10, "head-4": 10}
			table.UpdateLoad(others, []demand.Flow{{Service: "lm", Model: "m", Requests: 16}}, nil)
			shares := pickShares(table)
			g.Expect(shares["head-0"]).To(BeNumerically("~", c.want, 0.03))
			for _, id := range []state.InstanceID{"head-1", "head-2", "head-3", "head-4"} {
				g.Expect(shares[id]).To(BeNumerically("~", (1-c.want)/4, 0.03))
			}
		})
	}
}

func TestPrefillCountsUntilFirstEvent(t *testing.T) {
	g := NewWithT(t)
	policy := dispatch.DefaultPolicy()
	policy.ReadingCost = 1
	table := dispatch.NewTable("h", policy)
	table.Update(prefillCatalog(), openHeads(2), func(fleet.GroupKey) bool { return false })
	first := table.Pick("lm", "m", start, excludeNone)
	hold := first.BeginRequest(1000, start)
	g.Expect(first.PrefillTime()).To(Equal(500*time.Millisecond), "1,000 tokens at 1,000 per second and Pace 0.5")
	for range 50 {
		g.Expect(table.Pick("lm", "m", start, excludeNone).ID).NotTo(Equal(first.ID))
	}
	hold.RecordFirstEvent()
	hold.RecordFirstEvent()
	g.Expect(first.PrefillTime()).To(BeZero())
	g.Expect(first.InFlight()).To(Equal(int64(1)))
	other := first.BeginRequest(300, start)
	hold.End()
	other.End()
	g.Expect(first.PrefillTime()).To(BeZero())
	g.Expect(first.InFlight()).To(BeZero())
}

// pacedTable returns a table with one group and a limit on prefill, at a node that
// receives half of all requests.
func pacedTable() *dispatch.Table {
	policy := dispatch.DefaultPolicy()
	policy.ReadLimit, policy.PaceBurst = 0.8, 250*time.Millisecond
	table := dispatch.NewTable("h", policy)
	table.Update(prefillCatalog(), openHeads(1), func(fleet.GroupKey) bool { return false })
	total := []demand.Flow{{Service: "lm", Model: "m", Requests: 10}}
	own := []demand.Flow{{Service: "lm", Model: "m", Requests: 5}}
	table.UpdateLoad(nil, total, own)
	return table
}

// A node sends prompts to a group no faster than its share of the group's prefill
// limit, even if there is no other group with capacity.
func TestPacingLimitsPromptsToNodeShare(t *testing.T) {
	g := NewWithT(t)
	head := pacedTable().Pick("lm", "m", start, excludeNone)
	now := start
	var prefill time.Duration
	for range 10000 {
		now = now.Add(time.Millisecond)
		if head.IsFull(now) {
			continue
		}
		head.BeginRequest(100, now).End()
		prefill += 50 * time.Millisecond // 100 tokens at 1,000 per second and TimeFactor 0.5
	}
	// Half of 0.8 of 10 s, plus at most the burst and one prompt.
	g.Expect(prefill).To(BeNumerically("~", 4*time.Second, 200*time.Millisecond))
}

func TestPacingAfterIdleAllowsOnlyBurst(t *testing.T) {
	g := NewWithT(t)
	head := pacedTable().Pick("lm", "m", start, excludeNone)
	now := start.Add(time.Hour)
	g.Expect(head.IsFull(now)).To(BeFalse())
	sent := 0
	for ; !head.IsFull(now); sent++ {
		head.BeginRequest(100, now)
	}
	// The burst is 0.4 of 250 ms: two prompts of 50 ms bring the level to 0, a third below it.
	g.Expect(sent).To(Equal(3))
}

// With 68 nodes, each node's share of the limit lets it send a group a prompt only
// every few seconds. Pacing at that share refuses requests while groups are idle.
func TestNodeWithSmallShareIsNotPaced(t *testing.T) {
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
			table.Update(prefillCatalog(), openHeads(1), func(fleet.GroupKey) bool { return false })
			// Prefill of 100 tokens takes 50 ms; a tenth of 0.8 s covers one prompt, a hundredth does not.
			total := []demand.Flow{{Service: "lm", Model: "m", Requests: 10, PromptTokens: 1000}}
			table.UpdateLoad(nil, total, []demand.Flow{{Service: "lm", Model: "m", Requests: c.own}})
			head := table.Pick("lm", "m", start, excludeNone)
			for range 3 {
				head.BeginRequest(100, start)
			}
			NewWithT(t).Expect(head.IsFull(start)).To(Equal(c.full))
		})
	}
}

// A token bucket that starts empty refuses the first request of each node and model.
func TestNewPacerStartsFull(t *testing.T) {
	g := NewWithT(t)
	head := pacedTable().Pick("lm", "m", start, excludeNone)
	g.Expect(head.IsFull(start)).To(BeFalse())
	head.BeginRequest(300, start)
	g.Expect(head.IsFull(start)).To(BeTrue(), "300 tokens take 150 ms, the burst is 100 ms")
}
