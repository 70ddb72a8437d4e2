package entry

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// leaderLoad adds up what leading costs between two log lines. The calls of a busy
// leader end late and say little of instances and nodes.
type leaderLoad struct {
	mu sync.Mutex
	leaderWork
}

// leaderWork is the work since the last log line.
type leaderWork struct {
	// steps are steps of the planners, stepTime the time that they took together, longestStep the longest.
	steps       int
	stepTime    time.Duration
	longestStep time.Duration
	// reports are status reports of nodes that were answered, reportTime the time that took.
	reports    int
	reportTime time.Duration
	// probes are reports asked of instances, failedProbes those without an answer,
	// lateProbes those of them that say nothing since this node ran late.
	probes       int
	failedProbes int
	lateProbes   int
	// timerDelay is the longest delay of a timer of this process.
	timerDelay time.Duration
}

// step adds one step of all planners.
func (l *leaderLoad) step(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps++
	l.stepTime += took
	l.longestStep = max(l.longestStep, took)
}

// statusReport adds one status report that was answered.
func (l *leaderLoad) statusReport(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports++
	l.reportTime += took
}

// probe adds one probe.
func (l *leaderLoad) probe(failed, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probes++
	if failed {
		l.failedProbes++
	}
	if late {
		l.lateProbes++
	}
}

// timer adds the delay of a timer.
func (l *leaderLoad) timer(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerDelay = max(l.timerDelay, delay)
}

// reset forgets what was added up while the node did not lead.
func (l *leaderLoad) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderWork = leaderWork{}
}

// fields returns the work since the last call as fields of a log line.
func (l *leaderLoad) fields() log.Fields {
	l.mu.Lock()
	w := l.leaderWork
	l.leaderWork = leaderWork{}
	l.mu.Unlock()
	return log.Fields{
		"steps": w.steps, "step_ms": w.stepTime.Milliseconds(), "longest_step_ms": w.longestStep.Milliseconds(),
		"status_reports": w.reports, "status_report_ms": w.reportTime.Milliseconds(),
		"probes": w.probes, "failed_probes": w.failedProbes, "late_probes": w.lateProbes,
		"timer_delay_ms": w.timerDelay.Milliseconds(),
	}
}
