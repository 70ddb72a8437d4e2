package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/breaker"
	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/coordination/localhealth"
	"github.com/troutmast/troutmast/coordination/partition"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/event"
	"github.com/troutmast/troutmast/transport/gateway"
)

// Connection timeouts.
const (
	// dialTimeout is the maximum time to connect to an instance.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the maximum time for which sent bytes may remain unacknowledged.
	ackTimeout = 2 * time.Second
	// readHeaderTimeout is the maximum time to read a request's headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle.
	idleTimeout = 90 * time.Second
)

// Node is an entry node: it accepts requests from callers and forwards them to instances.
type Node struct {
	settings    *Settings
	policy      NodePolicy
	clock       clockwork.Clock
	ports       Ports
	configState *ConfigState
	roster      *roster.Roster
	table       *dispatch.Table
	gateway     *gateway.Gateway
	demand      *demand.Meter
	ledger      *quarantine.Ledger
	// cooldowns tracks the instances that asked this node to send them nothing for some time.
	cooldowns *cooldown.Tracker
	// breakers keep requests away from instances that send invalid responses.
	breakers *breaker.Set
	// limits tracks the instances that limit the requests per second from all nodes together.
	limits        *ratelimit.Tracker
	rateAllocator *ratelimit.Allocator
	cold          *coldness
	pool          *direct.Pool
	// peerPool holds the connections for requests forwarded to other nodes.
	peerPool   *direct.Pool
	partitions *partition.Monitor
	forwarding *forwarding.Sender
	// forwarded counts the requests that this node serves for other nodes.
	forwarded *forwarding.Receiver
	metrics   metrics.Registry
	log       *log.Logger
	// regions maps data halls to regions.
	regions     atomic.Pointer[map[state.HallName]state.RegionName]
	hallTraffic hallTraffic
	peers       *peers
	placement   *placementController
	schedules   *schedules
	localHealth localhealth.Monitor
	leaderLoad  leaderLoad
	feed        feed
	evacuations evacuations
	started     time.Time
	// process identifies this process in status reports.
	process int64

	// incarnationNumber identifies this incarnation of the node: the offset of its first entry in the store, plus one.
	incarnationNumber atomic.Int64
	eras              eraTracker
	// recordedEra is the era that this process has recorded as settled.
	recordedEra int64
	storeReadAt atomic.Int64
	// storeFailed reports whether the last read of the store failed. Only the first of consecutive
	// failures is logged.
	storeFailed atomic.Bool
	// storeTriedAt is when the last read of the store began, in nanoseconds since started, and storeBackAt when a
	// read succeeded after one that had failed.
	storeTriedAt, storeBackAt atomic.Int64
	stopping                  atomic.Bool
	// fastListPolling requests frequent reads of the instance list.
	fastListPolling atomic.Bool
	// listRequested requests one read of the instance list.
	listRequested chan struct{}
	// becameLeader and storeAnswers signal that the configuration must be read at once: because the node has become
	// leader, or because the store answers other nodes.
	becameLeader, storeAnswers chan struct{}
	// rewriteRequested requests that the node's entry is written again.
	rewriteRequested chan struct{}
	// rebuildRequested requests a rebuild of the candidates.
	rebuildRequested chan struct{}

	// exclusions counts the changes of excludedGroups.
	exclusions atomic.Int64

	// loggedOnce holds a key for each invalid or unexpected message that was already logged, so that it
	// is logged only once.
	loggedOnce sync.Map

	mu sync.Mutex
	// excludedGroups holds the groups, each at one epoch, that receive no new requests by decision of the leader.
	excludedGroups map[fleet.GroupKey]bool
	// suspectedAt maps each instance that did not answer this node to the time of the unanswered call.
	suspectedAt map[state.InstanceID]time.Time
	// leavingSince maps each incarnation known to be leaving to the time at which this node recorded it.
	leavingSince map[fleet.Incarnation]time.Time
	// statusRequested requests an immediate status report to the leader.
	statusRequested chan struct{}
}

