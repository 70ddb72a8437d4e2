package quarantine

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/troutmast/troutmast/state/fleet"
)

// Ledger records which instances ended during which requests, as observed by this node and reported
// by others. It is safe for concurrent use.
//
// An interrupted request counts only once it is proven that its instance ended: a network
// partition, a connection reset or a stall alone is no proof. Ledgers merge like sets, so that
// neither the order nor the number of exchanges matters.
type Ledger struct {
	policy Policy

	mu      sync.Mutex
	pending map[fleet.Incarnation]*suspicion
	endings map[endingKey]*endingRecord
	cleared map[Fingerprint]map[Source]*clearing
	// own identifies this node as the source of its observations and clearings.
	own Source
	// lastAnswers caches the time of the last complete response of this node to recent requests. An
	// ending is often reported only after later responses. Without this cache up to 19 attempts of
	// the most popular request were quarantined in 4 scenarios of
	// TestRandomHistoriesQuarantineDeadlyRequest.
	lastAnswers *lru.Cache[Fingerprint, time.Time]
	// partAnswers is what this node knows of parts of prompts that got complete responses.
	partAnswers partAnswers
	// unconfirmed holds the responses of instances that may have ended during them.
	unconfirmed unconfirmedResponses
	// trials is the state of letting requests with held parts through.
	trials trials
	// version counts the changes of endings and cleared.
	version uint64
	// dirty is set if endings or cleared have changed since the verdicts were computed, at
	// evaluatedAt.
	dirty       bool
	evaluatedAt time.Time

	verdicts atomic.Pointer[map[Fingerprint]Verdict]
}

// clearing holds when a request last got a complete response at one node, after instances had ended
// during it. The node numbers its clearings: nodes exchange ages, which omit the delay of the
// message, so that the times alone would shift with each exchange.
type clearing struct {
	number uint64
	at     time.Time
	change
}

// change is the ledger version at which an entry last changed, and the source of the change.
type change struct {
	version uint64
	from    Source
}

// maxSource bounds the random numbers that identify nodes. They take few digits in each message,
// and a collision among some hundred nodes is unlikely.
const maxSource = 1 << 40

// NewLedger returns an empty Ledger.
func NewLedger(p Policy) *Ledger {
	l := &Ledger{
		policy:      p,
		pending:     map[fleet.Incarnation]*suspicion{},
		endings:     map[endingKey]*endingRecord{},
		cleared:     map[Fingerprint]map[Source]*clearing{},
		unconfirmed: unconfirmedResponses{byInstance: map[fleet.Incarnation][]unconfirmed{}},
		trials:      trials{parts: map[Fingerprint]*trial{}},
		own:         Source(1 + rand.Int64N(maxSource)),
	}
	l.verdicts.Store(&map[Fingerprint]Verdict{})
	l.lastAnswers = newAnswerCache(p.MaxAnswers)
	l.partAnswers.last = newAnswerCache(p.MaxAnswers)
	return l
}

// newAnswerCache returns a cache of at least one response.
func newAnswerCache(size int) *lru.Cache[Fingerprint, time.Time] {
	c, err := lru.New[Fingerprint, time.Time](max(size, 1))
	if err != nil {
		panic(err) // unreachable: lru.New fails only for a size below one
	}
	return c
}

// Verdict returns the conclusion about a request.
func (l *Ledger) Verdict(f Fingerprint, now time.Time) Verdict {
	l.refreshVerdicts(now)
	return (*l.verdicts.Load())[f]
}

// Verdicts returns the conclusions about all requests that are quarantined, or may be after one
// more ending. The map must not be modified.
func (l *Ledger) Verdicts(now time.Time) map[Fingerprint]Verdict {
	l.refreshVerdicts(now)
	return *l.verdicts.Load()
}

// clearFromCache clears a request with a newly known ending as of its last complete response at
// this node. l.mu is held.
func (l *Ledger) clearFromCache(f Fingerprint) {
	if at, known := l.lastAnswers.Peek(f); known {
		l.clearAt(f, at)
	}
}

// markChanged marks a change that other nodes need to receive. l.mu is held.
func (l *Ledger) markChanged(c *change, from Source) {
	l.version++
	*c = change{version: l.version, from: from}
	l.dirty = true
}

// latestEpisode returns the last known ending of an incarnation, or nil. l.mu is held.
func (l *Ledger) latestEpisode(in fleet.Incarnation) *endingRecord {
	var last *endingRecord
	for number := 0; ; number++ {
		r := l.endings[endingKey{in, number}]
		if r == nil {
			return last
		}
		last = r
	}
}

