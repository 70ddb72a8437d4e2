package retry

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/internal/window"
)

// SharedBudgetConfig limits the retries that all nodes together send to one service: in any Window,
// at most Ratio retries per first attempt plus Slack.
type SharedBudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// usableFraction is the fraction of a shared budget that nodes use. The rest is a margin
// for the error of nodes that count independently of each other.
const usableFraction = 0.85

// newProcessFraction is the fraction of Ratio that a process uses while it does not know what the one before it used: that
// one may have just spent what it had saved since before the window.
const newProcessFraction = 0.4

// SharedBudget is one node's share of a retry budget of all nodes. It is safe for concurrent use.
//
// The node's part is withheld for one window after its process has started: the process before it may have used it, and
// that one's retries still count at the service. Meanwhile the process inherits the count of the one before, or the
// leader grants it some retries.
type SharedBudget struct {
	mu     sync.Mutex
	bounds SharedBudgetConfig
	nodes  int
	// countsSince is since when all retries of this node are counted here.
	countsSince time.Time
	attempts    window.Counter
	retries     window.Counter
	granted     grantedRetries
}

// NewSharedBudget returns the SharedBudget of one of the given number of nodes. countsSince is when the
// node's process started, or zero if no process of the node ran before.
func NewSharedBudget(b SharedBudgetConfig, nodes int, countsSince time.Time) *SharedBudget {
	return &SharedBudget{bounds: b, nodes: nodes, countsSince: countsSince}
}

// SetNodes sets the number of nodes that share the budget; 0 means unknown. The node then
// gets no share of the slack, since other nodes may use all of it.
func (s *SharedBudget) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = n
}

// SetBounds changes the bounds and keeps what has been counted. The length of the window must stay the same.
func (s *SharedBudget) SetBounds(b SharedBudgetConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = b
}

// RecordAttempt records a first attempt.
func (s *SharedBudget) RecordAttempt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.Add(now, s.bounds.Window)
}

// TryTake consumes one retry. It reports false if the budget is exhausted.
func (s *SharedBudget) TryTake(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := s.bounds.Ratio
	if s.isWithheld(now) {
		ratio *= newProcessFraction
	}
	allowed := usableFraction*(ratio*float64(s.attempts.Within(now, s.bounds.Window))+s.share(now)) + float64(s.granted.taken.Within(now, s.bounds.Window))
	if float64(s.retries.Within(now, s.bounds.Window)+1) > allowed && !s.granted.take(now, s.bounds.Window) {
		return false
	}
	s.retries.Add(now, s.bounds.Window)
	return true
}

// Return gives back a retry that was taken at a time and reached no instance.
func (s *SharedBudget) Return(takenAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Remove(takenAt, s.bounds.Window)
	s.granted.taken.Remove(takenAt, s.bounds.Window) // or a granted one could be used again after it has expired
}

// Usage is the state of a SharedBudget in the window that ends now.
type Usage struct {
	// Attempts and Retries count what this process sent, Granted those of the retries that the leader granted. Share is
	// its part of the slack.
	Attempts, Retries, Granted int
	Share                      float64
}

// Usage returns the state of the budget.
func (s *SharedBudget) Usage(now time.Time) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.bounds.Window
	return Usage{Attempts: s.attempts.Within(now, w), Retries: s.retries.Within(now, w), Granted: s.granted.taken.Within(now, w), Share: s.share(now)}
}

// share returns this node's part of the slack. s.mu is held.
func (s *SharedBudget) share(now time.Time) float64 {
	if s.nodes == 0 || s.isWithheld(now) {
		return 0
	}
	return s.bounds.Slack / float64(s.nodes)
}

// Inherit adds what the previous process of the node had used at a time, so that this one continues its count. That one
// had counted all retries since countsSince, or for a whole window if it is zero.
func (s *SharedBudget) Inherit(u Usage, countsSince, at, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isWithheld(now) {
		return
	}
	s.countsSince = countsSince
	for range u.Retries {
		s.addPast(&s.retries, at, now)
	}
	// The attempts were spread over the window before.
	for range u.Attempts {
		s.addPast(&s.attempts, at.Add(-s.bounds.Window/2), now)
	}
}

// addPast adds an event at a past time, unless it is out of the window. s.mu is held.
func (s *SharedBudget) addPast(c *window.Counter, at, now time.Time) {
	if now.Sub(at) < s.bounds.Window {
		c.Add(at, s.bounds.Window)
	}
}

// IsWithheld reports whether the node's part of the budget is withheld.
func (s *SharedBudget) IsWithheld(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isWithheld(now)
}

// isWithheld reports whether the node's part of the budget is withheld. s.mu is held.
func (s *SharedBudget) isWithheld(now time.Time) bool {
	return now.Sub(s.countsSince) < s.bounds.Window
}
