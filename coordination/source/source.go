// Package source defines how troutmast reads the platform's store: keyed topics, of which
// the store retains the newest record of each key indefinitely, and the errors of reads.
package source

import "errors"

// Errors of a store.
var (
	// ErrUnavailable means that the store did not respond or refused the request.
	ErrUnavailable = errors.New("source: store unavailable")
	// ErrTrimmed means that the requested records were trimmed or do not exist.
	ErrTrimmed = errors.New("source: records are gone")
)

// Topic is the name of a keyed topic.
type Topic string

// The topics.
const (
	// Configuration holds the operator's configuration as one record.
	Configuration Topic = "configuration"
	// Instances holds one entry per target instance.
	Instances Topic = "instances"
	// Nodes holds one entry per entry node.
	Nodes Topic = "nodes"
	// Quarantine holds the requests that are quarantined because instances ended while serving them.
	Quarantine Topic = "quarantine"
	// Eras holds the last era of the store that has settled, as one record.
	Eras Topic = "eras"
)

// Item is one record. A record without a value is a tombstone: it deletes its key.
type Item struct {
	Key    string
	Value  []byte
	Offset int64
}

// RecordPosition is the era and offset at which a record was written.
type RecordPosition struct {
	Era    int64
	Offset int64
}

// ReadResult is the response to a read.
type ReadResult struct {
	// Era counts how often the store was restored from a backup, after which it reuses
	// offsets; 0 if the store does not report it.
	Era   int64
	Items []Item
	// NextOffset is the offset to read from next.
	NextOffset int64
	// AtEnd reports whether the read reached the end of the topic.
	AtEnd bool
}
