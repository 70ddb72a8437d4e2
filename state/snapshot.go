package state

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// maxSnapshotBytes bounds the decompressed size of a snapshot on restore.
const maxSnapshotBytes = 256 << 20

// Snapshot is the complete state at an offset, compressed; equal states have equal snapshots.
type Snapshot struct {
	At Offset `json:"at"`
	// Digest is the SHA-256 of the uncompressed content, in hexadecimal.
	Digest string `json:"digest"`
	Data   []byte `json:"data"`
}

// snapshotContent is the uncompressed form of a snapshot. The order of every slice is deterministic,
// so that equal states have equal digests.
type snapshotContent struct {
	Offset       Offset        `json:"offset"`
	LastAccepted Offset        `json:"last_accepted"`
	Now          time.Time     `json:"now"`
	Groups       []*Group      `json:"groups"`
	Instances    []*Assignment `json:"instances"`
	Teams        []*Team       `json:"teams"`
	Services     []*Service    `json:"services"`
	Policy       Policy        `json:"policy"`
	Outcomes     []Outcome     `json:"outcomes"`
	IDs          []expiringID  `json:"ids"`
	Claims       []Claim       `json:"claims"`
	Keys         []expiringKey `json:"keys"`
	// Evacuations is left out if it is empty, so that states without any have the digests of earlier builds.
	Evacuations []*Evacuation `json:"evacuations,omitempty"`
}

// encodeContent returns the uncompressed content of the state.
func (s *State) encodeContent() ([]byte, error) {
	c := snapshotContent{
		Offset:       s.offset,
		LastAccepted: s.lastAccepted,
		Now:          s.now.UTC(),
		Groups:       s.Groups(),
		Instances:    s.Assignments(),
		Teams:        s.Teams(),
		Services:     s.Services(),
		Policy:       s.policy,
		Outcomes:     s.Outcomes(),
		IDs:          append([]expiringID{}, s.idQueue...),
		Keys:         append([]expiringKey{}, s.keyQueue...),
		Evacuations:  s.Evacuations(),
	}
	for _, claim := range s.claims {
		c.Claims = append(c.Claims, claim)
	}
	slices.SortFunc(c.Claims, func(a, b Claim) int { return compareClaimKeys(a.ClaimKey, b.ClaimKey) })
	return json.Marshal(c)
}

// compareClaimKeys orders claim keys by key, then by team and service.
func compareClaimKeys(a, b ClaimKey) int {
	if a.Key != b.Key {
		return bytes.Compare([]byte(a.Key), []byte(b.Key))
	}
	return bytes.Compare([]byte(a.Team+"/"+TeamName(a.Service)), []byte(b.Team+"/"+TeamName(b.Service)))
}

// Digest returns the SHA-256 of the complete state, in hexadecimal.
func (s *State) Digest() (string, error) {
	data, err := s.encodeContent()
	if err != nil {
		return "", fmt.Errorf("state: digest: %w", err)
	}
	return digestOf(data), nil
}

// digestOf returns the SHA-256 of data in hexadecimal.
func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Snapshot returns a snapshot of the complete state.
func (s *State) Snapshot() (*Snapshot, error) {
	data, err := s.encodeContent()
	if err != nil {
		return nil, fmt.Errorf("state: snapshot: %w", err)
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("state: snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("state: snapshot: %w", err)
	}
	return &Snapshot{At: s.offset, Digest: digestOf(data), Data: buf.Bytes()}, nil
}

// Restore returns the state in a snapshot, or ErrInvalidSnapshot if it is damaged.
func Restore(snap *Snapshot) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(snap.Data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if digestOf(data) != snap.Digest {
		return nil, fmt.Errorf("%w: content does not match its digest", ErrInvalidSnapshot)
	}
	var c snapshotContent
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if c.Offset != snap.At {
		return nil, fmt.Errorf("%w: content has offset %d, expected %d", ErrInvalidSnapshot, c.Offset, snap.At)
	}
	return c.toState(), nil
}

// toState returns the State with this content.
func (c *snapshotContent) toState() *State {
	s := New()
	s.offset, s.lastAccepted, s.now, s.policy = c.Offset, c.LastAccepted, c.Now, c.Policy
	s.idQueue, s.keyQueue = c.IDs, c.Keys
	for _, g := range c.Groups {
		s.groups[g.Name] = g
	}
	for _, a := range c.Instances {
		s.instances[a.Instance] = a
	}
	for _, t := range c.Teams {
		s.teams[t.Name] = t
	}
	for _, svc := range c.Services {
		s.services[svc.Name] = svc
	}
	for _, e := range c.Evacuations {
		s.evacuations[e.Hall] = e
	}
	for _, o := range c.Outcomes {
		s.outcomes[o.ID] = o
	}
	for _, claim := range c.Claims {
		s.claims[claim.ClaimKey] = claim
	}
	return s
}
