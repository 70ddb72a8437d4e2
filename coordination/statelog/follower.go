package statelog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/state"
)

// Config holds the limits and intervals of a Follower.
type Config struct {
	// PageSize is the maximum number of entries per read.
	PageSize int
	// PollWait is how long a read may wait in the log for new entries.
	PollWait time.Duration
	// RetryDelay is the delay after a failed read.
	RetryDelay time.Duration
	// RecentEntries is how many recent entries are retained for peers; up to twice as many are held.
	RecentEntries int
	// SnapshotEvery is the interval between snapshots, in offsets.
	SnapshotEvery state.Offset
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		PageSize:      500,
		PollWait:      2 * time.Second,
		RetryDelay:    200 * time.Millisecond,
		RecentEntries: 4096,
		SnapshotEvery: 1000,
	}
}

// Follower holds a node's copy of the state. Its offset never decreases.
type Follower struct {
	cfg   Config
	log   Log
	peers Peers
	clock clockwork.Clock

	mu      sync.RWMutex
	st      *state.State
	recent  []state.Entry
	stopErr error
	// halted is closed when replay stops.
	halted chan struct{}
	// era is the era of the log at the first read; eraKnown reports whether there was one.
	era         int64
	eraKnown    bool
	changed     chan struct{}
	waiters     map[string][]chan state.Outcome
	ownSnapshot *state.Snapshot

	view         atomic.Pointer[View]
	headReadAt   atomic.Int64
	caughtUp     atomic.Bool
	lastSnapshot atomic.Uint64
}

// NewFollower returns a Follower with an empty state; peers may be nil.
func NewFollower(cfg Config, log Log, peers Peers, clock clockwork.Clock) *Follower {
	f := &Follower{
		cfg:     cfg,
		log:     log,
		peers:   peers,
		clock:   clock,
		st:      state.New(),
		changed: make(chan struct{}),
		halted:  make(chan struct{}),
		waiters: map[string][]chan state.Outcome{},
	}
	f.view.Store(NewView(f.st))
	return f
}

// View returns the part of the state that the request path needs.
func (f *Follower) View() *View { return f.view.Load() }

// AppliedOffset returns the offset of the last record applied.
func (f *Follower) AppliedOffset() state.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.st.Offset()
}

// HeadAge returns the time since the start of the last read that reached the head of the log, or false if none has.
func (f *Follower) HeadAge() (time.Duration, bool) {
	at := f.headReadAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(steady.Nanos(f.clock.Now()) - at), true
}

// CaughtUp reports whether the node has ever caught up with the log or, while the log was
// unavailable, with a peer. Until then its state may be outdated.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// Stopped returns the error that stopped replay, or nil.
func (f *Follower) Stopped() error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.stopErr
}

// Halted returns a channel that is closed when replay stops.
func (f *Follower) Halted() <-chan struct{} { return f.halted }

// Read calls fn with the state; fn must neither retain nor modify it.
func (f *Follower) Read(fn func(s *state.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.st)
}

// Changed returns a channel that is closed when the next entries are applied.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Run follows the log until ctx ends or replay stops.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.Step(ctx)
		if errors.Is(err, ErrStopped) {
			return err
		}
		if err != nil {
			f.waitRetryDelay(ctx)
		}
	}
	return ctx.Err()
}

// waitRetryDelay waits for the retry delay or the end of ctx.
func (f *Follower) waitRetryDelay(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(f.cfg.RetryDelay):
	}
}

// Step reads once from the log, or from a peer if the log fails.
func (f *Follower) Step(ctx context.Context) error {
	requestedAt := f.clock.Now()
	from := f.AppliedOffset() + 1
	wait := f.cfg.PollWait
	if f.headReadAt.Load() == 0 {
		wait = 0 // a new node becomes ready only after it has reached the head of the log
	}
	page, err := f.log.Read(ctx, from, f.cfg.PageSize, wait)
	if err != nil {
		return errors.Join(err, f.stepFromPeers(ctx, from))
	}
	if err := f.checkEra(page); err != nil {
		return err
	}
	if page.First > from {
		return f.skipTrimmed(ctx, page.First)
	}
	if err := f.apply(page.Entries); err != nil {
		return err
	}
	if f.AppliedOffset() >= page.Head {
		f.headReadAt.Store(steady.Nanos(requestedAt))
		f.caughtUp.Store(true)
	}
	return nil
}

// checkEra stops replay if the log was restored from a backup. Offsets decide claims, serve as
// fencing tokens and order commands. After a restore they are reused, so a record cannot be
// distinguished from an earlier one with the same offset.
func (f *Follower) checkEra(page Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopErr != nil {
		return f.stopErr
	}
	if !f.eraKnown {
		f.eraKnown, f.era = true, page.Era
	}
	if page.Era == f.era && page.Head >= f.st.Offset() {
		return nil
	}
	f.stop(fmt.Errorf("%w: %w (era %d, before %d; it ends at %d, %d were applied)", ErrStopped, ErrRestored, page.Era, f.era, page.Head, f.st.Offset()))
	return f.stopErr
}

