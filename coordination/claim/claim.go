// Package claim runs a non-idempotent call at most once: the key of the call is
// claimed in the log, and only the holder of the first claim may send the call.
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

// Errors of this package. All but ErrResultUnknown mean that this attempt did not run the call.
var (
	// ErrInvalidKey means that the key is not a UUIDv7.
	ErrInvalidKey = errors.New("claim: the key is not a UUIDv7")
	// ErrKeyNotCovered means that the claim history does not cover the time of the key.
	ErrKeyNotCovered = errors.New("claim: the key is older than the claim history or from the future")
	// ErrKeyConflict means that the key was used for a different call.
	ErrKeyConflict = errors.New("claim: the key belongs to a different call")
	// ErrUnsettled means that the claim was not read back from the log in time.
	ErrUnsettled = errors.New("claim: the claim was not read back from the log in time")
	// ErrResultUnknown means that an earlier attempt holds the key and its result is unknown.
	ErrResultUnknown = errors.New("claim: an earlier attempt holds the key and its result is unknown")
)

// Follower provides the replicated state and the log.
type Follower interface {
	Read(fn func(s *state.State))
	Changed() <-chan struct{}
	Append(ctx context.Context, r *state.Record) error
	// Halted returns a channel that is closed when replay stops; Stopped returns the reason.
	Halted() <-chan struct{}
	Stopped() error
}

// maxBatch is the maximum number of claim operations per record.
const maxBatch = 500

// appendTimeout is the timeout of one append.
const appendTimeout = 2 * time.Second

// Manager claims keys for one node. It is safe for concurrent use.
type Manager struct {
	incarnation string
	follower    Follower
	clock       clockwork.Clock
	limiter     *rate.Limiter

	mu      sync.Mutex
	pending []state.ClaimOp
	wake    chan struct{}
}

// NewManager returns a Manager for a node's incarnation that appends at most perSecond records a second.
func NewManager(incarnation string, follower Follower, clock clockwork.Clock, perSecond float64) *Manager {
	return &Manager{
		incarnation: incarnation,
		follower:    follower,
		clock:       clock,
		limiter:     rate.NewLimiter(rate.Limit(perSecond), 3),
		wake:        make(chan struct{}, 1),
	}
}

// SetRate sets the rate limit of appends, per second.
func (m *Manager) SetRate(perSecond float64) { m.limiter.SetLimit(rate.Limit(perSecond)) }

// Claim returns the holder that may run the call, or the recorded result of an earlier
// attempt, or an error.
func (m *Manager) Claim(ctx context.Context, key state.ClaimKey, request string) (holder string, recorded *state.ClaimResult, err error) {
	if _, ok := state.IDTime(key.Key); !ok {
		return "", nil, ErrInvalidKey
	}
	holder = m.incarnation + "/" + uuid.NewString()
	if settled, result, err := m.lookup(key, holder, request); settled {
		return "", result, err
	}
	if err := m.follower.Stopped(); err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	m.enqueue(state.ClaimOp{Key: key, Holder: holder, Request: request})
	for {
		changed := m.follower.Changed()
		settled, result, err := m.lookup(key, holder, request)
		if settled {
			return ownHolder(holder, result, err), result, err
		}
		select {
		case <-changed:
		case <-m.follower.Halted():
			return "", nil, fmt.Errorf("%w: %w", ErrUnsettled, m.follower.Stopped())
		case <-ctx.Done():
			m.Release(key, holder)
			return "", nil, fmt.Errorf("%w: %w", ErrUnsettled, ctx.Err())
		}
	}
}

// ownHolder returns the holder if the settled claim is its own, and an empty string otherwise.
func ownHolder(holder string, result *state.ClaimResult, err error) string {
	if result != nil || err != nil {
		return ""
	}
	return holder
}

// lookup reports whether the claim of a key is settled. If another attempt holds the key, it also
// returns that attempt's result or an error.
func (m *Manager) lookup(key state.ClaimKey, holder, request string) (settled bool, result *state.ClaimResult, err error) {
	m.follower.Read(func(s *state.State) {
		c, ok := s.Claim(key)
		switch {
		case ok && !c.Released && c.Holder == holder:
			settled = true
		case ok && !c.Released:
			settled = true
			result, err = earlierResult(c, request)
		case !s.IsKeyInHorizon(key.Key):
			settled, err = true, ErrKeyNotCovered
		}
	})
	return settled, result, err
}

// earlierResult returns the result of an earlier attempt with the same key.
func earlierResult(c state.Claim, request string) (*state.ClaimResult, error) {
	if c.Request != request {
		return nil, ErrKeyConflict
	}
	if c.Result == nil || c.Result.Status == 0 {
		return nil, ErrResultUnknown
	}
	return c.Result, nil
}

// RecordResult records the result of the claimed call.
func (m *Manager) RecordResult(key state.ClaimKey, holder string, result *state.ClaimResult) {
	m.enqueue(state.ClaimOp{Key: key, Holder: holder, Result: result})
}

// Release releases the claim of a call that was certainly not sent.
func (m *Manager) Release(key state.ClaimKey, holder string) {
	m.enqueue(state.ClaimOp{Key: key, Holder: holder, NotRun: true})
}

// enqueue adds an operation to the queue.
func (m *Manager) enqueue(op state.ClaimOp) {
	m.mu.Lock()
	m.pending = append(m.pending, op)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// takeBatch removes at most maxBatch operations from the queue.
func (m *Manager) takeBatch() []state.ClaimOp {
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
			return // the remaining operations would not be read back
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

// flush appends one batch. After a failed append, or one whose response was lost, it queues the
// operations again. Duplicates are harmless, since only the first of each has an effect.
func (m *Manager) flush(ctx context.Context) {
	batch := m.takeBatch()
	err := m.appendBatch(ctx, batch)
	if err == nil {
		return
	}
	log.WithError(err).WithField("operations", len(batch)).Warn("claim operations not appended to the log; retrying")
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
	r, err := state.NewRecord(state.KindClaims, m.incarnation)
	if err != nil {
		return err
	}
	r.Claims = batch
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return m.follower.Append(ctx, r)
}
