package entry

import (
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// NodeEntry describes a node. Each node writes its own into the store, and nodes relay them to each other.
type NodeEntry struct {
	Name    string         `json:"name"`
	Address string         `json:"address"`
	Hall    state.HallName `json:"hall"`
	// Capacity is the node's share of a processor, in cores, plus a tiny bonus for each protocol version.
	Capacity float64 `json:"capacity,omitempty"`
	// Number is the position of the node's first entry in the store, plus one: unique among all
	// incarnations of nodes. It is 0 until the node has registered.
	Number int64 `json:"number,omitempty"`
}

// Suspicion names an instance that did not answer a node, and how long ago that was.
type Suspicion struct {
	Instance state.InstanceID `json:"i"`
	AgeMS    int64            `json:"a"`
}

// StatusReport is what a node reports to the leader.
type StatusReport struct {
	From NodeEntry `json:"from"`
	// Protocol is the newest protocol version that the node implements.
	Protocol int `json:"protocol,omitempty"`
	// InProgress is the number of the node's requests in progress at each instance.
	InProgress map[state.InstanceID]int `json:"held,omitempty"`
	// HasRequests reports whether the node has received requests since its start. Demand is the
	// recent demand of its callers.
	HasRequests bool          `json:"arrived,omitempty"`
	Demand      []demand.Flow `json:"demand,omitempty"`
	// Suspects are instances that recently did not answer the node.
	Suspects []Suspicion `json:"suspects,omitempty"`
	// Leaving are the incarnations of instances that recently announced that they will end soon.
	Leaving []fleet.Incarnation `json:"leaving,omitempty"`
	// OpenBreakers are the incarnations whose breakers are open by their responses to the node.
	OpenBreakers []fleet.Incarnation `json:"breakers,omitempty"`
	// ConfigVersion is that of the configuration in force at the node, ConfigAgeMS the time since it was last
	// confirmed to be current. Config is the configuration itself if it is newer than the leader's.
	ConfigVersion int64  `json:"version"`
	ConfigAgeMS   int64  `json:"age"`
	Config        []byte `json:"config,omitempty"`
	// EvacuationsAt is the position of the set of evacuated halls in force at the node, 0 if there is none. Evacuations is
	// the set itself if it is newer than the leader's.
	EvacuationsAt int64           `json:"evac_at,omitempty"`
	Evacuations   *evacuation.Set `json:"evac,omitempty"`
	// Era is the newest era of the store that the node knows of.
	Era int64 `json:"era,omitempty"`
	// Feed and FeedVersion identify the instance changes that the node has: those of the node
	// numbered Feed, up to its roster version FeedVersion.
	Feed        int64  `json:"feed,omitempty"`
	FeedVersion uint64 `json:"after,omitempty"`
	// StoreAgeMS is the time since the node began its last successful read of the store.
	StoreAgeMS int64 `json:"store"`
	// NodeCount is the number of nodes that the node knows, including itself.
	NodeCount int `json:"nodes"`
	// Impaired are the pools of which the node reaches less than half of the instances or groups, Partitioned the
	// services of which it reaches no instance or only a few. IsStopping is set if it is shutting down. Earlier builds report
	// none of them.
	Impaired    []dispatch.Pool     `json:"impaired,omitempty"`
	Partitioned []state.ServiceName `json:"partitioned,omitempty"`
	IsStopping  bool                `json:"stopping,omitempty"`
	// IsOverloaded is set if the node's own timers fire late, or did so recently.
	IsOverloaded bool `json:"late,omitempty"`
	// Ledger reports which instances ended while they ran which requests, as far as the leader may
	// lack it. LedgerVersion is the version up to which the node has the leader's ledger.
	Ledger        *LedgerReport `json:"ledger,omitempty"`
	LedgerVersion uint64        `json:"ledger_after,omitempty"`
	// Limits are changes of rate limits that instances recently announced to the node. LimitsVersion
	// is the version up to which the node has the leader's rate limits.
	Limits        []LimitReport `json:"limits,omitempty"`
	LimitsVersion uint64        `json:"limits_after,omitempty"`
	// Usage is the node's use of the rate of each limited instance. UsesGrants reports whether the
	// node knows of rate limits and therefore sends requests to limited instances only by grants.
	Usage      map[state.InstanceID]ratelimit.Usage `json:"usage,omitempty"`
	UsesGrants bool                                 `json:"by_grants,omitempty"`
	// Binding is where the node gets its grants for cold instances from; builds without cold instances report none.
	Binding *ratelimit.BindingState `json:"binding,omitempty"`
	// Process identifies the process of the node. Earlier builds name none.
	Process int64 `json:"process,omitempty"`
	// RetryUse is what the process has used of the retry budget of each service with retries in the current window.
	RetryUse map[state.ServiceName]RetryUse `json:"retry_use,omitempty"`
	// AwaitsRetries reports whether the process knows nothing of the one before it, so that its part of the retry budgets
	// is withheld. WantedRetries are the retries to each service that it asks for meanwhile.
	AwaitsRetries bool `json:"awaits_retries,omitempty"`
	// CountsForMS is for how long all retries of the node have been counted by the process, or by one that it goes on
	// from, in milliseconds; zero if for a whole window.
	CountsForMS   int64                     `json:"counts_for_ms,omitempty"`
	WantedRetries map[state.ServiceName]int `json:"want_retries,omitempty"`
}

// StatusAnswer is a node's response to a status report. Most of its fields are set only by the leader.
type StatusAnswer struct {
	// CanLead reports whether the node can lead. If not, the sender does not try it again until a
	// backoff has passed.
	CanLead bool `json:"placing"`
	// Protocol is the newest protocol version that the answering node implements.
	Protocol int `json:"protocol,omitempty"`
	// IntervalMS is the time until the next status report that the leader asks for. Leaders of earlier builds name none.
	IntervalMS int64 `json:"interval,omitempty"`
	// Nodes are all nodes that the leader knows, if the sender knows a different number of them.
	Nodes []NodeEntry `json:"nodes,omitempty"`
	// InProgress is the number of requests in progress from all nodes at each instance.
	InProgress map[state.InstanceID]int `json:"held,omitempty"`
	// Avoid are the groups, each at one epoch, that must get no new requests.
	Avoid []GroupEpoch `json:"avoid,omitempty"`
	// ConfigVersion is that of the configuration in force at the answering node, ConfigAgeMS the time since it
	// was last confirmed to be current. Config is the configuration itself if the sender's is older.
	ConfigVersion int64  `json:"version"`
	ConfigAgeMS   int64  `json:"age"`
	Config        []byte `json:"config,omitempty"`
	// EvacuationsAt is the position of the set of evacuated halls in force at the answering node, 0 if there is none, and
	// EvacuationsAgeMS the time since it was last known to be current. Evacuations is the set itself if the sender's is older.
	EvacuationsAt    int64           `json:"evac_at,omitempty"`
	EvacuationsAgeMS int64           `json:"evac_age,omitempty"`
	Evacuations      *evacuation.Set `json:"evac,omitempty"`
	// Era is the newest era of the store that the node knows of.
	Era int64 `json:"era,omitempty"`
	// Changes are the instance changes that the sender lacks, up to the roster version FeedVersion of
	// the node numbered Feed.
	Changes     []roster.Change `json:"changes,omitempty"`
	Feed        int64           `json:"feed,omitempty"`
	FeedVersion uint64          `json:"now,omitempty"`
	// Totals, ChangeBatches, PackedNodes and PackedConfig take the place of InProgress, Demand, Avoid and
	// HallDemand is the demand at all nodes by hall, for the pools that are divided among halls. It is relayed only in Totals.
	HallDemand []demand.HallFlow `json:"-"`
	// OpenBreakers are the incarnations whose breakers are open at several nodes. They are relayed only in Totals.
	OpenBreakers []fleet.Incarnation `json:"-"`
	// Staging, of Changes, of Nodes and of Config for nodes that implement protocolPacked.
	Totals        peer.Packed   `json:"totals,omitempty"`
	ChangeBatches []peer.Packed `json:"batches,omitempty"`
	PackedNodes   peer.Packed   `json:"packed_nodes,omitempty"`
	PackedConfig  peer.Packed   `json:"packed_config,omitempty"`
	// ListAgeMS is the maximum age of the leader's instance list.
	ListAgeMS int64 `json:"list_age"`
	// Demand is the recent demand of the callers of all nodes.
	Demand []demand.Flow `json:"demand,omitempty"`
	// HasRequests reports whether any node has received requests.
	HasRequests bool `json:"arrived,omitempty"`
	// Staging are the loads of models to hosts that are in progress, for the next leader.
	Staging []Staging `json:"staging,omitempty"`
	// Ledger reports which instances ended while they ran which requests, up to the version LedgerVersion.
	Ledger        *LedgerReport `json:"ledger,omitempty"`
	LedgerVersion uint64        `json:"ledger_now,omitempty"`
	// Limits are the rate limits that have changed since the version that the status report names,
	// up to the version LimitsVersion.
	Limits        []LimitReport `json:"limits,omitempty"`
	LimitsVersion uint64        `json:"limits_now,omitempty"`
	// Peers are nodes to which the sender can forward requests of the pools that it reported as impaired.
	Peers []forwarding.PoolPeers `json:"peers,omitempty"`
	// Grants are permissions for the sender to send requests to limited instances. AllocatesRates
	// reports whether the leader allocates their rates to all nodes that report to it.
	Grants         []ratelimit.Grant `json:"grants,omitempty"`
	AllocatesRates bool              `json:"dealing,omitempty"`
	// Stamp identifies the answer among those of a leader that allocates the limits of cold instances; the next status
	// report echoes it.
	Stamp int64 `json:"stamp,omitempty"`
	// PossibleNodes is the number of nodes that may be running, if it differs from the number of nodes
	// that the sender knows.
	PossibleNodes int `json:"possible,omitempty"`
	// GrantedRetries are those of the wanted retries that the sender may use.
	GrantedRetries map[state.ServiceName]int `json:"retries,omitempty"`
	// Predecessor is what the process of the sender's node before this one had used of the retry budgets.
	Predecessor *PredecessorReport `json:"predecessor,omitempty"`
}

// RetryUse is what a process has used of the retry budget of a service in one window.
type RetryUse struct {
	Attempts int `json:"a"`
	Retries  int `json:"r"`
}

// PredecessorReport is the last report of a process that has ended.
type PredecessorReport struct {
	RetryUse map[state.ServiceName]RetryUse `json:"u,omitempty"`
	AgeMS    int64                          `json:"a"`
	// CountsForMS is that of the process's last report, counted until now.
	CountsForMS int64 `json:"c,omitempty"`
}

// LimitReport is an instance's last announcement of its rate limit, which applies to all nodes together.
type LimitReport struct {
	Instance  fleet.Incarnation `json:"n"`
	PerSecond float64           `json:"r,omitempty"`
	Ended     bool              `json:"e,omitempty"`
	// RequestAgeMS and AnswerAgeMS are the times since the request was sent and since the answer with
	// the announcement arrived.
	RequestAgeMS int64 `json:"q"`
	AnswerAgeMS  int64 `json:"a"`
}

// Staging is a load of a model to an instance's host that the leader has ordered.
type Staging struct {
	Service  state.ServiceName `json:"s"`
	Instance state.InstanceID  `json:"i"`
	Model    string            `json:"m"`
	AgeMS    int64             `json:"a"`
}

// GroupEpoch identifies a group at one epoch.
type GroupEpoch struct {
	Group state.GroupName `json:"g"`
	Epoch state.Epoch     `json:"e"`
}

// ceilMS returns a duration in whole milliseconds, rounded up so that nothing looks younger than it is.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
