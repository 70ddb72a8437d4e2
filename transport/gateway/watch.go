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

// errStalled means that an attempt was given up because its group stands still.
var errStalled = errors.New("gateway: the group stands still")

// errSilent means that a stream was given up because no event came, though its group lives.
var errSilent = errors.New("gateway: no event came for long")

// watched is one attempt under watch.
type watched struct {
	target *dispatch.Candidate
	// resumable tells that the request may go on at another group.
	resumable bool
	sent      time.Time
	moved     atomic.Int64
	cancel    context.CancelCauseFunc
	// seen is what moved was at the last look, still the number of looks since it changed.
	seen  int64
	still int
}

// looksInSilence is how many looks in a row must show no event for a stream to count as
// silent: a node that was frozen reads meanwhile what has come.
const looksInSilence = 8

// standsStill counts a look at a stream and reports whether it has brought no event for long.
func (w *watched) standsStill(now time.Time, after time.Duration) bool {
	moved := w.moved.Load()
	if moved != w.seen {
		w.seen, w.still = moved, 0
	}
	w.still++
	return moved > 0 && after > 0 && w.still >= looksInSilence && steady.Nanos(now)-moved > int64(after)
}

// move notes that the answer has moved on.
func (w *watched) move(now time.Time) { w.moved.Store(steady.Nanos(now)) }

// silent reports whether nothing has come of the attempt for too long.
func (w *watched) silent(now time.Time, policy *Policy) bool {
	if moved := w.moved.Load(); moved > 0 {
		return steady.Nanos(now)-moved > int64(policy.EventSilence)
	}
	return now.Sub(w.sent) > policy.FirstSilence
}

// Watch looks for attempts that stand still.
type Watch struct {
	clock  clockwork.Clock
	health Health
	policy *Policy
	mu     sync.Mutex
	active map[*watched]struct{}
}

// newWatch returns an empty Watch.
func newWatch(clock clockwork.Clock, health Health, policy *Policy) *Watch {
	return &Watch{clock: clock, health: health, policy: policy, active: map[*watched]struct{}{}}
}

// add puts an attempt under watch.
func (w *Watch) add(target *dispatch.Candidate, resumable bool, sent time.Time, cancel context.CancelCauseFunc) *watched {
	a := &watched{target: target, resumable: resumable, sent: sent, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[a] = struct{}{}
	return a
}

// remove takes an attempt off the watch.
func (w *Watch) remove(a *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active, a)
}

// Look asks for a check of every group whose attempts are silent, and gives up streams that
// were silent for long: a connection may go silent for good without a reset, while its group
// works on.
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

// CutStalled gives up the attempts at a head whose group cannot go on.
func (w *Watch) CutStalled(head state.InstanceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.active {
		if a.target.ID == head {
			a.cancel(errStalled)
		}
	}
}

// Active returns the number of attempts under way.
func (w *Watch) Active() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}