// RecordComplete records a complete response to a request. It clears the request, and the parts of its prompt, if the
// next ending would quarantine them. It reports whether other nodes must know of that.
func (l *Ledger) RecordComplete(r Request, now time.Time) (cleared bool) {
	l.lastAnswers.Add(r.Fingerprint, now)
	if l.Verdict(r.Fingerprint, now).IndependentEndings >= max(l.policy.Endings-1, 1) {
		l.Clear(r.Fingerprint, now)
		cleared = true
	}
	for _, part := range l.partAnswers.record(r.Parts, now) {
		l.Clear(part, now)
		cleared = true
	}
	if len(r.Parts) > 0 {
		l.recordAnswered(now)
	}
	return cleared
}

// Clear discards the endings before now as evidence against a request.
func (l *Ledger) Clear(f Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clearAt(f, now)
}

// clearAt records a complete response at this node, unless one was recorded within the spacing
// before. l.mu is held.
func (l *Ledger) clearAt(f Fingerprint, now time.Time) {
	number := uint64(1)
	if f.IsPart() {
		number = l.version + 1 // an earlier clearing may have been replaced by another node's
	}
	if c := l.cleared[f][l.own]; c != nil {
		if now.Sub(c.at) < l.policy.Spacing {
			return
		}
		number = max(number, c.number+1)
	}
	l.mergeCleared(Clearing{Request: f, By: l.own, Number: number, At: now}, self)
}

// refreshVerdicts recomputes the verdicts if endings have changed or the verdicts are old, and
// removes expired entries.
func (l *Ledger) refreshVerdicts(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := now.Sub(l.evaluatedAt)
	if !l.dirty && since < l.policy.Hold/refreshDivisor || since < l.policy.EvaluationInterval {
		return
	}
	l.removeExpired(now)
	var endings []Ending
	for _, r := range l.endings {
		endings = r.appendTo(endings, nil)
	}
	cleared := make(map[Fingerprint]time.Time, len(l.cleared))
	for f, by := range l.cleared {
		for _, c := range by {
			setIfLater(cleared, f, c.at)
		}
	}
	l.shareAnswers(endings, cleared)
	l.partAnswers.addTo(cleared)
	verdicts := evaluate(endings, cleared, &l.policy)
	l.delayUnsurePartVerdicts(verdicts)
	l.keepPartVerdicts(verdicts, endings, cleared, now)
	l.trials.keep(verdicts)
	l.verdicts.Store(&verdicts)
	l.dirty, l.evaluatedAt = false, now
}

// setIfLater sets the time of a request to at if that is later.
func setIfLater(times map[Fingerprint]time.Time, f Fingerprint, at time.Time) {
	if at.After(times[f]) {
		times[f] = at
	}
}

// refreshDivisor divides Policy.Hold into the age at which verdicts are recomputed even if nothing
// has changed.
const refreshDivisor = 10

// removeExpired removes entries older than Policy.Retention. l.mu is held.
func (l *Ledger) removeExpired(now time.Time) {
	for key, r := range l.endings {
		if now.Sub(r.last()) > l.policy.Retention {
			delete(l.endings, key)
		}
	}
	for f, by := range l.cleared {
		for source, c := range by {
			if now.Sub(c.at) > l.policy.Retention {
				delete(by, source)
			}
		}
		if len(by) == 0 {
			delete(l.cleared, f)
		}
	}
}

// enforceLimits removes the oldest endings, and arbitrary clearings, beyond Policy.MaxEndings. Endings that hold a request
// back go last, or the loss of many instances releases it. l.mu is held.
func (l *Ledger) enforceLimits() {
	var isEvidence map[fleet.Incarnation]bool
	for len(l.endings) > l.policy.MaxEndings {
		if isEvidence == nil {
			isEvidence = l.evidenceInUse()
		}
		var oldest *endingRecord
		for _, r := range l.endings {
			if oldest == nil || isEvidence[oldest.instance] && !isEvidence[r.instance] ||
				isEvidence[oldest.instance] == isEvidence[r.instance] && r.last().Before(oldest.last()) {
				oldest = r
			}
		}
		delete(l.endings, oldest.key())
	}
	for len(l.cleared) > l.policy.MaxEndings {
		for f := range l.cleared {
			delete(l.cleared, f)
			break
		}
	}
}

// evidenceInUse returns the instances whose endings hold requests or parts back, by the last verdicts.
func (l *Ledger) evidenceInUse() map[fleet.Incarnation]bool {
	inUse := map[fleet.Incarnation]bool{}
	for _, v := range *l.verdicts.Load() {
		for _, e := range v.Evidence {
			inUse[e.Instance] = inUse[e.Instance] || !v.Until.IsZero()
		}
	}
	return inUse
}
