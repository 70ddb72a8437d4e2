// Package localhealth detects when this process itself runs late, so that its own
// delays are not mistaken for failures of other processes. It follows the local
// health idea of Lifeguard (Dadgar et al., 2018, arXiv:1707.00788).
package localhealth

import (
	"sync"
	"time"
)

// Thresholds for late timers and late calls.
const (
	// lateAfter is the timer delay from which the process counts as late.
	lateAfter = 40 * time.Millisecond
	// lateCall is the delay between a call's deadline and the detection of its end from
	// which a timed-out call is inconclusive. A late timer does not always show this delay:
	// the scheduler serves timers first, while each step of reading a response waits behind
	// all runnable goroutines. 99 probes of live instances ended 20 to 150 ms late in
	// seconds without a late timer.
	lateCall = 10 * time.Millisecond
	// lateFor is how long after a late timer the process's own timeouts are inconclusive.
	lateFor = 150 * time.Millisecond
	// window is the span over which late timers are counted.
	window = 2 * time.Second
	// overloadedAt is the number of late timers within window at which the process counts as overloaded.
	overloadedAt = 6
)

// Monitor records the most recent late firings of a periodic timer. It is safe for concurrent use.
type Monitor struct {
	mu   sync.Mutex
	late []time.Time
}

// Observe records by how much a timer fired late.
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

// Delayed reports whether a timer fired late since the given time or less than lateFor ago.
// If so, a timeout of this process since then is inconclusive.
func (m *Monitor) Delayed(since, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.late) == 0 {
		return false
	}
	newest := m.late[len(m.late)-1]
	return !newest.Before(since) || now.Sub(newest) < lateFor
}

// Overran reports whether the end of a call was detected so long after its deadline that
// the response may have arrived and be waiting for this process.
func Overran(deadline, now time.Time) bool { return now.Sub(deadline) >= lateCall }

// Overloaded reports whether the last overloadedAt late timers fired within window.
func (m *Monitor) Overloaded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.late) == overloadedAt && now.Sub(m.late[0]) < window
}
