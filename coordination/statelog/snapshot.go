package statelog

import (
	"context"
	"fmt"

	"github.com/troutmast/troutmast/state"
)

// processSnapshot takes a snapshot at every multiple of SnapshotEvery. If the entry is a
// snapshot of the same offset written by another node, it compares the digests and stops
// replay on a mismatch.
func (f *Follower) processSnapshot(e state.Entry) error {
	if f.st.Offset()%f.cfg.SnapshotEvery == 0 {
		snap, err := f.st.Snapshot()
		if err != nil {
			return err
		}
		f.ownSnapshot = snap
	}
	r, err := state.DecodeRecord(e.Data)
	if err != nil || r.Kind != state.KindSnapshot || r.Snapshot == nil {
		return nil
	}
	if f.ownSnapshot != nil && f.ownSnapshot.At == r.Snapshot.At && f.ownSnapshot.Digest != r.Snapshot.Digest {
		f.stopErr = fmt.Errorf("%w: the state at %d differs from the one written by %s", ErrStopped, r.Snapshot.At, r.By)
		return f.stopErr
	}
	f.advanceLastSnapshot(r.Snapshot.At)
	return nil
}

// advanceLastSnapshot records the offset of the newest snapshot known to be in the log.
func (f *Follower) advanceLastSnapshot(at state.Offset) {
	if uint64(at) > f.lastSnapshot.Load() {
		f.lastSnapshot.Store(uint64(at))
	}
}

// SnapshotLag returns how many offsets the state has advanced since the last snapshot in
// the log, or 0 if this node has not taken a newer one.
func (f *Follower) SnapshotLag() state.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()
	last := state.Offset(f.lastSnapshot.Load())
	if f.ownSnapshot == nil || f.ownSnapshot.At <= last {
		return 0
	}
	return f.st.Offset() - last
}

// WriteSnapshot appends the newest snapshot taken by this node to the log.
func (f *Follower) WriteSnapshot(ctx context.Context, author string) error {
	f.mu.RLock()
	snap := f.ownSnapshot
	f.mu.RUnlock()
	if snap == nil {
		return nil
	}
	r, err := state.NewRecord(state.KindSnapshot, author)
	if err != nil {
		return err
	}
	r.Snapshot = snap
	data, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = f.log.Append(ctx, data)
	return err
}
