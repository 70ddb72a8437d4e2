package placement

import (
	"sync"

	"github.com/troutmast/troutmast/state"
)

// The part of an epoch that names the node life that made it: the place of the node's entry in
// the store, as its offset and the era in which it was written. Both are cut off; lives
// that many entries or eras apart are not there at once.
const (
	offsetBits = 16
	eraBits    = 4
	numberBits = offsetBits + eraBits
)

// Epochs makes the epochs of one life of a node: each is above all that were
// seen and all that were made, and no other node makes the same. Safe for concurrent use.
type Epochs struct {
	number  state.Epoch
	mu      sync.Mutex
	highest state.Epoch
}

// NewEpochs returns the Epochs of the node life whose entry was written at an offset in an era
// of the store. The store gives an offset out again only in a later era.
func NewEpochs(era, offset int64) *Epochs {
	return &Epochs{number: state.Epoch(era)&(1<<eraBits-1)<<offsetBits | state.Epoch(offset)&(1<<offsetBits-1)}
}

// Next returns a new epoch above one that was seen.
func (e *Epochs) Next(seen state.Epoch) state.Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highest = (max(seen, e.highest)>>numberBits+1)<<numberBits | e.number
	return e.highest
}

// seenStep is by how many epochs a node goes on when an instance has seen one that the node has not.
const seenStep = 64

// Behind goes on past epochs that some instance has seen and this node has not.
func (e *Epochs) Behind() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highest += seenStep << numberBits
}

// Observe takes in an epoch that was seen.
func (e *Epochs) Observe(seen state.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highest = max(e.highest, seen)
}
