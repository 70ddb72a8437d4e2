package placement

import (
	"sync"

	"github.com/troutmast/troutmast/state"
)

// The low bits of an epoch identify the node incarnation that generated it, by the offset of
// the node's entry in the store and the era in which it was written. Both are truncated to
// the given widths: incarnations so many entries or eras apart do not exist at the same time.
const (
	offsetBits = 16
	eraBits    = 4
	ownerBits  = offsetBits + eraBits
)

// EpochGenerator generates the epochs of one node incarnation. Each is greater than all epochs
// observed or generated before, and no other node generates the same one. It is safe for
// concurrent use.
type EpochGenerator struct {
	owner   state.Epoch
	mu      sync.Mutex
	highest state.Epoch
}

// NewEpochGenerator returns the EpochGenerator of the node incarnation whose entry was written at an offset in
// an era of the store. The store reuses an offset only in a later era.
func NewEpochGenerator(era, offset int64) *EpochGenerator {
	return &EpochGenerator{owner: state.Epoch(era)&(1<<eraBits-1)<<offsetBits | state.Epoch(offset)&(1<<offsetBits-1)}
}

// maxObserved is the highest epoch of others that is observed. The epochs above it, as many again, are left for this
// system, so that its epochs neither overflow nor leave the range of epochs that nodes accept. Only another writer states
// a higher one.
const maxObserved state.Epoch = 1 << 62

// Next returns a new epoch that is greater than seen, unless seen is above maxObserved.
func (e *EpochGenerator) Next(seen state.Epoch) state.Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(seen)
	e.highest = (e.highest>>ownerBits+1)<<ownerBits | e.owner
	return e.highest
}

// observe records an epoch. e.mu must be held.
func (e *EpochGenerator) observe(seen state.Epoch) {
	if seen <= maxObserved {
		e.highest = max(e.highest, seen)
	}
}

// supersededStep is the number of epochs to skip when an instance has seen an epoch unknown to this node.
const supersededStep = 64

// SkipAhead skips epochs after an instance has reported one that this node has not observed.
func (e *EpochGenerator) SkipAhead() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highest += supersededStep << ownerBits
}

// Observe records an epoch seen elsewhere; later epochs are greater.
func (e *EpochGenerator) Observe(seen state.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(seen)
}
