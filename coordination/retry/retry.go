// Package retry decides whether a failed attempt may be retried, and bounds retries by budgets.
package retry

import "sync"

// Outcome is what is known for certain about an attempt's effect on the target.
type Outcome string

// The outcomes of an attempt.
const (
	// NotRun means that the work did not start: no byte that could start it was sent, or
	// the target refused the request.
	NotRun Outcome = "not-run"
	// Unknown means that the work may have been done.
	Unknown Outcome = "unknown"
	// Completed means that the target answered.
	Completed Outcome = "run"
)

// Budget is a retry budget: it bounds retries to a fraction of first attempts, so that
// retries do not overload a failing target. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxCredit float64
	credit    float64
}

// NewBudget returns a full Budget that earns ratio retries per first attempt and holds at most most.
func NewBudget(ratio, maxCredit float64) *Budget {
	return &Budget{ratio: ratio, maxCredit: maxCredit, credit: maxCredit}
}

// RecordAttempt records a first attempt.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.maxCredit, b.credit+b.ratio)
}

// TryTake consumes one retry. It reports false if the budget is exhausted.
func (b *Budget) TryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// CanRetry reports whether an attempt with outcome o may be retried. Work that may have been
// done is retried only if it is repeatable.
func CanRetry(o Outcome, repeatable bool) bool {
	return o == NotRun || (o == Unknown && repeatable)
}
