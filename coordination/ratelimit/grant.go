package ratelimit

import (
	"time"

	"github.com/troutmast/troutmast/internal/window"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Grant allows one node to send a number of requests to a limited instance.
type Grant struct {
	Instance state.InstanceID `json:"i"`
	Requests int              `json:"n"`
}

// AddGrants records grants that expire at until. Grants for instances without a known limit are
// dropped.
func (b *Tracker) AddGrants(grants []Grant, until time.Time) {
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

// expire removes the grants that have expired.
func (e *entry) expire(now time.Time) {
	for len(e.grants) > 0 && !now.Before(e.grants[0]) {
		e.expiredAt = e.grants[0]
		e.grants = e.grants[1:]
		e.expired++
	}
}

// Allow reports whether the rate limit of an instance allows a request now.
func (b *Tracker) Allow(in fleet.Incarnation, now time.Time) bool {
	return b.allows(in, now, func(e *entry) bool { return !e.isLimited(now) || len(e.grants) > 0 })
}

// allows reports whether an incarnation of an instance has no entry or satisfies
// allowed. Expired grants are removed before allowed is called.
func (b *Tracker) allows(in fleet.Incarnation, now time.Time, allowed func(*entry) bool) bool {
	if !b.HasActive() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.find(in)
	if e == nil {
		return true
	}
	e.expire(now)
	return allowed(e)
}

// Take records a request that is about to be sent to an instance. It reports false and records
// nothing if the instance is limited and this node has no grant left. The request must not be
// sent then.
func (b *Tracker) Take(in fleet.Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.find(in); e != nil && e.isLimited(now) && !e.consumeGrant(now) {
		return false
	}
	b.recordCall(in.ID, now)
	return true
}

// consumeGrant consumes one grant. It reports false if none is left.
func (e *entry) consumeGrant(now time.Time) bool {
	e.expire(now)
	if len(e.grants) == 0 {
		return false
	}
	e.grants = e.grants[1:]
	return true
}

// RecordOrder records an order that is about to be sent to an instance. Orders are never delayed: they
// are few, and the group changes that need them cannot wait.
func (b *Tracker) RecordOrder(in fleet.Incarnation, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordCall(in.ID, now)
}

// recordCall records a call to an instance. b.mu is held.
func (b *Tracker) recordCall(id state.InstanceID, now time.Time) {
	c := b.calls[id]
	if c == nil {
		c = &window.Counter{}
		b.calls[id] = c
	}
	c.Add(now, b.policy.Window)
}

// ProbeRequest describes the node that probes an instance, and why.
type ProbeRequest struct {
	// IsLeader reports whether the node probes for all nodes. Other nodes need a grant.
	IsLeader bool
	// LastProbeFailed reports whether the instance did not answer the last probe.
	LastProbeFailed bool
}

// CanProbe reports whether the rate limit of an instance allows a probe now.
func (b *Tracker) CanProbe(in fleet.Incarnation, by ProbeRequest, now time.Time) bool {
	return b.allows(in, now, func(e *entry) bool { return e.Ended || e.canProbe(by, now, &b.policy) })
}

// canProbe reports whether a limited instance may be probed now. Expired grants must have
// been removed.
func (e *entry) canProbe(by ProbeRequest, now time.Time, p *Policy) bool {
	if !by.IsLeader {
		return len(e.grants) > 0
	}
	return now.Sub(e.probedAt) >= p.probeInterval(e.PerSecond, by.LastProbeFailed)
}

// probeInterval returns the minimum time between two probes of an instance with a limit.
func (p *Policy) probeInterval(perSecond float64, failing bool) time.Duration {
	if failing {
		return p.ProbeRetryInterval
	}
	if perSecond <= 0 {
		return p.MaxProbeInterval
	}
	seconds := min(1/(perSecond*p.ProbeShare), p.MaxProbeInterval.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), p.MinProbeInterval)
}

// TryProbe reports whether the rate limit of an instance allows a probe, and records the probe
// if so. Probes count against the limit as requests do. Without a bound of their own, the
// leader's probes would use half of a limit of 2 requests a second.
func (b *Tracker) TryProbe(in fleet.Incarnation, by ProbeRequest, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.findInForce(in); e != nil {
		e.expire(now)
		if !e.canProbe(by, now, &b.policy) {
			return false
		}
		if !by.IsLeader {
			e.consumeGrant(now)
		}
		e.probedAt = now
	}
	b.recordCall(in.ID, now)
	return true
}

// Usage is a node's use of a limited instance's rate.
type Usage struct {
	// Sent is the number of calls sent within the window, Unused the number of unused grants.
	Sent   int `json:"s,omitempty"`
	Unused int `json:"w,omitempty"`
	// Expired is the number of grants that expired unused since the node knows the limit.
	Expired int `json:"l,omitempty"`
}

// Usage returns this node's use of the rate of each limited instance within the window. It
// omits instances that have no calls, no unused grants and no recently expired grants.
func (b *Tracker) Usage(now time.Time) map[state.InstanceID]Usage {
	if !b.HasActive() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := map[state.InstanceID]Usage{}
	for id, e := range b.entries {
		if !e.isLimited(now) {
			continue
		}
		e.expire(now)
		u := Usage{Unused: len(e.grants), Expired: e.expired}
		if c := b.calls[id]; c != nil {
			u.Sent = c.Within(now, b.policy.Window)
		}
		if u.Sent > 0 || u.Unused > 0 || now.Sub(e.expiredAt) < b.policy.Window {
			usage[id] = u
		}
	}
	return usage
}
