package quarantine

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// doubt is an instance on which requests broke off, and that may have ended.
type doubt struct {
	broken []broken
	// asked counts the questions to the instance, askAt is when the next one is due.
	asked int
	askAt time.Time
	// examined is when a refused connection to the instance was last looked into.
	examined time.Time
}

// broken is one attempt without a whole answer.
type broken struct {
	request Fingerprint
	// began is when the attempt was sent, at when it broke off.
	began, at time.Time
	// apart tells that the request had broken off elsewhere just before this attempt began.
	apart bool
}

// Broken records that an attempt of a request that began at a time got no whole
// answer, since one of some instances may have ended.
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

// brokeJustBefore reports whether an attempt of a request broke off within a spacing
// before a time. l.mu is held.
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

// endedBefore reports whether the instance had ended before an attempt began, and was back by then:
// the attempt broke off for another reason than this ending.
func (r *record) endedBefore(began time.Time) bool { return r.over() || began.After(r.last()) }

// Alive records that an instance answered a question asked at a time: what broke
// off before has another cause than its end. It reports whether its end had been proven.
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

// markBack marks the observations of an ending after which the instance answered a question, and
// reports whether there are any. l.mu is held.
func (l *Ledger) markBack(r *record, asked time.Time) (back bool) {
	for _, o := range r.seen {
		if !o.back && asked.After(o.at) {
			o.back, back = true, true
			l.touch(&o.told, self)
		}
	}
	return back
}

// Ended records that an instance has ended for certain, and returns the requests
// that it had under way, if that is news.
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

// Current records that an instance was seen in one of its lives, by a question
// asked at a time: its other lives have ended. It returns the requests that an
// ended life had under way, if that is news.
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

// Down records that nothing listens at the address of an instance, so that all of
// its lives have ended; it returns as Current does.
func (l *Ledger) Down(id state.InstanceID, now time.Time) []Fingerprint {
	var news []Fingerprint
	for _, life := range l.doubtedLives(id) {
		news = append(news, l.Ended(life, now)...)
	}
	return news
}

// Examine reports whether a refused connection to an instance is to be looked into: requests broke
// off there, and none was looked into for a while.
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

// doubtedLives returns the lives of an instance on which requests broke off without proof so far.
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

// mostQuestions bounds the questions to an instance on which requests broke off: one that
// ended refuses the first, and one that is silent would time out each of them at every node.
const mostQuestions = 2

// Due returns the instances that are to be asked now whether they live.
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
