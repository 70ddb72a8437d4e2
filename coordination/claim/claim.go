// Package claim makes sure that a call which may not be repeated runs at most
// once: its key is claimed in the log, and only the holder of the first claim
// may send it.
package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/troutmast/troutmast/state"
)

// Errors of this package. All but ErrUnknown mean that the call was not run by this attempt.
var (
	// ErrKey means the key is no UUIDv7.
	ErrKey = errors.New("claim: the key is no UUIDv7")
	// ErrNotCovered means the claim history does not reach back to the key's age.
	ErrNotCovered = errors.New("claim: the key is older than the claim history, or lies in the future")
	// ErrConflict means the key was used for a different call.
	ErrConflict = errors.New("claim: the key belongs to a different call")
	// ErrUnsettled means the claim could not be read back in time.
	ErrUnsettled = errors.New("claim: the log did not settle the claim in time")
	// ErrUnknown means another attempt holds the key and its result is not known.
	ErrUnknown = errors.New("claim: an earlier attempt holds the key and its result is not known")
)

// Follower is the part of the agreed state that claims need.
type Follower interface {
	Read(fn func(s *state.State))
	Changed() <-chan struct{}
	Append(ctx context.Context, r *state.Record) error
	// Halted is closed once the state is followed no further, Stopped tells why.
	Halted() <-chan struct{}
	Stopped() error
}

// maxBatch is the greatest number of claim operations in one record.
const maxBatch = 500

// appendTimeout bounds one append of a batch.
const appendTimeout = 2 * time.Second

// Manager claims keys for one node; safe for concurrent use.
type Manager struct {
	node     string
	follower Follower
	clock    clockwork.Clock
	limiter  *rate.Limiter

	mu      sync.Mutex
	pending []state.ClaimOp
	wake    chan struct{}
}

// NewManager returns a Manager for a node's incarnation that appends at most perSecond records a second.
func NewManager(incarnation string, follower Follower, clock clockwork.Clock, perSecond float64) *Manager {
	return &Manager{
		node:     incarnation,
		follower: follower,
		clock:    clock,
		limiter:  rate.NewLimiter(rate.Limit(perSecond), 3),
		wake:     make(chan struct{}, 1),
	}
}

// SetRate changes the number of appends a second.
func (m *Manager) SetRate(perSecond float64) { m.limiter.SetLimit(rate.Limit(perSecond)) }

// Claim returns a holder that alone may run the call, or the recorded result of
// an earlier attempt, or an error.
func (m *Manager) Claim(ctx context.Context, key state.ClaimKey, request string) (holder string, done *state.Result, err error) {
	if _, ok := state.IDTime(key.Key); !ok {
		return "", nil, ErrKey
	}
	holder = m.node + "/" + uuid.NewString()
	if settled, result, err := m.look(key, holder, request); settled {
		return "", result, err
	}
	if err := m.follower.Stopped(); err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	m.enqueue(state.ClaimOp{Key: key, Holder: holder, Request: request})
	for {
		changed := m.follower.Changed()
		settled, result, err := m.look(key, holder, request)
		if settled {
			return winner(holder, result, err), result, err
		}
		select {
		case <-changed:
		case <-m.follower.Halted():
			return "", nil, fmt.Errorf("%w: %w", ErrUnsettled, m.follower.Stopped())
		case <-ctx.Done():
			m.GiveBack(key, holder)
			return "", nil, fmt.Errorf("%w: %w", ErrUnsettled, ctx.Err())
		}
	}
}

// winner returns the holder when the look found its own claim.
func winner(holder string, result *state.Result, err error) string {
	if result != nil || err != nil {
		return ""
	}
	return holder
}

// look reports whether the key is settled, and how it stands for this holder.
func (m *Manager) look(key state.ClaimKey, holder, request string) (settled bool, result *state.Result, err error) {
	m.follower.Read(func(s *state.State) {
		c, ok := s.Claim(key)
		switch {
		case ok && !c.Released && c.Holder == holder:
			settled = true
		case ok && !c.Released:
			settled = true
			result, err = earlier(c, request)
		case !s.KeyCovered(key.Key):
			settled, err = true, ErrNotCovered
		}
	})
	return settled, result, err
}

// earlier returns what an earlier attempt with the same key came to.
func earlier(c state.Claim, request string) (*state.Result, error) {
	if c.Request != request {
		return nil, ErrConflict
	}
	if c.Result == nil || c.Result.Status == 0 {
		return nil, ErrUnknown
	}
	return c.Result, nil
}

// Finish records how the claimed call ended.
func (m *Manager) Finish(key state.ClaimKey, holder string, result *state.Result) {
	m.enqueue(state.ClaimOp{Key: key, Holder: holder, Result: result})
}

// GiveBack records that the claimed call certainly never left.
func (m *Manager) GiveBack(key state.ClaimKey, holder string) {
	m.enqueue(state.ClaimOp{Key: key, Holder: holder, NotRun: true})
}

// enqueue puts an operation into the next batch.
func (m *Manager) enqueue(op state.ClaimOp) {
	m.mu.Lock()
	m.pending = append(m.pending, op)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take removes up to maxBatch operations from the queue.
func (m *Manager) take() []state.ClaimOp {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(m.pending), maxBatch)
	batch := m.pending[:n:n]
	m.pending = m.pending[n:]
	return batch
}

// Pending returns the number of operations not yet appended.
func (m *Manager) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

// Run appends batches until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.follower.Halted():
			return // nothing that is still to be appended would be read back
		case <-m.wake:
		}
		for m.Pending() > 0 && m.follower.Stopped() == nil {
			if m.limiter.Wait(ctx) != nil {
				return
			}
			m.flush(ctx)
		}
	}
}

// flush appends one batch; after a failed or lost append the operations are
// appended again, which is harmless since the first of them settles each.
func (m *Manager) flush(ctx context.Context) {
	batch := m.take()
	err := m.appendBatch(ctx, batch)
	if err == nil {
		return
	}
	log.WithError(err).WithField("operations", len(batch)).Warn("claims not appended, trying again")
	m.mu.Lock()
	m.pending = append(batch, m.pending...)
	m.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-m.clock.After(100 * time.Millisecond):
	}
}

// appendBatch appends operations as one record.
func (m *Manager) appendBatch(ctx context.Context, batch []state.ClaimOp) error {
	r, err := state.NewRecord(state.KindClaims, m.node)
	if err != nil {
		return err
	}
	r.Claims = batch
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return m.follower.Append(ctx, r)
}
