// Package forwarding chooses the nodes that serve requests for a node which does not reach the
// instances itself, and bounds the requests that move, at the sender and at the receiver.
package forwarding

import (
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
)

// Errors of AcquirePeer.
var (
	// ErrNoPeer means that no node is known that can serve the request.
	ErrNoPeer = errors.New("forwarding: no other node can serve the request")
	// ErrLimit means that as many requests are forwarded as the limit allows.
	ErrLimit = errors.New("forwarding: limit of forwarded requests reached")
)

// Policy configures the forwarding of requests.
type Policy struct {
	// MaxSent is the maximum number of requests that a node forwards at a time, MaxReceived the
	// maximum number that it serves for other nodes.
	MaxSent     int `flag:"max-sent" help:"maximum number of requests forwarded to other nodes at a time" min:"0" max:"100000"`
	MaxReceived int `flag:"max-received" help:"maximum number of requests served for other nodes at a time" min:"0" max:"100000"`
	// RemoteHallCost is the cost of a peer in another data hall, in requests in flight to it.
	RemoteHallCost int `flag:"remote-hall-cost" help:"cost of forwarding to another data hall, in requests in flight" min:"0" max:"1000"`
	// PeersTTL is how long the leader's list of peers is used.
	PeersTTL time.Duration `flag:"peers-ttl" help:"how long the leader's list of nodes to forward to is used" min:"100ms" max:"1m"`
	// PeerBackoff is how long a peer is not tried again after it could not be reached or had no target for a request.
	PeerBackoff time.Duration `flag:"peer-backoff" help:"how long a node that could not be reached, or could serve no request, gets no forwarded requests" min:"0s" max:"1m"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{MaxSent: 128, MaxReceived: 192, RemoteHallCost: 4, PeersTTL: 3 * time.Second, PeerBackoff: time.Second}
}

// Peer is a node that can serve requests for another one.
type Peer struct {
	Address netip.AddrPort `json:"a"`
	Hall    state.HallName `json:"h"`
	// EnforcesHomes reports whether the node is of a build that enforces the home regions of forwarded requests.
	EnforcesHomes bool `json:"e,omitempty"`
}

// PoolPeers lists the nodes that can serve the requests of one pool.
type PoolPeers struct {
	Pool  dispatch.Pool `json:"p"`
	Peers []Peer        `json:"n"`
}

// Outcome is what a forwarded request showed of its peer.
type Outcome int

const (
	// Reached means that the peer accepted the request, or refused only this one.
	Reached Outcome = iota
	// Unreachable means that no connection to the peer could be made.
	Unreachable
	// NoTarget means that the peer refused the request because it can serve none of the pool.
	NoTarget
)

// backoffKey identifies what a peer gets no requests of: those of one pool, or of all pools if pool is zero.
type backoffKey struct {
	address netip.AddrPort
	pool    dispatch.Pool
}

// Sender chooses the peers of forwarded requests and counts the requests in flight to them. It is
// safe for concurrent use.
type Sender struct {
	hall   state.HallName
	policy Policy

	mu    sync.Mutex
	peers map[dispatch.Pool][]Peer
	// listedAt is when the list of peers arrived.
	listedAt     time.Time
	inFlight     map[netip.AddrPort]int
	total        int
	backoffUntil map[backoffKey]time.Time
}

// NewSender returns a Sender of a node in a data hall that knows no peers.
func NewSender(hall state.HallName, p Policy) *Sender {
	return &Sender{hall: hall, policy: p, inFlight: map[netip.AddrPort]int{}, backoffUntil: map[backoffKey]time.Time{}}
}

// SetPeers replaces the peers.
func (s *Sender) SetPeers(list []PoolPeers, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.listedAt = nil, now
	if len(list) == 0 {
		return
	}
	s.peers = make(map[dispatch.Pool][]Peer, len(list))
	for _, p := range list {
		s.peers[p.Pool] = p.Peers
	}
}

// AcquirePeer chooses a peer for which isAllowed returns true for a request of a pool, and counts the request until Release. It compares two
// peers drawn at random, since several nodes choose among the same peers without knowing of each other.
func (s *Sender) AcquirePeer(pool dispatch.Pool, isAllowed func(Peer) bool, now time.Time) (Peer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := slices.DeleteFunc(s.usablePeers(pool, now), func(p Peer) bool { return !isAllowed(p) })
	if len(usable) == 0 {
		return Peer{}, ErrNoPeer
	}
	if s.total >= s.policy.MaxSent {
		return Peer{}, ErrLimit
	}
	a, b := usable[rand.IntN(len(usable))], usable[rand.IntN(len(usable))]
	if s.cost(b) < s.cost(a) {
		a = b
	}
	s.inFlight[a.Address]++
	s.total++
	return a, nil
}

// usablePeers returns the peers of a pool that are not in backoff. s.mu must be held.
func (s *Sender) usablePeers(pool dispatch.Pool, now time.Time) []Peer {
	if now.Sub(s.listedAt) > s.policy.PeersTTL {
		return nil
	}
	var usable []Peer
	for _, p := range s.peers[pool] {
		isUnreachable := now.Before(s.backoffUntil[backoffKey{address: p.Address}])
		if !isUnreachable && !now.Before(s.backoffUntil[backoffKey{p.Address, pool}]) {
			usable = append(usable, p)
		}
	}
	return usable
}

// cost returns the cost of a peer, in requests in flight. s.mu must be held.
func (s *Sender) cost(p Peer) int {
	cost := s.inFlight[p.Address]
	if p.Hall != s.hall {
		cost += s.policy.RemoteHallCost
	}
	return cost
}

// Release ends the count of a request of a pool that AcquirePeer counted. A peer that was unreachable or had no target is
// in backoff afterwards: the leader's list may be older than the event that cut the peer off.
func (s *Sender) Release(p Peer, pool dispatch.Pool, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if s.inFlight[p.Address]--; s.inFlight[p.Address] <= 0 {
		delete(s.inFlight, p.Address)
	}
	switch o {
	case Unreachable:
		s.startBackoff(backoffKey{address: p.Address}, now)
	case NoTarget:
		s.startBackoff(backoffKey{p.Address, pool}, now)
	}
}

// startBackoff starts a backoff and removes those that have ended. s.mu must be held.
func (s *Sender) startBackoff(key backoffKey, now time.Time) {
	maps.DeleteFunc(s.backoffUntil, func(_ backoffKey, until time.Time) bool { return now.After(until) })
	s.backoffUntil[key] = now.Add(s.policy.PeerBackoff)
}

// Receiver bounds the requests that a node serves for others. It is safe for concurrent use.
type Receiver struct {
	policy   Policy
	mu       sync.Mutex
	inFlight int
}

// NewReceiver returns a Receiver without requests.
func NewReceiver(p Policy) *Receiver { return &Receiver{policy: p} }

// TryAcquire counts a request until Release. It reports false if the limit is reached.
func (r *Receiver) TryAcquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.policy.MaxReceived {
		return false
	}
	r.inFlight++
	return true
}

// Release ends the count of a request.
func (r *Receiver) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// InFlight returns the number of requests that the node serves for others.
func (r *Receiver) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}
