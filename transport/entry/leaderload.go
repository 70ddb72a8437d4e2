package entry

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// leaderLoad sums the leader's work between two log lines. On an overloaded leader, calls complete
// late, and their failures say little about instances and nodes.
type leaderLoad struct {
	mu sync.Mutex
	leaderWork
}

// leaderWork is the leader's work since the last log line.
type leaderWork struct {
	// steps counts the planning steps, stepTime is their total and longestStep their maximum duration.
	steps       int
	stepTime    time.Duration
	longestStep time.Duration
	// reports counts the status reports of other nodes that were answered, reportTime is the total time spent on them.
	reports    int
	reportTime time.Duration
	// probes counts the probes of instances, failedProbes those without an answer, and lateProbes
	// those of the failed ones that are inconclusive because this node itself was overloaded.
	probes       int
	failedProbes int
	lateProbes   int
	// timerDelay is the longest observed delay of a timer of this process.
	timerDelay time.Duration
}

// recordStep records one planning step for all services.
func (l *leaderLoad) recordStep(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps++
	l.stepTime += duration
	l.longestStep = max(l.longestStep, duration)
}

// recordStatusReport records one answered status report.
func (l *leaderLoad) recordStatusReport(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports++
	l.reportTime += duration
}

// recordProbe records one probe. A late one is inconclusive because this node was overloaded.
func (l *leaderLoad) recordProbe(failed, late bool) {
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

func (l *leaderLoad) recordTimerDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerDelay = max(l.timerDelay, delay)
}

// reset discards the work recorded while the node did not lead.
func (l *leaderLoad) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderWork = leaderWork{}
}

// takeFields returns the work since the last call as fields of a log line, and starts anew.
func (l *leaderLoad) takeFields() log.Fields {
	l.mu.Lock()
	work := l.leaderWork
	l.leaderWork = leaderWork{}
	l.mu.Unlock()
	return log.Fields{
		"steps": work.steps, "step_ms": work.stepTime.Milliseconds(), "longest_step_ms": work.longestStep.Milliseconds(),
		"status_reports": work.reports, "status_report_ms": work.reportTime.Milliseconds(),
		"probes": work.probes, "failed_probes": work.failedProbes, "late_probes": work.lateProbes,
		"timer_delay_ms": work.timerDelay.Milliseconds(),
	}
}
