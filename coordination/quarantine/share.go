package quarantine

import (
	"slices"
	"time"
)

// Source identifies where information comes from: the number of another node, or one of the
// constants below.
type Source int64

// Sources other than another node.
const (
	// self is this node; in Ending.By it means that the node is unknown.
	self Source = 0
	// StoreSource is the store, which all nodes read.
	StoreSource Source = -1
	// PeerSource is any other node, in exchanges that do not distinguish peers.
	PeerSource Source = -2
)

// Clearing holds when a request last got a complete response at one node, after instances had ended
// during it.
type Clearing struct {
	Request Fingerprint
	// By is the node, Number the sequence number of the clearing among its clearings of the
	// request.
	By     Source
	Number uint64
	At     time.Time
}

// Delta is a set of changes that one node sends to another.
type Delta struct {
	Endings []Ending
	Cleared []Clearing
}

// Empty reports whether the delta has no changes.
func (d *Delta) Empty() bool { return len(d.Endings) == 0 && len(d.Cleared) == 0 }

// ChangesSince returns the changes after a version, without those that came from except, and the current
// version.
func (l *Ledger) ChangesSince(version uint64, except Source) (Delta, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var d Delta
	if version == l.version {
		return d, l.version
	}
	for _, r := range l.endings {
		d.Endings = r.appendTo(d.Endings, func(c *change) bool { return c.isNewFor(version, except) })
	}
	for i := range d.Endings {
		e := &d.Endings[i]
		e.Requests, e.Apart = slices.Clone(e.Requests), slices.Clone(e.Apart)
	}
	for f, by := range l.cleared {
		for source, c := range by {
			if c.isNewFor(version, except) {
				d.Cleared = append(d.Cleared, Clearing{Request: f, By: source, Number: c.number, At: c.at})
			}
		}
	}
	return d, l.version
}

// isNewFor reports whether a change is later than a version and did not come from except.
func (c *change) isNewFor(version uint64, except Source) bool {
	return c.version > version && (c.from != except || except == self)
}

// Merge merges a delta from another node. Its times are already converted to the clock of this
// node.
func (l *Ledger) Merge(d Delta, from Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range d.Endings {
		l.mergeEnding(e, from)
	}
	for _, c := range d.Cleared {
		l.mergeCleared(c, from)
	}
	l.enforceLimits()
}

// mergeEnding merges an observation from another node, and adds requests that were interrupted at
// this node on the same instance. l.mu is held.
func (l *Ledger) mergeEnding(e Ending, from Source) {
	if len(e.Requests) == 0 {
		return
	}
	r := l.endings[e.key()]
	if r == nil {
		r = newEndingRecord(e.key())
		l.endings[e.key()] = r
	}
	o := r.observations[e.By]
	changed := o == nil
	if o == nil {
		o = &observation{at: e.At}
		r.observations[e.By] = o
	}
	if e.At.Before(o.at) {
		o.at, changed = e.At, true
	}
	if e.Back && !o.responded {
		o.responded, changed = true, true
	}
	for _, f := range e.Requests {
		if !slices.Contains(o.requests, f) && r.requestCount() < l.policy.MaxRequests {
			o.requests, changed = append(o.requests, f), true
			l.clearFromCache(f)
		}
	}
	for _, f := range e.Apart {
		if !slices.Contains(o.retried, f) && len(o.retried) < len(o.requests) {
			o.retried, changed = append(o.retried, f), true
		}
	}
	if changed && o.hasMoreThan(&e) {
		from = self // the sender may lack what this node had
	}
	if changed {
		l.markChanged(&o.lastChange, from)
	}
	l.attributeInterruptions(r, e.At)
}

// hasMoreThan reports whether an observation holds more than the one received.
func (o *observation) hasMoreThan(e *Ending) bool {
	return o.at.Before(e.At) || o.responded && !e.Back || len(o.requests) > len(e.Requests) || len(o.retried) > len(e.Apart)
}

// mergeCleared merges a clearing from another node, or one of this node. l.mu is held.
func (l *Ledger) mergeCleared(c Clearing, from Source) {
	by := l.cleared[c.Request]
	if by == nil {
		by = map[Source]*clearing{}
		l.cleared[c.Request] = by
	}
	if c.Request.IsPart() {
		l.mergeClearedPart(by, &c, from)
		return
	}
	known := by[c.By]
	if known == nil {
		known = &clearing{}
		by[c.By] = known
	}
	if c.Number > known.number {
		known.number, known.at = c.Number, c.At
		l.markChanged(&known.change, from)
	}
}

// mergeClearedPart merges a clearing of a part of prompts. All nodes answer requests with a popular part at all times: only
// one clearing of it is kept and relayed, and the next one once the spacing has passed. l.mu is held.
func (l *Ledger) mergeClearedPart(by map[Source]*clearing, c *Clearing, from Source) {
	for source, known := range by {
		isSame := source == c.By && known.number == c.Number
		if isSame || c.At.Sub(known.at) < l.policy.Spacing {
			return
		}
	}
	clear(by)
	by[c.By] = &clearing{number: c.Number, at: c.At}
	l.markChanged(&by[c.By].change, from)
}

// attributeInterruptions adds the requests that were interrupted at this node on an instance that
// another node reports as ended. An attempt that began after the ending was interrupted for another
// reason. l.mu is held.
func (l *Ledger) attributeInterruptions(r *endingRecord, endedAt time.Time) {
	d := l.pending[r.instance]
	if d == nil || r.isOver() {
		return
	}
	d.interruptions = slices.DeleteFunc(d.interruptions, func(b interruption) bool {
		if b.began.After(endedAt) || b.at.Sub(endedAt).Abs() >= l.policy.EvidenceWindow {
			return false
		}
		l.observe(r, b)
		return true
	})
	if len(d.interruptions) == 0 {
		delete(l.pending, r.instance)
	}
}
