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
	// lateTimerDelay is the timer delay from which the process counts as late.
	lateTimerDelay = 40 * time.Millisecond
	// lateCallDelay is the delay between a call's deadline and the detection of its end from
	// which a timed-out call is inconclusive. A late timer does not always show this delay:
	// the scheduler serves timers first, while each step of reading a response waits behind
	// all runnable goroutines. 99 probes of live instances ended 20 to 150 ms late in
	// seconds without a late timer.
	lateCallDelay = 10 * time.Millisecond
	// inconclusivePeriod is how long after a late timer the process's own timeouts are inconclusive.
	inconclusivePeriod = 150 * time.Millisecond
	// overloadWindow is the span over which late timers are counted.
	overloadWindow = 2 * time.Second
	// overloadThreshold is the number of late timers within overloadWindow at which the process counts
	// as overloaded.
	overloadThreshold = 6
)

// Monitor records the most recent late firings of a periodic timer. It is safe for concurrent use.
type Monitor struct {
	mu         sync.Mutex
	lateTimers []time.Time
}

// RecordDelay records by how much a timer fired late.
func (m *Monitor) RecordDelay(delay time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delay < lateTimerDelay {
		return
	}
	if len(m.lateTimers) == overloadThreshold {
		m.lateTimers = append(m.lateTimers[:0], m.lateTimers[1:]...)
	}
	m.lateTimers = append(m.lateTimers, now)
}

// DelayedSince reports whether a timer fired late since the given time or less than
// inconclusivePeriod ago. If so, a timeout of this process since then is inconclusive.
func (m *Monitor) DelayedSince(since, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.lateTimers) == 0 {
		return false
	}
	newest := m.lateTimers[len(m.lateTimers)-1]
	return !newest.Before(since) || now.Sub(newest) < inconclusivePeriod
}

// DetectedLate reports whether the end of a call was detected so long after its deadline that
// the response may have arrived and be waiting for this process.
func DetectedLate(deadline, now time.Time) bool { return now.Sub(deadline) >= lateCallDelay }

// Overloaded reports whether the last overloadThreshold late timers fired within
// overloadWindow.
func (m *Monitor) Overloaded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.lateTimers) == overloadThreshold && now.Sub(m.lateTimers[0]) < overloadWindow
}
