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
)

// errStalled means that an attempt was canceled because its group has stalled.
var errStalled = errors.New("gateway: replica group stalled: a member did not answer its probe")

// errSilent means that a stream was canceled because it received no event although its group answers probes.
var errSilent = errors.New("gateway: stream silent: no event received within silent-after")

// watched is an attempt in progress.
type watched struct {
	target *dispatch.Candidate
	// resumable reports whether the stream may be resumed on another group.
	resumable bool
	sent      time.Time
	// moved is when the last data arrived, in nanoseconds of the steady clock, or 0 before the first.
	moved  atomic.Int64
	cancel context.CancelCauseFunc
	// seen is the value of moved at the last check, still the number of checks since it changed.
	seen  int64
	still int
}

// looksInSilence is the number of consecutive checks without an event after which a stream
// counts as silent. A node that was frozen reads the events that arrived meanwhile between
// these checks, so its streams do not count as silent.
const looksInSilence = 8

// standsStill counts a check of a stream and reports whether the stream is silent: no event for
// longer than after, over enough checks. It reports false before the first event.
func (w *watched) standsStill(now time.Time, after time.Duration) bool {
	moved := w.moved.Load()
	if moved != w.seen {
		w.seen, w.still = moved, 0
	}
	w.still++
	return moved > 0 && after > 0 && w.still >= looksInSilence && steady.Nanos(now)-moved > int64(after)
}

// move records that data of the response arrived.
func (w *watched) move(now time.Time) { w.moved.Store(steady.Nanos(now)) }

// silent reports whether the attempt received nothing for so long that its group must be probed.
func (w *watched) silent(now time.Time, policy *Policy) bool {
	if moved := w.moved.Load(); moved > 0 {
		return steady.Nanos(now)-moved > int64(policy.EventSilence)
	}
	return now.Sub(w.sent) > policy.FirstSilence
}

// Watch detects attempts that make no progress. It is safe for concurrent use.
type Watch struct {
	clock  clockwork.Clock
	health Health
	policy *Policy
	mu     sync.Mutex
	active map[*watched]struct{}
}

// newWatch returns a Watch without attempts.
func newWatch(clock clockwork.Clock, health Health, policy *Policy) *Watch {
	return &Watch{clock: clock, health: health, policy: policy, active: map[*watched]struct{}{}}
}

// add registers an attempt.
func (w *Watch) add(target *dispatch.Candidate, resumable bool, sent time.Time, cancel context.CancelCauseFunc) *watched {
	a := &watched{target: target, resumable: resumable, sent: sent, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[a] = struct{}{}
	return a
}

// remove unregisters an attempt.
func (w *Watch) remove(a *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active, a)
}

// Look requests a probe of every group with a silent attempt, and cancels resumable streams that
// stay silent: a connection may go silent for good without a reset while its group keeps working.
func (w *Watch) Look() {
	now := w.clock.Now()
	silent := map[state.InstanceID]*dispatch.Candidate{}
	w.mu.Lock()
	for a := range w.active {
		if a.silent(now, w.policy) {
			silent[a.target.ID] = a.target
		}
		if a.resumable && a.standsStill(now, w.policy.SilentAfter) {
			a.cancel(errSilent)
		}
	}
	w.mu.Unlock()
	for _, target := range silent {
		if target.Check(now, w.policy.CheckInterval) {
			w.health.Suspect(target)
		}
	}
}

// CutStalled cancels the attempts at the head of a stalled group.
func (w *Watch) CutStalled(head state.InstanceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.active {
		if a.target.ID == head {
			a.cancel(errStalled)
		}
	}
}

// Active returns the number of attempts in progress.
func (w *Watch) Active() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}
