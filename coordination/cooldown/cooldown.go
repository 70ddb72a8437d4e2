// Package cooldown tracks the cooldowns that target instances request from this node. An
// overloaded instance that rejects a request may ask the node to send it nothing for some
// time, since further requests would keep it from recovering.
//
// A cooldown applies to one node and one incarnation of an instance. It does not indicate
// that the instance fails or shuts down: its groups stay, and it gets requests again when
// the cooldown ends.
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

// Cooldown is a period in which an incarnation of an instance is sent no requests.
type Cooldown struct {
	Instance fleet.Incarnation
	Since    time.Time
	Until    time.Time
	// calls is the number of orders and probes sent so far.
	calls int
}

// Tracker holds the cooldowns of one node. It is safe for concurrent use. It is independent of
// the node's other state about instances: a changed instance entry, a new configuration or
// a network partition ends no cooldown.
type Tracker struct {
	policy Policy
	// active is the number of cooldowns held. Methods skip the lock while it is 0.
	active    atomic.Int64
	mu        sync.RWMutex
	cooldowns map[state.InstanceID][]*Cooldown
}

// NewTracker returns an empty Tracker.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, cooldowns: map[state.InstanceID][]*Cooldown{}}
}

// mayBeSame reports whether a and b may be the same incarnation. An unknown start matches any:
// an instance that reports no start, or has not done so yet, counts as not restarted.
func mayBeSame(a, b fleet.Incarnation) bool {
	return a.ID == b.ID && (a.Life == b.Life || a.Life == "" || b.Life == "")
}

// Record records that an instance asked for a cooldown of d from now. It returns the end of the
// cooldown and whether it is new. A further request extends a cooldown and never shortens
// it: answers can arrive out of order, and each reflects the load that the instance saw.
func (b *Tracker) Record(in fleet.Incarnation, d time.Duration, now time.Time) (until time.Time, isNew bool) {
	until = now.Add(min(d, b.policy.MaxDuration))
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.cooldowns[in.ID] {
		if !mayBeSame(c.Instance, in) {
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
	b.cooldowns[in.ID] = append(b.cooldowns[in.ID], &Cooldown{Instance: in, Since: now, Until: until})
	b.active.Add(1)
	return until, true
}

// Until returns the end of the instance's cooldown, and whether it is in one.
func (b *Tracker) Until(in fleet.Incarnation, now time.Time) (time.Time, bool) {
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

// find returns the cooldown in effect for an instance, or nil. b.mu is held.
func (b *Tracker) find(in fleet.Incarnation, now time.Time) *Cooldown {
	for _, c := range b.cooldowns[in.ID] {
		if mayBeSame(c.Instance, in) && now.Before(c.Until) {
			return c
		}
	}
	return nil
}

// RecordOrder records an order to an instance. Orders are never delayed: they are few, and the
// group changes that need them cannot wait.
func (b *Tracker) RecordOrder(in fleet.Incarnation, now time.Time) { b.call(in, now, true) }

// TryProbe reports whether a probe may be sent to an instance, and records it if so. Within
// a cooldown, probes are held back after Policy.MaxCalls orders and probes.
func (b *Tracker) TryProbe(in fleet.Incarnation, now time.Time) bool { return b.call(in, now, false) }

// call records an order or a probe and reports whether it may be sent. If unconditional is
// set, it always may.
func (b *Tracker) call(in fleet.Incarnation, now time.Time, unconditional bool) bool {
	if b.active.Load() == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.find(in, now)
	if c == nil {
		return true
	}
	if !unconditional && c.calls >= b.policy.MaxCalls {
		return false
	}
	c.calls++
	return true
}

// Sweep removes the cooldowns that have ended and returns them, sorted by instance ID.
func (b *Tracker) Sweep(now time.Time) []Cooldown {
	return b.collect(func(c *Cooldown) bool { return !now.Before(c.Until) }, true)
}

// Active returns the cooldowns in effect, sorted by instance ID.
func (b *Tracker) Active(now time.Time) []Cooldown {
	return b.collect(func(c *Cooldown) bool { return now.Before(c.Until) }, false)
}

// collect returns the cooldowns for which match holds, sorted by instance ID, and removes
// them if remove is set.
func (b *Tracker) collect(match func(*Cooldown) bool, remove bool) []Cooldown {
	if b.active.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Cooldown
	for id, ofInstance := range b.cooldowns {
		kept := ofInstance[:0:0]
		for _, c := range ofInstance {
			if match(c) {
				list = append(list, *c)
			}
			if !match(c) || !remove {
				kept = append(kept, c)
			}
		}
		if b.cooldowns[id] = kept; len(kept) == 0 {
			delete(b.cooldowns, id)
		}
	}
	if remove {
		b.active.Add(-int64(len(list)))
	}
	slices.SortFunc(list, func(a, c Cooldown) int { return strings.Compare(string(a.Instance.ID), string(c.Instance.ID)) })
	return list
}
