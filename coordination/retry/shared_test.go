package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/retry"
)

// event is a first attempt or a retry that was counted.
type event struct {
	at      time.Time
	isRetry bool
}

// For any schedule, the retries of all nodes in any window stay within the bounds for the
// first attempts in that window and just before it.
func TestRetriesOfAllNodesStayWithinTheBoundsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.SharedBudgetConfig{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 60).Draw(t, "slack"), Window: 10 * time.Second,
		}
		start := time.Unix(1000, 0)
		nodes := make([]*retry.SharedBudget, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = retry.NewSharedBudget(b, len(nodes), start.Add(-b.Window))
		}
		var events []event
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "attempt") {
				n.RecordAttempt(now)
				events = append(events, event{at: now})
				continue
			}
			if n.TryTake(now) {
				events = append(events, event{now, true})
			}
		}
		for _, end := range events {
			checkWindow(t, b, events, end.at)
		}
	})
}

// checkWindow checks the window that ends at end. Attempts count from a 20th of the window
// earlier, the resolution of window.Counter.
func checkWindow(t *rapid.T, b retry.SharedBudgetConfig, events []event, end time.Time) {
	retries, attempts := 0, 0
	for _, e := range events {
		age := end.Sub(e.at)
		switch {
		case age < 0:
		case e.isRetry && age < b.Window:
			retries++
		case !e.isRetry && age < b.Window+b.Window/20:
			attempts++
		}
	}
	if float64(retries) > b.Ratio*float64(attempts)+b.Slack {
		t.Fatalf("%d retries in a window with %d attempts, more than the bounds allow", retries, attempts)
	}
}

func TestBurstMayUseTheBudgetOfTheWholeWindow(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}, 9, now.Add(-10*time.Second))
	for i := range 100 {
		s.RecordAttempt(now.Add(time.Duration(i) * 90 * time.Millisecond))
	}
	taken := 0
	for range 100 {
		if s.TryTake(now.Add(9 * time.Second)) {
			taken++
		}
	}
	g.Expect(taken).To(Equal(25), "0.85 of 0.2 x 100 + 90/9")
}

func TestReturnedRetryCanBeTakenAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := retry.NewSharedBudget(retry.SharedBudgetConfig{Slack: 2, Window: 10 * time.Second}, 1, time.Time{})
	g.Expect(s.TryTake(now)).To(BeTrue())
	g.Expect(s.TryTake(now)).To(BeFalse())
	s.Return(now)
	g.Expect(s.TryTake(now.Add(time.Second))).To(BeTrue())
	s.Return(now)
	g.Expect(s.TryTake(now.Add(time.Second))).To(BeFalse(), "a retry is given back once")
}
