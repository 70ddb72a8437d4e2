package retry

import (
	"sync"
	"time"
)

// Bounds say how many repeats all nodes together may send to one service.
type Bounds struct {
	// Ratio is the number of repeats for each first attempt in a window, Slack a number that is always allowed.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// sharedPart is the part of a shared budget that nodes use, since they count apart.
const sharedPart = 0.8

// SharedBudget is one node's part of a budget that all nodes share; safe for concurrent use.
//
// Of the slack, half may be spent at once and half comes back over a window, so
// that no span of a window's length holds more than the whole.
type SharedBudget struct {
	mu     sync.Mutex
	bounds Bounds
	nodes  int
	credit float64
	at     time.Time
}

// NewSharedBudget returns the part of one of a number of nodes.
func NewSharedBudget(b Bounds, nodes int, now time.Time) *SharedBudget {
	s := &SharedBudget{bounds: b, nodes: max(nodes, 1), at: now}
	s.credit = s.burst()
	return s
}

// burst is what may be spent at once.
func (s *SharedBudget) burst() float64 {
	return s.bounds.Slack * sharedPart / 2 / float64(s.nodes)
}

// SetNodes changes the number of nodes that share the budget.
func (s *SharedBudget) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = max(n, 1)
	s.credit = min(s.credit, s.burst())
}

// Attempt counts a first attempt.
func (s *SharedBudget) Attempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credit = min(s.burst(), s.credit+s.bounds.Ratio*sharedPart)
}

// Take takes one repeat out of the budget, or reports that none is left.
func (s *SharedBudget) Take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bounds.Window > 0 {
		s.credit = min(s.burst(), s.credit+s.burst()*now.Sub(s.at).Seconds()/s.bounds.Window.Seconds())
	}
	s.at = now
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}
