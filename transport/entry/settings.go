// Package entry runs an entry node on a platform that provides its own
// configuration, instance list and ingress. The node follows the platform's store
// and serves callers by the configured routes. One of the nodes is the leader,
// which plans the placement of the replica groups.
package entry

import (
	"net/netip"
	"time"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/state"
)

// Settings is the configuration of one entry node, read at its start.
type Settings struct {
	Name string
	Hall state.HallName
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the addresses that the node
	// listens on for requests, readiness checks, other nodes, and operators.
	CallerAddress  netip.AddrPort
	ReadyAddress   netip.AddrPort
	PeerAddress    netip.AddrPort
	MetricsAddress netip.AddrPort
	// Capacity is the node's share of a processor, in cores. Larger nodes are preferred as leader.
	Capacity float64
	// MemoryBytes is the node's share of memory, in bytes, or 0 if it is unknown. A node that uses more is killed.
	MemoryBytes int64
	// BoundsBuffers makes the node bound what it holds for callers that read slowly. It needs MemoryBytes.
	BoundsBuffers bool
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// Seeds are the addresses of nodes to contact before any node is known from the store.
	Seeds []netip.AddrPort
	// IsFirstStart reports whether the whole system starts for the first time.
	IsFirstStart bool
	// HeartbeatInterval is the time between two entries that an instance writes into the list.
	HeartbeatInterval time.Duration
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout time.Duration
	// LeaveTimeout bounds the time until a leaving instance gets no new requests.
	LeaveTimeout time.Duration
	// StrictKeys makes the node refuse keyed requests if the configuration has not been confirmed
	// within MaxKeyAge, since a key may have been revoked in the meantime.
	StrictKeys bool
	MaxKeyAge  time.Duration
	// StallTimeout is the time for which a group with a dead member stalls before it reports an error.
	StallTimeout time.Duration
	// EvacuateTimeout is the time from the record that evacuates a hall on within which the last request may arrive there;
	// 0 if the deployment has no evacuations.
	EvacuateTimeout time.Duration
	// Retry bounds the retries that all nodes together send to one service.
	Retry retry.SharedBudgetConfig
	// Cold bounds the requests of all nodes to a cold instance. Without it, cold instances are treated as warm.
	Cold ratelimit.ColdBound
	// Regions maps data halls to regions. A hall that it does not name belongs to no region.
	Regions map[state.HallName]state.RegionName
	// Policy holds the tunable parameters of the node.
	Policy Policy
}
