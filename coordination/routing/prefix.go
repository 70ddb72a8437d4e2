package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the number of tokens that one hash of a prompt's prefix stands for.
const PrefixBlock = 64

// blockBytes is the number of prompt bytes taken as one block, about four a token.
const blockBytes = 4 * PrefixBlock

// prefixSlots is the number of block hashes remembered for a group.
const prefixSlots = 1024

// prefixCache remembers which prompt blocks were sent to a group lately.
//
// It is a hint: a slot may be overwritten at any time, and the engine may have
// dropped the block, so a wrong answer costs only time.
type prefixCache struct {
	slots [prefixSlots]atomic.Uint64
}

// match returns how many leading blocks the group has probably cached.
func (p *prefixCache) match(prefix []uint64) int {
	for i, h := range prefix {
		if p.slots[h%prefixSlots].Load() != h {
			return i
		}
	}
	return len(prefix)
}

// Remember notes that the group is about to process a prompt.
func (c *Candidate) Remember(prefix []uint64) {
	for _, h := range prefix {
		c.prefixes.slots[h%prefixSlots].Store(h)
	}
}

// HashPrefix returns the hashes of the leading whole blocks of a prompt.
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
