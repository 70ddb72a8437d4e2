package core

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/repair"
	"github.com/troutmast/troutmast/state"
)

// Repairs remembers the newest decision about each broken group.
type Repairs struct {
	mu sync.Mutex
	m  map[state.GroupName]RepairDecision
}

// RepairDecision is a decision and when it was taken.
type RepairDecision struct {
	repair.Decision
	At time.Time
}

// NewRepairs returns an empty Repairs.
func NewRepairs() *Repairs { return &Repairs{m: map[state.GroupName]RepairDecision{}} }

// Set notes a decision.
func (r *Repairs) Set(d repair.Decision, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.m[d.Group] = RepairDecision{Decision: d, At: at}
}

// Get returns the newest decision about a group.
func (r *Repairs) Get(g state.GroupName) (RepairDecision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.m[g]
	return d, ok
}
