package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Sizes in bytes of the chunks of a text. Their ends depend on the text just before, so that two texts that share
// some kilobytes in different places have the same chunks there.
const (
	minChunk = 64
	maxChunk = 2048
	// chunkMask selects one end in 128 bytes beyond minChunk.
	chunkMask = 0x7f << 25
)

// maxChunks is the number of chunks of one text that are considered. An ending keeps Policy.MaxRequests fingerprints of
// all requests that it interrupted.
const maxChunks = 8

// gear holds a random number for each byte, from which the hash of the last 32 bytes is computed.
var gear = newGear()

// newGear returns numbers that are the same in all builds.
func newGear() (table [256]uint32) {
	for i := range table {
		hash := sha256.Sum256([]byte{byte(i)})
		table[i] = binary.BigEndian.Uint32(hash[:])
	}
	return table
}

// NewChunkFingerprints returns the fingerprints of the parts of a prompt whose parts have no IDs: chunks of its text. The
// last chunk belongs to the request itself. Of a long text the maxChunks chunks with the smallest fingerprints are taken,
// so that texts with common chunks take the same ones.
func NewChunkFingerprints(text []byte) []Fingerprint {
	var list []Fingerprint
	for {
		end := chunkEnd(text)
		if end == len(text) {
			break
		}
		list = append(list, newPartFingerprint(text[:end]))
		text = text[end:]
	}
	slices.SortFunc(list, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	list = slices.Compact(list)
	return list[:min(len(list), maxChunks)]
}

// chunkEnd returns the end of the first chunk of a text.
func chunkEnd(text []byte) int {
	var hash uint32
	for i, b := range text[:min(len(text), maxChunk)] {
		hash = hash<<1 + gear[b]
		if i >= minChunk && hash&chunkMask == 0 {
			return i
		}
	}
	return min(len(text), maxChunk)
}
