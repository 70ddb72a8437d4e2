// Package retry decides whether a failed attempt may be made again.
package retry

import "sync"

// Outcome is what is certain about one attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// NotRun means no byte that could start the work left, or the target itself refused.
	NotRun Outcome = "not-run"
	// Unknown means the work may have been done.
	Unknown Outcome = "unknown"
	// Run means the target answered.
	Run Outcome = "run"
)

// Budget bounds retries to a fraction of the first attempts, so that a failing
// target is not buried under repeats; safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	most   float64
	credit float64
}

// NewBudget returns a Budget that grants ratio retries per first attempt and saves up to most.
func NewBudget(ratio, most float64) *Budget {
	return &Budget{ratio: ratio, most: most, credit: most}
}

// Attempt counts a first attempt.
func (b *Budget) Attempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.most, b.credit+b.ratio)
}

// Take takes one retry out of the budget, or reports that none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Allowed reports whether an attempt that ended so may be made again.
func Allowed(o Outcome, repeatable bool) bool {
	return o == NotRun || (o == Unknown && repeatable)
}
