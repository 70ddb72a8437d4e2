package quarantine

import (
	"slices"
	"time"
)

// Source names whose word a node has something by: the number of another node, or self.
type Source int64

// Sources that are no other node.
const (
	// self is what a node has seen itself.
	self Source = 0
	// Kept is what the store kept, which all nodes read.
	Kept Source = -1
	// Peer is any node, where all is told to whoever asks.
	Peer Source = -2
)

// Cleared tells when a request last got a whole answer at one node after instances
// ended under it.
type Cleared struct {
	Request Fingerprint
	// By is the node, Number that of the clearing among its own of the request.
	By     Source
	Number uint64
	At     time.Time
}

// Delta is what one node tells another of its ledger.
type Delta struct {
	Endings []Ending
	Cleared []Cleared
}

// Empty reports whether there is nothing to tell.
func (d *Delta) Empty() bool { return len(d.Endings) == 0 && len(d.Cleared) == 0 }

// Since returns what changed after a version, but for what a source told itself,
// and the version now.
func (l *Ledger) Since(version uint64, except Source) (Delta, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var d Delta
	if version == l.version {
		return d, l.version
	}
	for _, r := range l.endings {
		if r.tells(version, except) {
			e := r.Ending
			e.Requests, e.Apart = slices.Clone(r.Requests), slices.Clone(r.Apart)
			d.Endings = append(d.Endings, e)
		}
	}
	for f, by := range l.cleared {
		for source, c := range by {
			if c.tells(version, except) {
				d.Cleared = append(d.Cleared, Cleared{Request: f, By: source, Number: c.number, At: c.at})
			}
		}
	}
	return d, l.version
}

// tells reports whether a change came after a version and by the word of another than a source.
func (c *change) tells(version uint64, except Source) bool {
	return c.version > version && (c.from != except || except == self)
}

// Merge joins what another node told, whose times are those of this node's clock.
func (l *Ledger) Merge(d Delta, from Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range d.Endings {
		l.mergeEnding(e, from)
	}
	for _, c := range d.Cleared {
		l.mergeCleared(c, from)
	}
	l.bound()
}

// mergeEnding joins another node's word on an ending with what this node knows of
// it, also of requests that broke off here: the earlier time, and all requests. l.mu is held.
func (l *Ledger) mergeEnding(e Ending, from Source) {
	if len(e.Requests) == 0 {
		return
	}
	r := l.endings[e.key()]
	news := r == nil
	if r == nil {
		r = &record{Ending: Ending{Instance: e.Instance, Episode: e.Episode, At: e.At}}
		l.endings[e.key()] = r
	}
	if e.At.Before(r.At) {
		r.At, news = e.At, true
	}
	if e.Back && !r.Back {
		r.Back, news = true, true
	}
	for _, f := range e.Requests {
		if l.include(&r.Requests, f) {
			news = true
			l.recall(f)
		}
	}
	for _, f := range e.Apart {
		news = l.include(&r.Apart, f) || news
	}
	if news && knowsMore(r, &e) {
		from = self // the other node may lack what this one had
	}
	if news {
		l.touch(&r.change, from)
	}
	l.settle(r)
}

// include adds a request to a list that lacks it and has room, and reports whether it did.
func (l *Ledger) include(list *[]Fingerprint, f Fingerprint) bool {
	if slices.Contains(*list, f) || len(*list) >= l.policy.MaxRequests {
		return false
	}
	*list = append(*list, f)
	return true
}

// knowsMore reports whether a record holds more than another node told.
func knowsMore(r *record, e *Ending) bool {
	return r.At.Before(e.At) || r.Back && !e.Back || len(r.Requests) > len(e.Requests) || len(r.Apart) > len(e.Apart)
}

// mergeCleared joins another node's word on a whole answer with what this node knows. l.mu is held.
func (l *Ledger) mergeCleared(c Cleared, from Source) {
	by := l.cleared[c.Request]
	if by == nil {
		by = map[Source]*clearing{}
		l.cleared[c.Request] = by
	}
	known := by[c.By]
	if known == nil {
		known = &clearing{}
		by[c.By] = known
	}
	if c.Number > known.number {
		known.number, known.at = c.Number, c.At
		l.touch(&known.change, from)
	}
}

// settle adds the requests that broke off here on an instance of which another
// node knows that it ended. l.mu is held.
func (l *Ledger) settle(r *record) {
	d := l.pending[r.Instance]
	if d == nil || r.Back {
		return
	}
	delete(l.pending, r.Instance)
	for _, b := range d.broken {
		if b.at.Sub(r.At).Abs() < l.policy.EvidenceWindow {
			l.add(r, b)
		}
	}
}
