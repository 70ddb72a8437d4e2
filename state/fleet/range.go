package fleet

import (
	"errors"
	"fmt"
	"time"
)

// Limits on what an instance states of itself. A value past them comes from another writer, or from a faulty instance.
const (
	// MaxGroupSize is the maximum number of members of a group.
	MaxGroupSize = 4096
	// MaxEpoch is the maximum epoch of a group.
	MaxEpoch = 1<<63 - 1
	// MaxSlots is the maximum number of requests that an instance processes concurrently.
	MaxSlots = 1 << 20
	// MaxColdTime is the longest remaining cold time that is believed.
	MaxColdTime = time.Hour
)

// maxBorn is the latest start time that nodes can relay: later ones have no JSON form.
var maxBorn = time.Date(9999, time.December, 31, 23, 59, 59, 0, time.UTC)

// ErrRange means that a value of an instance is out of its range.
var ErrRange = errors.New("fleet: value out of range")

// Validate returns an error if a value of the membership is out of range.
func (m Membership) Validate() error {
	switch {
	case m.Rank < 0 || m.Rank >= MaxGroupSize:
		return fmt.Errorf("%w: rank %d of group %.40q, want 0 to %d", ErrRange, m.Rank, m.Group, MaxGroupSize-1)
	case m.Epoch > MaxEpoch:
		return fmt.Errorf("%w: epoch %d of group %.40q, want at most %d", ErrRange, m.Epoch, m.Group, uint64(MaxEpoch))
	}
	return nil
}

// Validate returns an error if a value of the list entry is out of range.
func (i *Instance) Validate() error {
	switch {
	case i.Slots < 0 || i.Slots > MaxSlots:
		return fmt.Errorf("%w: %d slots, want 0 to %d", ErrRange, i.Slots, MaxSlots)
	case i.ColdLeft < 0 || i.ColdLeft > MaxColdTime:
		return fmt.Errorf("%w: cold for %s, want 0 to %s", ErrRange, i.ColdLeft, MaxColdTime)
	}
	return errors.Join(validateBorn(i.Born), i.Membership.Validate())
}

// Validate returns an error if a value of the report is out of range.
func (r *Report) Validate() error {
	if r.Orders < 0 || r.Waiting < 0 || r.Running < 0 {
		return fmt.Errorf("%w: %d orders, %d requests waiting, %d running, want none below 0", ErrRange, r.Orders, r.Waiting, r.Running)
	}
	return errors.Join(validateBorn(r.Born), r.Membership.Validate())
}

// validateBorn returns an error if a start time has no JSON form.
func validateBorn(at time.Time) error {
	if at.After(maxBorn) {
		return fmt.Errorf("%w: start at Unix second %d, want at most %d", ErrRange, at.Unix(), maxBorn.Unix())
	}
	return nil
}
