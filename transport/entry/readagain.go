package entry

import (
	"context"
	"errors"
	"time"

	"github.com/troutmast/troutmast/coordination/source"
)

// errReadAgain ends a read of the configuration that a new one replaces.
var errReadAgain = errors.New("entry: read ended in favor of a new one")

// readConfig reads the configuration. A node that becomes leader does not wait for the end of a read that began before:
// what it relays is as old as that read, and all other nodes would read the store themselves. Nor does a node wait for a
// store that answers other nodes again.
func (n *Node) readConfig(ctx context.Context, cursor *source.Cursor) (source.ReadResult, source.ReadKind, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	drain(n.becameLeader)
	drain(n.storeAnswers)
	becameLeader := n.becameLeader
	if leading, _ := n.peers.leadership(); leading {
		becameLeader = nil
	}
	go func() {
		select {
		case <-becameLeader:
			cancel(errReadAgain)
		case <-n.storeAnswers:
			cancel(errReadAgain)
		case <-ctx.Done():
		}
	}()
	return n.readNew(ctx, source.Configuration, cursor, n.configWait())
}

// awaitRetry waits until the next try of a failing store, or until the store answers other nodes, and reports whether
// the node is still running.
func (n *Node) awaitRetry(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
	case <-n.storeAnswers:
	}
	return true
}

// drain removes an earlier signal from a channel of capacity 1.
func drain(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// signal sends a signal to a channel of capacity 1, unless it holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
