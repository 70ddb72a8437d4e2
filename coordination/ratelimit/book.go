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

// Book holds the rate limits known to one node. It is safe for concurrent use. It is
// independent of the node's other state about instances: a changed instance entry, a new
// configuration or a network partition ends no limit.
type Book struct {
	policy Policy
	// active is the number of limits in force, known the number of all entries. Methods skip
	// the lock while the count they depend on is 0.
	active atomic.Int64
	known  atomic.Int64

	mu      sync.Mutex
	version uint64
	entries map[state.InstanceID]*entry
	sends   map[state.InstanceID]*window.Counter
	// swept is when empty counters were last removed from sends.
	swept time.Time
}

// entry is the state of one instance's limit.
type entry struct {
	Limit
	// stamp is the version of the Book at the last change.
	stamp uint64
	// toldAt is when the instance announced the last change to this node. It is zero if the
	// change came from another node.
	toldAt time.Time
	// grants holds the expiry time of each unused grant, earliest first. A request must be sent before it.
	grants []time.Time
	// lapsed is the number of grants that expired unused, the last of them at lapsedAt.
	lapsed   int
	lapsedAt time.Time
	// questioned is when the last probe was sent to the instance.
	questioned time.Time
}

// NewBook returns an empty Book.
func NewBook(policy Policy) *Book {
	return &Book{policy: policy, entries: map[state.InstanceID]*entry{}, sends: map[state.InstanceID]*window.Counter{}}
}

// Observe records the limit stated in an answer to this node. asked is when the request was
// sent, answered when its answer arrived.
func (b *Book) Observe(in fleet.Incarnation, said fleet.RateLimit, asked, answered time.Time) Change {
	if !said.Said || !said.Limited && b.known.Load() == 0 {
		return Unchanged
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !said.Limited && b.find(in) == nil {
		return Unchanged
	}
	change := b.record(Limit{Instance: in, Ended: !said.Limited, PerSecond: said.PerSecond, Asked: asked, Answered: answered}, answered)
	if change != Unchanged {
		b.entries[in.ID].toldAt = answered
	}
	return change
}

// Merge records a limit known to another node.
func (b *Book) Merge(l Limit, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record(l, now)
}

// record updates the entry of an instance unless the known limit takes precedence over l. b.mu is held.
func (b *Book) record(l Limit, now time.Time) Change {
	e := b.entries[l.Instance.ID]
	switch {
	case e == nil || l.Instance.LaterThan(e.Instance):
		return b.begin(l, now)
	case e.Instance.LaterThan(l.Instance):
		return Unchanged
	case l.same(&e.Limit):
		e.confirm(&l)
		return Unchanged
	case !l.replaces(&e.Limit):
		return Unchanged
	}
	before := e.Limit
	change := l.change(&before)
	l.Since = e.Since
	if change == Began {
		l.Since = now
	}
	b.active.Add(inForce(&l) - inForce(&before))
	e.Limit, e.toldAt = l, time.Time{}
	if change != Changed || l.stricter(&before) {
		e.grants = nil // issued for a rate that no longer applies
	}
	b.stamp(e)
	return change
}

// begin records the first known limit of an incarnation of an instance. b.mu is held.
func (b *Book) begin(l Limit, now time.Time) Change {
	before := b.entries[l.Instance.ID]
	if before != nil {
		b.active.Add(-inForce(&before.Limit))
		b.known.Add(-1)
	}
	l.Since = now
	e := &entry{Limit: l}
	b.entries[l.Instance.ID] = e
	b.known.Add(1)
	b.active.Add(inForce(&l))
	b.stamp(e)
	switch {
	case !l.Ended:
		return Began
	case before != nil && !before.Ended:
		return Stopped
	}
	return Unchanged
}

// stamp marks an entry as changed. b.mu is held.
func (b *Book) stamp(e *entry) {
	b.version++
	e.stamp = b.version
}

// inForce returns 1 if l is in force, else 0.
func inForce(l *Limit) int64 {
	if l.Ended {
		return 0
	}
	return 1
}

// find returns the entry of an incarnation of an instance, or nil. b.mu is held.
func (b *Book) find(in fleet.Incarnation) *entry {
	e := b.entries[in.ID]
	if e == nil || e.Instance.LaterThan(in) || in.LaterThan(e.Instance) {
		return nil
	}
	return e
}

// limited returns the entry of an incarnation if its limit is in force, else nil. b.mu is held.
func (b *Book) limited(in fleet.Incarnation) *entry {
	if e := b.find(in); e != nil && !e.Ended {
		return e
	}
	return nil
}

// Limited returns the limit of an incarnation of an instance, in requests a second, and
// whether it has one.
func (b *Book) Limited(in fleet.Incarnation) (perSecond float64, limited bool) {
	if !b.Any() {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limited(in)
	if e == nil {
		return 0, false
	}
	return e.PerSecond, true
}

// Any reports whether any limit is in force.
func (b *Book) Any() bool { return b.active.Load() > 0 }

// InForce returns the limits in force, sorted by instance ID.
func (b *Book) InForce() []Limit {
	if !b.Any() {
		return nil
	}
	return b.list(func(e *entry) bool { return !e.Ended })
}

// ToldLately returns the limits, in force or ended, whose last change an instance announced to
// this node within Policy.ReportFor, sorted by instance ID.
func (b *Book) ToldLately(now time.Time) []Limit {
	if b.known.Load() == 0 {
		return nil
	}
	return b.list(func(e *entry) bool { return !e.toldAt.IsZero() && now.Sub(e.toldAt) < b.policy.ReportFor })
}

// Since returns the limits that changed after a version, sorted by instance ID, and the current version.
func (b *Book) Since(after uint64) ([]Limit, uint64) {
	version := b.now() // read before the list, so that a concurrent change is returned again rather than lost
	if b.known.Load() == 0 {
		return nil, version
	}
	return b.list(func(e *entry) bool { return e.stamp > after }), version
}

// now returns the current version of the Book.
func (b *Book) now() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// list returns the limits whose entries satisfy wanted, sorted by instance ID.
func (b *Book) list(wanted func(*entry) bool) []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Limit
	for _, e := range b.entries {
		if wanted(e) {
			list = append(list, e.Limit)
		}
	}
	slices.SortFunc(list, func(a, c Limit) int { return cmp.Compare(a.Instance.ID, c.Instance.ID) })
	return list
}

// Sweep removes the limits that ended more than Policy.EndedFor ago, those of incarnations for
// which known reports false, and the counters without a call within the window.
func (b *Book) Sweep(now time.Time, known func(fleet.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.entries {
		if known(e.Instance) && (!e.Ended || now.Sub(e.Answered) < b.policy.EndedFor) {
			continue
		}
		b.active.Add(-inForce(&e.Limit))
		b.known.Add(-1)
		delete(b.entries, id)
	}
	if now.Sub(b.swept) < b.policy.Window {
		return // there may be thousands of counters: check them once per window
	}
	b.swept = now
	for id, c := range b.sends {
		if c.Within(now, b.policy.Window) == 0 {
			delete(b.sends, id)
		}
	}
}
