package entry

import (
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
)

// planBackoff and maxPlanBackoff are the pauses after the first and after many failed planning steps of a service in a row. Each
// failure doubles the pause, so that a fault that each step meets leaves the processor to the requests.
const (
	planBackoff    = time.Second
	maxPlanBackoff = 30 * time.Second
)

// planFailure is the last failed planning step of a service.
type planFailure struct {
	// version is that of the configuration that the step planned for.
	version int64
	// count is the number of failures in a row.
	count   int
	retryAt time.Time
}

// planFailures holds the services whose last planning step failed. Other services are planned meanwhile, and the groups
// of a failed one serve as they are. It is not safe for concurrent use.
type planFailures map[state.ServiceName]planFailure

// isPaused reports whether a service is not planned now. Another configuration is planned for at once, since it may lack what made
// the step fail.
func (f planFailures) isPaused(service state.ServiceName, version int64, now time.Time) bool {
	last, failed := f[service]
	return failed && last.version == version && now.Before(last.retryAt)
}

// record records a failed step and returns the pause until the next one.
func (f planFailures) record(service state.ServiceName, version int64, now time.Time) time.Duration {
	count := f[service].count
	pause := min(planBackoff<<min(count, 10), maxPlanBackoff)
	f[service] = planFailure{version: version, count: count + 1, retryAt: now.Add(pause)}
	return pause
}

// recordPlanFailure logs and counts a failed planning step of a service. Its planner is discarded: a step that ended midway may
// have left it inconsistent, and a new one recovers the groups from what the instances report.
func (p *placementController) recordPlanFailure(service state.ServiceName, version int64, members []placement.Member, err *placement.StepError, now time.Time) {
	pause := p.failures.record(service, version, now)
	p.mu.Lock()
	delete(p.planners, service)
	p.mu.Unlock()
	p.node.Count("plan.panicked")
	p.node.log.WithFields(log.Fields{
		"service": service, "version": version, "instances": len(members), "failures": p.failures[service].count, "retry_ms": pause.Milliseconds(),
		"panic": err.Panic, "stack": string(err.Stack),
	}).Error("planning step panicked")
}
