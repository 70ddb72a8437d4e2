// Package ticket runs a non-idempotent call at most once without the platform's log.
//
// One incarnation of a node issues a ticket, and only that incarnation may run the call for it.
// Tickets are held in memory: if the node ends, the outcome of the call is unknown and the call
// is never run again.
package ticket

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/state"
)

// Errors of this package.
var (
	// ErrMalformed means that a string is not a ticket.
	ErrMalformed = errors.New("ticket: not a ticket")
	// ErrOtherIncarnation means that another incarnation issued the ticket.
	ErrOtherIncarnation = errors.New("ticket: minted by another node")
	// ErrResultUnknown means that the ticket was spent and has no known result, or that it expired.
	ErrResultUnknown = errors.New("ticket: the call may have run")
	// ErrConflict means that the ticket was spent on a different call, or belongs to another team or service.
	ErrConflict = errors.New("ticket: belongs to another call")
	// ErrFull means that the shard of a new ticket holds its maximum, an equal part of MaxTickets.
	ErrFull = errors.New("ticket: maximum number of tickets reached")
)

// prefix is the first part of every ticket.
const prefix = "tk"

// TTL is how long a ticket and its result are valid, counted from when the ticket is issued.
const TTL = 10 * time.Minute

// MaxTickets is the maximum number of tickets that a node holds. A ticket with its result takes
// at most about one kilobyte.
const MaxTickets = 20000

// shardCount is the number of independently locked shards of a Store.
const shardCount = 16

// Parse returns the node and the incarnation that issued a ticket.
func Parse(text string) (node, incarnation string, err error) {
	parts := strings.Split(text, "~")
	if len(parts) != 4 || parts[0] != prefix || parts[1] == "" || parts[2] == "" {
		return "", "", ErrMalformed
	}
	return parts[1], parts[2], nil
}

// IsTicket reports whether a string has the prefix of a ticket.
func IsTicket(text string) bool { return strings.HasPrefix(text, prefix+"~") }

// entry is the state of one ticket.
type entry struct {
	team    state.TeamName
	service state.ServiceName
	expires time.Time
	spent   bool
	request string
	result  *state.ClaimResult
}

// Store holds the tickets of one incarnation. It is safe for concurrent use.
type Store struct {
	node, incarnation string
	clock             clockwork.Clock
	shards            [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// NewStore returns an empty Store.
func NewStore(node, incarnation string, clock clockwork.Clock) *Store {
	b := &Store{node: node, incarnation: incarnation, clock: clock}
	for i := range b.shards {
		b.shards[i].entries = map[string]*entry{}
	}
	return b
}

// shardFor returns the shard of a ticket.
func (b *Store) shardFor(ticket string) *shard {
	return &b.shards[xxhash.Sum64String(ticket)%shardCount]
}

// Issue issues a ticket for one call of a team to a service.
func (b *Store) Issue(team state.TeamName, service state.ServiceName) (string, error) {
	ticket := strings.Join([]string{prefix, b.node, b.incarnation, uuid.NewString()}, "~")
	now := b.clock.Now()
	s := b.shardFor(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) >= MaxTickets/shardCount {
		s.evictExpired(now)
	}
	if len(s.entries) >= MaxTickets/shardCount {
		return "", ErrFull
	}
	s.entries[ticket] = &entry{team: team, service: service, expires: now.Add(TTL)}
	return ticket, nil
}

// evictExpired evicts expired tickets; the caller holds mu.
func (s *shard) evictExpired(now time.Time) {
	for ticket, e := range s.entries {
		if !now.Before(e.expires) {
			delete(s.entries, ticket)
		}
	}
}

// Redeem marks a ticket as spent. It returns nil, nil if the caller may run the call, the result
// of the call if the ticket was spent before, or an error.
func (b *Store) Redeem(ticket string, team state.TeamName, service state.ServiceName, request string) (*state.ClaimResult, error) {
	node, incarnation, err := Parse(ticket)
	if err != nil {
		return nil, err
	}
	if node != b.node || incarnation != b.incarnation {
		return nil, fmt.Errorf("%w: %s", ErrOtherIncarnation, node)
	}
	s := b.shardFor(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[ticket]
	switch {
	case e == nil || !b.clock.Now().Before(e.expires):
		return nil, ErrResultUnknown
	case e.team != team || e.service != service || (e.spent && e.request != request):
		return nil, ErrConflict
	case e.spent && e.result == nil:
		return nil, ErrResultUnknown
	case e.spent:
		return e.result, nil
	}
	e.spent, e.request = true, request
	return nil, nil
}

// RecordResult records the result of the call on which a ticket was spent.
func (b *Store) RecordResult(ticket string, result *state.ClaimResult) {
	s := b.shardFor(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[ticket]; e != nil && e.spent {
		e.result = result
	}
}

// Release makes a ticket unspent after a call that was certainly not sent. It has no effect
// once a result is recorded.
func (b *Store) Release(ticket string) {
	s := b.shardFor(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[ticket]; e != nil && e.result == nil {
		e.spent = false
	}
}
