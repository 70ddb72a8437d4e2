// Package localhealth reports whether this process itself runs late, so that it
// does not take its own delay for the failure of others (the idea of local
// health in Lifeguard, Dadgar et al., 2018, arXiv:1707.00788).
package localhealth

import (
	"sync"
	"time"
)

// Bounds of lateness.
const (
	// lateAfter is the delay of a timer above which the process counts as late.
	lateAfter = 40 * time.Millisecond
	// lateCall is how long after its deadline the end of a call may be noticed for the
	// call to prove something. Timers are served first by the scheduler, while each
	// part of an answer waits behind all that is ready to run: 99 probes of living
	// instances, in seconds without a late timer, were seen to end 20 to 150 ms late.
	lateCall = 10 * time.Millisecond
	// lateFor is how long after a late timer the process's own deadlines prove nothing.
	lateFor = 150 * time.Millisecond
	// window is the span over which late timers are counted.
	window = 2 * time.Second
	// overloadedAt is the number of late timers within the window at which the process counts as overloaded.
	overloadedAt = 6
)

// Monitor keeps the latest delays of a periodic timer; safe for concurrent use.
type Monitor struct {
	mu   sync.Mutex
	late []time.Time
}

// Observe takes in how much later than asked a timer fired.
func (m *Monitor) Observe(delay time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delay < lateAfter {
		return
	}
	if len(m.late) == overloadedAt {
		m.late = append(m.late[:0], m.late[1:]...)
	}
	m.late = append(m.late, now)
}

// Delayed reports whether the process ran late at any moment since a time, so that
// a deadline of its own that passed since then proves nothing.
func (m *Monitor) Delayed(since, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.late) == 0 {
		return false
	}
	newest := m.late[len(m.late)-1]
	return !newest.Before(since) || now.Sub(newest) < lateFor
}

// Overran reports whether the end of a call was noticed so late after its deadline
// that the answer may be waiting for this process itself.
func Overran(deadline, now time.Time) bool { return now.Sub(deadline) >= lateCall }

// Overloaded reports whether the process has run late again and again.
func (m *Monitor) Overloaded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.late) == overloadedAt && now.Sub(m.late[0]) < window
}
