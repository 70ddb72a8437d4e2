package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/source"
)

// eras is which era of the store a node knows of. The store may come back from a copy some
// seconds old; what was written since is gone, and is written again by those who wrote it.
type eras struct {
	mu    sync.Mutex
	known bool
	era   int64
	// settled is when what others write again counts as written.
	settled time.Time
}

// observe records an era that an answer showed at a time, and reports whether it is a later
// one than was known, and which one that was. The first answer of all ends no era.
func (e *eras) observe(era int64, now time.Time, settle time.Duration) (before int64, restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before = e.era
	restored = e.known && era > e.era
	if restored {
		e.settled = now.Add(settle)
	}
	if !e.known || restored {
		e.known, e.era = true, era
	}
	return before, restored
}

// current returns the newest era.
func (e *eras) current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// confirms reports whether a question asked at a time is answered by more than an older copy:
// a key taken away, or an instance dropped, since the copy was made still stands in it.
func (e *eras) confirms(asked time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !asked.Before(e.settled)
}

// unsettled returns for how long answers still confirm nothing, or 0.
func (e *eras) unsettled(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.settled.Sub(now), 0)
}

// observeEra records which era of the store an answer showed, of the store itself or told by
// another node.
func (n *Node) observeEra(era int64, from string) {
	before, restored := n.eras.observe(era, n.clock.Now(), n.policy.RestoreSettle)
	if !restored {
		return
	}
	n.Count("store.restored")
	n.log.WithFields(log.Fields{"before": before, "now": era, "from": from}).Warn("store came back from an older copy")
	select {
	case n.writeAgain <- struct{}{}:
	default:
	}
	n.readListNow()
	n.tellSoon()
}

// follow reads what is new of a topic, or the newest records where nothing was read yet, the
// records are gone, or the store came back from an older copy.
func (n *Node) follow(ctx context.Context, topic source.Topic, c *source.Cursor, wait time.Duration) (source.Tail, source.Reading, error) {
	from := c.From(n.clock.Now())
	tail, err := n.readTail(ctx, topic, from, wait)
	if err != nil {
		return tail, source.Stale, err
	}
	reading := c.Take(from, tail, n.clock.Now())
	if reading == source.Stale {
		n.Count("store.stale-answers")
		tail.Whole, tail.Items = false, nil
		n.sleep(ctx, staleRetry)
	}
	return tail, reading, nil
}

// staleRetry is the pause after an answer of another era, so that answers that go on to be of
// one do not make a reader ask without end. It is five times the way to a store.
const staleRetry = 20 * time.Millisecond

// rewrite writes the node's entry again after each restoration of the store, as the copy may
// lack it. Nodes spread these writes, since all of them notice a restoration at once.
func (n *Node) rewrite(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.writeAgain:
		}
		if !n.sleep(ctx, rand.N(n.policy.RewriteSpread+1)) {
			return
		}
		if _, ok := n.writeEntry(ctx); ok {
			n.Count("store.rewritten")
		}
	}
}
