package state

import (
	"errors"
	"fmt"
)

// Errors of Apply, of decoding and of snapshots. A node must not skip an entry that fails with
// ErrOffsetGap or ErrUnknownRecord.
var (
	// ErrUnknownRecord means that a record is malformed or has a kind, version or field that this
	// program does not know.
	ErrUnknownRecord = errors.New("state: unknown record format")
	// ErrOffsetGap means that the offset of an entry is not the one after the last entry applied.
	ErrOffsetGap = errors.New("state: gap in the log")
	// ErrStaleSnapshot means that a snapshot is not newer than the current state.
	ErrStaleSnapshot = errors.New("state: snapshot is not newer than the current state")
	// ErrInvalidSnapshot means that a snapshot is damaged or does not match its digest.
	ErrInvalidSnapshot = errors.New("state: invalid snapshot")
)

// Reason is the code of the reason for which a record was refused.
type Reason string

// The reasons for which a record is refused.
const (
	ReasonVoided         Reason = "voided"
	ReasonAlreadySettled Reason = "already-settled"
	ReasonIDExpired      Reason = "expired"
	ReasonBadID          Reason = "bad-id"
	ReasonEmptyCommand   Reason = "empty"
	ReasonGroupExists    Reason = "group-exists"
	ReasonNoGroup        Reason = "no-such-group"
	ReasonEpochChanged   Reason = "epoch-changed"
	ReasonInstanceInUse  Reason = "instance-in-use"
	ReasonNotMember      Reason = "not-a-member"
	ReasonNotReleasing   Reason = "not-releasing"
	ReasonDomainMismatch Reason = "domain-mismatch"
	ReasonGroupSize      Reason = "group-size"
	ReasonTeamExists     Reason = "team-exists"
	ReasonNoTeam         Reason = "no-such-team"
	ReasonServiceExists  Reason = "service-exists"
	ReasonNoService      Reason = "no-such-service"
	ReasonBadValue       Reason = "bad-value"
	ReasonStateChanged   Reason = "state-changed"
	ReasonGroupDraining  Reason = "group-draining"
	ReasonHallEvacuated  Reason = "hall-evacuated"
	ReasonHallAdmitted   Reason = "hall-admitted"
)

// Refusal is the reason for which a record was refused. Its Detail is stored in the state and enters
// the digest, so its wording must be the same in every node.
type Refusal struct {
	Reason Reason
	Detail string
}

// Error returns the reason and its detail.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Detail) }

// refuse returns a Refusal with a formatted detail.
func refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
