// Package cooldown keeps until when target instances asked this node to send them
// nothing. An overloaded instance that turns a request away may ask for such a time;
// requests sent meanwhile would keep it from recovering.
//
// A cooldown belongs to one node and one life of one instance. It is no sign that the
// instance fails or ends: its groups stay, and it is sent requests again afterwards.
package cooldown

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Cooldown is the time for which one life of an instance is sent nothing.
type Cooldown struct {
	Instance fleet.Incarnation
	Since    time.Time
	Until    time.Time
	// calls is the number of orders and questions so far.
	calls int
}

// Book keeps the cooldowns of one node; safe for concurrent use. It outlives what the node
// knows of instances otherwise: a changed entry, another configuration or a cut end none.
type Book struct {
	policy Policy
	// active is the number of cooldowns kept, so that a node without any takes no lock.
	active atomic.Int64
	mu     sync.RWMutex
	lives  map[state.InstanceID][]*Cooldown
}

// NewBook returns an empty Book.
func NewBook(policy Policy) *Book {
	return &Book{policy: policy, lives: map[state.InstanceID][]*Cooldown{}}
}

// same reports whether two names may be of one life: a process that does not tell its
// lives apart, or did not yet, is taken to live on.
func same(a, b fleet.Incarnation) bool {
	return a.ID == b.ID && (a.Life == b.Life || a.Life == "" || b.Life == "")
}

// Ask records that an instance asked for a cooldown from now on, and returns until when it
// lasts and whether it has just begun. A further request makes it longer, never shorter:
// answers may overtake each other, and each was given for the load that its instance saw.
func (b *Book) Ask(in fleet.Incarnation, d time.Duration, now time.Time) (until time.Time, began bool) {
	until = now.Add(min(d, b.policy.Max))
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.lives[in.ID] {
		if !same(c.Instance, in) {
			continue
		}
		if !now.Before(c.Until) {
			*c = Cooldown{Instance: in, Since: now, Until: until}
			return until, true
		}
		if until.After(c.Until) {
			c.Until = until
		}
		return c.Until, false
	}
	b.lives[in.ID] = append(b.lives[in.ID], &Cooldown{Instance: in, Since: now, Until: until})
	b.active.Add(1)
	return until, true
}

// Until returns until when an instance is sent nothing, and whether it is in a cooldown at all.
func (b *Book) Until(in fleet.Incarnation, now time.Time) (time.Time, bool) {
	if b.active.Load() == 0 {
		return time.Time{}, false
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	c := b.find(in, now)
	if c == nil {
		return time.Time{}, false
	}
	return c.Until, true
}

// find returns the cooldown that an instance is in, or nil. b.mu is held.
func (b *Book) find(in fleet.Incarnation, now time.Time) *Cooldown {
	for _, c := range b.lives[in.ID] {
		if same(c.Instance, in) && now.Before(c.Until) {
			return c
		}
	}
	return nil
}

// Order counts an order to an instance. Orders are few and do not wait: what a group is
// changed for does not wait either.
func (b *Book) Order(in fleet.Incarnation, now time.Time) { b.call(in, now, true) }

// Question counts a question to an instance unless it should wait for the end of a
// cooldown, and reports whether it may be asked.
func (b *Book) Question(in fleet.Incarnation, now time.Time) bool { return b.call(in, now, false) }

// call counts an order or a question and reports whether it may be sent.
func (b *Book) call(in fleet.Incarnation, now time.Time, always bool) bool {
	if b.active.Load() == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.find(in, now)
	if c == nil {
		return true
	}
	if !always && c.calls >= b.policy.Calls {
		return false
	}
	c.calls++
	return true
}

// Sweep forgets the cooldowns that have ended and returns them, by instance.
func (b *Book) Sweep(now time.Time) []Cooldown {
	return b.collect(func(c *Cooldown) bool { return !now.Before(c.Until) }, true)
}

// List returns the cooldowns at a time, by instance.
func (b *Book) List(now time.Time) []Cooldown {
	return b.collect(func(c *Cooldown) bool { return now.Before(c.Until) }, false)
}

// collect returns the cooldowns for which a function holds, and forgets them if wanted.
func (b *Book) collect(wanted func(*Cooldown) bool, forget bool) []Cooldown {
	if b.active.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Cooldown
	for id, lives := range b.lives {
		kept := lives[:0:0]
		for _, c := range lives {
			if wanted(c) {
				list = append(list, *c)
			}
			if !wanted(c) || !forget {
				kept = append(kept, c)
			}
		}
		if b.lives[id] = kept; len(kept) == 0 {
			delete(b.lives, id)
		}
	}
	if forget {
		b.active.Add(-int64(len(list)))
	}
	slices.SortFunc(list, func(a, c Cooldown) int { return strings.Compare(string(a.Instance.ID), string(c.Instance.ID)) })
	return list
}
