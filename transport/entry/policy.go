package entry

import (
	"time"

	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/transport/gateway"
)

// Policy is everything that decides how a node behaves and that an operator, or an
// experiment, may change. Each part belongs to the package that it is named after.
type Policy struct {
	Dispatch  dispatch.Policy  `flag:"dispatch"`
	Gateway   gateway.Policy   `flag:"gateway"`
	Placement placement.Policy `flag:"placement"`
	Roster    roster.Policy    `flag:"roster"`
	Demand    demand.Policy    `flag:"demand"`
	Node      NodePolicy       `flag:"node"`
	// Quarantine holds back requests that end instances.
	Quarantine quarantine.Policy `flag:"quarantine"`
	// Cooldown bounds for how long instances may ask to be sent nothing.
	Cooldown cooldown.Policy `flag:"cooldown"`
	// RateLimit divides the requests that instances take from all nodes together.
	RateLimit ratelimit.Policy `flag:"rate-limit"`
}

// NodePolicy holds the intervals and timeouts between nodes, to the store and to instances.
type NodePolicy struct {
	// PlanInterval is the time between two steps of the planner.
	PlanInterval time.Duration `flag:"plan-interval" help:"time between two steps of the planner" min:"10ms" max:"1m"`
	// PlanPause is the least time between two steps of the planner, also when answers ask
	// for one, and PlanPart the part of the leader's time that steps may take. A step for
	// 296 instances takes up to 5 ms on 0.8 of a core, so that steps take at most a sixth
	// of it; measured by the leader's log.
	PlanPause time.Duration `flag:"plan-pause" help:"least time between two steps of the planner" min:"0s" max:"10s"`
	PlanPart  float64       `flag:"plan-part" help:"part of the leader's time that steps of the planner may take" min:"0.01" max:"1"`
	// OrderTimeout bounds the time for an instance to answer an order.
	OrderTimeout time.Duration `flag:"order-timeout" help:"time for an instance to answer an order" min:"10ms" max:"1m"`
	// DoubtInterval is the least time between two questions to an instance that may have ended.
	DoubtInterval time.Duration `flag:"doubt-interval" help:"least time between two questions to an instance that may have ended" min:"10ms" max:"1m"`
	// ProbeInterval is the least time between two questions to one instance.
	ProbeInterval time.Duration `flag:"probe-interval" help:"least time between two questions to one instance" min:"10ms" max:"1m"`
	// ProbesAtOnce bounds the leader's questions under way: more would only wait for the node itself.
	ProbesAtOnce int `flag:"probes-at-once" help:"questions of the leader that may be under way" min:"1" max:"10000"`
	// ProbeTimeout bounds the time for an instance to report.
	ProbeTimeout time.Duration `flag:"probe-timeout" help:"time for an instance to report" min:"10ms" max:"1m"`
	// ReportMargin is added to the lag that the configuration states for reports.
	ReportMargin time.Duration `flag:"report-margin" help:"time added to the lag that the configuration states for reports" min:"0s" max:"10s"`
	// HealthInterval is the time between two looks at stalled requests and at the node's own delay.
	HealthInterval time.Duration `flag:"health-interval" help:"time between two looks at stalled requests and at the node's own delay" min:"5ms" max:"10s"`
	// SuspectFor is how long status reports to the leader name an instance that did not answer.
	SuspectFor time.Duration `flag:"suspect-for" help:"how long the leader is told of an instance that did not answer" min:"0s" max:"1m"`
	// LeavingFor is how long status reports name an instance that said it will end soon: by
	// then the list shows it too, or no longer shows it.
	LeavingFor time.Duration `flag:"leaving-for" help:"how long the leader is told of an instance that said it will end soon" min:"0s" max:"10m"`

	// StatusInterval is the time between two status reports of a node to the leader.
	StatusInterval time.Duration `flag:"status-interval" help:"time between two status reports of a node to the leader" min:"10ms" max:"1m"`
	// StatusTimeout bounds the time for the leader to answer.
	StatusTimeout time.Duration `flag:"status-timeout" help:"time for the leader to answer a status report" min:"10ms" max:"1m"`
	// UnreachableBackoff is how long a node that did not answer is passed over,
	// NotLeadingBackoff one that answered and does not lead.
	UnreachableBackoff time.Duration `flag:"unreachable-backoff" help:"how long a node that did not answer is passed over" min:"0s" max:"1m"`
	NotLeadingBackoff  time.Duration `flag:"not-leading-backoff" help:"how long a node that does not lead is passed over" min:"0s" max:"1m"`
	// NodeTimeout is how long after its last status report a node counts as alive.
	NodeTimeout time.Duration `flag:"node-timeout" help:"how long after its last status report a node counts as alive" min:"10ms" max:"1m"`
	// ForgetNode is how long after its last status report a node may still be running behind a
	// cut, and keeps its part of what all nodes share.
	ForgetNode time.Duration `flag:"forget-node" help:"how long a silent node keeps its part of what all nodes share" min:"1s" max:"24h"`
	// NodesWait is how long a read of the nodes' entries waits for a new one, NodesPause
	// the time between two such reads.
	NodesWait  time.Duration `flag:"nodes-wait" help:"how long a read of the nodes' entries waits for a new one" min:"0s" max:"30s"`
	NodesPause time.Duration `flag:"nodes-pause" help:"time between two reads of the nodes' entries" min:"0s" max:"1m"`
	// LeadAfter is the age at which a node may lead: until then it may not know of all others.
	LeadAfter time.Duration `flag:"lead-after" help:"age at which a node may lead" min:"0s" max:"1m"`
	// StoreStale is the age of its last read of the store above which a node does not
	// lead if others do better.
	StoreStale time.Duration `flag:"store-stale" help:"age of its last read of the store above which a node does not lead if others do better" min:"100ms" max:"1m"`
	// Standbys is how many nodes after the leader keep themselves ready to lead.
	Standbys int `flag:"standbys" help:"nodes after the leader that keep themselves ready to lead" min:"0" max:"1000"`
	// RebuildPause is the least time between two rebuilds of the candidates of requests:
	// a domain of 37 that falls silent brings a small node 74 changes in a third of a
	// second. It is a tenth of the time between two requests at such a node.
	RebuildPause time.Duration `flag:"rebuild-pause" help:"least time between two rebuilds of the candidates of requests" min:"0s" max:"1s"`
	// LateRest is how long a node does not lead after it ran late.
	LateRest time.Duration `flag:"late-rest" help:"how long a node does not lead after it ran late" min:"0s" max:"10m"`
	// GreetInterval is the least time between two reports of the leader to a node that
	// was not heard of, GreetAtOnce how many of them it sends in one round.
	GreetInterval time.Duration `flag:"greet-interval" help:"least time between two reports of the leader to a node not heard of" min:"0s" max:"1m"`
	GreetAtOnce   int           `flag:"greet-at-once" help:"reports of the leader to nodes not heard of in one round" min:"0" max:"1000"`
	// SumInterval is the least time between two sums of what nodes hold and are asked for.
	SumInterval time.Duration `flag:"sum-interval" help:"least time between two sums of what nodes hold" min:"0s" max:"10s"`

	// ConfigWait is how long a read of the configuration waits for a newer one, at the
	// leader ConfigWaitLeading.
	ConfigWait        time.Duration `flag:"config-wait" help:"how long a read of the configuration waits for a newer one" min:"0s" max:"30s"`
	ConfigWaitLeading time.Duration `flag:"config-wait-leading" help:"how long the leader's read of the configuration waits" min:"0s" max:"30s"`
	// ListInterval is the time between two reads of the list, ListIntervalBusy while
	// something is under way whose end should be seen soon.
	ListInterval     time.Duration `flag:"list-interval" help:"time between two reads of the instance list" min:"10ms" max:"10s"`
	ListIntervalBusy time.Duration `flag:"list-interval-busy" help:"time between two reads of the list while groups change" min:"10ms" max:"10s"`
	// RecentRead is the age of the last read up to which what a read shows was written just now.
	RecentRead time.Duration `flag:"recent-read" help:"age of the last read up to which an entry counts as written just now" min:"0s" max:"10s"`
	// FeedAge is the age of the leader's word up to which a node does not read the store,
	// FeedPause the time between two looks at it.
	FeedAge   time.Duration `flag:"feed-age" help:"age of the leader's word up to which a node does not read the store" min:"0s" max:"10s"`
	FeedPause time.Duration `flag:"feed-pause" help:"time between two looks at the age of the leader's word" min:"1ms" max:"10s"`
	// RestoreSettle is how long after the store came back from an older copy all that the copy
	// lacks counts as written again: two seconds, by the platform's pages, and the time of a
	// read. RewriteSpread is the span over which nodes write their own entries again: 85 nodes in
	// 2 s are a ninth of the store's writes.
	RestoreSettle time.Duration `flag:"restore-settle" help:"time after a restoration of the store until what its copy lacks counts as written again" min:"0s" max:"1m"`
	RewriteSpread time.Duration `flag:"rewrite-spread" help:"span over which nodes write their entries again after a restoration of the store" min:"0s" max:"10m"`
	// StandbyRead is how often a standby reads the store all the same.
	StandbyRead time.Duration `flag:"standby-read" help:"how often a standby reads the store all the same" min:"10ms" max:"1m"`
	// StoreTimeout bounds a call of the store beyond the time that it may wait.
	StoreTimeout time.Duration `flag:"store-timeout" help:"time for a call of the store" min:"10ms" max:"1m"`
	// StoreRetry is the first pause after a failed call, StoreRetryMax the longest,
	// StoreRetryFed the longest while another node hands on what it reads.
	StoreRetry    time.Duration `flag:"store-retry" help:"first pause after a failed call of the store" min:"1ms" max:"1m"`
	StoreRetryMax time.Duration `flag:"store-retry-max" help:"longest pause after a failed call of the store" min:"1ms" max:"1m"`
	StoreRetryFed time.Duration `flag:"store-retry-fed" help:"longest such pause while another node hands on what it reads" min:"1ms" max:"1m"`

	// SupplyLogInterval is the least time between two log lines on what serves.
	SupplyLogInterval time.Duration `flag:"supply-log-interval" help:"least time between two log lines on what serves" min:"0s" max:"1h"`
	// LogInterval is the time between two looks for changed instances and dependencies to log.
	LogInterval time.Duration `flag:"log-interval" help:"time between two looks for changed instances to log" min:"10ms" max:"1m"`
	// StoreLostAfter is the age of the last answer of the store at which it is logged as lost.
	StoreLostAfter time.Duration `flag:"store-lost-after" help:"age of the last answer of the store at which it is logged as lost" min:"0s" max:"10m"`
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
		RateLimit:  ratelimit.DefaultPolicy(),
		Node: NodePolicy{
			PlanInterval:       100 * time.Millisecond,
			PlanPause:          25 * time.Millisecond,
			PlanPart:           0.2,
			OrderTimeout:       800 * time.Millisecond,
			DoubtInterval:      400 * time.Millisecond,
			ProbeInterval:      90 * time.Millisecond,
			ProbesAtOnce:       32,
			ProbeTimeout:       160 * time.Millisecond,
			ReportMargin:       80 * time.Millisecond,
			HealthInterval:     50 * time.Millisecond,
			SuspectFor:         2 * time.Second,
			LeavingFor:         10 * time.Second,
			StatusInterval:     250 * time.Millisecond,
			StatusTimeout:      400 * time.Millisecond,
			UnreachableBackoff: 1500 * time.Millisecond,
			NotLeadingBackoff:  400 * time.Millisecond,
			NodeTimeout:        1500 * time.Millisecond,
			ForgetNode:         10 * time.Minute,
			NodesWait:          8 * time.Second,
			NodesPause:         600 * time.Millisecond,
			LeadAfter:          1300 * time.Millisecond,
			StoreStale:         2500 * time.Millisecond,
			Standbys:           3,
			RebuildPause:       20 * time.Millisecond,
			LateRest:           5 * time.Second,
			GreetInterval:      2 * time.Second,
			GreetAtOnce:        3,
			SumInterval:        100 * time.Millisecond,
			ConfigWait:         3 * time.Second,
			ConfigWaitLeading:  250 * time.Millisecond,
			ListInterval:       300 * time.Millisecond,
			ListIntervalBusy:   80 * time.Millisecond,
			RecentRead:         time.Second,
			FeedAge:            800 * time.Millisecond,
			FeedPause:          100 * time.Millisecond,
			RestoreSettle:      2200 * time.Millisecond,
			RewriteSpread:      2 * time.Second,
			StandbyRead:        2 * time.Second,
			StoreTimeout:       time.Second,
			StoreRetry:         150 * time.Millisecond,
			StoreRetryMax:      700 * time.Millisecond,
			StoreRetryFed:      1500 * time.Millisecond,
			SupplyLogInterval:  time.Second,
			LogInterval:        200 * time.Millisecond,
			StoreLostAfter:     2 * time.Second,
		},
	}
}
