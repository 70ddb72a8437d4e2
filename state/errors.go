package state

import (
	"errors"
	"fmt"
)

// Errors that stop a fold: the node must not go on from such a record.
var (
	// ErrUnknownRecord means the record is of a kind or version this program does not know.
	ErrUnknownRecord = errors.New("state: record not understood")
	// ErrGap means a record was offered whose offset does not follow the last one.
	ErrGap = errors.New("state: gap in the log")
	// ErrBackwards means a snapshot older than the held state was offered.
	ErrBackwards = errors.New("state: snapshot is older than the state held")
	// ErrSnapshot means a snapshot is damaged or does not match its digest.
	ErrSnapshot = errors.New("state: snapshot not usable")
)

// Reason is the code of why a record was refused.
type Reason string

// The reasons for which the fold refuses a record.
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

// Refusal says why the fold refused a record.
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
