package ratelimit

import (
	"time"

	"github.com/troutmast/troutmast/internal/window"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Grant allows one node to send some requests to a limited instance.
type Grant struct {
	Instance state.InstanceID `json:"i"`
	Requests int              `json:"n"`
}

// Granted records grants that may be used until a time. Those for instances that are not
// known to be limited are dropped.
func (b *Book) Granted(grants []Grant, until time.Time) {
	if len(grants) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range grants {
		e := b.entries[g.Instance]
		if e == nil || e.Ended {
			continue
		}
		for range g.Requests {
			e.grants = append(e.grants, until)
		}
	}
}

// expire drops the grants that can no longer be used.
func (e *entry) expire(now time.Time) {
	for len(e.grants) > 0 && !now.Before(e.grants[0]) {
		e.lapsedAt = e.grants[0]
		e.grants = e.grants[1:]
		e.lapsed++
	}
}

// Open reports whether a request may be sent to an instance, as far as its limit goes.
func (b *Book) Open(in fleet.Incarnation, now time.Time) bool {
	return b.allows(in, now, func(e *entry) bool { return len(e.grants) > 0 })
}

// allows reports whether a life of an instance has no limit in force, or a function says that
// its limit allows what is asked; the grants that the function sees can still be used.
func (b *Book) allows(in fleet.Incarnation, now time.Time, allowed func(*entry) bool) bool {
	if !b.Any() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limited(in)
	if e == nil {
		return true
	}
	e.expire(now)
	return allowed(e)
}

// Send counts a request that is about to leave for an instance. It reports false, and counts
// nothing, if the instance is limited and this node has no grant left: the request must not
// leave then.
func (b *Book) Send(in fleet.Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.limited(in); e != nil && !e.take(now) {
		return false
	}
	b.count(in.ID, now)
	return true
}

// take uses up one grant, or reports that none is left.
func (e *entry) take(now time.Time) bool {
	e.expire(now)
	if len(e.grants) == 0 {
		return false
	}
	e.grants = e.grants[1:]
	return true
}

// Order counts an order that is about to leave for an instance. Orders are few and do not
// wait: what a group is changed for does not wait either.
func (b *Book) Order(in fleet.Incarnation, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(in.ID, now)
}

// count counts a call to an instance. b.mu is held.
func (b *Book) count(id state.InstanceID, now time.Time) {
	c := b.sends[id]
	if c == nil {
		c = &window.Counter{}
		b.sends[id] = c
	}
	c.Add(now, b.policy.Window)
}

// Asker is who puts a question to an instance, and why.
type Asker struct {
	// Leading tells that the node asks for all others; another one needs a grant.
	Leading bool
	// Failing tells that the instance did not answer the last question.
	Failing bool
}

// MayQuestion reports whether a question may be put to an instance now, as far as its limit goes.
func (b *Book) MayQuestion(in fleet.Incarnation, by Asker, now time.Time) bool {
	return b.allows(in, now, func(e *entry) bool { return e.mayQuestion(by, now, &b.policy) })
}

// mayQuestion reports whether a question may be put to a limited instance; its grants are not expired.
func (e *entry) mayQuestion(by Asker, now time.Time, p *Policy) bool {
	if !by.Leading {
		return len(e.grants) > 0
	}
	return now.Sub(e.questioned) >= p.questionInterval(e.PerSecond, by.Failing)
}

// questionInterval returns the least time between two questions to an instance with a limit.
func (p *Policy) questionInterval(perSecond float64, failing bool) time.Duration {
	if failing {
		return p.QuestionRetry
	}
	if perSecond <= 0 {
		return p.QuestionMax
	}
	seconds := min(1/(perSecond*p.QuestionPart), p.QuestionMax.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), p.QuestionMin)
}

// Question counts a question that is about to leave for an instance, and reports whether its
// limit allows it. Questions take up the limit as requests do; without a bound of their own
// the leader's would take half of 2 requests a second.
func (b *Book) Question(in fleet.Incarnation, by Asker, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.limited(in); e != nil {
		e.expire(now)
		if !e.mayQuestion(by, now, &b.policy) {
			return false
		}
		if !by.Leading {
			e.take(now)
		}
		e.questioned = now
	}
	b.count(in.ID, now)
	return true
}

// Usage is what a node made of a limited instance's rate.
type Usage struct {
	// Sent is how many calls it sent within the window, Waiting how many requests it may still send.
	Sent    int `json:"s,omitempty"`
	Waiting int `json:"w,omitempty"`
	// Lapsed counts the grants that it did not use in time since it knows of the limit.
	Lapsed int `json:"l,omitempty"`
}

// Usage returns what this node made of the rate of each limited instance within the window,
// those left out that it had nothing to do with.
func (b *Book) Usage(now time.Time) map[state.InstanceID]Usage {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := map[state.InstanceID]Usage{}
	for id, e := range b.entries {
		if e.Ended {
			continue
		}
		e.expire(now)
		u := Usage{Waiting: len(e.grants), Lapsed: e.lapsed}
		if c := b.sends[id]; c != nil {
			u.Sent = c.Within(now, b.policy.Window)
		}
		if u.Sent > 0 || u.Waiting > 0 || now.Sub(e.lapsedAt) < b.policy.Window {
			usage[id] = u
		}
	}
	return usage
}
