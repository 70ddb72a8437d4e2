// Package placement forms, repairs and dissolves replica groups without an
// operator. The planner decides only from the status of the instances and the
// configuration, so any node can run it.
package placement

import (
	"errors"
	"net/netip"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Action is the operation that an order requests of an instance.
type Action string

// Actions of an order.
const (
	// Join makes an instance a member of a group, replacing its membership.
	Join Action = "join"
	// Open makes the head of a ready group accept requests.
	Open Action = "open"
	// Close makes a head finish its requests and accept no new ones.
	Close Action = "close"
	// Abort ends the requests of a head immediately.
	Abort Action = "abort"
	// Leave ends a membership.
	Leave Action = "leave"
	// Stage loads a model to the instance's host in the background, whatever the instance's membership.
	Stage Action = "stage"
)

// ErrAddressReused means that another instance answers at the address of an instance, so the latter has ended.
var ErrAddressReused = errors.New("placement: another instance has the address")

// ErrInvalidReport means that the answer of an instance is not a valid report.
var ErrInvalidReport = errors.New("placement: report not readable")

// ErrInvalidReply means that an instance answered an order with a status that does not tell whether it carries it out.
var ErrInvalidReply = errors.New("placement: reply to an order not understood")

// Order is a command to one incarnation of an instance.
type Order struct {
	Action   Action
	Instance state.InstanceID
	Address  netip.AddrPort
	Key      fleet.GroupKey
	Model    string
	// Members are the members of the group by rank; the first is the head.
	Members []state.InstanceID
	// ExpectedOrders, if set, is the number of orders that the instance must have accepted before this one.
	ExpectedOrders *int64
	// Reason is the reason that is logged.
	Reason string
}

// Reply is the answer of an instance to an order.
type Reply string

// Replies to an order.
const (
	// Unanswered orders may have been accepted, or may still be carried out later.
	Unanswered Reply = "unanswered"
	// Started orders are being carried out.
	Started Reply = "begun"
	// Done orders have been carried out, or had no effect because the instance was already in the requested state.
	Done Reply = "done"
	// Refused orders have no effect.
	Refused Reply = "refused"
	// Superseded orders have no effect: the instance has seen a later epoch, or the same epoch with other members.
	Superseded Reply = "superseded"
)
