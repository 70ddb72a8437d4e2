// Package statelog replays the platform's log into a node's copy of the replicated
// state and determines the outcome of the records that the node appends.
//
// A record is reported as accepted only after it has been read back at its offset.
package statelog

import (
	"context"
	"errors"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Errors of this package.
var (
	// ErrNotAppended means that the record is certainly not in the log.
	ErrNotAppended = errors.New("statelog: the record was not appended")
	// ErrUnsettled means that the append may or may not take effect; the outcome can be looked up by ID later.
	ErrUnsettled = errors.New("statelog: not known whether the record was appended")
	// ErrStopped means that replay has stopped for good and applies no further record.
	ErrStopped = errors.New("statelog: the fold has stopped")
	// ErrRestored means that the log was restored from a backup: records that this node has
	// acted on may be missing, and their offsets may be reused.
	ErrRestored = errors.New("statelog: the log came back from an older copy")
	// ErrNoState means that neither the log nor a peer provides the complete state.
	ErrNoState = errors.New("statelog: neither the log nor a peer provides the complete state")
)

// Page is the response to one read of the log.
type Page struct {
	// Era counts how often the log was restored from a backup.
	Era int64
	// First is the oldest offset that the log retains.
	First state.Offset
	// Head is the newest offset in the log at the time of the read; 0 if the log is empty.
	Head    state.Offset
	Entries []state.Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. ErrNotAppended is returned
	// only if the record was certainly not appended; after any other error it may have been.
	Append(ctx context.Context, data []byte) (state.Offset, error)
	// Read returns at most limit entries starting at offset from, and waits up to wait for the first.
	Read(ctx context.Context, from state.Offset, limit int, wait time.Duration) (Page, error)
}

// Peers provides the state held by other nodes.
type Peers interface {
	// Snapshot returns a snapshot newer than an offset, or an error.
	Snapshot(ctx context.Context, newerThan state.Offset) (*state.Snapshot, error)
	// Records returns at most limit entries starting at offset from, as far as a peer retains them.
	Records(ctx context.Context, from state.Offset, limit int) ([]state.Entry, error)
}
