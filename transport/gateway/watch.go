package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/event"
)

// errGroupStalled means that an attempt was canceled because its group has stalled.
var errGroupStalled = errors.New("gateway: replica group stalled: a member has ended")

// watchedAttempt is an attempt in progress.
type watchedAttempt struct {
	call   *call
	target *dispatch.Candidate
	// repeatable reports whether the request may be sent to another group.
	repeatable bool
	sentAt     time.Time
	// lastDataNanos is when the last data arrived, in nanoseconds of the steady clock, or 0 before
	// the first.
	lastDataNanos atomic.Int64
	cancel        context.CancelCauseFunc
	// lastCheckedNanos is the value of lastDataNanos at the last check, unchangedChecks the number
	// of checks since it changed.
	lastCheckedNanos int64
	unchangedChecks  int

	// mu guards the fields below. The call's goroutine does not change the call while it waits for the network, so that a
	// handover can begin.
	mu        sync.Mutex
	isWaiting bool
	// handover is the last one that began in the current wait, or nil. handoverAt is when it began.
	handover   *handover
	handoverAt time.Time
}

// minSilentChecks is the number of consecutive checks without an event after which a stream
// counts as silent. A node that was frozen reads the events that arrived meanwhile between
// these checks, so its streams do not count as silent.
const minSilentChecks = 8

// silentFor returns the time since the last data of the response, or since the request was sent.
func (w *watchedAttempt) silentFor(now time.Time) time.Duration {
	if lastData := w.lastDataNanos.Load(); lastData > 0 {
		return time.Duration(steady.Nanos(now) - lastData)
	}
	return now.Sub(w.sentAt)
}

// hasNoRecentData reports whether no data arrived for longer than after, or none at all.
func (w *watchedAttempt) hasNoRecentData(now time.Time, after time.Duration) bool {
	return w.lastDataNanos.Load() == 0 || w.silentFor(now) > after
}

// checkStreamSilent counts a check of a stream and reports whether the stream is silent: no event
// for longer than after, over enough checks. It reports false before the first event.
func (w *watchedAttempt) checkStreamSilent(now time.Time, after time.Duration) bool {
	lastData := w.lastDataNanos.Load()
	if lastData != w.lastCheckedNanos {
		w.lastCheckedNanos, w.unchangedChecks = lastData, 0
	}
	w.unchangedChecks++
	return lastData > 0 && after > 0 && w.unchangedChecks >= minSilentChecks && steady.Nanos(now)-lastData > int64(after)
}

// recordData records that data of the response to an attempt arrived.
func (d *StallDetector) recordData(w *watchedAttempt, now time.Time) {
	if w.lastDataNanos.Swap(steady.Nanos(now)) == 0 {
		d.firstEvents.Record(w.target.Service, w.target.Model, now.Sub(w.sentAt))
	}
}

// needsProbe reports whether an attempt received nothing for so long that its group must be probed.
func (d *StallDetector) needsProbe(w *watchedAttempt, now time.Time) bool {
	if lastData := w.lastDataNanos.Load(); lastData > 0 {
		return steady.Nanos(now)-lastData > int64(d.policy.EventSilence)
	}
	return now.Sub(w.sentAt) > d.firstEvents.Unusual(w.target.Service, w.target.Model, d.policy.FirstSilence)
}

// StallDetector detects attempts that make no progress. It is safe for concurrent use.
type StallDetector struct {
	clock  clockwork.Clock
	health FailureDetector
	policy *Policy
	// firstEvents tracks the usual wait for a first event.
	firstEvents *dispatch.FirstEventTimes
	mu          sync.Mutex
	active      map[*watchedAttempt]struct{}
}

// newStallDetector returns a StallDetector without attempts.
func newStallDetector(clock clockwork.Clock, health FailureDetector, policy *Policy) *StallDetector {
	return &StallDetector{clock: clock, health: health, policy: policy, firstEvents: dispatch.NewFirstEventTimes(), active: map[*watchedAttempt]struct{}{}}
}

// add registers an attempt.
func (d *StallDetector) add(c *call, target *dispatch.Candidate, sent time.Time, cancel context.CancelCauseFunc) *watchedAttempt {
	a := &watchedAttempt{call: c, target: target, repeatable: c.canRunElsewhere(), sentAt: sent, cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[a] = struct{}{}
	return a
}

// remove unregisters an attempt.
func (d *StallDetector) remove(a *watchedAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, a)
}

// Check requests a probe of every group with a silent attempt, and begins handovers of streams that
// stay silent: a connection may go silent for good without a reset while its group keeps working.
func (d *StallDetector) Check() {
	now := d.clock.Now()
	silentTargets := map[state.InstanceID]*dispatch.Candidate{}
	d.mu.Lock()
	for a := range d.active {
		if d.needsProbe(a, now) {
			silentTargets[a.target.ID] = a.target
		}
		if a.checkStreamSilent(now, d.policy.SilentAfter) {
			a.tryHandover(event.Silent, now, d.policy.CheckInterval)
		}
	}
	d.mu.Unlock()
	for _, target := range silentTargets {
		if target.ShouldProbeMembers(now, d.policy.CheckInterval) {
			d.health.ProbeGroup(target)
		}
	}
}

// HandOverGroup begins handovers of the attempts at the head of a group of which a member is silent. They stay open, since the
// member may only pause.
func (d *StallDetector) HandOverGroup(head state.InstanceID) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for a := range d.active {
		if a.target.ID == head && a.hasNoRecentData(now, d.policy.EventSilence) {
			a.tryHandover(event.Stalled, now, d.policy.CheckInterval)
		}
	}
}

// CancelGroup cancels the attempts at the head of a group of which a member has ended. Requests that cannot be repeated are
// cancelled only after StallWait without data.
func (d *StallDetector) CancelGroup(head state.InstanceID) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for a := range d.active {
		if a.target.ID == head && (a.repeatable || a.silentFor(now) >= d.policy.StallWait) {
			a.cancel(errGroupStalled)
		}
	}
}

// ActiveCount returns the number of attempts in progress.
func (d *StallDetector) ActiveCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.active)
}
