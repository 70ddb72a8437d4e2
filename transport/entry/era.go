package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/source"
)

// eraTracker tracks the newest era of the store that a node knows of. The store may be restored from a
// backup some seconds old. Records written after the backup are lost, and their writers write
// them again.
type eraTracker struct {
	mu      sync.Mutex
	isKnown bool
	era     int64
	// settledAt is the time from which on the lost records of the others count as written again.
	settledAt time.Time
	// verifiesFirst is set if the first known era may have begun right before the start of this process.
	verifiesFirst bool
	// verifiedAt is the time at which the first known era has settled at the latest; zero if it is known to have settled.
	verifiedAt time.Time
}

// record records the era that an answer names. It returns the era known before, and reports
// whether the answer shows a restoration: a later era than one already known. The first answer
// never does.
func (e *eraTracker) record(era int64, now time.Time, settle time.Duration) (previous int64, restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous = e.era
	restored = e.isKnown && era > e.era
	if restored {
		e.settledAt = now.Add(settle)
	}
	if !e.isKnown && e.verifiesFirst && era != 0 {
		e.verifiedAt = now.Add(settle)
	}
	if !e.isKnown || restored {
		e.isKnown, e.era = true, era
	}
	return previous, restored
}

// verify records that an era has settled.
func (e *eraTracker) verify(era int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era == era {
		e.verifiedAt = time.Time{}
	}
}

// isVerified reports whether the first known era has settled by now.
func (e *eraTracker) isVerified(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.verifiedAt)
}

// current returns the newest era that the node knows of.
func (e *eraTracker) current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// isCurrent reports whether the answer to a read that began at startedAt is current. Right after a
// restoration, the backup still contains keys that were revoked and instances that were
// dropped after it was made.
func (e *eraTracker) isCurrent(startedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !startedAt.Before(e.settledAt)
}

// confirmsKeys reports whether the answer to a read of the configuration that began at startedAt shows which keys are in force.
func (e *eraTracker) confirmsKeys(startedAt time.Time) bool {
	return e.isCurrent(startedAt) && e.isVerified(startedAt)
}

// settlingTime returns for how long answers confirm no keys yet, or 0.
func (e *eraTracker) settlingTime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.settledAt.Sub(now), e.verifiedAt.Sub(now), 0)
}

// recordEra records the era of the store that the store itself or another node named in an
// answer. After a restoration, the node writes its entry again, reads the list and reports to
// the leader.
func (n *Node) recordEra(era int64, from string) {
	previous, restored := n.eras.record(era, n.clock.Now(), n.policy.RestoreSettle)
	if !restored {
		return
	}
	n.Count("store.restored")
	n.log.WithFields(log.Fields{"before": previous, "now": era, "from": from}).Warn("store came back from an older copy")
	select {
	case n.rewriteRequested <- struct{}{}:
	default:
	}
	n.requestListRead()
	n.requestStatusReport()
}

// readNew reads the records of a topic after the cursor. It reads the newest record of each key
// instead if nothing was read yet, if the records are gone, or if the store was restored.
func (n *Node) readNew(ctx context.Context, topic source.Topic, c *source.Cursor, wait time.Duration) (source.ReadResult, source.ReadKind, error) {
	from := c.NextOffset(n.clock.Now())
	tail, err := n.readTail(ctx, topic, from, wait)
	if err != nil {
		return tail, source.ReadStale, err
	}
	reading := c.Record(from, tail, n.clock.Now())
	if reading == source.ReadStale {
		n.Count("store.stale-answers")
		tail.AtEnd, tail.Items = false, nil
		n.sleep(ctx, staleRetry)
	}
	return tail, reading, nil
}

// staleRetry is the pause after an answer of another era. It keeps a reader from reading in a
// busy loop while such answers persist. It is five times the latency to a store.
const staleRetry = 20 * time.Millisecond

// rewriteEntries writes the node's entry again after each restoration of the store, since the backup may
// lack it. A random delay spreads the writes of the nodes, which all notice a restoration at once.
func (n *Node) rewriteEntries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.rewriteRequested:
		}
		if !n.sleep(ctx, rand.N(n.policy.RewriteSpread+1)) {
			return
		}
		if _, ok := n.writeNodeEntry(ctx); ok {
			n.Count("store.rewritten")
		}
	}
}
