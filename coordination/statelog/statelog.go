// Package statelog keeps a node's copy of the agreed state in step with the
// platform's log, and settles what the node itself has appended.
//
// Nothing is reported as accepted before it has been read back at its offset.
package statelog

import (
	"context"
	"errors"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Errors of this package.
var (
	// ErrNotAppended means the log certainly holds no record of this append.
	ErrNotAppended = errors.New("statelog: the record was not appended")
	// ErrUnsettled means the append may or may not take effect; the id settles it later.
	ErrUnsettled = errors.New("statelog: not known whether the record was appended")
	// ErrStopped means the fold met a record that it must not pass.
	ErrStopped = errors.New("statelog: the fold has stopped")
	// ErrRestored means that the log came back from an older copy of itself: records that this node
	// has acted on may be gone, and their offsets given to others.
	ErrRestored = errors.New("statelog: the log came back from an older copy")
	// ErrNoState means that neither the log nor a peer can show the whole state.
	ErrNoState = errors.New("statelog: no source shows the whole state")
)

// Page is one answer of the log.
type Page struct {
	// Era counts how often the log came back from an older copy of itself.
	Era int64
	// First is the oldest offset that the log still holds.
	First state.Offset
	// Head is the newest offset in the log when it answered; 0 when it is empty.
	Head    state.Offset
	Entries []state.Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. ErrNotAppended is returned
	// only if the record certainly did not get in; any other error leaves it open.
	Append(ctx context.Context, data []byte) (state.Offset, error)
	// Read returns entries from an offset on, waiting up to wait for the first.
	Read(ctx context.Context, from state.Offset, most int, wait time.Duration) (Page, error)
}

// Peers are the other nodes as sources of the state.
type Peers interface {
	// Snapshot returns a state newer than an offset, or an error.
	Snapshot(ctx context.Context, newerThan state.Offset) (*state.Snapshot, error)
	// Records returns entries from an offset on, as far as a peer holds them.
	Records(ctx context.Context, from state.Offset, most int) ([]state.Entry, error)
}
