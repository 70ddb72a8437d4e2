package entry

import (
	"time"

	"github.com/troutmast/troutmast/coordination/breaker"
	"github.com/troutmast/troutmast/coordination/buffering"
	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/coordination/locality"
	"github.com/troutmast/troutmast/coordination/partition"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/transport/gateway"
)

// Policy holds the parameters of a node's behavior that an operator or an experiment may
// change. Each part belongs to the package that it is named after.
type Policy struct {
	Dispatch  dispatch.Policy  `flag:"dispatch"`
	Gateway   gateway.Policy   `flag:"gateway"`
	Placement placement.Policy `flag:"placement"`
	Roster    roster.Policy    `flag:"roster"`
	Demand    demand.Policy    `flag:"demand"`
	Node      NodePolicy       `flag:"node"`
	// Quarantine configures the quarantine of requests that crash instances.
	Quarantine quarantine.Policy `flag:"quarantine"`
	// Cooldown bounds the cooldowns in which instances may ask to be sent no requests.
	Cooldown cooldown.Policy `flag:"cooldown"`
	// Breaker configures the circuit breakers of instances that send invalid responses.
	Breaker breaker.Policy `flag:"breaker"`
	// RateLimit configures the allocation of instances' rate limits to the nodes.
	RateLimit ratelimit.Policy `flag:"rate-limit"`
	// Partition configures the detection of a partition from all instances, Forwarding the forwarding of
	// requests to nodes that reach them.
	Partition partition.Policy `flag:"partition"`
	// Scheduling configures the scheduling of requests by the leader.
	Scheduling scheduling.Policy `flag:"schedule"`
	Forwarding forwarding.Policy `flag:"forwarding"`
	// Locality configures how requests are divided among data halls.
	Locality locality.Policy `flag:"locality"`
	// Buffering bounds what the node holds for callers that read slowly.
	Buffering buffering.Policy `flag:"buffering"`
}

