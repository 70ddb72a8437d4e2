// Package entry runs an entry node on a platform that brings its own
// configuration, instance list and ingress: it follows the platform's store,
// serves callers by the configured routes, and has one of the nodes place the
// replica groups.
package entry

import (
	"net/netip"
	"time"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/state"
)

// Settings is everything that an entry node is told at its start.
type Settings struct {
	Name string
	Hall state.HallName
	// Callers, Ready, Peer and Metrics are where the node listens.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Capacity is the node's share of a processor, in cores; larger nodes are first to place.
	Capacity float64
	// Store is the platform's store.
	Store netip.AddrPort
	// Seeds are peers that may be there at the start.
	Seeds []netip.AddrPort
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	// BeatInterval is the time between two entries that an instance writes into the list.
	BeatInterval time.Duration
	// StopWithin is how long a planned stop may take.
	StopWithin time.Duration
	// LeaveWithin is how soon a leaving instance must get no new requests.
	LeaveWithin time.Duration
	// StrictKeys has keyed requests refused when keys may have been taken away for KeysWithin.
	StrictKeys bool
	KeysWithin time.Duration
	// StallTime is how long a group with a dead member stands still before it says so.
	StallTime time.Duration
	// Retry bounds the repeats that all nodes send to one service.
	Retry retry.SharedBudgetConfig
	// Policy is how the node decides.
	Policy Policy
}
