package statelog

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/troutmast/troutmast/state"
)

// Do appends a command or void record and waits until its outcome is read back.
//
// It appends at most once. It returns ErrNotAppended only if the record was certainly not
// appended, and ErrUnsettled if ctx ends or replay stops while the record may still take effect.
func (f *Follower) Do(ctx context.Context, r *state.Record) (state.Outcome, error) {
	data, err := r.Encode()
	if err != nil {
		return state.Outcome{}, err
	}
	if err := f.Stopped(); err != nil {
		return state.Outcome{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	ch := f.addWaiter(r.ID)
	defer f.removeWaiter(r.ID, ch)
	if _, err := f.log.Append(ctx, data); errors.Is(err, ErrNotAppended) {
		return state.Outcome{}, err
	}
	select {
	case o := <-ch:
		return o, nil
	case <-f.halted:
		return state.Outcome{}, fmt.Errorf("%w: id %s: %w", ErrUnsettled, r.ID, f.Stopped())
	case <-ctx.Done():
		return state.Outcome{}, fmt.Errorf("%w: id %s", ErrUnsettled, r.ID)
	}
}

// addWaiter returns a channel that receives the outcome of a record ID, immediately if it is already known.
func (f *Follower) addWaiter(id string) chan state.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan state.Outcome, 1)
	if o, ok := f.st.Outcome(id); ok {
		ch <- o
		return ch
	}
	f.waiters[id] = append(f.waiters[id], ch)
	return ch
}

// notifyWaiters sends an outcome to all waiters for its ID; the caller holds mu.
func (f *Follower) notifyWaiters(o state.Outcome) {
	for _, ch := range f.waiters[o.ID] {
		ch <- o
	}
	delete(f.waiters, o.ID)
}

// removeWaiter removes a waiter for a record ID.
func (f *Follower) removeWaiter(id string, ch chan state.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := slices.DeleteFunc(f.waiters[id], func(c chan state.Outcome) bool { return c == ch })
	if len(remaining) == 0 {
		delete(f.waiters, id)
		return
	}
	f.waiters[id] = remaining
}

// Append appends a record without waiting until it is read back.
func (f *Follower) Append(ctx context.Context, r *state.Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	if err := f.Stopped(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	_, err = f.log.Append(ctx, data)
	return err
}
