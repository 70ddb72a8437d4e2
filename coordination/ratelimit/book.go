package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/internal/window"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Tracker holds the rate limits known to one node. It is safe for concurrent use. It is
// independent of the node's other state about instances: a changed instance entry, a new
// configuration or a network partition ends no limit.
type Tracker struct {
	policy Policy
	// active is the number of limits in force, known the number of all entries. Methods skip
	// the lock while the count they depend on is 0.
	active atomic.Int64
	known  atomic.Int64
	// coldCount is the number of entries with the limit of a cold instance.
	coldCount atomic.Int64

	mu      sync.Mutex
	version uint64
	entries map[state.InstanceID]*entry
	calls   map[state.InstanceID]*window.Counter
	// sweptAt is when empty counters were last removed from calls.
	sweptAt time.Time
}

// entry is the state of one instance's limit.
type entry struct {
	Limit
	cold cold
	// version is the version of the Tracker at the last change.
	version uint64
	// observedAt is when the instance announced the last change to this node. It is zero if the
	// change came from another node.
	observedAt time.Time
	// grants holds the expiry time of each unused grant, earliest first. A request must be sent before it.
	grants []time.Time
	// expired is the number of grants that expired unused, the last of them at expiredAt.
	expired   int
	expiredAt time.Time
	// probedAt is when the last probe was sent to the instance.
	probedAt time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, entries: map[state.InstanceID]*entry{}, calls: map[state.InstanceID]*window.Counter{}}
}

