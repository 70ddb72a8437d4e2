package state

import (
	"errors"
	"fmt"
)

// Errors of Apply, of decoding and of snapshots. A node must not skip an entry that fails with ErrGap or
// ErrUnknownRecord.
var (
	// ErrUnknownRecord means that a record cannot be decoded: it is malformed, or of a kind, version or
	// field that this program does not know.
	ErrUnknownRecord = errors.New("state: unknown record format")
	// ErrGap means that the offset of an entry is not the one after the last entry applied.
	ErrGap = errors.New("state: gap in the log")
	// ErrBackwards means that a snapshot is not newer than the current state.
	ErrBackwards = errors.New("state: snapshot is not newer than the current state")
	// ErrSnapshot means that a snapshot is damaged or does not match its digest.
	ErrSnapshot = errors.New("state: invalid snapshot")
)

// Reason is the code of the reason for which a record was refused.
type Reason string

// The reasons for which a record is refused.
const (
	ReasonVoided         Reason = "voided"
	ReasonAlreadySettled Reason = "already-settled"
	ReasonExpired        Reason = "expired"
	ReasonBadID          Reason = "bad-id"
	ReasonEmpty          Reason = "empty"
	ReasonGroupExists    Reason = "group-exists"
	ReasonNoGroup        Reason = "no-such-group"
	ReasonEpochChanged   Reason = "epoch-changed"
	ReasonInUse          Reason = "instance-in-use"
	ReasonNotMember      Reason = "not-a-member"
	ReasonNotReleasing   Reason = "not-releasing"
	ReasonDomain         Reason = "domain-mismatch"
	ReasonSize           Reason = "group-size"
	ReasonTeamExists     Reason = "team-exists"
	ReasonNoTeam         Reason = "no-such-team"
	ReasonServiceExists  Reason = "service-exists"
	ReasonNoService      Reason = "no-such-service"
	ReasonBadValue       Reason = "bad-value"
	ReasonOffset         Reason = "state-changed"
	ReasonDraining       Reason = "group-draining"
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
