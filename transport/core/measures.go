package core

import (
	"sync"
	"time"
)

// Measures adds up the two costs that operators weigh, for the node's own data
// hall and since the node started.
type Measures struct {
	mu       sync.Mutex
	last     time.Time
	downtime time.Duration
	stranded time.Duration
}

// Add counts the time since the last call for a number of groups that were not
// whole and a number of instances that held no working group.
func (m *Measures) Add(now time.Time, groupsDown, stranded int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.last.IsZero() {
		d := now.Sub(m.last)
		m.downtime += time.Duration(groupsDown) * d
		m.stranded += time.Duration(stranded) * d
	}
	m.last = now
}

// Totals returns group downtime in group-seconds and stranded time in instance-seconds.
func (m *Measures) Totals() (downtime, stranded time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.downtime, m.stranded
}
