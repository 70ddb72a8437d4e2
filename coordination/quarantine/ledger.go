package quarantine

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/troutmast/troutmast/state/fleet"
)

// Ledger keeps which instances ended under which requests, as far as this node
// and those that it hears from know; safe for concurrent use.
//
// A request that broke off waits for proof that its instance ended: a cut, a
// reset or a stall alone is none. What nodes know joins as sets do, so that the
// order and number of exchanges don't matter.
type Ledger struct {
	policy Policy

	mu      sync.Mutex
	pending map[fleet.Incarnation]*doubt
	endings map[episode]*record
	cleared map[Fingerprint]map[Source]*clearing
	// own is the source under which other nodes know what this one has observed and cleared.
	own Source
	// answered holds the time of the last whole answer to recent requests at this node. An ending
	// is often reported only after later answers have come: without this cache up to 19 attempts of
	// the most popular request were held back in 4 shapes of TestDrawnHistoriesEndTheDeadlyRequest.
	answered *lru.Cache[Fingerprint, time.Time]
	// version counts the changes of endings and cleared.
	version uint64
	// dirty tells that the verdicts are older than the endings, judged when they were last made.
	dirty  bool
	judged time.Time

	verdicts atomic.Pointer[map[Fingerprint]Verdict]
}

// clearing is when a request last got a whole answer at one node after instances ended
// under it. That node numbers its clearings: nodes tell each other ages, in which the way of
// a message counts as well, so that times alone would move with each exchange.
type clearing struct {
	number uint64
	at     time.Time
	change
}

// change tells at which version of the ledger something last changed, and by whose word.
type change struct {
	version uint64
	from    Source
}

// maxSource bounds the numbers that nodes draw for themselves: few digits in each message, and no two
// nodes of some hundred with the same.
const maxSource = 1 << 40

// NewLedger returns an empty Ledger.
func NewLedger(p Policy) *Ledger {
	l := &Ledger{
		policy:  p,
		pending: map[fleet.Incarnation]*doubt{},
		endings: map[episode]*record{},
		cleared: map[Fingerprint]map[Source]*clearing{},
		own:     Source(1 + rand.Int64N(maxSource)),
	}
	l.verdicts.Store(&map[Fingerprint]Verdict{})
	l.answered = newAnswers(p.MaxAnswers)
	return l
}

// newAnswers returns a memory of a number of answers, one at least.
func newAnswers(size int) *lru.Cache[Fingerprint, time.Time] {
	c, err := lru.New[Fingerprint, time.Time](max(size, 1))
	if err != nil {
		panic(err) // only for a size below one
	}
	return c
}

// Verdict returns what is concluded about a request.
func (l *Ledger) Verdict(f Fingerprint, now time.Time) Verdict {
	l.judge(now)
	return (*l.verdicts.Load())[f]
}

// Verdicts returns what is concluded about all requests that instances ended
// under; the map must not be changed.
func (l *Ledger) Verdicts(now time.Time) map[Fingerprint]Verdict {
	l.judge(now)
	return *l.verdicts.Load()
}

// recall clears a request, of which an ending has become known, by its last whole answer here. l.mu is held.
func (l *Ledger) recall(f Fingerprint) {
	if at, known := l.answered.Peek(f); known {
		l.clearAt(f, at)
	}
}

// touch marks a change of what others need to know. l.mu is held.
func (l *Ledger) touch(c *change, from Source) {
	l.version++
	*c = change{version: l.version, from: from}
	l.dirty = true
}

// newest returns the last episode that is known of a life, or nil. l.mu is held.
func (l *Ledger) newest(in fleet.Incarnation) *record {
	var last *record
	for number := 0; ; number++ {
		r := l.endings[episode{in, number}]
		if r == nil {
			return last
		}
		last = r
	}
}

// Answered records that a request got a whole answer, which clears it if the next
// ending under it would have it held back.
func (l *Ledger) Answered(f Fingerprint, now time.Time) {
	l.answered.Add(f, now)
	if l.Verdict(f, now).Endings >= max(l.policy.Endings-1, 1) {
		l.Clear(f, now)
	}
}

// Clear has the endings so far no longer count against a request.
func (l *Ledger) Clear(f Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clearAt(f, now)
}

// clearAt records a whole answer here, unless one was recorded a moment before. l.mu is held.
func (l *Ledger) clearAt(f Fingerprint, now time.Time) {
	number := uint64(1)
	if c := l.cleared[f][l.own]; c != nil {
		if now.Sub(c.at) < l.policy.Spacing {
			return
		}
		number = c.number + 1
	}
	l.mergeCleared(Cleared{Request: f, By: l.own, Number: number, At: now}, self)
}

// judge makes the verdicts anew if endings have changed, and forgets what is old.
func (l *Ledger) judge(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := now.Sub(l.judged)
	if !l.dirty && since < l.policy.Hold/judgePart || since < l.policy.JudgeInterval {
		return
	}
	l.forget(now)
	var endings []Ending
	for _, r := range l.endings {
		endings = r.appendTo(endings, nil)
	}
	cleared := make(map[Fingerprint]time.Time, len(l.cleared))
	for f, by := range l.cleared {
		for _, c := range by {
			laterOf(cleared, f, c.at)
		}
	}
	verdicts := judge(endings, cleared, &l.policy)
	l.verdicts.Store(&verdicts)
	l.dirty, l.judged = false, now
}

// laterOf sets the time of a request to another one if that is later.
func laterOf(times map[Fingerprint]time.Time, f Fingerprint, at time.Time) {
	if at.After(times[f]) {
		times[f] = at
	}
}

// judgePart is the part of the holding time after which verdicts are made anew though nothing has changed.
const judgePart = 10

// forget drops what is older than the memory. l.mu is held.
func (l *Ledger) forget(now time.Time) {
	for key, r := range l.endings {
		if now.Sub(r.last()) > l.policy.Memory {
			delete(l.endings, key)
		}
	}
	for f, by := range l.cleared {
		for source, c := range by {
			if now.Sub(c.at) > l.policy.Memory {
				delete(by, source)
			}
		}
		if len(by) == 0 {
			delete(l.cleared, f)
		}
	}
}

// bound drops the oldest endings beyond the bound. l.mu is held.
func (l *Ledger) bound() {
	for len(l.endings) > l.policy.MaxEndings {
		var oldest episode
		var at time.Time
		for key, r := range l.endings {
			if last := r.last(); at.IsZero() || last.Before(at) {
				oldest, at = key, last
			}
		}
		delete(l.endings, oldest)
	}
	for len(l.cleared) > l.policy.MaxEndings {
		for f := range l.cleared {
			delete(l.cleared, f)
			break
		}
	}
}
