package ratelimit

import (
	"sync"
	"time"
)

// AllocatorBinding tracks which Allocator a node gets its grants for cold instances from: that of a leader, or its own. Each
// Allocator allocates the share of the nodes that it counts. A node must never be counted by two of them, so
// it is counted only if it has got no answer of another one for Policy.Handover, and only for Policy.ColdLease after
// the answer that it last confirmed. Clocks need not agree, they only must run at the same rate.
type AllocatorBinding struct {
	mu sync.Mutex
	// leader is the number of the leader whose answer the node got last, at answeredAt, with a stamp.
	leader     int64
	stamp      int64
	answeredAt time.Time
	// otherAt is when the node last got an answer of another leader.
	otherAt time.Time
}

// OwnAllocator stands for the node's own Allocator in place of the number of a leader.
const OwnAllocator = -1

// NewAllocatorBinding returns the AllocatorBinding of a node whose earlier process, if there was one, ended before startedAt.
func NewAllocatorBinding(startedAt time.Time) *AllocatorBinding {
	return &AllocatorBinding{otherAt: startedAt, answeredAt: startedAt}
}

// BindingState is what a node reports to its leader about its AllocatorBinding.
type BindingState struct {
	// Echo is the stamp of the leader's last answer to the node, or 0. Settled reports whether no other Allocator
	// counts the node any more.
	Echo    int64 `json:"echo,omitempty"`
	Settled bool  `json:"settled,omitempty"`
}

// Handover is the time after the last answer of another leader from which a node may be counted: until then the other
// leader may count it, and its grants may be unused.
func (p *Policy) Handover() time.Duration { return p.ColdLease + p.ColdGrantTTL }

// Follow records that a node uses an Allocator now: it got an answer of a leader with a stamp, or allocates by itself.
func (a *AllocatorBinding) Follow(leader, stamp int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if leader != a.leader {
		a.otherAt, a.leader, a.stamp = a.answeredAt, leader, 0
	}
	a.answeredAt, a.stamp = now, max(a.stamp, stamp)
}

// IsAlone reports whether no leader counts the node any more, so that it may allocate by itself.
func (a *AllocatorBinding) IsAlone(p *Policy, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader == OwnAllocator || now.Sub(a.answeredAt) >= p.Handover()
}

// State returns what the node reports to a leader.
func (a *AllocatorBinding) State(leader int64, p *Policy, now time.Time) BindingState {
	a.mu.Lock()
	defer a.mu.Unlock()
	if leader != a.leader {
		return BindingState{Settled: now.Sub(a.answeredAt) >= p.Handover()}
	}
	return BindingState{Echo: a.stamp, Settled: now.Sub(a.otherAt) >= p.Handover()}
}

// IsCounted reports whether a node in this state counts toward the share of the Allocator that sent it the answer with
// the echoed stamp at answeredAt.
func (s BindingState) IsCounted(answeredAt time.Time, p *Policy, now time.Time) bool {
	return s.Settled && s.Echo > 0 && now.Sub(answeredAt) < p.ColdLease
}
