package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/localhealth"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// RecordResponse implements gateway.FailureDetector.
func (n *Node) RecordResponse(id state.InstanceID, at time.Time) {
	n.roster.RecordResponse(id, at)
	n.recordInstanceResponse(id)
}

// RecordFailure implements gateway.FailureDetector.
func (n *Node) RecordFailure(id state.InstanceID, at time.Time) { n.recordFailure(id, at, nil) }

// recordFailure records that a call to an instance, sent at a time, failed with err.
func (n *Node) recordFailure(id state.InstanceID, at time.Time, err error) {
	n.recordFailureInRoster(id, at, err)
	n.recordInstanceFailure(id, at)
	n.recordSuspicion(id, at)
	n.requestRebuild()
}

// recordFailureInRoster records in the roster that a call to an instance failed, and whether it was refused a connection.
func (n *Node) recordFailureInRoster(id state.InstanceID, at time.Time, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		n.roster.RecordRefusal(id, at)
	case errors.Is(err, errUnconnected):
		n.roster.RecordUnconnected(id, at)
	case errors.Is(err, errUnanswered):
		n.roster.RecordUnanswered(id, at)
	default:
		n.roster.RecordFailure(id, at)
	}
}

// RecordReplaced implements gateway.FailureDetector.
func (n *Node) RecordReplaced(id state.InstanceID) {
	n.roster.RecordReplaced(id, n.clock.Now())
	n.requestRebuild()
}

// ProbeGroup implements gateway.FailureDetector. It probes all members of a group in the background. If one has ended, the
// group's requests are cancelled. If one is only silent, they may be answered elsewhere, but stay.
func (n *Node) ProbeGroup(c *dispatch.Candidate) {
	go func() {
		unresponsive := n.probeAll(c.Members)
		if len(unresponsive) == 0 {
			return
		}
		n.Count("group.stalled")
		n.log.WithFields(log.Fields{
			"group": c.Membership.Group, "epoch": c.Membership.Epoch, "head": c.ID, "silent": unresponsive, "held": c.InFlight(),
		}).Warn("group stalled")
		n.requestRebuild()
		if n.anyEnded(unresponsive) {
			n.Count("group.ended")
			n.gateway.StallDetector.CancelGroup(c.ID)
			return
		}
		n.Count("group.silent")
		n.gateway.StallDetector.HandOverGroup(c.ID)
	}()
}

// anyEnded reports whether there is evidence that one of the instances has ended.
func (n *Node) anyEnded(ids []state.InstanceID) bool {
	now := n.clock.Now()
	return slices.ContainsFunc(ids, func(id state.InstanceID) bool { return n.roster.HasEnded(id, now) })
}

// probeAll probes instances concurrently and returns those that did not answer.
func (n *Node) probeAll(members []fleet.Instance) []state.InstanceID {
	var mu sync.Mutex
	var unresponsive []state.InstanceID
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() {
			if n.probeWithRetry(context.Background(), m) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unresponsive = append(unresponsive, m.ID)
		})
	}
	wg.Wait()
	return unresponsive
}

// probeWithRetry probes an instance, with one retry, and reports whether it answered.
func (n *Node) probeWithRetry(ctx context.Context, m fleet.Instance) bool {
	for range 2 {
		probedAt := n.clock.Now()
		if n.probeAndRecord(ctx, m, probedAt) {
			return true
		}
	}
	return false
}

// errProbeSkipped means that a probe was not sent because of a cooldown or a rate limit. An instance that
// is cooling down is probed only as often as is needed to detect its loss, a rate-limited one seldom.
var errProbeSkipped = errors.New("entry: probe skipped: instance is cooling down or rate limited")

// probe sends one probe to an instance and returns its report.
func (n *Node) probe(ctx context.Context, m fleet.Instance, probedAt time.Time) (fleet.Report, error) {
	if !n.cooldowns.TryProbe(m.Incarnation(), probedAt) {
		n.Count("probes.cooling-down")
		return fleet.Report{}, errProbeSkipped
	}
	if !n.limits.TryProbe(m.Incarnation(), n.probeRequest(m.ID), probedAt) {
		n.Count("probes.rate-limited")
		return fleet.Report{}, errProbeSkipped
	}
	n.Count("probes")
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	rep, err := n.ports.Target.Report(ctx, m.Address, m.ID, n.connectionTo(m.ID))
	rep.Asked = probedAt
	if ctx.Err() != nil && err != nil {
		err = timedOut(connected.Load(), err)
	}
	return rep, err
}

// The errors of a probe that ended by its time-out.
var (
	errUnconnected = errors.New("entry: no connection within the time of a probe")
	errUnanswered  = errors.New("entry: no answer within the time of a probe")
)

// timedOut adds to the error of a probe that timed out whether the instance had accepted its connection.
func timedOut(connected bool, err error) error {
	if connected {
		return fmt.Errorf("%w: %w", errUnanswered, err)
	}
	return fmt.Errorf("%w: %w", errUnconnected, err)
}

// recordProbeNotice records the notice in the answer to a probe.
func (n *Node) recordProbeNotice(m fleet.Instance, rep fleet.Report) {
	if !rep.Born.IsZero() {
		m.Born = rep.Born
	}
	n.RecordNotice(&m, rep.Notice, "", rep.Asked)
}

// recordReport records the report of an instance and then its notice, so that the roster already knows
// a later incarnation when the notice is recorded.
func (n *Node) recordReport(m fleet.Instance, rep fleet.Report) {
	n.roster.RecordReport(m.ID, rep)
	n.recordProbeNotice(m, rep)
}

