// Package source names what a platform's store gives to troutmast: keyed topics
// whose newest records are kept for good, and the errors of reading them.
package source

import "errors"

// The errors of a store.
var (
	// ErrUnavailable means that the store did not answer, or would not.
	ErrUnavailable = errors.New("source: store unavailable")
	// ErrTrimmed means that the records asked for are gone, or not there.
	ErrTrimmed = errors.New("source: records are gone")
)

// Topic names one of the keyed topics that the product uses.
type Topic string

// The topics.
const (
	// Configuration holds the operator's configuration, whole.
	Configuration Topic = "configuration"
	// Instances holds an entry of each target instance.
	Instances Topic = "instances"
	// Nodes holds an entry of each entry node.
	Nodes Topic = "nodes"
	// Quarantine holds the requests that are held back because instances ended under them.
	Quarantine Topic = "quarantine"
)

// Item is one record; one without a value drops its key.
type Item struct {
	Key    string
	Value  []byte
	Offset int64
}

// Place is where a record was written.
type Place struct {
	Era    int64
	Offset int64
}

// Tail is the answer to a read.
type Tail struct {
	// Era counts how often the store came back from an older copy of itself, after which it
	// gives offsets out again; 0 if it does not tell.
	Era   int64
	Items []Item
	// End is the offset to read from next.
	End int64
	// Whole tells that no further record was there when the answer was given.
	Whole bool
}
