package quarantine

import "time"

const (
	// trialDelay is how long a part of prompts is held back before a request with it is let through again, and how long
	// after one that ended an instance the next one is.
	trialDelay = time.Second
	// settledTrialDelay replaces trialDelay while nothing tells that a sound part is held back.
	settledTrialDelay = 30 * time.Second
	// commonShare is the share of the requests with parts from which on sound ones may be among those held back,
	// minAdmissions the number of requests from which on the share is known.
	commonShare, minAdmissions = 0.4, 20
	// maxAdmissions is the number of requests with parts after which their counts are halved.
	maxAdmissions = 60
	// trialTimeout is the time in which a request that was let through gets its response, or is interrupted.
	trialTimeout = 3 * time.Second
	// trialPatience is the time for which a trial waits for a request with only one held part: one with several may end
	// its instance because of another part.
	trialPatience = 500 * time.Millisecond
	// maxTrialEndings is the number of requests let through that end instances after which a part is not tried again,
	// maxTrials that of requests let through in all.
	maxTrialEndings, maxTrials = 2, 6
)

// trials lets requests with held parts through, one at a time, to learn whether the parts are sound. A sound part that
// all instances ran when they ended gets no response while it is held, and would be held as long as a deadly one.
type trials struct {
	parts map[Fingerprint]*trial
	// current holds the parts of the request that was let through last, at startedAt, until its outcome is known or it times
	// out.
	current   []Fingerprint
	startedAt time.Time
	// next is when the next request may be let through.
	next time.Time
	// admissions counts the recent requests with parts at this node, held those of them with held parts.
	admissions, held int
	// answeredAt is when a request with parts last got a complete response at this node.
	answeredAt time.Time
}

// trial is what is known of the trials of one part.
type trial struct {
	// since is when the part was held back, or when a request with it that was let through ended an instance.
	since time.Time
	// sent counts the requests let through, interrupted those that were interrupted.
	sent, interrupted int
}

// Admission is the decision about a request that has arrived.
type Admission struct {
	// Held is set if the request is held back, by Verdict.
	Held    bool
	Verdict Verdict
	// IsTrial is set if it has held parts but is let through.
	IsTrial bool
}

// Admit decides about a request that has arrived at this node. If isTrialNode is set, one that is held back because of
// parts of its prompt may be let through.
func (l *Ledger) Admit(r Request, isTrialNode bool, now time.Time) Admission {
	verdicts := l.Verdicts(now)
	if own := verdicts[r.Fingerprint]; own.Quarantined(now) {
		return Admission{Held: true, Verdict: own}
	}
	held := heldParts(verdicts, r, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trials.count(r, held)
	if len(held) == 0 {
		return Admission{}
	}
	if isTrialNode && l.trials.begin(held, verdicts, now) {
		return Admission{IsTrial: true}
	}
	return Admission{Held: true, Verdict: verdicts[held[0]]}
}

// recordAnswered records that a request with parts got a complete response.
func (l *Ledger) recordAnswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.trials.answeredAt) {
		l.trials.answeredAt = now
	}
}

// count counts a request.
func (t *trials) count(r Request, held []Fingerprint) {
	if len(r.Parts) == 0 {
		return
	}
	t.admissions++
	if len(held) > 0 {
		t.held++
	}
	if t.admissions >= maxAdmissions {
		t.admissions, t.held = t.admissions/2, t.held/2
	}
}

// delay returns how long a part is held back before the next request with it is let through. A sound part may be held back
// if many requests are, and either several parts are suspected of the endings or no request gets a response.
func (t *trials) delay(verdicts map[Fingerprint]Verdict, now time.Time) time.Duration {
	isCommon := t.admissions >= minAdmissions && float64(t.held) >= commonShare*float64(t.admissions)
	if isCommon && (now.Sub(t.answeredAt) > trialDelay || countHeldParts(verdicts, now) > 1) {
		return trialDelay
	}
	return settledTrialDelay
}

// countHeldParts returns the number of parts that are held back.
func countHeldParts(verdicts map[Fingerprint]Verdict, now time.Time) int {
	n := 0
	for f, v := range verdicts {
		if f.IsPart() && v.Quarantined(now) {
			n++
		}
	}
	return n
}

// begin reports whether to let a request with the given held parts through, and records that it is.
func (t *trials) begin(held []Fingerprint, verdicts map[Fingerprint]Verdict, now time.Time) bool {
	if now.Before(t.next) {
		return false
	}
	wait := t.delay(verdicts, now) + time.Duration(len(held)-1)*trialPatience
	for _, part := range held {
		p := t.of(part, verdicts[part])
		if p.interrupted >= maxTrialEndings || p.sent >= maxTrials || now.Sub(p.since) < wait {
			return false
		}
	}
	for _, part := range held {
		t.parts[part].sent++
	}
	t.current, t.startedAt, t.next = held, now, now.Add(trialTimeout)
	return true
}

// of returns the trial of a held part, and adds it if there is none.
func (t *trials) of(part Fingerprint, v Verdict) *trial {
	p := t.parts[part]
	if p == nil {
		p = &trial{since: v.inForceSince()}
		t.parts[part] = p
	}
	return p
}

// recordInterruption records that an attempt of a request with the given parts, sent at began, was interrupted.
func (t *trials) recordInterruption(parts []Fingerprint, began, now time.Time) {
	if len(t.current) == 0 || began.Before(t.startedAt) || !containsAll(parts, t.current) {
		return
	}
	for _, part := range t.current {
		if p := t.parts[part]; p != nil {
			p.interrupted++
			p.since = now
		}
	}
	t.current, t.next = nil, now
}

// keep removes the trials of the parts that are no longer held back.
func (t *trials) keep(verdicts map[Fingerprint]Verdict) {
	for part := range t.parts {
		if !verdicts[part].Until.IsZero() {
			continue
		}
		delete(t.parts, part)
		if len(t.current) > 0 && t.current[0] == part {
			t.current, t.next = nil, time.Time{}
		}
	}
}

// inForceSince returns the time since which a request or part is held back.
func (v Verdict) inForceSince() time.Time {
	if v.From.IsZero() {
		return v.lastEnding()
	}
	return v.From
}

// heldParts returns the parts because of which a request is held back.
func heldParts(verdicts map[Fingerprint]Verdict, r Request, now time.Time) []Fingerprint {
	var held []Fingerprint
	for _, part := range r.Parts {
		if v := verdicts[part]; v.Quarantined(now) && containsAll(r.Parts, v.Joint) {
			held = append(held, part)
		}
	}
	return held
}
