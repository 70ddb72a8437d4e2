package quarantine

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

// record holds the observations of one ending, each with its own time and requests.
//
// Observations are not merged. A node behind a network partition takes an instance for ended when
// the partition begins, and its time would replace that of a real ending with other requests some
// time later.
type record struct {
	instance fleet.Incarnation
	episode  int
	seen     map[Source]*observation
}

// observation is what one node observed of an ending. Only that node adds requests; any node may
// find that the instance answers again.
type observation struct {
	// at is when the first of the requests was interrupted.
	at       time.Time
	requests []Fingerprint
	apart    []Fingerprint
	back     bool
	told     change
}

// newRecord returns a record without observations.
func newRecord(key episode) *record {
	return &record{instance: key.instance, episode: key.number, seen: map[Source]*observation{}}
}

func (r *record) key() episode { return episode{r.instance, r.episode} }

// last returns the time of the latest observation.
func (r *record) last() time.Time {
	var last time.Time
	for _, o := range r.seen {
		if o.at.After(last) {
			last = o.at
		}
	}
	return last
}

// over reports whether the instance answered after every observation, so that a further ending is a
// new episode.
func (r *record) over() bool {
	for _, o := range r.seen {
		if !o.back {
			return false
		}
	}
	return true
}

// requests returns the number of requests in all observations.
func (r *record) requests() int {
	n := 0
	for _, o := range r.seen {
		n += len(o.requests)
	}
	return n
}

// knows reports whether an observation contains a request.
func (r *record) knows(f Fingerprint) bool {
	for _, o := range r.seen {
		if slices.Contains(o.requests, f) {
			return true
		}
	}
	return false
}

// appendTo appends the observations whose change tells selects, or all of them if it is nil. The
// endings share the slices of the record.
func (r *record) appendTo(list []Ending, tells func(c *change) bool) []Ending {
	for by, o := range r.seen {
		if tells == nil || tells(&o.told) {
			list = append(list, Ending{Instance: r.instance, Episode: r.episode, By: by, At: o.at, Requests: o.requests, Apart: o.apart, Back: o.back})
		}
	}
	return list
}

// observe adds a request that was interrupted at this node to an ending. l.mu is held.
func (l *Ledger) observe(r *record, b broken) {
	o := r.seen[l.own]
	if o == nil {
		o = &observation{at: b.at}
	}
	if slices.Contains(o.requests, b.request) || r.requests() >= l.policy.MaxRequests {
		return
	}
	r.seen[l.own] = o
	o.requests = append(o.requests, b.request)
	if b.apart {
		o.apart = append(o.apart, b.request)
	}
	l.touch(&o.told, self)
	l.recall(b.request)
}
