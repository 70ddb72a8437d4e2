// Package quarantine detects requests that crash the instances that run them, known as queries of
// death, and keeps them from further instances, whichever node and attempt they arrive with.
//
// An ending is the termination of one incarnation of an instance. A request is held back, that is
// quarantined, after a number of independent endings during its attempts without a complete
// response in between.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
)

// fingerprintSize is the length of a fingerprint in bytes. With 128 bits it is infeasible to find a
// second request with the fingerprint of a given one.
const fingerprintSize = 16

// ErrBadFingerprint reports a text that is not a fingerprint.
var ErrBadFingerprint = errors.New("quarantine: fingerprint must have 32 hexadecimal digits")

// Fingerprint identifies the content of a request, identically on all nodes and for all attempts.
// It is a truncated SHA-256 hash, so that neither logs nor status reports reveal what a caller
// sent.
type Fingerprint [fingerprintSize]byte

// Request identifies a request: its content and the parts of its prompt that other requests may share.
type Request struct {
	Fingerprint Fingerprint
	Parts       []Fingerprint
}

// Content is the part of a request that identifies it. Headers are excluded: each attempt has its
// own id and deadline, and a resumed stream names its last event.
type Content struct {
	Method string
	Host   string
	// Target is the path with the query, as in the request line.
	Target string
	// Caller is the team whose key the request carries, or empty where no key is required. It
	// prevents a caller from having the requests of another one quarantined.
	Caller string
	Body   []byte
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(c Content) Fingerprint {
	h := sha256.New()
	for _, s := range []string{c.Method, c.Host, c.Target, c.Caller} {
		writeField(h, []byte(s))
	}
	writeField(h, c.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintSize])
}

// ParseFingerprint returns the fingerprint with the given bytes, and false if their number is wrong.
func ParseFingerprint(raw []byte) (Fingerprint, bool) {
	if len(raw) != fingerprintSize {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// writeField hashes the length of a field before its content, so that moving bytes from one field
// to the next changes the hash. Writing to a hash never fails.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	read, ok := ParseFingerprint(raw)
	if err != nil || !ok {
		return ErrBadFingerprint
	}
	*f = read
	return nil
}