// stop stops replay for good and releases everyone who waits for a record to be read back. The caller holds mu.
func (f *Follower) stop(cause error) {
	f.stopErr = cause
	close(f.halted)
}

// stepFromPeers applies entries from a peer, or installs its snapshot if the entries are not available.
func (f *Follower) stepFromPeers(ctx context.Context, from state.Offset) error {
	if f.peers == nil {
		return ErrNoState
	}
	entries, err := f.peers.Records(ctx, from, f.cfg.PageSize)
	if err == nil {
		if len(entries) == 0 && from > 1 {
			f.caughtUp.Store(true)
		}
		return f.apply(entries)
	}
	snap, err := f.peers.Snapshot(ctx, from-1)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoState, err)
	}
	return f.InstallSnapshot(snap)
}

// skipTrimmed skips trimmed entries by installing a snapshot from the log or from a peer.
func (f *Follower) skipTrimmed(ctx context.Context, first state.Offset) error {
	snap, err := f.findSnapshot(ctx, first)
	if err != nil && f.peers != nil {
		snap, err = f.peers.Snapshot(ctx, f.AppliedOffset())
	}
	if err != nil {
		return fmt.Errorf("%w: the log starts at offset %d: %w", ErrNoState, first, err)
	}
	return f.InstallSnapshot(snap)
}

// findSnapshot returns the newest usable snapshot in the retained log.
func (f *Follower) findSnapshot(ctx context.Context, first state.Offset) (*state.Snapshot, error) {
	var newest *state.Snapshot
	for from := first; ; {
		page, err := f.log.Read(ctx, from, f.cfg.PageSize, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			if r, err := state.DecodeRecord(e.Data); err == nil && isUsableSnapshot(r, first) {
				newest = r.Snapshot
			}
		}
		if len(page.Entries) == 0 {
			break
		}
		from += state.Offset(len(page.Entries))
	}
	if newest == nil {
		return nil, ErrNoState
	}
	return newest, nil
}

// isUsableSnapshot reports whether a record holds a snapshot from which the retained log can be replayed without a gap.
func isUsableSnapshot(r *state.Record, first state.Offset) bool {
	return r.Kind == state.KindSnapshot && r.Snapshot != nil && r.Snapshot.At+1 >= first
}

// InstallSnapshot replaces the state with a newer snapshot.
func (f *Follower) InstallSnapshot(snap *state.Snapshot) error {
	st, err := state.Restore(snap)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if st.Offset() <= f.st.Offset() {
		return fmt.Errorf("%w: got offset %d, have %d", state.ErrStaleSnapshot, st.Offset(), f.st.Offset())
	}
	f.st = st
	f.recent = nil
	f.advanceLastSnapshot(snap.At)
	for id := range f.waiters {
		if o, ok := st.Outcome(id); ok {
			f.notifyWaiters(o)
		}
	}
	f.publish()
	return nil
}

// apply applies entries to the state and skips those already applied.
func (f *Follower) apply(entries []state.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopErr != nil {
		return f.stopErr
	}
	for _, e := range entries {
		if e.Offset <= f.st.Offset() {
			continue
		}
		if err := f.applyOne(e); err != nil {
			f.publish()
			return err
		}
	}
	f.publish()
	return nil
}

// applyOne applies one entry; it stops replay on an unknown record.
func (f *Follower) applyOne(e state.Entry) error {
	o, err := f.st.Apply(e)
	if errors.Is(err, state.ErrUnknownRecord) {
		f.stop(fmt.Errorf("%w: %w", ErrStopped, err))
		return f.stopErr
	}
	if err != nil {
		return err
	}
	f.retain(e)
	f.notifyWaiters(o)
	return f.processSnapshot(e)
}

// retain stores an entry for peers, and drops the oldest entries beyond the limit.
func (f *Follower) retain(e state.Entry) {
	f.recent = append(f.recent, e)
	if len(f.recent) > 2*f.cfg.RecentEntries {
		f.recent = append([]state.Entry(nil), f.recent[len(f.recent)-f.cfg.RecentEntries:]...)
	}
}

// publish makes the applied state visible to the request path and signals Changed.
//
// Claims do not affect the View, so it is rebuilt only after a command that changed the state.
func (f *Follower) publish() {
	if f.view.Load().Offset != f.st.LastAcceptedOffset() {
		f.view.Store(NewView(f.st))
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// RecentEntries returns at most limit entries starting at offset from, or false if they are no longer retained.
func (f *Follower) RecentEntries(from state.Offset, limit int) ([]state.Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if from > f.st.Offset() {
		return nil, true
	}
	if len(f.recent) == 0 || f.recent[0].Offset > from {
		return nil, false
	}
	i := int(from - f.recent[0].Offset)
	return append([]state.Entry(nil), f.recent[i:min(i+limit, len(f.recent))]...), true
}
