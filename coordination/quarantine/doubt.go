package quarantine

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// doubt holds the attempts that were interrupted on an incarnation that may have ended.
type doubt struct {
	broken []broken
	// asked counts the probes sent to the instance, askAt is when the next one is due.
	asked int
	askAt time.Time
	// examined is when a refused connection to the instance was last investigated.
	examined time.Time
}

// broken is an attempt that was interrupted before its response was complete.
type broken struct {
	request Fingerprint
	// began is when the attempt was sent, at when it was interrupted.
	began, at time.Time
	// apart is set if the request was interrupted elsewhere just before this attempt began.
	apart bool
}

// Broken records that an attempt of a request, sent at began, got no complete response because one
// of the members may have ended.
func (l *Ledger) Broken(f Fingerprint, members []fleet.Incarnation, began, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := broken{request: f, began: began, at: now, apart: l.brokeJustBefore(f, began)}
	for _, m := range members {
		if r := l.newest(m); r != nil && !r.endedBefore(began) {
			if now.Sub(r.last()) < l.policy.EvidenceWindow {
				l.observe(r, b)
			}
			continue
		}
		d := l.pending[m]
		if d == nil {
			d = &doubt{askAt: now}
			l.pending[m] = d
		}
		if len(d.broken) < l.policy.MaxRequests {
			d.broken = append(d.broken, b)
		}
	}
}

// brokeJustBefore reports whether an attempt of a request was interrupted less than the spacing
// before began. l.mu is held.
func (l *Ledger) brokeJustBefore(f Fingerprint, began time.Time) bool {
	just := func(at time.Time) bool { return !at.After(began) && began.Sub(at) < l.policy.Spacing }
	for _, d := range l.pending {
		if slices.ContainsFunc(d.broken, func(b broken) bool { return b.request == f && just(b.at) }) {
			return true
		}
	}
	for _, r := range l.endings {
		for _, o := range r.seen {
			if just(o.at) && slices.Contains(o.requests, f) {
				return true
			}
		}
	}
	return false
}

// endedBefore reports whether the instance had ended, and answered again, before an attempt began.
// Such an attempt was interrupted for another reason than this ending.
func (r *record) endedBefore(began time.Time) bool { return r.over() || began.After(r.last()) }

// Alive records that an instance answered a probe sent at asked. Attempts interrupted before then
// have another cause than its ending. It reports whether the ending had been recorded as proven.
func (l *Ledger) Alive(in fleet.Incarnation, asked time.Time) (back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.newest(in); r != nil {
		back = l.markBack(r, asked)
	}
	d := l.pending[in]
	if d == nil {
		return back
	}
	d.broken = slices.DeleteFunc(d.broken, func(b broken) bool { return b.at.Before(asked) })
	if len(d.broken) == 0 {
		delete(l.pending, in)
	}
	return back
}

// markBack marks the observations of an ending that precede an answered probe, and reports whether
// it marked any. l.mu is held.
func (l *Ledger) markBack(r *record, asked time.Time) (back bool) {
	for _, o := range r.seen {
		if !o.back && asked.After(o.at) {
			o.back, back = true, true
			l.touch(&o.told, self)
		}
	}
	return back
}

// Ended records that an incarnation has provably ended. It returns the requests that were in
// progress on it and that no observation of the ending contains yet.
func (l *Ledger) Ended(in fleet.Incarnation, now time.Time) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.pending[in]
	if d == nil {
		return nil
	}
	delete(l.pending, in)
	r := l.newest(in)
	switch {
	case r == nil:
		r = newRecord(episode{instance: in})
	case r.endedBefore(d.broken[0].began):
		r = newRecord(episode{in, r.episode + 1})
	}
	var news []Fingerprint
	for _, b := range d.broken {
		if now.Sub(b.at) < l.policy.EvidenceWindow && !r.knows(b.request) {
			l.observe(r, b)
			news = append(news, b.request)
		}
	}
	if len(r.seen) > 0 {
		l.endings[r.key()] = r
		l.bound()
	}
	return news
}

// Current records that a probe sent at asked found the instance in the given incarnation, so that
// all its other incarnations have ended. It returns the requests that were in progress on an ended
// incarnation, as Ended does.
func (l *Ledger) Current(in fleet.Incarnation, asked, now time.Time) []Fingerprint {
	var news []Fingerprint
	for _, life := range l.doubtedLives(in.ID) {
		if life != in {
			news = append(news, l.Ended(life, now)...)
		}
	}
	l.Alive(in, asked)
	return news
}

// Down records that nothing listens at the address of an instance, so that all its incarnations
// have ended. It returns the same requests as Current.
func (l *Ledger) Down(id state.InstanceID, now time.Time) []Fingerprint {
	var news []Fingerprint
	for _, life := range l.doubtedLives(id) {
		news = append(news, l.Ended(life, now)...)
	}
	return news
}

// Examine reports whether to investigate a refused connection to an instance: attempts were
// interrupted there, and none was investigated within the check interval. If so, it records the
// investigation.
func (l *Ledger) Examine(in fleet.Incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.pending[in]
	if d == nil || !d.examined.IsZero() && now.Sub(d.examined) < l.policy.CheckInterval {
		return false
	}
	d.examined = now
	return true
}

// doubtedLives returns the incarnations of an instance that have interrupted attempts but no proven
// ending.
func (l *Ledger) doubtedLives(id state.InstanceID) []fleet.Incarnation {
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

// mostQuestions limits the probes to an instance on which attempts were interrupted. An instance
// that ended refuses the first one, and each probe of an unresponsive one costs every node a
// timeout.
const mostQuestions = 2

// Due returns the incarnations to probe for liveness now, and schedules their next probes.
func (l *Ledger) Due(now time.Time) []fleet.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []fleet.Incarnation
	for in, d := range l.pending {
		last := d.broken[len(d.broken)-1].at
		switch {
		case now.Sub(last) > l.policy.EvidenceWindow:
			delete(l.pending, in)
		case d.asked < mostQuestions && !now.Before(d.askAt):
			d.askAt = now.Add(l.policy.CheckInterval << d.asked)
			d.asked++
			due = append(due, in)
		}
	}
	return due
}
