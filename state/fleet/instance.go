// Package fleet holds the types that describe the target instances of a platform
// that lists them itself: their locations, their memberships in replica groups,
// and their reports.
package fleet

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/troutmast/troutmast/state"
)

// MemberState is the state of an instance as a member of a group.
type MemberState string

// The states of a member. Only the head, which is the first member, can be open or closing.
const (
	Joining MemberState = "joining"
	Ready   MemberState = "ready"
	Open    MemberState = "open"
	Closing MemberState = "closing"
	Broken  MemberState = "broken"
)

// Membership is the group membership that an instance reports; the zero value is none.
type Membership struct {
	Group state.GroupName
	Epoch state.Epoch
	Rank  int
	State MemberState
}

// GroupKey identifies a group at one epoch.
type GroupKey struct {
	Group state.GroupName
	Epoch state.Epoch
}

// Key returns the group and epoch of the membership.
func (m Membership) Key() GroupKey { return GroupKey{m.Group, m.Epoch} }

// Incarnation identifies one incarnation of a target process: a process may restart
// under the same ID.
type Incarnation struct {
	ID state.InstanceID `json:"i"`
	// Life distinguishes the incarnations of one ID: it is the start time in milliseconds. It is empty
	// for a process that does not report its start time.
	Life string `json:"l,omitempty"`
}

// StartedAfter reports whether i is certain to have started after o, an incarnation of the same process.
// It is false if either start time is unknown.
func (i Incarnation) StartedAfter(o Incarnation) bool {
	if i.Life == "" || o.Life == "" || i.Life == o.Life {
		return false
	}
	if len(i.Life) != len(o.Life) {
		return len(i.Life) > len(o.Life)
	}
	return i.Life > o.Life
}

// Instance is one incarnation of a target process, as in the platform's list.
type Instance struct {
	ID state.InstanceID
	// Born is the start time of the process by its own clock, in whole milliseconds; zero if it does not
	// report one.
	Born    time.Time `json:",omitzero"`
	Service state.ServiceName
	Address netip.AddrPort
	Hall    state.HallName
	Domain  string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining is set if the instance shuts down soon and accepts no new requests.
	Draining bool
	// ColdLeft is the time for which the instance remains cold, counted from when the entry was read: a
	// cold instance handles only a few requests a second. It is 0 if the instance is warm.
	ColdLeft time.Duration `json:",omitzero"`
	// Model is the model that it has loaded, or had in its last group. Staged are the models that its
	// host stores.
	Model      string
	Staged     []string
	Membership Membership
	// Loaded is the model that it currently has loaded; empty for none.
	Loaded string
	// Position orders the list's entries for the instance, also across a restore of the list from a
	// backup.
	Position int64
}

// Incarnation returns the incarnation of the process that the entry describes.
func (i *Instance) Incarnation() Incarnation { return NewIncarnation(i.ID, i.Born) }

// NewIncarnation returns the incarnation of a process that started at startedAt, which is zero if the time
// is unknown.
func NewIncarnation(id state.InstanceID, startedAt time.Time) Incarnation {
	if startedAt.IsZero() {
		return Incarnation{ID: id}
	}
	return Incarnation{ID: id, Life: strconv.FormatInt(startedAt.UnixMilli(), 10)}
}

// HasStaged reports whether the instance's host stores a model.
func (i *Instance) HasStaged(model string) bool {
	for _, s := range i.Staged {
		if s == model {
			return true
		}
	}
	return false
}

// Report is the response of an instance to a probe.
type Report struct {
	Notice
	// Born is the start time of the process, as in Instance.
	Born       time.Time
	Membership Membership
	Model      string
	Staged     []string
	// Busy is set if an order is in progress.
	Busy bool
	// Orders is the number of orders that this incarnation has accepted.
	Orders int64
	// Waiting and Running are the numbers of its queued and executing requests.
	Waiting int
	Running int
	// Asked is when the probe was sent.
	Asked time.Time
}
