package placement

import (
	"sync"

	"github.com/troutmast/troutmast/state"
)

// numberBits is the part of an epoch that holds the number of the node that made it.
const numberBits = 20

// Epochs makes the epochs of one life of a node: each is above all that were
// seen and all that were made, and no other node makes the same. Safe for concurrent use.
type Epochs struct {
	number  state.Epoch
	mu      sync.Mutex
	highest state.Epoch
}

// NewEpochs returns the Epochs of the node life with a number that no other life has.
func NewEpochs(number uint64) *Epochs {
	return &Epochs{number: state.Epoch(number) & (1<<numberBits - 1)}
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
