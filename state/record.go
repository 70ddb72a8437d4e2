package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
)

// RecordVersion is the version of the record encoding that this program writes and reads.
const RecordVersion = 1

// Kind is the kind of a record.
type Kind string

// The kinds of record.
const (
	KindCommand  Kind = "command"
	KindVoid     Kind = "void"
	KindClaims   Kind = "claims"
	KindSnapshot Kind = "snapshot"
)

// Record is an entry that a node appends to the log, encoded as JSON.
type Record struct {
	Version int    `json:"v"`
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	// By names the operator or node that wrote the record. It does not affect whether the record is
	// accepted.
	By string `json:"by,omitempty"`
	// Text is the operator's statement, stored for the output of the statements show and why.
	Text string `json:"text,omitempty"`
	// Unchanged, if set, refuses the record if another command was accepted after this offset.
	Unchanged Offset `json:"unchanged,omitempty"`
	// Ops are applied atomically (KindCommand).
	Ops []Op `json:"ops,omitempty"`
	// Void is the id of the record that must not take effect any more (KindVoid).
	Void string `json:"void,omitempty"`
	// Claims are applied independently of each other (KindClaims).
	Claims []ClaimOp `json:"claims,omitempty"`
	// Snapshot is the complete state (KindSnapshot).
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Entry is one record as read from the log.
type Entry struct {
	Offset Offset
	// Time is when the log accepted the record, by the log's clock.
	Time time.Time
	Data []byte
}

// NewRecord returns an empty record of a kind with a new UUIDv7 as its id.
func NewRecord(kind Kind, by string) (*Record, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("state: generate record id: %w", err)
	}
	return &Record{Version: RecordVersion, ID: id.String(), Kind: kind, By: by}, nil
}

// Encode returns the record as it is appended to the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("state: encode record %s: %w", r.ID, err)
	}
	return data, nil
}

// DecodeRecord decodes a record. It returns ErrUnknownRecord for an unknown field, kind or version.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownRecord, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("%w: trailing data after the record", ErrUnknownRecord)
	}
	if r.Version != RecordVersion {
		return nil, fmt.Errorf("%w: unsupported version %d", ErrUnknownRecord, r.Version)
	}
	switch r.Kind {
	case KindCommand, KindVoid, KindClaims, KindSnapshot:
		return r, nil
	}
	return nil, fmt.Errorf("%w: unknown kind %q", ErrUnknownRecord, r.Kind)
}

// IDTime returns the timestamp of a UUIDv7, or false for any other text.
func IDTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || len(id) != 36 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
