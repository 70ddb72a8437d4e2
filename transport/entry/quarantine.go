package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state/fleet"
)

// Admit implements gateway.Quarantine. Of all nodes only the leader lets requests with held parts through, so that their
// number is bounded.
func (n *Node) Admit(r quarantine.Request) (time.Time, bool) {
	isLeader, _ := n.peers.leadership()
	a := n.ledger.Admit(r, isLeader, n.clock.Now())
	if a.IsTrial {
		n.Count("quarantine.trial")
	}
	return a.Verdict.Until, a.Held
}

// QuarantinedUntil implements gateway.Quarantine.
func (n *Node) QuarantinedUntil(r quarantine.Request) (time.Time, bool) {
	now := n.clock.Now()
	v := n.ledger.VerdictOn(r, now)
	return v.Until, v.Quarantined(now)
}

// IsSuspected implements gateway.Quarantine.
func (n *Node) IsSuspected(r quarantine.Request) bool { return n.ledger.IsSuspected(r, n.clock.Now()) }

// RecordComplete implements gateway.Quarantine.
func (n *Node) RecordComplete(r quarantine.Request) {
	if n.ledger.RecordComplete(r, n.clock.Now()) {
		n.requestStatusReport()
	}
}

// Bounds of persisting the quarantine in the store.
const (
	// persistInterval is the time between two checks for quarantined requests that are not yet stored.
	persistInterval = 500 * time.Millisecond
	// maxRestoreAttempts is the maximum number of attempts to read the stored quarantine. A node that
	// cannot read the store at startup receives the same records from the leader.
	maxRestoreAttempts = 20
)

// persistedEnding is an ending in its stored form.
type persistedEnding struct {
	Instance fleet.Incarnation `json:"instance"`
	UnixMS   int64             `json:"unix_ms"`
	// Apart reports whether the request had been interrupted elsewhere just before, as in quarantine.Ending.
	Apart bool `json:"apart,omitempty"`
}

// persistQuarantine writes the quarantined requests to the store while this node is the leader, so that
// the quarantine survives the simultaneous loss of all nodes. It writes one record per request, and
// another for each further independent ending.
func (n *Node) persistQuarantine(ctx context.Context) {
	if !n.awaitLedger(ctx) {
		n.restoreQuarantine(ctx)
	}
	storedEndings := map[quarantine.Fingerprint]int{}
	era := n.eras.current()
	for n.sleep(ctx, persistInterval) {
		if now := n.eras.current(); now != era {
			era = now
			clear(storedEndings) // the store was restored from a backup that may lack these records
		}
		if leading, _ := n.peers.leadership(); !leading {
			continue
		}
		n.persistVerdicts(ctx, storedEndings)
	}
}

// persistVerdicts writes the quarantined requests that are not yet stored and removes those that were released, which a
// new system must not hold back again. storedEndings maps the stored requests to their endings; it is updated.
func (n *Node) persistVerdicts(ctx context.Context, storedEndings map[quarantine.Fingerprint]int) {
	now := n.clock.Now()
	verdicts := n.ledger.Verdicts(now)
	for f, v := range verdicts {
		if v.Quarantined(now) && storedEndings[f] < v.IndependentEndings && n.persistVerdict(ctx, f, v, now) {
			storedEndings[f] = v.IndependentEndings
		}
	}
	for f := range storedEndings {
		if !verdicts[f].Quarantined(now) && n.removePersisted(ctx, f) {
			delete(storedEndings, f)
		}
	}
}

// removePersisted removes a request from the store and reports whether it succeeded.
func (n *Node) removePersisted(ctx context.Context, f quarantine.Fingerprint) bool {
	ctx, cancel := context.WithTimeout(ctx, n.policy.StoreTimeout)
	defer cancel()
	if _, err := n.ports.Store.Append(ctx, source.Quarantine, f.String(), nil); err != nil {
		n.Count("quarantine.keep-failed")
		return false
	}
	n.Count("quarantine.removed")
	return true
}

// persistVerdict writes a quarantined request to the store and reports whether it succeeded.
func (n *Node) persistVerdict(ctx context.Context, f quarantine.Fingerprint, v quarantine.Verdict, now time.Time) bool {
	var list []persistedEnding
	for _, e := range v.Evidence {
		list = append(list, persistedEnding{Instance: e.Instance, UnixMS: n.clock.Now().Add(-now.Sub(e.At)).UnixMilli(), Apart: len(e.Apart) > 0})
	}
	value, err := json.Marshal(list)
	if err != nil {
		n.log.WithError(err).Error("failed to encode quarantine record")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, n.policy.StoreTimeout)
	defer cancel()
	if _, err = n.ports.Store.Append(ctx, source.Quarantine, f.String(), value); err != nil {
		n.Count("quarantine.keep-failed")
		return false
	}
	n.Count("quarantine.kept")
	return true
}

