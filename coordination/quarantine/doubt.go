package quarantine

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// suspicion holds the attempts that were interrupted on an incarnation that may have ended.
type suspicion struct {
	interruptions []interruption
	// probes counts the probes sent to the instance, nextProbe is when the next one is due.
	probes    int
	nextProbe time.Time
	// investigatedAt is when a refused connection to the instance was last investigated.
	investigatedAt time.Time
}

// interruption is an attempt that was interrupted before its response was complete.
type interruption struct {
	request Fingerprint
	// began is when the attempt was sent, at when it was interrupted.
	began, at time.Time
	// retried is set if the request was interrupted elsewhere just before this attempt began.
	retried bool
}

// RecordInterruption records that an attempt of a request, sent at began, got no complete response because one
// of the members may have ended. It counts for the request and for each part of its prompt.
func (l *Ledger) RecordInterruption(r Request, members []fleet.Incarnation, began, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, in := range members {
		l.doubtUnconfirmed(in, now)
	}
	l.recordInterruptions(r, members, began, now)
}

// recordInterruptions records an interruption of a request and of each part of its prompt. l.mu is held.
func (l *Ledger) recordInterruptions(r Request, members []fleet.Incarnation, began, now time.Time) {
	l.trials.recordInterruption(r.Parts, began, now)
	for _, part := range r.Parts {
		l.recordInterruption(interruption{request: part, began: began, at: now}, members)
	}
	l.recordInterruption(interruption{request: r.Fingerprint, began: began, at: now, retried: l.interruptedJustBefore(r.Fingerprint, began)}, members)
}

// recordInterruption records an interruption on one of the members. l.mu is held.
func (l *Ledger) recordInterruption(b interruption, members []fleet.Incarnation) {
	began, now := b.began, b.at
	for _, m := range members {
		if r := l.latestEpisode(m); r != nil && !r.endedBefore(began) {
			if now.Sub(r.last()) < l.policy.EvidenceWindow {
				l.observe(r, b)
			}
			continue
		}
		d := l.pending[m]
		if d == nil {
			d = &suspicion{nextProbe: now}
			l.pending[m] = d
		}
		isKnownPart := b.request.IsPart() && d.contains(b.request)
		if len(d.interruptions) < l.policy.MaxRequests && !isKnownPart {
			d.interruptions = append(d.interruptions, b)
		}
	}
}

// contains reports whether an attempt of a request, or of one with a part, was interrupted.
func (d *suspicion) contains(f Fingerprint) bool {
	return slices.ContainsFunc(d.interruptions, func(b interruption) bool { return b.request == f })
}

// interruptedJustBefore reports whether an attempt of a request was interrupted less than the
// spacing before began. l.mu is held.
func (l *Ledger) interruptedJustBefore(f Fingerprint, began time.Time) bool {
	isJustBefore := func(at time.Time) bool { return !at.After(began) && began.Sub(at) < l.policy.Spacing }
	for _, d := range l.pending {
		if slices.ContainsFunc(d.interruptions, func(b interruption) bool { return b.request == f && isJustBefore(b.at) }) {
			return true
		}
	}
	for _, r := range l.endings {
		for _, o := range r.observations {
			if isJustBefore(o.at) && slices.Contains(o.requests, f) {
				return true
			}
		}
	}
	return false
}

// endedBefore reports whether the instance had ended, and answered again, before an attempt was
// sent. Such an attempt was interrupted for another reason than this ending.
func (r *endingRecord) endedBefore(sent time.Time) bool { return r.isOver() || sent.After(r.last()) }

