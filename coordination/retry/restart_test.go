package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/retry"
)

// A process that starts again has no record of the retries that the one before it sent in the same window.
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
		var events []event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			for i := range nodes {
				if rapid.IntRange(0, 4).Draw(t, "killed") == 0 {
					nodes[i] = start()
					nodes[i].SetNodes(len(nodes))
				}
				events = append(events, sendAll(nodes[i], rapid.IntRange(0, 5).Draw(t, "attempts"), now)...)
			}
		}
		for _, end := range events {
			checkWindow(t, b, events, end.at)
		}
	})
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
