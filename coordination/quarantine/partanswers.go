package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// partAnswers holds which parts of prompts recently got complete responses at this node. A popular part is in progress on
// every instance that ends, whatever the cause; only its responses tell that it is sound.
type partAnswers struct {
	last *lru.Cache[Fingerprint, time.Time]
	// responses counts the responses with parts.
	responses atomic.Int64

	mu sync.Mutex
	// suspects are the parts that other nodes may suspect, with the time of their last ending.
	suspects map[Fingerprint]time.Time
}

// record records a response to a request with the given parts. It returns those that other nodes may suspect.
func (a *partAnswers) record(parts []Fingerprint, now time.Time) []Fingerprint {
	if len(parts) == 0 {
		return nil
	}
	a.responses.Add(1)
	for _, part := range parts {
		a.last.Add(part, now)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var suspects []Fingerprint
	for _, part := range parts {
		if endedAt, suspected := a.suspects[part]; suspected && now.After(endedAt) {
			delete(a.suspects, part)
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// setSuspects replaces the parts that other nodes may suspect.
func (a *partAnswers) setSuspects(suspects map[Fingerprint]time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspects = suspects
}

// addTo adds the last responses at this node to the times at which parts were cleared.
func (a *partAnswers) addTo(cleared map[Fingerprint]time.Time) {
	for _, part := range a.last.Keys() {
		if at, known := a.last.Peek(part); known {
			setIfLater(cleared, part, at)
		}
	}
}

// shareAnswers clears, for all nodes, the parts that got complete responses here and that others may suspect. cleared
// holds what all nodes know, and is updated. l.mu is held.
func (l *Ledger) shareAnswers(endings []Ending, cleared map[Fingerprint]time.Time) {
	type count struct {
		instances map[endingKey]bool
		last      time.Time
	}
	counts := map[Fingerprint]*count{}
	for i := range endings {
		e := &endings[i]
		for _, f := range e.Requests {
			if !f.IsPart() || e.isFalse() || !e.At.After(cleared[f]) {
				continue
			}
			c := counts[f]
			if c == nil {
				c = &count{instances: map[endingKey]bool{}}
				counts[f] = c
			}
			c.instances[e.key()] = true
			if e.At.After(c.last) {
				c.last = e.At
			}
		}
	}
	suspects := map[Fingerprint]time.Time{}
	for f, c := range counts {
		if len(c.instances) < max(l.policy.Endings-1, 1) {
			continue
		}
		if at, known := l.partAnswers.last.Peek(f); known && at.After(c.last) {
			l.clearAt(f, at)
			setIfLater(cleared, f, at)
			continue
		}
		suspects[f] = c.last
	}
	l.partAnswers.setSuspects(suspects)
}

const (
	// minResponses is the number of responses with parts from which on a node knows the popular parts: the first part
	// of a rare kind of request is in one of 20.
	minResponses = 100
	// clearingDelay is the time in which a response that clears a part becomes known to all nodes: two status reports.
	clearingDelay = 600 * time.Millisecond
)

// delayUnsurePartVerdicts delays the quarantine of parts that this node may wrongly suspect, until other nodes could clear
// them: those that got responses here before the endings, and all parts while the node has seen few responses.
func (l *Ledger) delayUnsurePartVerdicts(verdicts map[Fingerprint]Verdict) {
	isNew := l.partAnswers.responses.Load() < minResponses
	for f, v := range verdicts {
		if !f.IsPart() || v.Until.IsZero() {
			continue
		}
		if _, answered := l.partAnswers.last.Peek(f); isNew || answered {
			v.From = v.Evidence[l.policy.PartEndings-1].At.Add(clearingDelay)
			verdicts[f] = v
		}
	}
}

// VerdictOn returns the verdict by which a request is held back: the one on the request itself, or on a part of its prompt.
// It returns the one on the request if there is none.
func (l *Ledger) VerdictOn(r Request, now time.Time) Verdict {
	verdicts := l.Verdicts(now)
	own := verdicts[r.Fingerprint]
	if own.Quarantined(now) {
		return own
	}
	if held := heldParts(verdicts, r, now); len(held) > 0 {
		return verdicts[held[0]]
	}
	return own
}

// IsSuspected reports whether the next ending would quarantine a request or a part of its prompt.
func (l *Ledger) IsSuspected(r Request, now time.Time) bool {
	verdicts := l.Verdicts(now)
	if verdicts[r.Fingerprint].IndependentEndings >= l.policy.Endings-1 {
		return true
	}
	for _, part := range r.Parts {
		if verdicts[part].IndependentEndings >= l.policy.PartEndings-1 {
			return true
		}
	}
	return false
}
