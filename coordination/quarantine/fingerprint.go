// Package quarantine finds requests that end the instances that run them, and
// keeps such requests from further instances, on whatever node and as whatever
// attempt they come again. The field's name for them is query of death.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
)

// fingerprintSize is the size of a fingerprint, in bytes: 128 bits, so that nobody
// finds a second request with the fingerprint of a given one.
const fingerprintSize = 16

// ErrBadFingerprint means that a text is no fingerprint.
var ErrBadFingerprint = errors.New("quarantine: not a fingerprint of 32 hexadecimal digits")

// Fingerprint names what a request asks for, alike on all nodes and for all
// attempts. It is a truncated SHA-256, so that neither logs nor status reports
// show what a caller sent.
type Fingerprint [fingerprintSize]byte

// Content is what makes two attempts the same request. Headers are not part of
// it: an attempt has an id and a deadline of its own, and a stream that is taken
// up names its last event.
type Content struct {
	Method string
	Host   string
	// Target is the path with the query, as it stands in the request line.
	Target string
	// Caller is the team whose key the request carries, or empty where none is asked for.
	// With it, no caller can have another one's request held back.
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

// FingerprintOf returns the fingerprint with the given bytes, and whether they are one.
func FingerprintOf(raw []byte) (Fingerprint, bool) {
	if len(raw) != fingerprintSize {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// writeField hashes the length of a field before the field, so that bytes cannot
// move from one field to the next unnoticed. A hash takes all that is written.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	read, ok := FingerprintOf(raw)
	if err != nil || !ok {
		return ErrBadFingerprint
	}
	*f = read
	return nil
}
