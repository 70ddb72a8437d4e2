package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/retry"
)

// A process that starts again has no record of the retries that the one before it sent in the same window. The leader
// grants it some, and has no record of what another leader granted.
func TestNodesKilledInSeriesStayWithinTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.SharedBudgetConfig{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 200).Draw(t, "slack"), Window: 10 * time.Second,
		}
		now := time.Unix(1000, 0)
		start := func() *retry.SharedBudget { return retry.NewSharedBudget(b, 0, now) }
		nodes := make([]*retry.SharedBudget, rapid.IntRange(1, 9).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = start()
			nodes[i].SetNodes(len(nodes))
		}
		grants := retry.NewGrants(now)
		var events []event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 15).Draw(t, "new leader") == 0 {
				grants = retry.NewGrants(now)
			}
			for i := range nodes {
				if rapid.IntRange(0, 4).Draw(t, "killed") == 0 {
					nodes[i] = start()
					nodes[i].SetNodes(len(nodes))
				}
				events = append(events, sendAll(nodes[i], rapid.IntRange(0, 5).Draw(t, "attempts"), now)...)
				if n := grants.Deal("s", nodes[i].Wanted(now), b, 1, now); n > 0 {
					nodes[i].Grant(n, now)
				}
			}
		}
		for _, end := range events {
			checkWindow(t, b, events, end.at)
		}
	})
}

func TestLeaderGrantsRetriesToNewProcessesOnly(t *testing.T) {
	g := NewWithT(t)
	b := retry.SharedBudgetConfig{Slack: 100, Window: 10 * time.Second}
	led := time.Unix(1000, 0)
	grants := retry.NewGrants(led)
	now := led.Add(20 * time.Second)
	old, young := retry.NewSharedBudget(b, 10, time.Time{}), retry.NewSharedBudget(b, 10, now)
	g.Expect(young.Wanted(now)).To(BeZero(), "nothing was retried")
	g.Expect(young.TryTake(now)).To(BeFalse())
	for old.TryTake(now) {
	}
	g.Expect(old.Wanted(now)).To(BeZero())
	wanted := young.Wanted(now)
	g.Expect(wanted).To(Equal(2), "the one that was denied and the next")
	g.Expect(grants.Deal("s", wanted, b, 1, led.Add(11*time.Second))).To(BeZero(), "what an earlier leader granted may be in use")
	young.Grant(grants.Deal("s", wanted, b, 1, now), now)
	g.Expect(young.Wanted(now)).To(BeZero(), "it has some left")
	g.Expect(young.TryTake(now)).To(BeTrue())
	g.Expect(young.TryTake(now.Add(retry.GrantTTL))).To(BeFalse(), "granted retries expire")
}

func TestGrantedRetriesAreBoundedInEachWindow(t *testing.T) {
	g := NewWithT(t)
	b := retry.SharedBudgetConfig{Slack: 100, Window: 10 * time.Second}
	led := time.Unix(1000, 0)
	grants := retry.NewGrants(led)
	dealt := 0
	for i := range 100 {
		dealt += grants.Deal("s", 3, b, 0.5, led.Add(12*time.Second+time.Duration(i)*100*time.Millisecond))
	}
	g.Expect(dealt).To(Equal(5), "a tenth of the slack, for the half of the nodes that report")
	g.Expect(grants.Deal("other", 3, b, 0.5, led.Add(20*time.Second))).To(Equal(3))
	g.Expect(grants.Deal("s", 3, b, 0.5, led.Add(40*time.Second))).To(Equal(3))
}

// sendAll records attempts at a node, all of which are rejected, and takes all retries that its budget allows.
func sendAll(n *retry.SharedBudget, attempts int, now time.Time) []event {
	var events []event
	for range attempts {
		n.RecordAttempt(now)
		events = append(events, event{at: now})
	}
	for n.TryTake(now) {
		events = append(events, event{now, true})
	}
	return events
}
