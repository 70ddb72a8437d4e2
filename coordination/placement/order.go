// Package placement forms, repairs and takes apart replica groups on its own,
// without an operator: the planner is a function of what instances say of
// themselves and of the configuration, and any node may run it.
package placement

import (
	"errors"
	"net/netip"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Action is what an instance is ordered to do.
type Action string

// The actions.
const (
	// Join makes an instance a member of a group, replacing its membership.
	Join Action = "join"
	// Open lets the head of a ready group take requests.
	Open Action = "open"
	// Close lets a head finish its requests and take no more.
	Close Action = "close"
	// Abort ends a head's requests at once.
	Abort Action = "abort"
	// Leave ends a membership.
	Leave Action = "leave"
	// Stage loads a model to the instance's host, beside all else.
	Stage Action = "stage"
)

// ErrReplaced means that another instance answers at an instance's address, so that it has ended.
var ErrReplaced = errors.New("placement: another instance has the address")

// ErrUnreadable means that an instance answered something that is no report.
var ErrUnreadable = errors.New("placement: report not readable")

// Order is one order to one life of an instance.
type Order struct {
	Action   Action
	Instance state.InstanceID
	Address  netip.AddrPort
	Key      fleet.GroupKey
	Model    string
	// Members are the group's, by rank; the first is the head.
	Members []state.InstanceID
	// Expect, when set, is the number of orders that the instance must have taken so far.
	Expect *int64
	// Why is the reason, for the log.
	Why string
}

// Reply is what an instance said of an order.
type Reply string

// The replies.
const (
	// Unanswered orders may have been taken, or may be carried out later.
	Unanswered Reply = "unanswered"
	// Begun orders are being carried out.
	Begun Reply = "begun"
	// Done orders have been carried out, or held already.
	Done Reply = "done"
	// Refused orders change nothing.
	Refused Reply = "refused"
	// Superseded orders change nothing: the instance has seen a later epoch, or the same one with other members.
	Superseded Reply = "superseded"
)
