// Package buffering accounts for the bytes that a node holds for its callers: request bodies, and responses that the
// callers have not read yet. If the node would hold more than its bound, the request that holds the most loses: a
// reader is cut off, a request that is still being received is refused.
package buffering

import "sync"

// Reason is why a reader was cut off.
type Reason string

// The reasons.
const (
	// Stream means that the reader's own unread bytes stayed at their bound.
	Stream Reason = "stream"
	// Node means that the node held more than its bound, and this reader the most.
	Node Reason = "node"
	// Idle means that a write to the reader made no progress.
	Idle Reason = "idle"
)

// Cut describes a reader that is cut off.
type Cut struct {
	Reason Reason
	// Unread is the number of unread bytes that the reader held, NodeBytes what the node held in all, including them.
	Unread, NodeBytes int64
}

// Accounts holds the accounts of all requests of a node. It is safe for concurrent use.
type Accounts struct {
	policy Policy
	bound  int64

	mu    sync.Mutex
	total int64
	opens uint64
	// readers holds the accounts with unread bytes.
	readers map[*Account]struct{}
}

// NewAccounts returns the accounts of a node with a number of bytes of memory.
func NewAccounts(memory int64, p Policy) *Accounts {
	return &Accounts{policy: p, bound: int64(float64(memory) * p.MemoryFraction), readers: map[*Account]struct{}{}}
}

// Policy returns the policy.
func (s *Accounts) Policy() Policy { return s.policy }

// Bound returns the maximum number of bytes that the node holds.
func (s *Accounts) Bound() int64 { return s.bound }

// Bytes returns the number of bytes that the node holds.
func (s *Accounts) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Account counts the bytes that a node holds for one request. It is safe for concurrent use.
type Account struct {
	accounts *Accounts
	onCut    func(Cut)

	// The fields below are guarded by accounts.mu.
	seq     uint64
	request int64
	unread  int64
	cut     bool
	closed  bool
}

// Open returns the account of a request. onCut is called at most once, when the reader is cut off. It is called without a lock
// and possibly by a goroutine of another request.
func (s *Accounts) Open(onCut func(Cut)) *Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opens++
	return &Account{accounts: s, onCut: onCut, seq: s.opens}
}

// TryAddRequest counts n bytes of the request's body. It reports false, without counting them, if the request must be refused:
// the node is at its bound and no reader holds more than this request.
func (a *Account) TryAddRequest(n int64) bool {
	s := a.accounts
	s.mu.Lock()
	var victim *Account
	var cut Cut
	if s.total+n > s.bound {
		victim = s.largestReader()
		if victim == nil || victim.unread <= a.request+n || s.total-victim.unread+n > s.bound {
			s.mu.Unlock()
			return false
		}
		cut = s.cutOff(victim, Node)
	}
	a.request += n
	s.total += n
	s.mu.Unlock()
	if victim != nil {
		victim.onCut(cut)
	}
	return true
}

// ReleaseRequest ends the count of the request's body.
func (a *Account) ReleaseRequest() {
	s := a.accounts
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total -= a.request
	a.request = 0
}

// AddUnread counts n bytes of the response. If the node then holds more than its bound, readers are cut off, those that hold
// the most first. AddUnread reports false if this reader is cut off.
func (a *Account) AddUnread(n int64) bool {
	s := a.accounts
	s.mu.Lock()
	if a.cut || a.closed {
		s.mu.Unlock()
		return false
	}
	a.unread += n
	s.total += n
	s.readers[a] = struct{}{}
	var victims []*Account
	var cuts []Cut
	for s.total > s.bound && len(s.readers) > 0 {
		victim := s.largestReader()
		victims = append(victims, victim)
		cuts = append(cuts, s.cutOff(victim, Node))
	}
	isServed := !a.cut
	s.mu.Unlock()
	for i, victim := range victims {
		victim.onCut(cuts[i])
	}
	return isServed
}

// ReleaseUnread ends the count of n bytes of the response. It has no effect once the reader is cut off.
func (a *Account) ReleaseUnread(n int64) {
	s := a.accounts
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseUnread(a, n)
}

// IsFull reports whether the unread bytes of the response have reached their bound.
func (a *Account) IsFull() bool {
	s := a.accounts
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.isFull()
}

// isFull is IsFull for a caller that holds mu.
func (a *Account) isFull() bool { return a.unread >= int64(a.accounts.policy.StreamBytes) }

// CutFull cuts the reader off if its unread bytes are still at their bound.
func (a *Account) CutFull() { a.cutIf(Stream, a.isFull) }

// CutIdle cuts the reader off because a write to it made no progress.
func (a *Account) CutIdle() { a.cutIf(Idle, func() bool { return true }) }

// cutIf cuts the reader off if a condition holds and it is not cut off already. The condition is evaluated under the lock.
func (a *Account) cutIf(r Reason, holds func() bool) {
	s := a.accounts
	s.mu.Lock()
	if a.cut || a.closed || !holds() {
		s.mu.Unlock()
		return
	}
	cut := s.cutOff(a, r)
	s.mu.Unlock()
	a.onCut(cut)
}

// Close ends the count of all bytes of the request. No bytes are counted afterwards.
func (a *Account) Close() {
	s := a.accounts
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseUnread(a, a.unread)
	s.total -= a.request
	a.request = 0
	a.closed = true
}

// largestReader returns the account with the most unread bytes, the oldest of several, or nil if there is none. The caller holds mu.
func (s *Accounts) largestReader() *Account {
	var largest *Account
	for a := range s.readers {
		if largest == nil || a.unread > largest.unread || a.unread == largest.unread && a.seq < largest.seq {
			largest = a
		}
	}
	return largest
}

// cutOff marks an account as cut off and ends the count of its unread bytes. The caller holds mu.
func (s *Accounts) cutOff(a *Account, r Reason) Cut {
	cut := Cut{Reason: r, Unread: a.unread, NodeBytes: s.total}
	a.cut = true
	s.releaseUnread(a, a.unread)
	return cut
}

// releaseUnread ends the count of n unread bytes of an account. The caller holds mu.
func (s *Accounts) releaseUnread(a *Account, n int64) {
	n = min(n, a.unread)
	a.unread -= n
	s.total -= n
	if a.unread == 0 {
		delete(s.readers, a)
	}
}
