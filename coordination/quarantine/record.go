package quarantine

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

// endingRecord holds the observations of one ending, each with its own time and requests.
//
// Observations are not merged. A node behind a network partition takes an instance for ended when
// the partition begins, and its time would replace that of a real ending with other requests some
// time later.
type endingRecord struct {
	instance     fleet.Incarnation
	episode      int
	observations map[Source]*observation
}

// observation is what one node observed of an ending. Only that node adds requests; any node may
// find that the instance answers again.
type observation struct {
	// at is when the first of the requests was interrupted.
	at         time.Time
	requests   []Fingerprint
	retried    []Fingerprint
	responded  bool
	lastChange change
}

// newEndingRecord returns a record without observations.
func newEndingRecord(key endingKey) *endingRecord {
	return &endingRecord{instance: key.instance, episode: key.episode, observations: map[Source]*observation{}}
}

func (r *endingRecord) key() endingKey { return endingKey{r.instance, r.episode} }

// last returns the time of the latest observation.
func (r *endingRecord) last() time.Time {
	var last time.Time
	for _, o := range r.observations {
		if o.at.After(last) {
			last = o.at
		}
	}
	return last
}

// isOver reports whether the instance answered after every observation, so that a further ending is
// a new episode.
func (r *endingRecord) isOver() bool {
	for _, o := range r.observations {
		if !o.responded {
			return false
		}
	}
	return true
}

// requestCount returns the number of requests in all observations.
func (r *endingRecord) requestCount() int {
	n := 0
	for _, o := range r.observations {
		n += len(o.requests)
	}
	return n
}

// contains reports whether an observation contains a request.
func (r *endingRecord) contains(f Fingerprint) bool {
	for _, o := range r.observations {
		if slices.Contains(o.requests, f) {
			return true
		}
	}
	return false
}

// appendTo appends the observations whose last change selects accepts, or all of them if it is nil.
// The endings share the slices of the record.
func (r *endingRecord) appendTo(endings []Ending, selects func(c *change) bool) []Ending {
	for by, o := range r.observations {
		if selects == nil || selects(&o.lastChange) {
			endings = append(endings, Ending{Instance: r.instance, Episode: r.episode, By: by, At: o.at, Requests: o.requests, Apart: o.retried, Back: o.responded})
		}
	}
	return endings
}

// observe adds a request that was interrupted at this node to an ending. l.mu is held.
func (l *Ledger) observe(r *endingRecord, b interruption) {
	o := r.observations[l.own]
	if o == nil {
		o = &observation{at: b.at}
	}
	if slices.Contains(o.requests, b.request) || r.requestCount() >= l.policy.MaxRequests {
		return
	}
	r.observations[l.own] = o
	o.requests = append(o.requests, b.request)
	if b.retried {
		o.retried = append(o.retried, b.request)
	}
	l.markChanged(&o.lastChange, self)
	l.clearFromCache(b.request)
}