// awaitLedger waits for the first answer of a leader, if one is to be expected, and reports whether it has arrived. It
// brings the leader's ledger.
func (n *Node) awaitLedger(ctx context.Context) bool {
	for n.awaitsLeader(n.clock.Now()) && n.sleep(ctx, n.feedPause()) {
	}
	return n.feed.isKnown()
}

// awaitsLeader reports whether the first answer of a leader is about to come. A system that starts for the first time has no
// ledger yet, so that only its standbys look for one.
func (n *Node) awaitsLeader(now time.Time) bool {
	return n.awaitsFirstAnswer(now) || n.awaitsFirstFeed(now) && !n.feed.isKnown()
}

// restoreQuarantine reads the stored quarantine, with backoff, and merges it into the ledger.
func (n *Node) restoreQuarantine(ctx context.Context) {
	pause := n.policy.StoreRetry
	for range maxRestoreAttempts {
		tail, err := n.readTail(ctx, source.Quarantine, -1, 0)
		if err == nil {
			n.mergePersisted(tail.Items)
			return
		}
		if !n.sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, n.policy.StoreRetryMax)
	}
	n.log.Warn("failed to read quarantine from the store")
}

// mergePersisted merges stored records into the ledger. It skips records that it cannot decode.
func (n *Node) mergePersisted(items []source.Item) {
	now := n.clock.Now()
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		var f quarantine.Fingerprint
		var list []persistedEnding
		if err := errors.Join(f.UnmarshalText([]byte(item.Key)), json.Unmarshal(item.Value, &list)); err != nil {
			n.Count("quarantine.unreadable")
			n.log.WithError(err).WithField("key", item.Key).Warn("failed to decode stored quarantine record")
			continue
		}
		var d quarantine.Delta
		for _, k := range list {
			age := max(now.Sub(time.UnixMilli(k.UnixMS)), 0)
			e := quarantine.Ending{Instance: k.Instance, At: now.Add(-age), Requests: []quarantine.Fingerprint{f}}
			if k.Apart {
				e.Apart = e.Requests
			}
			d.Endings = append(d.Endings, e)
		}
		n.ledger.Merge(d, quarantine.StoreSource)
	}
}

// logQuarantine logs each request whose quarantine began, was extended or ended since the last call.
// quarantinedUntil maps the quarantined requests to the ends of their quarantine. logQuarantine updates
// it.
func (n *Node) logQuarantine(quarantinedUntil map[quarantine.Fingerprint]time.Time) {
	now := n.clock.Now()
	verdicts := n.ledger.Verdicts(now)
	for f, v := range verdicts {
		if until, known := quarantinedUntil[f]; !v.Quarantined(now) || known && until.Equal(v.Until) {
			continue
		}
		quarantinedUntil[f] = v.Until
		n.Count("quarantine.held")
		n.log.WithFields(log.Fields{
			"fingerprint": f, "part": f.IsPart(), "joint": v.Joint, "endings": v.IndependentEndings, "instances": v.Instances(), "hold_ms": v.Until.Sub(now).Milliseconds(),
			"last_ms": now.Sub(v.Evidence[len(v.Evidence)-1].At).Milliseconds(),
		}).Warn("request quarantined")
	}
	for f, until := range quarantinedUntil {
		if !verdicts[f].Quarantined(now) {
			delete(quarantinedUntil, f)
			n.log.WithFields(log.Fields{"fingerprint": f, "expired": !until.After(now)}).Info("request released")
		}
	}
}

// quarantineState is a quarantined request in the response to an operator.
type quarantineState struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	Endings     int                    `json:"endings"`
	Instances   []string               `json:"instances"`
	HoldMS      int64                  `json:"hold_ms"`
}

// serveQuarantine lists the quarantined requests.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := n.clock.Now()
	list := []quarantineState{}
	for f, v := range n.ledger.Verdicts(now) {
		if !v.Quarantined(now) {
			continue
		}
		q := quarantineState{Fingerprint: f, Endings: v.IndependentEndings, HoldMS: v.Until.Sub(now).Milliseconds()}
		for _, id := range v.Instances() {
			q.Instances = append(q.Instances, string(id))
		}
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b quarantineState) int { return strings.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.log.WithError(err).Info("failed to write quarantine response")
	}
}

// serveRelease releases the request with the given fingerprint from quarantine, on all nodes.
func (n *Node) serveRelease(w http.ResponseWriter, r *http.Request) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(r.PathValue("fingerprint"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.ledger.Clear(f, n.clock.Now())
	n.Count("quarantine.cleared")
	n.log.WithField("fingerprint", f).Info("request cleared by an operator")
	n.requestStatusReport()
	w.WriteHeader(http.StatusNoContent)
}
