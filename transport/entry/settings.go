// Package entry runs an entry node on a platform that provides its own
// configuration, instance list and ingress. The node follows the platform's store
// and serves callers by the configured routes. One of the nodes is the leader,
// which plans the placement of the replica groups.
package entry

import (
	"net/netip"
	"time"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/state"
)

// Settings is the configuration of one entry node, read at its start.
type Settings struct {
	Name string
	Hall state.HallName
	// Callers, Ready, Peer and Metrics are the addresses that the node listens on for requests,
	// readiness checks, other nodes, and operators.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Capacity is the node's share of a processor, in cores. Larger nodes are preferred as leader.
	Capacity float64
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Seeds are the addresses of nodes to contact before any node is known from the store.
	Seeds []netip.AddrPort
	// FirstStart reports whether the whole system starts for the first time.
	FirstStart bool
	// BeatInterval is the heartbeat interval: the time between two entries that an instance writes
	// into the list.
	BeatInterval time.Duration
	// StopWithin bounds the duration of a planned stop.
	StopWithin time.Duration
	// LeaveWithin bounds the time until a leaving instance gets no new requests.
	LeaveWithin time.Duration
	// StrictKeys makes the node refuse keyed requests if the configuration has not been confirmed
	// within KeysWithin, since a key may have been revoked in the meantime.
	StrictKeys bool
	KeysWithin time.Duration
	// StallTime is the time for which a group with a dead member stalls before it reports an error.
	StallTime time.Duration
	// Retry bounds the retries that all nodes together send to one service.
	Retry retry.SharedBudgetConfig
	// Policy holds the tunable parameters of the node.
	Policy Policy
}
