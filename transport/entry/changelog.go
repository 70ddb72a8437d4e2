package entry

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/protocol/peer"
)

// changeLog holds the recent instance changes of a node in packed batches. The leader sends each change to all
// nodes: with batches it encodes a change once, whatever the number of nodes.
type changeLog struct {
	mu sync.Mutex
	// batches are consecutive: each begins at the version at which the one before ends.
	batches []changeBatch
	// end is the roster version that the last batch leads to.
	end      uint64
	closedAt time.Time
	// listAsOf is the time up to which the batches contain the changes of the instance list.
	listAsOf   time.Time
	snapshot   changeBatch
	snapshotAt time.Time
}

// changeBatch holds the changes after one roster version up to another one.
type changeBatch struct {
	after, upTo uint64
	packed      peer.Packed
}

const (
	// batchInterval is the minimum time between two batches. A shorter one would rarely be sent to several nodes.
	batchInterval = 25 * time.Millisecond
	// maxBatches is the number of batches kept. A node that lacks more gets a snapshot.
	maxBatches = 200
	// snapshotAge is the maximum age of the snapshot sent to nodes that have no version of the log.
	snapshotAge = time.Second
)

// relayedChanges is what one node lacks of another's instances.
type relayedChanges struct {
	batches []peer.Packed
	// upTo is the roster version that the batches lead to, listAsOf the time as of which they contain the list.
	upTo     uint64
	listAsOf time.Time
}

// since returns the changes after a version. If that version is not between two batches of the log, it returns all
// instances instead; version 0 stands for no instances.
func (l *changeLog) since(after uint64, r *roster.Roster, now time.Time) (relayedChanges, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.closedAt) >= batchInterval {
		if err := l.closeBatch(r, now); err != nil {
			return relayedChanges{}, err
		}
	}
	var packed []peer.Packed
	if !l.hasVersion(after) {
		if err := l.updateSnapshot(r, now); err != nil {
			return relayedChanges{}, err
		}
		packed, after = append(packed, l.snapshot.packed), l.snapshot.upTo
	}
	for _, b := range l.batches {
		if b.after >= after {
			packed = append(packed, b.packed)
		}
	}
	return relayedChanges{batches: packed, upTo: l.end, listAsOf: l.listAsOf}, nil
}

// hasVersion reports whether the batches lead from a version to the end. l.mu must be held.
func (l *changeLog) hasVersion(v uint64) bool {
	if v == l.end && v > 0 {
		return true
	}
	for _, b := range l.batches {
		if b.after == v && v > 0 {
			return true
		}
	}
	return false
}

// closeBatch adds a batch of the changes since the last one, if there are any. l.mu must be held.
func (l *changeLog) closeBatch(r *roster.Roster, now time.Time) error {
	listAsOf := now.Add(-r.ListAge(now)) // read first: the changes that follow are at least as new
	changes, version := r.ChangesSince(l.end, now)
	if len(changes) > 0 {
		packed, err := peer.Pack(changes)
		if err != nil {
			return err
		}
		l.batches = append(l.batches, changeBatch{after: l.end, upTo: version, packed: packed})
		l.batches = l.batches[max(len(l.batches)-maxBatches, 0):]
		l.end = version
	}
	l.closedAt, l.listAsOf = now, listAsOf
	return nil
}

// updateSnapshot replaces the snapshot if it is old or no batch follows it. l.mu must be held.
func (l *changeLog) updateSnapshot(r *roster.Roster, now time.Time) error {
	if now.Sub(l.snapshotAt) < snapshotAge && l.hasVersion(l.snapshot.upTo) {
		return nil
	}
	if err := l.closeBatch(r, now); err != nil {
		return err
	}
	changes, _ := r.ChangesSince(0, now) // may contain newer changes than the last batch, which the next one repeats
	packed, err := peer.Pack(changes)
	if err != nil {
		return err
	}
	l.snapshot, l.snapshotAt = changeBatch{upTo: l.end, packed: packed}, now
	return nil
}
