package entry

import (
	"time"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state/fleet"
)

// EndingReport tells what one node observed of an instance that ended under requests.
type EndingReport struct {
	Instance fleet.Incarnation `json:"i"`
	// By is the node; builds that merge what all nodes observed leave it out.
	By       quarantine.Source        `json:"b,omitempty"`
	AgeMS    int64                    `json:"a"`
	Requests []quarantine.Fingerprint `json:"r"`
	Apart    []quarantine.Fingerprint `json:"p,omitempty"`
	// Episode and Back are as in quarantine.Ending.
	Episode int  `json:"n,omitempty"`
	Back    bool `json:"v,omitempty"`
}

// ClearedReport tells how long ago a request last got a whole answer after instances ended under it.
type ClearedReport struct {
	Request quarantine.Fingerprint `json:"r"`
	By      quarantine.Source      `json:"b"`
	Number  uint64                 `json:"n"`
	AgeMS   int64                  `json:"a"`
}

// LedgerReport is what a node tells another of which instances ended under which requests.
type LedgerReport struct {
	Endings []EndingReport  `json:"e,omitempty"`
	Cleared []ClearedReport `json:"c,omitempty"`
}

// newLedgerReport returns what is told of a ledger, or nil if there is nothing.
func newLedgerReport(d quarantine.Delta, now time.Time) *LedgerReport {
	if d.Empty() {
		return nil
	}
	r := &LedgerReport{}
	for _, e := range d.Endings {
		r.Endings = append(r.Endings, EndingReport{
			Instance: e.Instance, By: e.By, AgeMS: now.Sub(e.At).Milliseconds(), Requests: e.Requests, Apart: e.Apart, Episode: e.Episode, Back: e.Back,
		})
	}
	for _, c := range d.Cleared {
		r.Cleared = append(r.Cleared, ClearedReport{Request: c.Request, By: c.By, Number: c.Number, AgeMS: now.Sub(c.At).Milliseconds()})
	}
	return r
}

// delta returns a report by the clock of the node that got it.
func (r *LedgerReport) delta(now time.Time) quarantine.Delta {
	var d quarantine.Delta
	if r == nil {
		return d
	}
	at := func(ageMS int64) time.Time { return now.Add(-time.Duration(max(ageMS, 0)) * time.Millisecond) }
	for _, e := range r.Endings {
		d.Endings = append(d.Endings, quarantine.Ending{
			Instance: e.Instance, Episode: e.Episode, By: e.By, At: at(e.AgeMS), Requests: e.Requests, Apart: e.Apart, Back: e.Back,
		})
	}
	for _, c := range r.Cleared {
		d.Cleared = append(d.Cleared, quarantine.Clearing{Request: c.Request, By: c.By, Number: c.Number, At: at(c.AgeMS)})
	}
	return d
}

// giveLedger adds to an answer what the asker lacks of this node's ledger.
func (n *Node) giveLedger(a *Answer, w *Word, now time.Time) {
	after := w.LedgerAfter
	if w.Feed != n.number.Load() {
		after = 0
	}
	d, version := n.ledger.ChangesSince(after, quarantine.Source(w.From.Number))
	a.Ledger, a.LedgerNow = newLedgerReport(d, now), version
}

// addLedger adds to a status report what the leader lacks of this node's ledger,
// and returns the version that this brings the leader to.
func (p *peers) addLedger(w *Word, now time.Time) uint64 {
	p.mu.Lock()
	sent, leader := p.ledgerSent, quarantine.Source(p.feedFrom)
	w.LedgerAfter = p.ledgerHas
	p.mu.Unlock()
	d, version := p.n.ledger.ChangesSince(sent, leader)
	w.Ledger = newLedgerReport(d, now)
	return version
}

// takeLedger joins the leader's ledger with this node's; sent is the version of
// this node's own that the leader was told. A new leader is told all.
func (p *peers) takeLedger(a *Answer, sent uint64) {
	p.n.ledger.Merge(a.Ledger.delta(p.n.clock.Now()), quarantine.Source(a.Feed))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.feedFrom != a.Feed {
		sent = 0
	}
	p.ledgerSent, p.ledgerHas = sent, a.LedgerNow
}
