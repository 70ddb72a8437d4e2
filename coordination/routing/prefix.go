package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the number of tokens in one hashed block of a prompt prefix.
const PrefixBlock = 64

// blockBytes is the number of prompt bytes in one block, at about four bytes per token.
const blockBytes = 4 * PrefixBlock

// prefixSlots is the number of block hashes kept for a group.
const prefixSlots = 1024

// prefixCache records which prompt blocks were recently sent to a group.
//
// It is a hint: a slot can be overwritten at any time, and the engine may have evicted
// the block. A wrong match costs only time.
type prefixCache struct {
	slots [prefixSlots]atomic.Uint64
}

// match returns the number of leading blocks that the group has probably cached.
func (p *prefixCache) match(prefix []uint64) int {
	for i, h := range prefix {
		if p.slots[h%prefixSlots].Load() != h {
			return i
		}
	}
	return len(prefix)
}

// RecordPrefix records that the group is about to process a prompt with the given block hashes.
func (c *Candidate) RecordPrefix(prefix []uint64) {
	for _, h := range prefix {
		c.prefixes.slots[h%prefixSlots].Store(h)
	}
}

// HashPrefix returns the hashes of the complete leading blocks of a prompt. Each hash covers the
// prompt up to the end of its block.
func HashPrefix(prompt []byte) []uint64 {
	var hashes []uint64
	var d xxhash.Digest
	d.Reset()
	for len(prompt) >= blockBytes {
		_, _ = d.Write(prompt[:blockBytes])
		hashes = append(hashes, d.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}
