package retry

import (
	"sync"
	"time"
)

// Bounds say how many repeats all nodes together may send to one service: in any
// window, Ratio for each first attempt and Slack beyond.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Shape of a budget.
const (
	// sharedPart is the part of a shared budget that nodes use, since they count apart.
	sharedPart = 0.85
	// slots is the number of spans into which a window is divided; one more is kept.
	slots = 20
)

// span counts what happened in one part of a window.
type span struct {
	number   int64
	attempts int
	repeats  int
}

// SharedBudget is one node's part of a budget that all nodes share; safe for concurrent use.
type SharedBudget struct {
	mu     sync.Mutex
	bounds Bounds
	nodes  int
	start  time.Time
	spans  [slots + 1]span
}

// NewSharedBudget returns the part of one of a number of nodes.
func NewSharedBudget(b Bounds, nodes int, now time.Time) *SharedBudget {
	return &SharedBudget{bounds: b, nodes: max(nodes, 1), start: now}
}

// SetNodes changes the number of nodes that share the budget.
func (s *SharedBudget) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = max(n, 1)
}

// at returns the span of a time, emptied if it was that of an earlier window.
func (s *SharedBudget) at(now time.Time) *span {
	width := max(s.bounds.Window/slots, 1)
	number := int64(now.Sub(s.start) / width)
	p := &s.spans[number%(slots+1)]
	if p.number != number {
		*p = span{number: number}
	}
	return p
}

// Attempt counts a first attempt.
func (s *SharedBudget) Attempt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at(now).attempts++
}

// Take takes one repeat out of the budget, or reports that none is left.
func (s *SharedBudget) Take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.at(now)
	attempts, repeats := 0, 0
	for _, p := range s.spans {
		if p.number > current.number-int64(len(s.spans)) && p.number <= current.number {
			attempts += p.attempts
			repeats += p.repeats
		}
	}
	allowed := sharedPart * (s.bounds.Ratio*float64(attempts) + s.bounds.Slack/float64(s.nodes))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}
