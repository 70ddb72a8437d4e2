package retry

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/internal/window"
)

// Bounds say how many repeats all nodes together may send to one service: in any
// window, Ratio for each first attempt and Slack beyond.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// sharedPart is the part of a shared budget that nodes use, since they count apart.
const sharedPart = 0.85

// SharedBudget is one node's part of a budget that all nodes share; safe for concurrent use.
type SharedBudget struct {
	mu       sync.Mutex
	bounds   Bounds
	nodes    int
	attempts window.Counter
	repeats  window.Counter
}

// NewSharedBudget returns the part of one of a number of nodes.
func NewSharedBudget(b Bounds, nodes int) *SharedBudget {
	return &SharedBudget{bounds: b, nodes: nodes}
}

// SetNodes changes the number of nodes that share the budget. While it is not known, which 0
// says, the node takes no part of the slack: all of it may be in use by others.
func (s *SharedBudget) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = n
}

// Attempt counts a first attempt.
func (s *SharedBudget) Attempt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.Add(now, s.bounds.Window)
}

// Take takes one repeat out of the budget, or reports that none is left.
func (s *SharedBudget) Take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := s.bounds.Ratio * float64(s.attempts.Within(now, s.bounds.Window))
	if s.nodes > 0 {
		allowed += s.bounds.Slack / float64(s.nodes)
	}
	if float64(s.repeats.Within(now, s.bounds.Window)+1) > sharedPart*allowed {
		return false
	}
	s.repeats.Add(now, s.bounds.Window)
	return true
}
