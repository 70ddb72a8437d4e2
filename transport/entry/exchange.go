package entry

import (
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// NodeEntry is what a node writes into the store of itself, and what nodes tell each other of nodes.
type NodeEntry struct {
	Name    string         `json:"name"`
	Address string         `json:"address"`
	Hall    state.HallName `json:"hall"`
	// Capacity is the node's share of a processor, in cores, and a trace more in a later build.
	Capacity float64 `json:"capacity,omitempty"`
	// Number is the offset of the entry: unique among all lives of nodes.
	Number int64 `json:"number,omitempty"`
}

// Suspicion is what a node found of an instance that did not answer.
type Suspicion struct {
	Instance state.InstanceID `json:"i"`
	AgeMS    int64            `json:"a"`
}

// Word is what a node tells the placing node.
type Word struct {
	From NodeEntry `json:"from"`
	// Protocol is the version of what the node acts on.
	Protocol int `json:"protocol,omitempty"`
	// Held are the requests that the node holds at each instance.
	Held map[state.InstanceID]int `json:"held,omitempty"`
	// Arrived tells that the node has had requests, Demand how much work they ask for lately.
	Arrived bool          `json:"arrived,omitempty"`
	Demand  []demand.Flow `json:"demand,omitempty"`
	// Suspects are instances that did not answer this node lately.
	Suspects []Suspicion `json:"suspects,omitempty"`
	// Leaving are the lives of instances that lately told this node that they will end soon.
	Leaving []fleet.Incarnation `json:"leaving,omitempty"`
	// Version and AgeMS tell of the configuration in force at the node, and how old the knowledge of it may be.
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age"`
	Config  []byte `json:"config,omitempty"`
	// Era is the newest era of the store that the node knows of.
	Era int64 `json:"era,omitempty"`
	// Feed and After say which changes of the instances the node has: those of the
	// node with the number Feed up to its version After.
	Feed  int64  `json:"feed,omitempty"`
	After uint64 `json:"after,omitempty"`
	// StoreMS is how long ago the node's last read of the store was asked.
	StoreMS int64 `json:"store"`
	// Nodes is the number of nodes that the node knows, itself among them.
	Nodes int `json:"nodes"`
	// Late tells that the node runs late itself.
	Late bool `json:"late,omitempty"`
	// Ledger tells which instances ended under which requests, as far as the leader may not
	// know it, LedgerAfter up to which version of the leader's own the node has it.
	Ledger      *LedgerReport `json:"ledger,omitempty"`
	LedgerAfter uint64        `json:"ledger_after,omitempty"`
	// Limits are changes of rate limits that instances lately told this node, LimitsAfter up to
	// which version of the leader's own the node has them.
	Limits      []LimitReport `json:"limits,omitempty"`
	LimitsAfter uint64        `json:"limits_after,omitempty"`
	// Usage is what the node made of the rate of each limited instance, ByGrants tells that it
	// sends them requests by grants alone.
	Usage    map[state.InstanceID]ratelimit.Usage `json:"usage,omitempty"`
	ByGrants bool                                 `json:"by_grants,omitempty"`
}

// Answer is what the placing node tells in turn.
type Answer struct {
	// Placing tells that the node places groups; else it is not to be asked for a while.
	Placing bool `json:"placing"`
	// Protocol is the version of what the leader acts on.
	Protocol int `json:"protocol,omitempty"`
	// Nodes are all nodes that the placing node knows, for a node that knows another number of them.
	Nodes []NodeEntry `json:"nodes,omitempty"`
	// Held are the requests that all nodes hold at each instance.
	Held map[state.InstanceID]int `json:"held,omitempty"`
	// Avoid are formations that must not be sent new requests.
	Avoid []Formation `json:"avoid,omitempty"`
	// Version, AgeMS and Config tell of the configuration in force at the placing node, which a node behind it takes over.
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age"`
	Config  []byte `json:"config,omitempty"`
	// Era is the newest era of the store that the node knows of.
	Era int64 `json:"era,omitempty"`
	// Changes are those of the instances since what the word names, up to the version Now of the node with the number Feed.
	Changes []roster.Change `json:"changes,omitempty"`
	Feed    int64           `json:"feed,omitempty"`
	Now     uint64          `json:"now,omitempty"`
	// ListAgeMS is how old the list at the placing node may be.
	ListAgeMS int64 `json:"list_age"`
	// Demand is the work that callers ask of all nodes.
	Demand []demand.Flow `json:"demand,omitempty"`
	// Arrived tells that some node has had requests.
	Arrived bool `json:"arrived,omitempty"`
	// Staging are the loads to hosts under way, for the next leader.
	Staging []Staging `json:"staging,omitempty"`
	// Ledger tells which instances ended under which requests, up to the version LedgerNow.
	Ledger    *LedgerReport `json:"ledger,omitempty"`
	LedgerNow uint64        `json:"ledger_now,omitempty"`
	// Limits are the rate limits that have changed since those that the word names, up to the
	// version LimitsNow.
	Limits    []LimitReport `json:"limits,omitempty"`
	LimitsNow uint64        `json:"limits_now,omitempty"`
	// Grants are requests that the node may send to limited instances, Dealing tells that the
	// leader divides their rates over all nodes that report to it.
	Grants  []ratelimit.Grant `json:"grants,omitempty"`
	Dealing bool              `json:"dealing,omitempty"`
	// Possible is the number of nodes that may be running, if it is not the number of those known.
	Possible int `json:"possible,omitempty"`
}

// LimitReport tells what an instance last said of the requests that it takes from all nodes together.
type LimitReport struct {
	Instance  fleet.Incarnation `json:"n"`
	PerSecond float64           `json:"r,omitempty"`
	Ended     bool              `json:"e,omitempty"`
	// AskedMS and AnsweredMS are how long ago the request was sent and the answer came that said so.
	AskedMS    int64 `json:"q"`
	AnsweredMS int64 `json:"a"`
}

// Staging is a load to an instance's host that the leader has ordered.
type Staging struct {
	Service  state.ServiceName `json:"s"`
	Instance state.InstanceID  `json:"i"`
	Model    string            `json:"m"`
	AgeMS    int64             `json:"a"`
}

// Formation names one formation of a group.
type Formation struct {
	Group state.GroupName `json:"g"`
	Epoch state.Epoch     `json:"e"`
}

// age returns an age in whole milliseconds, rounded up so that it never looks younger.
func age(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