// probeAndRecord sends one probe to an instance, records the result, and reports whether the instance may be
// assumed alive: it answered, or the probe was skipped or inconclusive.
func (n *Node) probeAndRecord(ctx context.Context, m fleet.Instance, probedAt time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, n.policy.ProbeTimeout)
	defer cancel()
	rep, err := n.probe(ctx, m, probedAt)
	if errors.Is(err, errProbeSkipped) {
		return true
	}
	defer n.recordProbeNotice(m, rep) // deferred until the roster knows a later incarnation
	n.evaluateProbe(m.Incarnation(), probedAt, rep, err)
	if errors.Is(err, placement.ErrAddressReused) {
		n.RecordReplaced(m.ID)
		return false
	}
	if errors.Is(err, placement.ErrInvalidReport) {
		n.recordUnreadableReport(m.ID, probedAt, err)
		return true
	}
	inconclusive := err != nil && n.isInconclusive(ctx, probedAt, n.policy.ProbeTimeout)
	n.leaderLoad.recordProbe(err != nil, inconclusive)
	if inconclusive {
		n.Count("probes.inconclusive")
		return true
	}
	if err != nil {
		n.recordFailure(m.ID, probedAt, err)
		n.logFailedProbe(m.ID, probedAt, err)
		return false
	}
	n.roster.RecordReport(m.ID, rep)
	n.recordInstanceResponse(m.ID)
	return true
}

// connectionTo returns the connection for the next call to an instance: a new one if the last
// call failed.
func (n *Node) connectionTo(id state.InstanceID) ConnectionReuse {
	return ConnectionReuse(n.roster.ConsecutiveFailures(id) > 0)
}

// logFailedProbe logs a failed probe until the instance has failed often enough to be lost, so that
// a dead instance is logged only a few times.
func (n *Node) logFailedProbe(id state.InstanceID, probedAt time.Time, err error) {
	failures := n.roster.ConsecutiveFailures(id)
	if failures > n.settings.Policy.Roster.LostFailures {
		return
	}
	n.log.WithError(err).WithFields(log.Fields{
		"instance": id, "failures": failures, "ms": n.clock.Since(probedAt).Milliseconds(),
	}).Info("probe failed")
}

// isInconclusive reports whether a call that began at a time timed out while this process itself was
// delayed, so that the time-out is no evidence about the other side.
func (n *Node) isInconclusive(ctx context.Context, began time.Time, timeout time.Duration) bool {
	if ctx.Err() == nil {
		return false
	}
	now := n.clock.Now()
	return n.localHealth.DelayedSince(began, now) || localhealth.DetectedLate(began.Add(timeout), now)
}

// watchHealth measures how late the node's own timers fire, and runs the checks due at each interval.
func (n *Node) watchHealth(ctx context.Context) {
	for {
		began := n.clock.Now()
		if !n.sleep(ctx, n.policy.HealthInterval) {
			return
		}
		now := n.clock.Now()
		delay := now.Sub(began) - n.policy.HealthInterval
		n.localHealth.RecordDelay(delay, now)
		n.leaderLoad.recordTimerDelay(delay)
		n.gateway.StallDetector.Check()
		n.allocateRates(now)
		n.reviewFarServices()
		n.probeInterrupted()
		n.probeUnreachable()
	}
}

// maxRetriesAtOnce is the maximum number of unreachable instances that a node begins to probe at each health check.
const maxRetriesAtOnce = 8

// probeUnreachable probes the unreachable instances that are due, in the background. The planner probes them on
// the leader, but what it finds does not make them reachable for other nodes. The result is done when all have
// answered or failed.
func (n *Node) probeUnreachable() *sync.WaitGroup {
	var probes sync.WaitGroup
	for _, m := range n.roster.DueRetries(n.clock.Now(), maxRetriesAtOnce) {
		probes.Go(func() {
			if n.probeAndRecord(context.Background(), m, n.clock.Now()) {
				n.requestRebuild()
			}
		})
	}
	return &probes
}

// RecordResume records that the machine was suspended for d. All data that the node holds is older by d, so
// the node reads the instance list and sends a status report to the leader at once.
func (n *Node) RecordResume(d time.Duration) {
	n.Count("wakeups")
	n.log.WithField("ms", d.Milliseconds()).Warn("the machine was suspended")
	n.requestListRead()
	n.requestStatusReport()
}

// recordUnreadableReport records that an instance answered with an invalid report. The instance is alive, and
// its last report stays in force. Only the first such answer of an instance is logged.
func (n *Node) recordUnreadableReport(id state.InstanceID, probedAt time.Time, err error) {
	n.Count("reports.unreadable")
	n.RecordResponse(id, probedAt)
	if _, known := n.loggedOnce.LoadOrStore(id, true); !known {
		n.log.WithError(err).WithField("instance", id).Warn("invalid instance report")
	}
}

// recordSuspicion records that an instance did not answer, and requests an immediate status report.
func (n *Node) recordSuspicion(id state.InstanceID, at time.Time) {
	n.mu.Lock()
	n.suspectedAt[id] = at
	n.mu.Unlock()
	n.requestStatusReport()
}

// requestStatusReport requests an immediate status report to the leader.
func (n *Node) requestStatusReport() { signal(n.statusRequested) }

// suspicions returns the instances that did not answer this node within NodePolicy.SuspectTTL, and
// removes older suspicions. Those of services from which the node is partitioned say nothing about the
// instances: the leader would probe all of them.
func (n *Node) suspicions(now time.Time) []Suspicion {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Suspicion
	for id, at := range n.suspectedAt {
		if now.Sub(at) > n.policy.SuspectTTL {
			delete(n.suspectedAt, id)
			continue
		}
		if n.IsPartitioned(n.roster.Service(id)) {
			continue
		}
		list = append(list, Suspicion{Instance: id, AgeMS: ceilMS(now.Sub(at))})
	}
	return list
}
