package statelog

import (
	"context"
	"fmt"

	"github.com/troutmast/troutmast/state"
)

// snapshotPoint takes a snapshot at every multiple of SnapshotEvery. If the entry is a
// snapshot of the same offset written by another node, it compares the digests and stops
// replay on a mismatch.
func (f *Follower) snapshotPoint(e state.Entry) error {
	if f.st.Offset()%f.cfg.SnapshotEvery == 0 {
		snap, err := f.st.Snapshot()
		if err != nil {
			return err
		}
		f.own = snap
	}
	r, err := state.DecodeRecord(e.Data)
	if err != nil || r.Kind != state.KindSnapshot || r.Snapshot == nil {
		return nil
	}
	if f.own != nil && f.own.At == r.Snapshot.At && f.own.Digest != r.Snapshot.Digest {
		f.stopped = fmt.Errorf("%w: the state at %d differs from the one written by %s", ErrStopped, r.Snapshot.At, r.By)
		return f.stopped
	}
	f.raiseLastSnapshot(r.Snapshot.At)
	return nil
}

// raiseLastSnapshot records the offset of the newest snapshot known to be in the log.
func (f *Follower) raiseLastSnapshot(at state.Offset) {
	if uint64(at) > f.lastSnapshot.Load() {
		f.lastSnapshot.Store(uint64(at))
	}
}

// SnapshotDue returns how many offsets the state has advanced since the last snapshot in
// the log, or 0 if this node has not taken a newer one.
func (f *Follower) SnapshotDue() state.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()
	last := state.Offset(f.lastSnapshot.Load())
	if f.own == nil || f.own.At <= last {
		return 0
	}
	return f.st.Offset() - last
}

// WriteSnapshot appends the newest snapshot taken by this node to the log.
func (f *Follower) WriteSnapshot(ctx context.Context, by string) error {
	f.mu.RLock()
	snap := f.own
	f.mu.RUnlock()
	if snap == nil {
		return nil
	}
	r, err := state.NewRecord(state.KindSnapshot, by)
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
