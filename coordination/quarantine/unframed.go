package quarantine

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

const (
	// maxUnconfirmed is the maximum number of unconfirmed responses of one instance.
	maxUnconfirmed = 32
	// maxDoubtTime is how long before there was another reason to take an instance for ended its response may have ended for
	// the same reason: the time until the next attempt finds that it refuses connections.
	maxDoubtTime = 2 * time.Second
)

// unconfirmed is a response that ended with its connection. It is complete if the instance still runs afterwards, and was
// cut off if the instance has ended.
type unconfirmed struct {
	request Request
	// began is when the attempt was sent, at when the connection ended.
	began, at time.Time
}

// unconfirmedResponses are the unconfirmed responses of each instance. l.mu guards them.
type unconfirmedResponses struct {
	byInstance map[fleet.Incarnation][]unconfirmed
	// count is the number of all responses, which is read without the lock.
	count atomic.Int64
}

// RecordUnconfirmed records a response to an attempt, sent at began, that ended with its connection: the instance may have
// ended.
func (l *Ledger) RecordUnconfirmed(r Request, in fleet.Incarnation, began, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := &l.unconfirmed
	u.removeExpired(now.Add(-l.policy.EvidenceWindow))
	if len(u.byInstance[in]) < maxUnconfirmed && len(u.byInstance) < l.policy.MaxEndings {
		u.set(in, append(u.byInstance[in], unconfirmed{request: r, began: began, at: now}))
	}
}

// RecordAlive records that an instance responded to an attempt or a probe sent at a time, so that its unconfirmed responses
// before were complete. It reports whether other nodes must know of a request or part cleared by that.
func (l *Ledger) RecordAlive(in fleet.Incarnation, sentAt time.Time) (cleared bool) {
	if l.unconfirmed.count.Load() == 0 {
		return false
	}
	for _, u := range l.takeConfirmed(in, sentAt) {
		cleared = l.RecordComplete(u.request, u.at) || cleared
	}
	return cleared
}

// takeConfirmed removes and returns the unconfirmed responses of an instance that ended before a time.
func (l *Ledger) takeConfirmed(in fleet.Incarnation, sentAt time.Time) []unconfirmed {
	l.mu.Lock()
	defer l.mu.Unlock()
	var confirmed, rest []unconfirmed
	for _, u := range l.unconfirmed.byInstance[in] {
		if u.at.Before(sentAt) {
			confirmed = append(confirmed, u)
		} else {
			rest = append(rest, u)
		}
	}
	l.unconfirmed.set(in, rest)
	return confirmed
}

// doubtUnconfirmed counts the last unconfirmed responses of an instance as interrupted, when there is another reason to
// take the instance for ended. l.mu is held.
func (l *Ledger) doubtUnconfirmed(in fleet.Incarnation, now time.Time) {
	list := l.unconfirmed.byInstance[in]
	l.unconfirmed.set(in, nil)
	for _, u := range list {
		if now.Sub(u.at) < maxDoubtTime {
			l.recordInterruptions(u.request, []fleet.Incarnation{in}, u.began, u.at)
		}
	}
}

// set replaces the unconfirmed responses of an instance.
func (u *unconfirmedResponses) set(in fleet.Incarnation, list []unconfirmed) {
	u.count.Add(int64(len(list) - len(u.byInstance[in])))
	if len(list) == 0 {
		delete(u.byInstance, in)
		return
	}
	u.byInstance[in] = list
}

// removeExpired removes the responses before a time.
func (u *unconfirmedResponses) removeExpired(before time.Time) {
	for in, list := range u.byInstance {
		if list[0].at.Before(before) {
			u.set(in, slices.DeleteFunc(slices.Clone(list), func(r unconfirmed) bool { return r.at.Before(before) }))
		}
	}
}
