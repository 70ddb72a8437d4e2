package quarantine

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/state/fleet"
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

// Cleared tells when a request last got a whole answer after instances ended under it.
type Cleared struct {
	Request Fingerprint
	At      time.Time
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
	for in, r := range l.endings {
		if r.tells(version, except) {
			d.Endings = append(d.Endings, Ending{Instance: in, At: r.at, Requests: slices.Clone(r.requests), Apart: slices.Clone(r.apart), Void: r.void})
		}
	}
	for f, c := range l.cleared {
		if c.tells(version, except) {
			d.Cleared = append(d.Cleared, Cleared{f, c.at})
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
// it, also of requests that broke off here. l.mu is held.
func (l *Ledger) mergeEnding(e Ending, from Source) {
	if len(e.Requests) == 0 {
		return
	}
	r := l.endings[e.Instance]
	news := r == nil
	if r == nil {
		r = &record{at: e.At}
		l.endings[e.Instance] = r
	}
	if e.At.Before(r.at) {
		r.at, news = e.At, true
	}
	for _, f := range e.Requests {
		if !slices.Contains(r.requests, f) && len(r.requests) < l.policy.MaxRequests {
			r.requests, news = append(r.requests, f), true
			l.recall(f)
		}
	}
	for _, f := range e.Apart {
		if !slices.Contains(r.apart, f) && len(r.apart) < l.policy.MaxRequests {
			r.apart, news = append(r.apart, f), true
		}
	}
	if e.Void && !r.void {
		r.void, news = true, true
	}
	if news && (r.void && !e.Void || r.at.Before(e.At) || len(r.requests) > len(e.Requests) || len(r.apart) > len(e.Apart)) {
		from = self // the other node may lack what this one had
	}
	if news {
		l.touch(&r.change, from)
	}
	l.settle(e.Instance, r)
}

// mergeCleared joins another node's word on a whole answer with what this node knows. l.mu is held.
func (l *Ledger) mergeCleared(c Cleared, from Source) {
	known := l.cleared[c.Request]
	if known == nil {
		known = &clearing{}
		l.cleared[c.Request] = known
	}
	if c.At.After(known.at) {
		known.at = c.At
		l.touch(&known.change, from)
	}
}

// settle adds the requests that broke off here on an instance of which another
// node knows that it ended. l.mu is held.
func (l *Ledger) settle(in fleet.Incarnation, r *record) {
	d := l.pending[in]
	if d == nil {
		return
	}
	delete(l.pending, in)
	for _, b := range d.broken {
		if b.at.Sub(r.at).Abs() < l.policy.EvidenceWindow {
			l.add(r, b)
		}
	}
}