// New returns a Node. Run starts it.
func New(set *Settings, ports Ports, clock clockwork.Clock, logger *log.Logger) *Node {
	n := &Node{
		settings:    set,
		policy:      set.Policy.Node,
		clock:       clock,
		ports:       ports,
		configState: NewConfigState(ports.Decoder, set.StrictKeys, set.MaxKeyAge, clock),
		roster:      roster.New(roster.Config{HeartbeatInterval: set.HeartbeatInterval, StallTimeout: set.StallTimeout, IndirectProbes: true, Policy: set.Policy.Roster}),
		table:       dispatch.NewTable(set.Hall, set.Policy.Dispatch),
		pool:        direct.NewPool(direct.Dialer{Timeout: dialTimeout, AckTimeout: ackTimeout}, clock.Now),
		peerPool:    direct.NewPool(direct.Dialer{Timeout: set.Policy.Node.StatusTimeout, AckTimeout: ackTimeout}, clock.Now),
		partitions:  partition.NewMonitor(set.Policy.Partition),
		forwarding:  forwarding.NewSender(set.Hall, set.Policy.Forwarding),
		forwarded:   forwarding.NewReceiver(set.Policy.Forwarding),
		metrics:     metrics.NewRegistry(),
		demand:      demand.NewMeter(set.Policy.Demand),
		ledger:      quarantine.NewLedger(set.Policy.Quarantine),

		rewriteRequested: make(chan struct{}, 1),
		cooldowns:        cooldown.NewTracker(set.Policy.Cooldown),
		breakers:         breaker.NewSet(set.Policy.Breaker),
		limits:           ratelimit.NewTracker(set.Policy.RateLimit),
		rateAllocator:    ratelimit.NewAllocator(set.Policy.RateLimit, rand.Float64),
		cold:             newColdness(set, clock.Now()),
		log:              logger,
		started:          clock.Now(),
		process:          1 + rand.Int64N(math.MaxInt64),
		rebuildRequested: make(chan struct{}, 1),
		statusRequested:  make(chan struct{}, 1),
		listRequested:    make(chan struct{}, 1),
		becameLeader:     make(chan struct{}, 1),
		storeAnswers:     make(chan struct{}, 1),
		excludedGroups:   map[fleet.GroupKey]bool{},
		suspectedAt:      map[state.InstanceID]time.Time{},
		leavingSince:     map[fleet.Incarnation]time.Time{},
	}
	n.eras.verifiesFirst = set.StrictKeys && !set.IsFirstStart
	n.evacuations.policy = evacuation.Policy{Bound: set.EvacuateTimeout, RestoreSettle: n.policy.RestoreSettle}
	n.schedules = newSchedules(n)
	n.gateway = gateway.New(gateway.Options{
		Scheduler: n.schedules,
		Clock:     clock, Codec: ports.HeaderCodec, Catalogs: servingCatalogs{n.configState, n}, Evacuations: n, Table: n.table, FailureDetector: n, Recorder: n, Quarantine: n, Backpressure: n, Breakers: n, Pool: n.pool, Demand: n.demand, Policy: set.Policy.Gateway,
		Retry: set.Retry, CountsSince: n.retriesCountedSince(), Name: set.Name, Hall: set.Hall, Regions: n, HallTraffic: &n.hallTraffic, Peers: n, PeerPool: n.peerPool, Receiver: forwardReceiver{n.forwarded, n}, Buffers: n.newBuffers(),
	})
	n.regions.Store(&set.Regions)
	n.hallTraffic.metrics = n.metrics
	n.peers = newPeers(n)
	n.placement = newPlacementController(n)
	return n
}

// retriesCountedSince returns since when this process counts all retries of its node: since its start, or from the
// beginning if no process of the node can have run before.
func (n *Node) retriesCountedSince() time.Time {
	if n.settings.IsFirstStart {
		return time.Time{}
	}
	return n.started
}

// Count implements gateway.Recorder.
func (n *Node) Count(name string) { metrics.GetOrRegisterCounter(name, n.metrics).Inc(1) }

