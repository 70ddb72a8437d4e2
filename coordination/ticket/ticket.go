// Package ticket lets a call that may not be repeated run at most once without
// the platform's log: a ticket is minted by one incarnation of one node, and only
// that incarnation may run the call that it stands for. What it remembers is
// lost with the node; the call then is of unknown outcome, never run again.
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
	// ErrFormat means a text is no ticket.
	ErrFormat = errors.New("ticket: not a ticket")
	// ErrForeign means the ticket was minted by another incarnation.
	ErrForeign = errors.New("ticket: minted by another node")
	// ErrUnknown means the ticket was spent without a known result, or is forgotten.
	ErrUnknown = errors.New("ticket: the call may have run")
	// ErrConflict means the ticket was spent on a different call, or belongs to another team or service.
	ErrConflict = errors.New("ticket: belongs to another call")
	// ErrFull means the node remembers as many tickets as it may.
	ErrFull = errors.New("ticket: no room for another ticket")
)

// prefix begins every ticket.
const prefix = "tk"

// Horizon is how long a ticket may be spent, and how long its result is kept.
const Horizon = 10 * time.Minute

// MaxTickets bounds what one node remembers; each takes about a kilobyte at most with its result.
const MaxTickets = 20000

// shards is the number of independently locked parts of a Book.
const shards = 16

// Parse returns the node and the incarnation that minted a ticket.
func Parse(text string) (node, incarnation string, err error) {
	parts := strings.Split(text, "~")
	if len(parts) != 4 || parts[0] != prefix || parts[1] == "" || parts[2] == "" {
		return "", "", ErrFormat
	}
	return parts[1], parts[2], nil
}

// Is reports whether a text looks like a ticket.
func Is(text string) bool { return strings.HasPrefix(text, prefix+"~") }

// entry is what is remembered of one ticket.
type entry struct {
	team    state.TeamName
	service state.ServiceName
	expires time.Time
	spent   bool
	request string
	result  *state.Result
}

// Book remembers the tickets of one incarnation, in shards under their own locks.
type Book struct {
	node, incarnation string
	clock             clockwork.Clock
	shards            [shards]shard
}

type shard struct {
	mu sync.Mutex
	m  map[string]*entry
}

// NewBook returns an empty Book.
func NewBook(node, incarnation string, clock clockwork.Clock) *Book {
	b := &Book{node: node, incarnation: incarnation, clock: clock}
	for i := range b.shards {
		b.shards[i].m = map[string]*entry{}
	}
	return b
}

// shard returns the part that holds a ticket.
func (b *Book) shard(ticket string) *shard {
	return &b.shards[xxhash.Sum64String(ticket)%shards]
}

// Mint returns a new ticket for one call of a team to a service.
func (b *Book) Mint(team state.TeamName, service state.ServiceName) (string, error) {
	ticket := strings.Join([]string{prefix, b.node, b.incarnation, uuid.NewString()}, "~")
	now := b.clock.Now()
	s := b.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.m) >= MaxTickets/shards {
		s.forget(now)
	}
	if len(s.m) >= MaxTickets/shards {
		return "", ErrFull
	}
	s.m[ticket] = &entry{team: team, service: service, expires: now.Add(Horizon)}
	return ticket, nil
}

// forget drops the tickets that have expired; the caller holds mu.
func (s *shard) forget(now time.Time) {
	for ticket, e := range s.m {
		if !now.Before(e.expires) {
			delete(s.m, ticket)
		}
	}
}

// Spend lets the caller run the call (nil, nil), or returns the result of the
// run that has spent the ticket, or an error.
func (b *Book) Spend(ticket string, team state.TeamName, service state.ServiceName, request string) (*state.Result, error) {
	node, incarnation, err := Parse(ticket)
	if err != nil {
		return nil, err
	}
	if node != b.node || incarnation != b.incarnation {
		return nil, fmt.Errorf("%w: %s", ErrForeign, node)
	}
	s := b.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.m[ticket]
	switch {
	case e == nil || !b.clock.Now().Before(e.expires):
		return nil, ErrUnknown
	case e.team != team || e.service != service || (e.spent && e.request != request):
		return nil, ErrConflict
	case e.spent && e.result == nil:
		return nil, ErrUnknown
	case e.spent:
		return e.result, nil
	}
	e.spent, e.request = true, request
	return nil, nil
}

// Finish records the result of the run that has spent a ticket.
func (b *Book) Finish(ticket string, result *state.Result) {
	s := b.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.m[ticket]; e != nil && e.spent {
		e.result = result
	}
}

// GiveBack lets a ticket be spent again: the call certainly never left.
func (b *Book) GiveBack(ticket string) {
	s := b.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.m[ticket]; e != nil && e.result == nil {
		e.spent = false
	}
}
