// Package ratelimit tracks the rate limits that target instances announce, in requests a
// second from all nodes together, and divides each limit among the nodes. An instance that is cold has a
// limit as well, which also bounds the requests in any one second.
//
// A Tracker holds the limits known to one node, and the grants that allow it to send to limited
// instances. An Allocator issues the grants. The leader's Allocator issues them to all nodes that
// report to it; a node without a leader issues them to itself. An Allocator issues at most the
// fraction of the rate that its nodes make up of all nodes that may exist, so that nodes on
// both sides of a network partition together stay within the limit.
package ratelimit

import (
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

// Limit is the latest statement of an incarnation of an instance on its rate limit, which
// applies to the requests of all nodes together.
type Limit struct {
	Instance fleet.Incarnation
	// Ended reports whether the instance no longer announces a limit. PerSecond is the limit
	// in requests a second.
	Ended     bool
	PerSecond float64
	// SentAt and AnsweredAt are when the request was sent and its answer arrived. The instance
	// made the statement at some time in between.
	SentAt     time.Time
	AnsweredAt time.Time
	// Cause is the reason for a limit in force. MaxInSecond is the number of requests that all nodes together may
	// send in any one second, or 0 if only the rate is bounded; it applies until ColdUntil.
	Cause       Cause
	MaxInSecond float64
	ColdUntil   time.Time
	// KnownSince is when this node learned that the instance is limited.
	KnownSince time.Time
}

// equal reports whether l and o state the same limit.
func (l *Limit) equal(o *Limit) bool { return l.Ended == o.Ended && l.PerSecond == o.PerSecond }

// stricter reports whether l allows fewer requests than o.
func (l *Limit) stricter(o *Limit) bool {
	return !l.Ended && (o.Ended || l.PerSecond < o.PerSecond)
}

// replaces reports whether l takes effect in place of o, the limit known so far. Answers can
// arrive out of order: if either statement may be the later one, the stricter limit applies.
func (l *Limit) replaces(o *Limit) bool {
	if l.stricter(o) {
		return l.AnsweredAt.After(o.SentAt)
	}
	return l.SentAt.After(o.AnsweredAt)
}

// confirm records that o repeats the statement of l.
func (l *Limit) confirm(o *Limit) {
	l.Instance = o.Instance
	if o.AnsweredAt.After(l.AnsweredAt) {
		l.SentAt, l.AnsweredAt = o.SentAt, o.AnsweredAt
	}
}

// Change describes how an update changed the known limit of an instance.
type Change string

// The kinds of Change.
const (
	LimitUnchanged Change = ""
	LimitBegan     Change = "began"
	LimitChanged   Change = "changed"
	LimitEnded     Change = "ended"
)

// changeFrom returns the Change from before to l.
func (l *Limit) changeFrom(before *Limit) Change {
	switch {
	case l.Ended:
		return LimitEnded
	case before.Ended:
		return LimitBegan
	}
	return LimitChanged
}