// Observe records the limit stated in an answer to this node. sentAt is when the request was
// sent, answeredAt when its answer arrived.
func (b *Tracker) Observe(in fleet.Incarnation, stated fleet.RateLimit, sentAt, answeredAt time.Time) Change {
	if !stated.Said || !stated.Limited && b.known.Load() == 0 {
		return LimitUnchanged
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !stated.Limited && b.find(in) == nil {
		return LimitUnchanged
	}
	change := b.update(Limit{Instance: in, Ended: !stated.Limited, PerSecond: stated.PerSecond, SentAt: sentAt, AnsweredAt: answeredAt}, answeredAt)
	if change != LimitUnchanged {
		b.entries[in.ID].observedAt = answeredAt
	}
	return change
}

// Merge records a limit known to another node.
func (b *Tracker) Merge(l Limit, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.update(l, now)
}

// update updates the entry of an instance unless the known limit takes precedence over l. b.mu is held.
func (b *Tracker) update(l Limit, now time.Time) Change {
	e := b.entries[l.Instance.ID]
	switch {
	case e == nil || l.Instance.StartedAfter(e.Instance):
		return b.insert(l, now)
	case e.Instance.StartedAfter(l.Instance):
		return LimitUnchanged
	case l.equal(&e.Limit):
		e.confirm(&l)
		return LimitUnchanged
	case !l.replaces(&e.Limit):
		return LimitUnchanged
	}
	before := e.Limit
	change := l.changeFrom(&before)
	l.KnownSince = e.KnownSince
	if change == LimitBegan {
		l.KnownSince = now
	}
	b.active.Add(inForceCount(&l) - inForceCount(&before))
	e.Limit, e.observedAt = l, time.Time{}
	if change != LimitChanged || l.stricter(&before) {
		e.grants = nil // issued for a rate that no longer applies
	}
	b.markChanged(e)
	return change
}

// insert records the first known limit of an incarnation of an instance. b.mu is held.
func (b *Tracker) insert(l Limit, now time.Time) Change {
	before := b.entries[l.Instance.ID]
	if before != nil {
		b.dropCounts(before)
	}
	l.KnownSince = now
	e := &entry{Limit: l}
	b.entries[l.Instance.ID] = e
	b.known.Add(1)
	b.active.Add(inForceCount(&l))
	b.markChanged(e)
	switch {
	case !l.Ended:
		return LimitBegan
	case before != nil && !before.Ended:
		return LimitEnded
	}
	return LimitUnchanged
}

// dropCounts removes an entry from the counts. b.mu is held.
func (b *Tracker) dropCounts(e *entry) {
	b.active.Add(-inForceCount(&e.Limit))
	b.known.Add(-1)
	if !e.cold.until.IsZero() {
		b.coldCount.Add(-1)
	}
}

// markChanged marks an entry as changed. b.mu is held.
func (b *Tracker) markChanged(e *entry) {
	b.version++
	e.version = b.version
}

// inForceCount returns 1 if l is in force, else 0.
func inForceCount(l *Limit) int64 {
	if l.Ended {
		return 0
	}
	return 1
}

// find returns the entry of an incarnation of an instance, or nil. b.mu is held.
func (b *Tracker) find(in fleet.Incarnation) *entry {
	e := b.entries[in.ID]
	if e == nil || e.Instance.StartedAfter(in) || in.StartedAfter(e.Instance) {
		return nil
	}
	return e
}

// findInForce returns the entry of an incarnation if its limit is in force, else nil. b.mu is held.
func (b *Tracker) findInForce(in fleet.Incarnation) *entry {
	if e := b.find(in); e != nil && !e.Ended {
		return e
	}
	return nil
}

// Limited returns the announced limit of an incarnation of an instance, in requests a second, and
// whether it has one.
func (b *Tracker) Limited(in fleet.Incarnation) (perSecond float64, limited bool) {
	if !b.HasActive() {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.findInForce(in)
	if e == nil {
		return 0, false
	}
	return e.PerSecond, true
}

// HasActive reports whether any limit, announced or of a cold instance, is in force.
func (b *Tracker) HasActive() bool { return b.active.Load() > 0 || b.coldCount.Load() > 0 }

// Active returns the announced limits in force, sorted by instance ID.
func (b *Tracker) Active() []Limit {
	if b.active.Load() == 0 {
		return nil
	}
	return b.collect(func(e *entry) bool { return !e.Ended })
}

// RecentlyObserved returns the limits, in force or ended, whose last change an instance announced to
// this node within Policy.ReportFor, sorted by instance ID.
func (b *Tracker) RecentlyObserved(now time.Time) []Limit {
	if b.known.Load() == 0 {
		return nil
	}
	return b.collect(func(e *entry) bool { return !e.observedAt.IsZero() && now.Sub(e.observedAt) < b.policy.ReportFor })
}

// ChangedSince returns the limits that changed after a version, sorted by instance ID, and the current version.
func (b *Tracker) ChangedSince(after uint64) ([]Limit, uint64) {
	version := b.currentVersion() // read before the list, so that a concurrent change is returned again rather than lost
	if b.known.Load() == 0 {
		return nil, version
	}
	return b.collect(func(e *entry) bool { return e.version > after }), version
}

// currentVersion returns the current version of the Tracker.
func (b *Tracker) currentVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// collect returns the limits whose entries satisfy match, sorted by instance ID.
func (b *Tracker) collect(match func(*entry) bool) []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Limit
	for _, e := range b.entries {
		if match(e) {
			list = append(list, e.Limit)
		}
	}
	slices.SortFunc(list, func(a, c Limit) int { return cmp.Compare(a.Instance.ID, c.Instance.ID) })
	return list
}

// Sweep removes the limits that ended more than Policy.EndedTTL ago, those of incarnations for
// which known reports false, and the counters without a call within the window.
func (b *Tracker) Sweep(now time.Time, known func(fleet.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.entries {
		if known(e.Instance) && (!e.Ended || !e.cold.until.IsZero() || now.Sub(e.AnsweredAt) < b.policy.EndedTTL) {
			continue
		}
		b.dropCounts(e)
		delete(b.entries, id)
	}
	if now.Sub(b.sweptAt) < b.policy.Window {
		return // there may be thousands of counters: check them once per window
	}
	b.sweptAt = now
	for id, c := range b.calls {
		if c.Within(now, b.policy.Window) == 0 {
			delete(b.calls, id)
		}
	}
}
