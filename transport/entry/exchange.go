package entry

import (
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
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

// Word is the status report that a node sends to the leader.
type Word struct {
	From NodeEntry `json:"from"`
	// Protocol is the newest protocol version that the node implements.
	Protocol int `json:"protocol,omitempty"`
	// Held is the number of the node's requests in progress at each instance.
	Held map[state.InstanceID]int `json:"held,omitempty"`
	// Arrived reports whether the node has received requests since its start. Demand is the
	// recent demand of its callers.
	Arrived bool          `json:"arrived,omitempty"`
	Demand  []demand.Flow `json:"demand,omitempty"`
	// Suspects are instances that recently did not answer the node.
	Suspects []Suspicion `json:"suspects,omitempty"`
	// Leaving are the incarnations of instances that recently announced that they will end soon.
	Leaving []fleet.Incarnation `json:"leaving,omitempty"`
	// Version is that of the configuration in force at the node, AgeMS the time since it was last
	// confirmed to be current. Config is the configuration itself if it is newer than the leader's.
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age"`
	Config  []byte `json:"config,omitempty"`
	// Era is the newest era of the store that the node knows of.
	Era int64 `json:"era,omitempty"`
	// Feed and After identify the instance changes that the node has: those of the node
	// numbered Feed, up to its roster version After.
	Feed  int64  `json:"feed,omitempty"`
	After uint64 `json:"after,omitempty"`
	// StoreMS is the time since the node began its last successful read of the store.
	StoreMS int64 `json:"store"`
	// Nodes is the number of nodes that the node knows, including itself.
	Nodes int `json:"nodes"`
	// Late reports whether the node is overloaded: its own timers fire late.
	Late bool `json:"late,omitempty"`
	// Ledger reports which instances ended while they ran which requests, as far as the leader may
	// lack it. LedgerAfter is the version up to which the node has the leader's ledger.
	Ledger      *LedgerReport `json:"ledger,omitempty"`
	LedgerAfter uint64        `json:"ledger_after,omitempty"`
	// Limits are changes of rate limits that instances recently announced to the node. LimitsAfter
	// is the version up to which the node has the leader's rate limits.
	Limits      []LimitReport `json:"limits,omitempty"`
	LimitsAfter uint64        `json:"limits_after,omitempty"`
	// Usage is the node's use of the rate of each limited instance. ByGrants reports whether the
	// node knows of rate limits and therefore sends requests to limited instances only by grants.
	Usage    map[state.InstanceID]ratelimit.Usage `json:"usage,omitempty"`
	ByGrants bool                                 `json:"by_grants,omitempty"`
}

// Answer is a node's response to a status report. Most of its fields are set only by the leader.
type Answer struct {
	// Placing reports whether the node can lead. If not, the sender does not try it again until a
	// backoff has passed.
	Placing bool `json:"placing"`
	// Protocol is the newest protocol version that the answering node implements.
	Protocol int `json:"protocol,omitempty"`
	// Nodes are all nodes that the leader knows, if the sender knows a different number of them.
	Nodes []NodeEntry `json:"nodes,omitempty"`
	// Held is the number of requests in progress from all nodes at each instance.
	Held map[state.InstanceID]int `json:"held,omitempty"`
	// Avoid are the groups, each at one epoch, that must get no new requests.
	Avoid []Formation `json:"avoid,omitempty"`
	// Version is that of the configuration in force at the answering node, AgeMS the time since it
	// was last confirmed to be current. Config is the configuration itself if the sender's is older.
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age"`
	Config  []byte `json:"config,omitempty"`
	// Era is the newest era of the store that the node knows of.
	Era int64 `json:"era,omitempty"`
	// Changes are the instance changes that the sender lacks, up to the roster version Now of the
	// node numbered Feed.
	Changes []roster.Change `json:"changes,omitempty"`
	Feed    int64           `json:"feed,omitempty"`
	Now     uint64          `json:"now,omitempty"`
	// ListAgeMS is the maximum age of the leader's instance list.
	ListAgeMS int64 `json:"list_age"`
	// Demand is the recent demand of the callers of all nodes.
	Demand []demand.Flow `json:"demand,omitempty"`
	// Arrived reports whether any node has received requests.
	Arrived bool `json:"arrived,omitempty"`
	// Staging are the loads of models to hosts that are in progress, for the next leader.
	Staging []Staging `json:"staging,omitempty"`
	// Ledger reports which instances ended while they ran which requests, up to the version LedgerNow.
	Ledger    *LedgerReport `json:"ledger,omitempty"`
	LedgerNow uint64        `json:"ledger_now,omitempty"`
	// Limits are the rate limits that have changed since the version that the status report names,
	// up to the version LimitsNow.
	Limits    []LimitReport `json:"limits,omitempty"`
	LimitsNow uint64        `json:"limits_now,omitempty"`
	// Grants are permissions for the sender to send requests to limited instances. Dealing reports
	// whether the leader allocates their rates to all nodes that report to it.
	Grants  []ratelimit.Grant `json:"grants,omitempty"`
	Dealing bool              `json:"dealing,omitempty"`
	// Possible is the number of nodes that may be running, if it differs from the number of nodes
	// that the sender knows.
	Possible int `json:"possible,omitempty"`
}

// LimitReport is an instance's last announcement of its rate limit, which applies to all nodes together.
type LimitReport struct {
	Instance  fleet.Incarnation `json:"n"`
	PerSecond float64           `json:"r,omitempty"`
	Ended     bool              `json:"e,omitempty"`
	// AskedMS and AnsweredMS are the times since the request was sent and since the answer with
	// the announcement arrived.
	AskedMS    int64 `json:"q"`
	AnsweredMS int64 `json:"a"`
}

// Staging is a load of a model to an instance's host that the leader has ordered.
type Staging struct {
	Service  state.ServiceName `json:"s"`
	Instance state.InstanceID  `json:"i"`
	Model    string            `json:"m"`
	AgeMS    int64             `json:"a"`
}

// Formation identifies a group at one epoch.
type Formation struct {
	Group state.GroupName `json:"g"`
	Epoch state.Epoch     `json:"e"`
}

// age returns a duration in whole milliseconds, rounded up so that nothing looks younger than it is.
func age(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
