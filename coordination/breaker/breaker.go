// Package breaker holds circuit breakers for instances that send invalid responses: bytes that are no response, or a
// response that never ends. Such an instance answers probes and accepts requests, so that nothing else keeps requests
// away from it.
package breaker

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

// Policy configures the breakers of a node.
type Policy struct {
	// Failures is the number of invalid responses in a row, without a valid one, that open a breaker.
	Failures int `flag:"failures" help:"invalid responses of an instance in a row after which it gets no requests but trials" min:"1" max:"1000"`
	// FailureTTL is how long an invalid response counts.
	FailureTTL time.Duration `flag:"failure-for" help:"how long an invalid response counts" min:"100ms" max:"10m"`
	// TrialInterval is the time from the opening of a breaker to the first trial: a request that is sent all the same. It
	// doubles with each trial that fails, up to MaxTrialInterval.
	TrialInterval    time.Duration `flag:"trial-interval" help:"time until an instance with invalid responses gets the first trial request" min:"10ms" max:"10m"`
	MaxTrialInterval time.Duration `flag:"trial-interval-max" help:"longest time between two trial requests to an instance with invalid responses" min:"10ms" max:"1h"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{Failures: 3, FailureTTL: 10 * time.Second, TrialInterval: time.Second, MaxTrialInterval: 16 * time.Second}
}

// breaker is the state of one incarnation that has sent an invalid response and no valid one since.
type breaker struct {
	failures      int
	lastFailureAt time.Time
	// openedAt is when the breaker opened; zero if it is closed.
	openedAt time.Time
	// interval is the time between two trials, trialAt when the next one is due.
	interval time.Duration
	trialAt  time.Time
	// trialSentAt is when the current trial was sent; zero if there is none.
	trialSentAt time.Time
	// suspectUntil is the time until which a response is checked that is probably invalid.
	suspectUntil time.Time
}

// isOpen reports whether the breaker is open.
func (b *breaker) isOpen() bool { return !b.openedAt.IsZero() }

// Set holds the breakers of a node, and the incarnations that are open at other nodes. It is safe for concurrent use.
type Set struct {
	policy Policy
	// isEmpty is set while there are neither breakers nor relayed incarnations, so that a request takes no lock.
	isEmpty atomic.Bool

	mu       sync.Mutex
	breakers map[fleet.Incarnation]*breaker
	// relayed are the incarnations that are open at other nodes, until relayedUntil.
	relayed      map[fleet.Incarnation]struct{}
	relayedUntil time.Time
}

// NewSet returns a Set whose breakers are all closed.
func NewSet(p Policy) *Set {
	s := &Set{policy: p, breakers: map[fleet.Incarnation]*breaker{}}
	s.isEmpty.Store(true)
	return s
}

// updateEmpty updates isEmpty. s.mu must be held.
func (s *Set) updateEmpty() { s.isEmpty.Store(len(s.breakers) == 0 && len(s.relayed) == 0) }

// breaker returns the breaker of an incarnation, and adds it if there is none. s.mu must be held.
func (s *Set) breaker(in fleet.Incarnation) *breaker {
	b := s.breakers[in]
	if b == nil {
		b = &breaker{}
		s.breakers[in] = b
	}
	return b
}

// RecordInvalid records an invalid response to a request that was sent at sentAt. It reports whether that opened the breaker.
func (s *Set) RecordInvalid(in fleet.Incarnation, sentAt, now time.Time) (opened bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateEmpty()
	b := s.breaker(in)
	if b.isOpen() {
		b.trialFailed(sentAt, now, &s.policy)
		return false
	}
	if now.Sub(b.lastFailureAt) > s.policy.FailureTTL {
		b.failures = 0
	}
	b.failures++
	b.lastFailureAt = now
	if b.failures < s.policy.Failures {
		return false
	}
	b.openedAt, b.interval = now, s.policy.TrialInterval
	b.trialAt = now.Add(b.interval)
	return true
}

// Suspect records that a response is probably invalid, which is known at a time. The instance gets no requests until then.
func (s *Set) Suspect(in fleet.Incarnation, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateEmpty()
	s.breaker(in).suspectUntil = until
}

// trialFailed records an invalid response while the breaker is open. One to a request from before the trial says nothing new.
func (b *breaker) trialFailed(sentAt, now time.Time, p *Policy) {
	if b.trialSentAt.IsZero() || sentAt.Before(b.trialSentAt) {
		return
	}
	b.trialSentAt = time.Time{}
	b.interval = min(2*b.interval, p.MaxTrialInterval)
	b.trialAt = now.Add(b.interval)
}

// RecordValid records a valid response to a request that was sent at sentAt. It reports whether that closed the breaker. A
// response to a request from before the breaker opened does not close it: the instance may have begun it while it was well.
func (s *Set) RecordValid(in fleet.Incarnation, sentAt time.Time) (closed bool) {
	if s.isEmpty.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[in]
	if b == nil || b.isOpen() && sentAt.Before(b.openedAt) {
		return false
	}
	closed = b.isOpen()
	delete(s.breakers, in)
	s.updateEmpty()
	return closed
}

// HasOpen reports whether any breaker may be open, here or at other nodes.
func (s *Set) HasOpen() bool { return !s.isEmpty.Load() }

// IsOpen reports whether the breaker of an incarnation is open, here or at other nodes.
func (s *Set) IsOpen(in fleet.Incarnation, now time.Time) bool {
	if s.isEmpty.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.breakers[in]; b != nil && (b.isOpen() || now.Before(b.suspectUntil)) {
		return true
	}
	_, isRelayed := s.relayed[in]
	return isRelayed && now.Before(s.relayedUntil)
}

// TryTrial reports whether a trial is due, and records that it is sent. Nodes that know of an open breaker only from others
// make none. A request that cannot be repeated is a trial only if no other one has been for a further interval.
func (s *Set) TryTrial(in fleet.Incarnation, isRepeatable bool, now time.Time) bool {
	if s.isEmpty.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breakers[in]
	if b == nil || !b.isOpen() {
		return false
	}
	due := b.trialAt
	if !isRepeatable {
		due = due.Add(b.interval)
	}
	if now.Before(due) {
		return false
	}
	b.trialAt, b.trialSentAt = now.Add(b.interval), now
	return true
}

// Open returns the incarnations whose breakers are open by the responses to this node, in order.
func (s *Set) Open() []fleet.Incarnation {
	if s.isEmpty.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []fleet.Incarnation
	for in, b := range s.breakers {
		if b.isOpen() {
			list = append(list, in)
		}
	}
	slices.SortFunc(list, compare)
	return list
}

// compare orders incarnations.
func compare(a, b fleet.Incarnation) int {
	if c := strings.Compare(string(a.ID), string(b.ID)); c != 0 {
		return c
	}
	return strings.Compare(a.Life, b.Life)
}

// SetRelayed replaces the incarnations that are open at other nodes, which count until a time.
func (s *Set) SetRelayed(list []fleet.Incarnation, until time.Time) {
	if len(list) == 0 && s.isEmpty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed = make(map[fleet.Incarnation]struct{}, len(list))
	for _, in := range list {
		s.relayed[in] = struct{}{}
	}
	s.relayedUntil = until
	s.updateEmpty()
}

// Sweep removes the breakers of incarnations that are gone, and those whose last invalid response no longer counts.
func (s *Set) Sweep(now time.Time, isKnown func(fleet.Incarnation) bool) {
	if s.isEmpty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for in, b := range s.breakers {
		if !isKnown(in) || !b.isOpen() && now.Sub(b.lastFailureAt) > s.policy.FailureTTL && !now.Before(b.suspectUntil) {
			delete(s.breakers, in)
		}
	}
	if !now.Before(s.relayedUntil) {
		s.relayed = nil
	}
	s.updateEmpty()
}

// Common returns the incarnations that at least a number of lists name, in order, and at most limit of them. One node alone
// may be at fault itself.
func Common(lists [][]fleet.Incarnation, atLeast, limit int) []fleet.Incarnation {
	named := map[fleet.Incarnation]int{}
	for _, list := range lists {
		for _, in := range list {
			named[in]++
		}
	}
	var common []fleet.Incarnation
	for in, n := range named {
		if n >= atLeast {
			common = append(common, in)
		}
	}
	slices.SortFunc(common, compare)
	return common[:min(len(common), limit)]
}
