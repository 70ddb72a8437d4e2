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
		failing := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				failing = !failing
			}
			if rapid.IntRange(0, 15).Draw(t, "new leader") == 0 {
				grants = retry.NewGrants(now)
			}
			for i := range nodes {
				if rapid.IntRange(0, 4).Draw(t, "killed") == 0 {
					nodes[i] = start()
					nodes[i].SetNodes(len(nodes))
				}
				events = append(events, send(nodes[i], rapid.IntRange(0, 5).Draw(t, "attempts"), failing, now)...)
				if n := grants.Deal("s", nodes[i].Wanted(now), b.Slack, b.Window, now); n > 0 {
					nodes[i].Grant(n, now)
				}
			}
		}
		for _, end := range events {
			checkService(t, b, events, end.at)
		}
	})
}

func TestSuccessorGoesOnWithTheBudgetOfItsPredecessor(t *testing.T) {
	for _, c := range []struct {
		name  string
		age   time.Duration
		taken int
	}{
		{"just after", 0, 20 - 12},
		{"while the retries are in the window", 9 * time.Second, 15 - 12},
		{"after them", 10 * time.Second, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := retry.SharedBudgetConfig{Ratio: 0.1, Slack: 9, Window: 10 * time.Second}
			b.Ratio, b.Slack = b.Ratio/0.85, 15/0.85
			now := time.Unix(1000, 0)
			s := retry.NewSharedBudget(b, 1, now)
			g.Expect(s.IsWithheld(now)).To(BeTrue())
			s.Inherit(retry.Usage{Attempts: 50, Retries: 12}, time.Time{}, now.Add(-c.age), now)
			g.Expect(s.IsWithheld(now)).To(BeFalse())
			taken := 0
			for s.TryTake(now) {
				taken++
			}
			g.Expect(taken).To(Equal(c.taken))
		})
	}
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
	g.Expect(grants.Deal("s", wanted, b.Slack, b.Window, led.Add(11*time.Second))).To(BeZero(), "what an earlier leader granted may be in use")
	young.Grant(grants.Deal("s", wanted, b.Slack, b.Window, now), now)
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
		dealt += grants.Deal("s", 3, b.Slack/2, b.Window, led.Add(12*time.Second+time.Duration(i)*100*time.Millisecond))
	}
	g.Expect(dealt).To(Equal(5), "a tenth of the slack, for the half of the nodes that report")
	g.Expect(grants.Deal("other", 3, b.Slack/2, b.Window, led.Add(20*time.Second))).To(Equal(3))
	g.Expect(grants.Deal("s", 3, b.Slack/2, b.Window, led.Add(40*time.Second))).To(Equal(3))
}

// checkService checks the window that ends at end by the service's count. The requests are those of this window, of the
// one before or of the one half a window before, whichever has the most.
func checkService(t *rapid.T, b retry.SharedBudgetConfig, events []event, end time.Time) {
	retries, attempts := 0, [3]int{}
	for _, e := range events {
		age := end.Sub(e.at)
		if e.isRetry && age >= 0 && age < b.Window {
			retries++
		}
		for i := range attempts {
			since := time.Duration(i) * b.Window / 2
			if !e.isRetry && age >= since && age < since+b.Window+b.Window/20 {
				attempts[i]++
			}
		}
	}
	if most := max(attempts[0], attempts[1], attempts[2]); float64(retries) > b.Ratio*float64(most)+b.Slack {
		t.Fatalf("%d retries in a window with %d attempts, more than the bounds allow", retries, most)
	}
}

// send records attempts at a node. If they fail, it takes all retries that the budget allows.
func send(n *retry.SharedBudget, attempts int, failing bool, now time.Time) []event {
	var events []event
	for range attempts {
		n.RecordAttempt(now)
		events = append(events, event{at: now})
	}
	for failing && n.TryTake(now) {
		events = append(events, event{now, true})
	}
	return events
}
