package core

import (
	"fmt"
	"sync"
	"time"
)

// decisionsKept is how many requests are remembered for why.
const decisionsKept = 4096

// Decision is one step in the course of a request.
type Decision struct {
	At   time.Time
	Text string
}

// Decisions remembers what was decided about the latest requests.
type Decisions struct {
	mu    sync.Mutex
	m     map[string][]Decision
	order []string
}

// NewDecisions returns an empty Decisions.
func NewDecisions() *Decisions { return &Decisions{m: map[string][]Decision{}} }

// Add notes a step of a request.
func (d *Decisions) Add(request string, at time.Time, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.m[request]; !ok {
		d.order = append(d.order, request)
	}
	d.m[request] = append(d.m[request], Decision{At: at, Text: fmt.Sprintf(format, args...)})
	if len(d.order) > decisionsKept {
		delete(d.m, d.order[0])
		d.order = d.order[1:]
	}
}

// Get returns the steps of a request, the first one first.
func (d *Decisions) Get(request string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Decision(nil), d.m[request]...)
}
