// Package fleet holds what is known of the target instances of a platform that
// lists them itself: where they are, which replica group each is in, and what
// each last said.
package fleet

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/troutmast/troutmast/state"
)

// MemberState is how far a member of a group has come.
type MemberState string

// The states of a member. Only the first member, the head, is ever open or closing.
const (
	Joining MemberState = "joining"
	Ready   MemberState = "ready"
	Open    MemberState = "open"
	Closing MemberState = "closing"
	Broken  MemberState = "broken"
)

// Membership is the group that an instance says it belongs to; the zero value is none.
type Membership struct {
	Group state.GroupName
	Epoch state.Epoch
	Rank  int
	State MemberState
}

// GroupKey names one formation of a group.
type GroupKey struct {
	Group state.GroupName
	Epoch state.Epoch
}

// Key returns the formation that the membership belongs to.
func (m Membership) Key() GroupKey { return GroupKey{m.Group, m.Epoch} }

// Incarnation names one life of a target process: a process may start again
// under the id that it had.
type Incarnation struct {
	ID state.InstanceID `json:"i"`
	// Life tells the lives of one id apart; empty for a process that does not tell them apart itself.
	Life string `json:"l,omitempty"`
}

// LaterThan reports whether a life is certain to have begun after another one of the same
// process. Lives are told apart by when they began, in milliseconds.
func (i Incarnation) LaterThan(o Incarnation) bool {
	if i.Life == "" || o.Life == "" || i.Life == o.Life {
		return false
	}
	if len(i.Life) != len(o.Life) {
		return len(i.Life) > len(o.Life)
	}
	return i.Life > o.Life
}

// Instance is one life of a target process, as the platform's list shows it.
type Instance struct {
	ID state.InstanceID
	// Born is when the process started by its own clock, in whole milliseconds; zero if it does not say so.
	Born    time.Time `json:",omitzero"`
	Service state.ServiceName
	Address netip.AddrPort
	Hall    state.HallName
	Domain  string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining tells that the instance will end soon and takes no new work.
	Draining bool
	// Model is the model that it has loaded, or had in its last group, Staged those that its host holds.
	Model      string
	Staged     []string
	Membership Membership
	// Loaded is the model that it has loaded now, or none.
	Loaded string
	// Position orders what the list said of the instance, also where the list was restored from
	// an older copy.
	Position int64
}

// Incarnation returns which life of the process the entry is of.
func (i *Instance) Incarnation() Incarnation { return LifeSince(i.ID, i.Born) }

// LifeSince returns the life of a process that started at a time, if it tells that.
func LifeSince(id state.InstanceID, born time.Time) Incarnation {
	if born.IsZero() {
		return Incarnation{ID: id}
	}
	return Incarnation{ID: id, Life: strconv.FormatInt(born.UnixMilli(), 10)}
}

// HasStaged reports whether the instance's host holds a model.
func (i *Instance) HasStaged(model string) bool {
	for _, s := range i.Staged {
		if s == model {
			return true
		}
	}
	return false
}

// Report is what an instance answered when asked itself.
type Report struct {
	Notice
	// Born is when the process started, as in Instance.
	Born       time.Time
	Membership Membership
	Model      string
	Staged     []string
	// Busy tells that an order is under way.
	Busy bool
	// Orders is the number of orders that the instance has taken in this life.
	Orders int64
	// Waiting and Running are the requests that it holds.
	Waiting int
	Running int
	// Asked is when the question left.
	Asked time.Time
}
