package upgrade

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/platform/standin"
)

// Guards against checks that pass over a connection which a node reset although it had read the request.
func TestJudgeFindsResetOfRequestThatReachedWorker(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome outcome
		arrives bool
		stopped bool
		// violations is how many there are.
		violations int
	}{
		{"reset, had reached a worker", unread, true, false, 1},
		{"reset by a planned stop, had reached a worker", unread, true, true, 2},
		{"cut by a planned stop, had reached a worker", cut, true, true, 1},
		{"reset unread", unread, false, false, 0},
		{"reset unread by a planned stop", unread, false, true, 0},
		{"closed after it had reached a worker", cut, true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMade()
			a := attempt{id: "node-0.1", node: m.judge.run.nodes[0], path: standin.UnsafePath, began: m.at(10), took: time.Second, outcome: c.outcome}
			m.judge.attempts = append(m.judge.attempts, a)
			if c.arrives {
				m.arrives(10, "node-0", halls[0], false)
			}
			if c.stopped {
				m.change(9, 12, change{node: a.node, planned: true})
			}
			m.judge.resets()
			m.judge.plannedStops()
			g.Expect(m.judge.report.Violations).To(HaveLen(c.violations))
		})
	}
}

func TestAbandonmentsAreDrawnApartFromThePlan(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		seed := rand.Uint64()
		list := newAbandonments(seed, 4)
		g.Expect(list).To(Equal(newAbandonments(seed, 4)))
		g.Expect(len(list)).To(BeNumerically(">", 5))
	}
	plain, abandoning := Options{Seed: 2}, Options{Seed: 2, Abandons: true}
	g.Expect(newPlan(2, Forward, 4, abandoning.kinds())).To(Equal(newPlan(2, Forward, 4, plain.kinds())))
}