// RecordProbeResponse records that an instance answered a probe sent at probedAt. Attempts interrupted before
// then have another cause than its ending. It reports whether the ending had been recorded as
// proven.
func (l *Ledger) RecordProbeResponse(in fleet.Incarnation, probedAt time.Time) (wasEnded bool) {
	l.RecordAlive(in, probedAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.latestEpisode(in); r != nil {
		wasEnded = l.markResponded(r, probedAt)
	}
	d := l.pending[in]
	if d == nil {
		return wasEnded
	}
	d.interruptions = slices.DeleteFunc(d.interruptions, func(b interruption) bool { return b.at.Before(probedAt) })
	if len(d.interruptions) == 0 {
		delete(l.pending, in)
	}
	return wasEnded
}

// markResponded marks the observations of an ending that precede an answered probe, and reports
// whether it marked any. l.mu is held.
func (l *Ledger) markResponded(r *endingRecord, probedAt time.Time) (marked bool) {
	for _, o := range r.observations {
		if !o.responded && probedAt.After(o.at) {
			o.responded, marked = true, true
			l.markChanged(&o.lastChange, self)
		}
	}
	return marked
}

// RecordEnding records that an incarnation has provably ended. It returns the requests that were in
// progress on it and that no observation of the ending contains yet.
func (l *Ledger) RecordEnding(in fleet.Incarnation, now time.Time) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.pending[in]
	if d == nil {
		return nil
	}
	delete(l.pending, in)
	r := l.latestEpisode(in)
	switch {
	case r == nil:
		r = newEndingRecord(endingKey{instance: in})
	case r.endedBefore(d.interruptions[0].began):
		r = newEndingRecord(endingKey{in, r.episode + 1})
	}
	var added []Fingerprint
	for _, b := range d.interruptions {
		if now.Sub(b.at) < l.policy.EvidenceWindow && !r.contains(b.request) {
			l.observe(r, b)
			added = append(added, b.request)
		}
	}
	if len(r.observations) > 0 {
		l.endings[r.key()] = r
		l.enforceLimits()
	}
	return added
}

// RecordIncarnation records that a probe sent at probedAt found the instance in the given incarnation, so
// that all its other incarnations have ended. It returns the requests that were in progress on an
// ended incarnation, as RecordEnding does.
func (l *Ledger) RecordIncarnation(in fleet.Incarnation, probedAt, now time.Time) []Fingerprint {
	var added []Fingerprint
	for _, other := range l.suspectedIncarnations(in.ID) {
		if other != in {
			added = append(added, l.RecordEnding(other, now)...)
		}
	}
	l.RecordProbeResponse(in, probedAt)
	return added
}

// RecordDown records that nothing listens at the address of an instance, so that all its incarnations
// have ended. It returns the same requests as RecordIncarnation.
func (l *Ledger) RecordDown(id state.InstanceID, now time.Time) []Fingerprint {
	var added []Fingerprint
	for _, in := range l.suspectedIncarnations(id) {
		added = append(added, l.RecordEnding(in, now)...)
	}
	return added
}

// BeginInvestigation reports whether to investigate a refused connection to an instance: attempts were
// interrupted there, and no refusal was investigated within the check interval. If so, it records
// the investigation.
func (l *Ledger) BeginInvestigation(in fleet.Incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubtUnconfirmed(in, now)
	d := l.pending[in]
	if d == nil || !d.investigatedAt.IsZero() && now.Sub(d.investigatedAt) < l.policy.CheckInterval {
		return false
	}
	d.investigatedAt = now
	return true
}

// suspectedIncarnations returns the incarnations of an instance that have interrupted attempts but
// no proven ending.
func (l *Ledger) suspectedIncarnations(id state.InstanceID) []fleet.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []fleet.Incarnation
	for in := range l.pending {
		if in.ID == id {
			list = append(list, in)
		}
	}
	return list
}

// maxProbes limits the probes to an instance on which attempts were interrupted. An instance that
// ended refuses the first one, and each probe of an unresponsive one costs every node a timeout.
const maxProbes = 2

// NextProbes returns the incarnations to probe for liveness now, and schedules their next probes.
func (l *Ledger) NextProbes(now time.Time) []fleet.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []fleet.Incarnation
	for in, d := range l.pending {
		last := d.interruptions[len(d.interruptions)-1].at
		switch {
		case now.Sub(last) > l.policy.EvidenceWindow:
			delete(l.pending, in)
		case d.probes < maxProbes && !now.Before(d.nextProbe):
			d.nextProbe = now.Add(l.policy.CheckInterval << d.probes)
			d.probes++
			due = append(due, in)
		}
	}
	return due
}
