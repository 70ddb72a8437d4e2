package upgrade

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/platform/standin"
)

func TestRestartsAreDrawnApartFromThePlan(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		seed := rand.Uint64()
		list := newRestarts(seed)
		g.Expect(list).To(Equal(newRestarts(seed)))
		g.Expect(len(list)).To(BeNumerically(">", 5))
	}
	plain, restarting := Options{Seed: 2}, Options{Seed: 2, Restarts: true}
	g.Expect(newPlan(2, Forward, 4, restarting.kinds())).To(Equal(newPlan(2, Forward, 4, plain.kinds())))
}

// Guards against a run that cannot show a second run of a request.
func TestRequestThatRunsWhereItWasTurnedAwayIsCounted(t *testing.T) {
	for _, c := range []struct {
		name       string
		turnedAway string
		want       int
	}{
		{"turned away and run by the same worker", "w", 1},
		{"turned away by another worker", "v", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMade()
			m.judge.events = []standin.Event{
				{Kind: standin.TurnedAway, Worker: c.turnedAway, Request: "r"}, {Kind: standin.Arrived, Worker: "w", Request: "r"}, {Kind: standin.Ran, Worker: "w", Request: "r"},
			}
			m.judge.countResent()
			g.Expect(m.judge.report.Resent).To(Equal(c.want))
		})
	}
}