// Parameters of the histogram reservoirs: the values that go-metrics recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// ObserveDuration implements gateway.Recorder. Histograms are in microseconds.
func (n *Node) ObserveDuration(name string, d time.Duration) {
	h := n.metrics.GetOrRegister(name+".us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}

// LogDecision implements gateway.Recorder.
func (n *Node) LogDecision(d event.Decision) { n.log.WithFields(d).Info(d.Name()) }

// Run runs the node until ctx is done, then shuts it down within Settings.StopTimeout.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(log.Fields{"node": n.settings.Name, "hall": n.settings.Hall}).Info("start")
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	var loops sync.WaitGroup
	for _, loop := range n.loops() {
		loops.Go(func() { loop(runCtx) })
	}
	<-ctx.Done()
	n.stop(servers)
	cancel()
	loops.Wait()
	n.log.Info("stopped")
	return nil
}

// every returns a loop that calls f after each interval until its context is done.
func (n *Node) every(interval time.Duration, f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for n.sleep(ctx, interval) {
			f(ctx)
		}
	}
}

// sleep waits for d and reports whether it elapsed before ctx was done.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}

// candidateInputs identifies what the candidates were last built from.
type candidateInputs struct {
	catalog       *catalog.Catalog
	rosterVersion uint64
	// timedStates covers the changes of instances by the passage of time alone.
	timedStates uint64
	exclusions  int64
	evacuations evacuationState
}

// candidateInputs returns what the candidates would be built from now.
func (n *Node) candidateInputs(now time.Time) candidateInputs {
	return candidateInputs{n.configState.Catalog(), n.roster.Version(), n.roster.TimedStates(now), n.exclusions.Load(), n.evacuations.state(now)}
}

// rebuildCandidates rebuilds the candidates when the catalog, an instance, an exclusion or the time changes them.
func (n *Node) rebuildCandidates(ctx context.Context) {
	var last candidateInputs
	var impaired []dispatch.Pool
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.rebuildRequested:
		case <-n.clock.After(100 * time.Millisecond):
		}
		began := n.clock.Now()
		in := n.candidateInputs(began)
		if in.catalog == nil || in == last {
			continue
		}
		last = in
		n.table.SetEvacuated(n.evacuations.view(began))
		n.logRouting(n.table.Update(in.catalog, n.coldViews(in.catalog, began), n.isExcluded), in.rosterVersion)
		if pools := n.impairedPools(); !slices.Equal(pools, impaired) {
			impaired = pools
			n.requestStatusReport() // the answer names peers for the impaired pools
		}
		n.Count("candidates.rebuilt")
		if !n.sleep(ctx, n.rebuildPause(n.clock.Since(began))) {
			return
		}
	}
}

// maxRebuildFraction is the maximum fraction of a node's time that rebuilds of the candidates take. A rebuild for
// 1,000 instances takes several milliseconds on a fifth of a core.
const maxRebuildFraction = 0.1

// rebuildPause returns the time to wait after a rebuild of the candidates that took the given time.
func (n *Node) rebuildPause(took time.Duration) time.Duration {
	return max(n.policy.RebuildPause, time.Duration(float64(took)*(1/maxRebuildFraction-1)))
}

// requestRebuild requests a rebuild of the candidates.
func (n *Node) requestRebuild() {
	select {
	case n.rebuildRequested <- struct{}{}:
	default:
	}
}

// isExcluded reports whether a group at one epoch receives no new requests.
func (n *Node) isExcluded(key fleet.GroupKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.excludedGroups[key]
}

// setExcluded replaces the groups that receive no new requests, and requests a rebuild if they changed.
func (n *Node) setExcluded(list []GroupEpoch) {
	next := make(map[fleet.GroupKey]bool, len(list))
	for _, f := range list {
		next[fleet.GroupKey{Group: f.Group, Epoch: f.Epoch}] = true
	}
	n.mu.Lock()
	same := len(next) == len(n.excludedGroups)
	for key := range next {
		same = same && n.excludedGroups[key]
	}
	n.excludedGroups = next
	n.mu.Unlock()
	if !same {
		n.exclusions.Add(1)
		n.requestRebuild()
	}
}
