package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/retry"
)

// A full budget in each new process adds up to a retry for nearly every second attempt.
func TestProcessesKilledInSeriesShareNoFullBudget(t *testing.T) {
	g := NewWithT(t)
	const processes, attempts, ratio = 20, 50, 0.1
	taken := 0
	for range processes {
		b := retry.NewBudget(ratio, 20)
		for range attempts {
			b.RecordAttempt()
			if b.TryTake() {
				taken++
			}
		}
	}
	g.Expect(taken).To(BeNumerically("<=", processes*(attempts*ratio+2)))
	g.Expect(taken).To(BeNumerically(">=", processes*attempts*ratio))
}

func TestSavedRetriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(0.1, 20)
	for range 10_000 {
		b.RecordAttempt()
	}
	taken := 0
	for b.TryTake() {
		taken++
	}
	g.Expect(taken).To(Equal(20))
}