// NodePolicy holds the intervals and timeouts between nodes, to the store and to instances.
type NodePolicy struct {
	// PlanInterval is the time between two steps of the planner.
	PlanInterval time.Duration `flag:"plan-interval" help:"time between two steps of the planner" min:"10ms" max:"1m"`
	// PlanPause is the minimum time between two steps of the planner, also when answers of
	// instances trigger one. MaxPlanFraction is the maximum fraction of the leader's time that steps may
	// take. A step for 296 instances takes up to 5 ms on 0.8 of a core, so that steps take at
	// most a sixth of the time.
	PlanPause       time.Duration `flag:"plan-pause" help:"minimum time between two steps of the planner" min:"0s" max:"10s"`
	MaxPlanFraction float64       `flag:"plan-part" help:"maximum fraction of the leader's time that steps of the planner may take" min:"0.01" max:"1"`
	// OrderTimeout is the timeout of an order to an instance.
	OrderTimeout time.Duration `flag:"order-timeout" help:"timeout of an order to an instance" min:"10ms" max:"1m"`
	// SuspectProbeInterval is the minimum time between two probes of an instance that may have ended.
	SuspectProbeInterval time.Duration `flag:"doubt-interval" help:"minimum time between two probes of an instance that may have ended" min:"10ms" max:"1m"`
	// ProbeInterval is the minimum time between two probes of one instance.
	ProbeInterval time.Duration `flag:"probe-interval" help:"minimum time between two probes of one instance" min:"10ms" max:"1m"`
	// MaxProbes is the maximum number of the leader's probes in flight in a small system. More would only wait
	// for the node's own processor. A large system allows more, see package probeslots.
	MaxProbes int `flag:"probes-at-once" help:"maximum number of the leader's probes in flight" min:"1" max:"10000"`
	// ProbeTimeout is the timeout of a probe.
	ProbeTimeout time.Duration `flag:"probe-timeout" help:"timeout of a probe of an instance" min:"10ms" max:"1m"`
	// ReportMargin is added to the report lag that the configuration states.
	ReportMargin time.Duration `flag:"report-margin" help:"time added to the report lag that the configuration states" min:"0s" max:"10s"`
	// HealthInterval is the time between two checks for stalled requests and for delays of the node itself.
	HealthInterval time.Duration `flag:"health-interval" help:"time between two checks for stalled requests and for delays of the node itself" min:"5ms" max:"10s"`
	// SuspectTTL is how long status reports name an instance after it did not answer.
	SuspectTTL time.Duration `flag:"suspect-for" help:"how long status reports name an instance after it did not answer" min:"0s" max:"1m"`
	// LeavingTTL is how long status reports name an instance after it announced that it will end
	// soon. By then, the list shows it as leaving or no longer contains it.
	LeavingTTL time.Duration `flag:"leaving-for" help:"how long status reports name an instance after it announced that it will end soon" min:"0s" max:"10m"`

	// StatusInterval is the time between two status reports of a node to the leader.
	StatusInterval time.Duration `flag:"status-interval" help:"time between two status reports of a node to the leader" min:"10ms" max:"1m"`
	// MaxStatusRate is the maximum number of periodic status reports of all nodes together per second. With more nodes than
	// that allows, the leader names a longer interval than StatusInterval.
	MaxStatusRate float64 `flag:"max-status-rate" help:"maximum number of periodic status reports to the leader per second" min:"1" max:"1000000"`
	// StatusTimeout is the timeout of a status report.
	StatusTimeout time.Duration `flag:"status-timeout" help:"timeout of a status report" min:"10ms" max:"1m"`
	// UnreachableBackoff is how long a node is skipped as a possible leader after it did not
	// answer, NotLeadingBackoff after it answered that it does not lead.
	UnreachableBackoff time.Duration `flag:"unreachable-backoff" help:"how long a node that did not answer is skipped as a possible leader" min:"0s" max:"1m"`
	NotLeadingBackoff  time.Duration `flag:"not-leading-backoff" help:"how long a node that does not lead is skipped as a possible leader" min:"0s" max:"1m"`
	// NodeTimeout is how long after its last status report a node counts as alive.
	NodeTimeout time.Duration `flag:"node-timeout" help:"how long after its last status report a node counts as alive" min:"10ms" max:"1m"`
	// NodeRetention is how long after its last status report a node keeps its share of the common
	// budgets, since it may still be running behind a network partition.
	NodeRetention time.Duration `flag:"forget-node" help:"how long after its last status report a node keeps its share of the common budgets" min:"1s" max:"24h"`
	// NodesWait is how long a read of the nodes' entries waits for a new one, NodesPause the pause
	// between two such reads.
	NodesWait  time.Duration `flag:"nodes-wait" help:"how long a read of the nodes' entries waits for a new one" min:"0s" max:"30s"`
	NodesPause time.Duration `flag:"nodes-pause" help:"pause between two reads of the nodes' entries" min:"0s" max:"1m"`
	// LeadAfter is the time since its start after which a node may lead. Before, it may not know all other nodes.
	LeadAfter time.Duration `flag:"lead-after" help:"time since its start after which a node may lead" min:"0s" max:"1m"`
	// StoreStale is the age of its last read of the store above which a node does not lead if
	// another node has read the store more recently.
	StoreStale time.Duration `flag:"store-stale" help:"age of its last read of the store above which a node does not lead if another has read it more recently" min:"100ms" max:"1m"`
	// Standbys is the number of nodes after the leader that stay ready to lead.
	Standbys int `flag:"standbys" help:"number of nodes after the leader that stay ready to lead" min:"0" max:"1000"`
	// RebuildPause is the minimum time between two rebuilds of the candidates for requests. A
	// domain of 37 instances that fails causes 74 changes at a small node within a third of a
	// second. The default is a tenth of the time between two requests at such a node.
	RebuildPause time.Duration `flag:"rebuild-pause" help:"minimum time between two rebuilds of the candidates for requests" min:"0s" max:"1s"`
	// OverloadBackoff is how long a node does not lead after it was overloaded.
	OverloadBackoff time.Duration `flag:"late-rest" help:"how long a node does not lead after it was overloaded" min:"0s" max:"10m"`
	// GreetInterval is the minimum time between two status reports of the leader to a node that
	// sends none itself. MaxGreetings is the maximum number of these in one round.
	GreetInterval time.Duration `flag:"greet-interval" help:"minimum time between two status reports of the leader to a node that sends none itself" min:"0s" max:"1m"`
	MaxGreetings  int           `flag:"greet-at-once" help:"maximum number of status reports of the leader to nodes that send none themselves, in one round" min:"0" max:"1000"`
	// SumInterval is the minimum time between two sums of the requests in progress and the demand at all nodes.
	SumInterval time.Duration `flag:"sum-interval" help:"minimum time between two sums of the requests in progress and the demand at all nodes" min:"0s" max:"10s"`

	// ConfigWait is how long a read of the configuration waits for a newer one, ConfigWaitLeading
	// the same at the leader.
	ConfigWait        time.Duration `flag:"config-wait" help:"how long a read of the configuration waits for a newer one" min:"0s" max:"30s"`
	ConfigWaitLeading time.Duration `flag:"config-wait-leading" help:"how long a read of the configuration by the leader waits for a newer one" min:"0s" max:"30s"`
	// ListInterval is the time between two reads of the instance list, ListIntervalBusy the same
	// while the leader waits for the list to show a change of groups, ListIntervalRelayed the same at a node
	// that is neither the leader nor a standby and has no relayed list for the moment.
	ListInterval        time.Duration `flag:"list-interval" help:"time between two reads of the instance list" min:"10ms" max:"10s"`
	ListIntervalBusy    time.Duration `flag:"list-interval-busy" help:"time between two reads of the instance list while groups change" min:"10ms" max:"10s"`
	ListIntervalRelayed time.Duration `flag:"list-interval-relayed" help:"time between two reads of the instance list by a node that waits for a leader to relay it" min:"10ms" max:"10s"`
	// RecentRead is the age of the last read of the list up to which the entries since then count as just
	// written.
	RecentRead time.Duration `flag:"recent-read" help:"age of the last read of the instance list up to which entries since then count as just written" min:"0s" max:"10s"`
	// FeedAge is the age of the data relayed by the leader up to which a node does not read the
	// store itself, FeedPause the time between two checks of that age.
	FeedAge   time.Duration `flag:"feed-age" help:"age of the data relayed by the leader up to which a node does not read the store itself" min:"0s" max:"10s"`
	FeedPause time.Duration `flag:"feed-pause" help:"time between two checks of the age of the data relayed by the leader" min:"1ms" max:"10s"`
	// FirstFeedWait is how long after the first start of a system a node that is no standby waits for a leader to
	// relay the list, before it reads the list itself.
	FirstFeedWait time.Duration `flag:"first-feed-wait" help:"how long after the first start of a system a node waits for a leader to relay the instance list" min:"0s" max:"1m"`
	// RestoreSettle is the time after the store was restored from a backup until the records that
	// the backup lacks count as written again: two seconds, as the platform documents, plus the
	// time of a read. RewriteSpread is the span over which nodes write their own entries again:
	// 85 nodes in 2 s make up a ninth of the store's writes.
	RestoreSettle time.Duration `flag:"restore-settle" help:"time after a restoration of the store until the records that its backup lacks count as written again" min:"0s" max:"1m"`
	RewriteSpread time.Duration `flag:"rewrite-spread" help:"span over which nodes write their entries again after a restoration of the store" min:"0s" max:"10m"`
	// StandbyRead is the age of its last read of the store from which on a standby reads the store
	// although the leader relays it.
	StandbyRead time.Duration `flag:"standby-read" help:"how often a standby reads the store although the leader relays it" min:"10ms" max:"1m"`
	// StoreTimeout is the timeout of a call to the store, in addition to the time for which it may wait.
	StoreTimeout time.Duration `flag:"store-timeout" help:"timeout of a call to the store" min:"10ms" max:"1m"`
	// StoreRetry is the initial retry delay after a failed call to the store. StoreRetryMax is the
	// maximum delay, StoreRetryRelayed the maximum while the leader relays the store.
	StoreRetry        time.Duration `flag:"store-retry" help:"initial retry delay after a failed call to the store" min:"1ms" max:"1m"`
	StoreRetryMax     time.Duration `flag:"store-retry-max" help:"maximum retry delay after a failed call to the store" min:"1ms" max:"1m"`
	StoreRetryRelayed time.Duration `flag:"store-retry-fed" help:"maximum such delay while the leader relays the store" min:"1ms" max:"1m"`

	// SupplyLogInterval is the minimum time between two log lines on the groups that serve.
	SupplyLogInterval time.Duration `flag:"supply-log-interval" help:"minimum time between two log lines on the groups that serve" min:"0s" max:"1h"`
	// LogInterval is the time between two checks for changes of instances and dependencies to log.
	LogInterval time.Duration `flag:"log-interval" help:"time between two checks for changes of instances and dependencies to log" min:"10ms" max:"1m"`
	// StoreLostAfter is the age of the last successful read of the store from which on the store is logged as lost.
	StoreLostAfter time.Duration `flag:"store-lost-after" help:"age of the last successful read of the store from which on the store is logged as lost" min:"0s" max:"10m"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy {
	return Policy{
		Dispatch:   dispatch.DefaultPolicy(),
		Gateway:    gateway.DefaultPolicy(),
		Placement:  placement.DefaultPolicy(),
		Roster:     roster.DefaultPolicy(),
		Demand:     demand.DefaultPolicy(),
		Quarantine: quarantine.DefaultPolicy(),
		Cooldown:   cooldown.DefaultPolicy(),
		Breaker:    breaker.DefaultPolicy(),
		RateLimit:  ratelimit.DefaultPolicy(),
		Partition:  partition.DefaultPolicy(),
		Forwarding: forwarding.DefaultPolicy(),
		Scheduling: scheduling.DefaultPolicy(),
		Locality:   locality.DefaultPolicy(),
		Buffering:  buffering.DefaultPolicy(),
		Node: NodePolicy{
			PlanInterval:         100 * time.Millisecond,
			PlanPause:            25 * time.Millisecond,
			MaxPlanFraction:      0.2,
			OrderTimeout:         800 * time.Millisecond,
			SuspectProbeInterval: 400 * time.Millisecond,
			ProbeInterval:        90 * time.Millisecond,
			MaxProbes:            32,
			ProbeTimeout:         160 * time.Millisecond,
			ReportMargin:         80 * time.Millisecond,
			HealthInterval:       50 * time.Millisecond,
			SuspectTTL:           2 * time.Second,
			LeavingTTL:           10 * time.Second,
			StatusInterval:       250 * time.Millisecond,
			MaxStatusRate:        1200,
			StatusTimeout:        400 * time.Millisecond,
			UnreachableBackoff:   1500 * time.Millisecond,
			NotLeadingBackoff:    400 * time.Millisecond,
			NodeTimeout:          1500 * time.Millisecond,
			NodeRetention:        10 * time.Minute,
			NodesWait:            8 * time.Second,
			NodesPause:           600 * time.Millisecond,
			LeadAfter:            1300 * time.Millisecond,
			StoreStale:           2500 * time.Millisecond,
			Standbys:             3,
			RebuildPause:         20 * time.Millisecond,
			OverloadBackoff:      5 * time.Second,
			GreetInterval:        2 * time.Second,
			MaxGreetings:         3,
			SumInterval:          100 * time.Millisecond,
			ConfigWait:           3 * time.Second,
			ConfigWaitLeading:    250 * time.Millisecond,
			ListInterval:         300 * time.Millisecond,
			ListIntervalBusy:     80 * time.Millisecond,
			ListIntervalRelayed:  time.Second,
			RecentRead:           time.Second,
			FeedAge:              800 * time.Millisecond,
			FeedPause:            100 * time.Millisecond,
			FirstFeedWait:        4 * time.Second,
			RestoreSettle:        2200 * time.Millisecond,
			RewriteSpread:        2 * time.Second,
			StandbyRead:          2 * time.Second,
			StoreTimeout:         time.Second,
			StoreRetry:           150 * time.Millisecond,
			StoreRetryMax:        700 * time.Millisecond,
			StoreRetryRelayed:    4 * time.Second,
			SupplyLogInterval:    time.Second,
			LogInterval:          200 * time.Millisecond,
			StoreLostAfter:       2 * time.Second,
		},
	}
}
