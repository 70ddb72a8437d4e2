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

// Book keeps the limits that one node knows of; safe for concurrent use. It outlives what the
// node knows of instances otherwise: a changed entry, another configuration or a cut end none.
type Book struct {
	policy Policy
	// active is the number of limits in force, known that of all kept, so that a node without
	// any takes no lock.
	active atomic.Int64
	known  atomic.Int64

	mu      sync.Mutex
	version uint64
	entries map[state.InstanceID]*entry
	sends   map[state.InstanceID]*window.Counter
	// swept is when the counts in sends were last looked through.
	swept time.Time
}

// entry is what is known of one instance's limit.
type entry struct {
	Limit
	// stamp is the book's version at the last change.
	stamp uint64
	// toldAt is when the instance told this node of the last change; zero if another node did.
	toldAt time.Time
	// grants are until when each of the requests that may be sent must have left, the first to end first.
	grants []time.Time
	// lapsed counts the grants that were not used in time, the last one until lapsedAt.
	lapsed   int
	lapsedAt time.Time
	// questioned is when the instance was last asked a question.
	questioned time.Time
}

// NewBook returns an empty Book.
func NewBook(policy Policy) *Book {
	return &Book{policy: policy, entries: map[state.InstanceID]*entry{}, sends: map[state.InstanceID]*window.Counter{}}
}

// Observe records what an answer to this node said, which was asked for at a time and came at another.
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

// Merge records what another node knows of a limit.
func (b *Book) Merge(l Limit, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record(l, now)
}

// record puts a limit in force unless what is known holds over it. b.mu is held.
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
		e.grants = nil // made by a rate that no longer holds
	}
	b.stamp(e)
	return change
}

// begin records the first limit that is known of a life of an instance. b.mu is held.
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

// stamp notes that an entry has changed. b.mu is held.
func (b *Book) stamp(e *entry) {
	b.version++
	e.stamp = b.version
}

// inForce returns 1 for a limit in force, else 0.
func inForce(l *Limit) int64 {
	if l.Ended {
		return 0
	}
	return 1
}

// find returns the entry of a life of an instance, or nil. b.mu is held.
func (b *Book) find(in fleet.Incarnation) *entry {
	e := b.entries[in.ID]
	if e == nil || e.Instance.LaterThan(in) || in.LaterThan(e.Instance) {
		return nil
	}
	return e
}

// limited returns the entry of a life of an instance whose limit is in force, or nil. b.mu is held.
func (b *Book) limited(in fleet.Incarnation) *entry {
	if e := b.find(in); e != nil && !e.Ended {
		return e
	}
	return nil
}

// Limited returns the limit of a life of an instance, in requests a second, and whether it has one.
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

// InForce returns the limits in force, by instance.
func (b *Book) InForce() []Limit {
	if !b.Any() {
		return nil
	}
	return b.list(func(e *entry) bool { return !e.Ended })
}

// ToldLately returns the limits, in force or ended, of which an instance told this node lately.
func (b *Book) ToldLately(now time.Time) []Limit {
	if b.known.Load() == 0 {
		return nil
	}
	return b.list(func(e *entry) bool { return !e.toldAt.IsZero() && now.Sub(e.toldAt) < b.policy.ReportFor })
}

// Since returns the limits that have changed after a version, and the version now.
func (b *Book) Since(after uint64) ([]Limit, uint64) {
	version := b.now() // read first: what changes meanwhile is told once more
	if b.known.Load() == 0 {
		return nil, version
	}
	return b.list(func(e *entry) bool { return e.stamp > after }), version
}

// now returns the book's version.
func (b *Book) now() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// list returns the limits for which a function holds, by instance.
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

// Sweep forgets limits that ended long ago, those of lives that are no longer known, and the
// counts of what was sent before the window.
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
		return // the counts of thousands of instances need no look at each call
	}
	b.swept = now
	for id, c := range b.sends {
		if c.Within(now, b.policy.Window) == 0 {
			delete(b.sends, id)
		}
	}
}
