package quarantine

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// partMark begins the fingerprint of a part of a prompt, which distinguishes it from that of a request.
const partMark = "part"

// MaxParts is the maximum number of parts of one prompt that are considered.
const MaxParts = 32

// NewPartFingerprints returns the fingerprints of the parts of a prompt that other requests may share, given the IDs of
// all parts in order. The last part belongs to the request itself or to its session. Unlike that of a request, the
// fingerprint of a part does not depend on the caller: a part that crashes instances does so whoever sends it.
func NewPartFingerprints(ids []string) []Fingerprint {
	if len(ids) < 2 {
		return nil
	}
	shared := ids[:min(len(ids)-1, MaxParts)]
	list := make([]Fingerprint, len(shared))
	for i, id := range shared {
		list[i] = newPartFingerprint([]byte(id))
	}
	return list
}

// newPartFingerprint returns the fingerprint of a part, given its ID or its text.
func newPartFingerprint(content []byte) Fingerprint {
	var f Fingerprint
	hash := sha256.Sum256(content)
	copy(f[:], partMark)
	copy(f[len(partMark):], hash[:])
	return f
}

// IsPart reports whether the fingerprint is that of a part of a prompt.
func (f Fingerprint) IsPart() bool { return bytes.HasPrefix(f[:], []byte(partMark)) }

// SplitParts splits fingerprints into those of requests and those of parts of prompts.
func SplitParts(list []Fingerprint) (requests, parts []Fingerprint) {
	for _, f := range list {
		if f.IsPart() {
			parts = append(parts, f)
		} else {
			requests = append(requests, f)
		}
	}
	return requests, parts
}

// containsAll reports whether a list of parts contains all of another.
func containsAll(list, parts []Fingerprint) bool {
	for _, part := range parts {
		if !slices.Contains(list, part) {
			return false
		}
	}
	return true
}
