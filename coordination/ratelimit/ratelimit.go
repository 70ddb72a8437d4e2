// Package ratelimit keeps how many requests a second target instances take from all nodes
// together, and divides that rate over the nodes.
//
// A Book holds what one node knows of limits, and the grants by which it may send to a
// limited instance. A Dealer makes these grants out of the rate: that of the leader for all
// nodes that report to it, that of a node without a leader for itself. Each deals no more
// than the part of the rate that its nodes are of all nodes there may be, so that nodes which
// cannot hear each other together stay within the rate.
package ratelimit

import (
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

// Limit is what one life of an instance said of the requests that it takes from all nodes together.
type Limit struct {
	Instance fleet.Incarnation
	// Ended tells that the instance no longer names a limit, PerSecond its requests a second.
	Ended     bool
	PerSecond float64
	// Asked and Answered are when the request was sent and the answer came that said so: the
	// instance wrote it in between.
	Asked    time.Time
	Answered time.Time
	// Since is when this node learned that the instance is limited.
	Since time.Time
}

// same reports whether two limits say the same.
func (l *Limit) same(o *Limit) bool { return l.Ended == o.Ended && l.PerSecond == o.PerSecond }

// stricter reports whether a limit allows fewer requests than another.
func (l *Limit) stricter(o *Limit) bool {
	return !l.Ended && (o.Ended || l.PerSecond < o.PerSecond)
}

// replaces reports whether a limit is in force instead of one known. Answers overtake each
// other: where either may be the later one, the stricter holds.
func (l *Limit) replaces(o *Limit) bool {
	if l.stricter(o) {
		return l.Answered.After(o.Asked)
	}
	return l.Asked.After(o.Answered)
}

// confirm records that the same was said once more.
func (l *Limit) confirm(o *Limit) {
	l.Instance = o.Instance
	if o.Answered.After(l.Answered) {
		l.Asked, l.Answered = o.Asked, o.Answered
	}
}

// Change is how what is known of an instance's limit has changed.
type Change string

// The changes.
const (
	Unchanged Change = ""
	Began     Change = "began"
	Changed   Change = "changed"
	Stopped   Change = "ended"
)

// change returns how a limit differs from the one before it.
func (l *Limit) change(before *Limit) Change {
	switch {
	case l.Ended:
		return Stopped
	case before.Ended:
		return Began
	}
	return Changed
}
