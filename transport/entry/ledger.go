package entry

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/state/fleet"
)

// EndingReport is one node's observation of an instance that ended while requests were in flight on it.
type EndingReport struct {
	Instance fleet.Incarnation `json:"i"`
	// By is the node. Builds that merge the observations of all nodes omit it.
	By       quarantine.Source        `json:"b,omitempty"`
	AgeMS    int64                    `json:"a"`
	Requests []quarantine.Fingerprint `json:"r"`
	Apart    []quarantine.Fingerprint `json:"p,omitempty"`
	// Parts are the parts of the prompts of the requests. Earlier builds ignore them: they would take each for a request.
	Parts []quarantine.Fingerprint `json:"t,omitempty"`
	// Episode and Back are as in quarantine.Ending.
	Episode int  `json:"n,omitempty"`
	Back    bool `json:"v,omitempty"`
}

// ClearedReport states how long ago a request last received a complete response, or was released by
// an operator, after instances had ended under it.
type ClearedReport struct {
	Request quarantine.Fingerprint `json:"r"`
	By      quarantine.Source      `json:"b"`
	Number  uint64                 `json:"n"`
	AgeMS   int64                  `json:"a"`
}

// LedgerReport is the part of a quarantine ledger that a node sends to another: which instances ended
// under which requests.
type LedgerReport struct {
	Endings []EndingReport  `json:"e,omitempty"`
	Cleared []ClearedReport `json:"c,omitempty"`
	// ClearedParts are parts of prompts instead of requests.
	ClearedParts []ClearedReport `json:"cp,omitempty"`
}

// newLedgerReport returns the report of the changes to a ledger, or nil if there are none.
func newLedgerReport(d quarantine.Delta, now time.Time) *LedgerReport {
	if d.Empty() {
		return nil
	}
	r := &LedgerReport{}
	for _, e := range d.Endings {
		requests, parts := quarantine.SplitParts(e.Requests)
		r.Endings = append(r.Endings, EndingReport{
			Instance: e.Instance, By: e.By, AgeMS: now.Sub(e.At).Milliseconds(), Requests: requests, Apart: e.Apart, Parts: parts, Episode: e.Episode, Back: e.Back,
		})
	}
	for _, c := range d.Cleared {
		list := &r.Cleared
		if c.Request.IsPart() {
			list = &r.ClearedParts
		}
		*list = append(*list, ClearedReport{Request: c.Request, By: c.By, Number: c.Number, AgeMS: now.Sub(c.At).Milliseconds()})
	}
	return r
}

// delta converts a report to changes with times by the receiver's clock, where now is the time of receipt.
func (r *LedgerReport) delta(now time.Time) quarantine.Delta {
	var d quarantine.Delta
	if r == nil {
		return d
	}
	at := func(ageMS int64) time.Time { return now.Add(-millis.Duration(max(ageMS, 0))) }
	for _, e := range r.Endings {
		d.Endings = append(d.Endings, quarantine.Ending{
			Instance: e.Instance, Episode: e.Episode, By: e.By, At: at(e.AgeMS), Requests: slices.Concat(e.Requests, e.Parts), Apart: e.Apart, Back: e.Back,
		})
	}
	for _, c := range slices.Concat(r.Cleared, r.ClearedParts) {
		d.Cleared = append(d.Cleared, quarantine.Clearing{Request: c.Request, By: c.By, Number: c.Number, At: at(c.AgeMS)})
	}
	return d
}

// addLedgerToAnswer adds to the answer to a status report the changes to this node's ledger that the sender
// does not have yet.
func (n *Node) addLedgerToAnswer(a *StatusAnswer, w *StatusReport, now time.Time) {
	after := w.LedgerVersion
	if w.Feed != n.incarnationNumber.Load() {
		after = 0
	}
	d, version := n.ledger.ChangesSince(after, quarantine.Source(w.From.Number))
	a.Ledger, a.LedgerVersion = newLedgerReport(d, now), version
}

// addLedger adds to a status report the changes to this node's ledger that the leader does not have
// yet, and returns the version that the leader has after it.
func (p *peers) addLedger(w *StatusReport, now time.Time) uint64 {
	p.mu.Lock()
	sent, leader := p.ownLedgerVersion, quarantine.Source(p.feedNode)
	w.LedgerVersion = p.leaderLedgerVersion
	p.mu.Unlock()
	d, version := p.n.ledger.ChangesSince(sent, leader)
	w.Ledger = newLedgerReport(d, now)
	return version
}

// mergeLedger merges the leader's ledger into this node's. sent is the version of this node's ledger
// that the leader has received. A new leader is sent the whole ledger.
func (p *peers) mergeLedger(a *StatusAnswer, sent uint64) {
	p.n.ledger.Merge(a.Ledger.delta(p.n.clock.Now()), quarantine.Source(a.Feed))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.feedNode != a.Feed {
		sent = 0
	}
	p.ownLedgerVersion, p.leaderLedgerVersion = sent, a.LedgerVersion
}
