package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/localhealth"
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
	// silence is the maximum time for which sent bytes may remain unacknowledged.
	silence = 2 * time.Second
	// headerTime is the maximum time to read a request's headers.
	headerTime = 10 * time.Second
	// idleTime is how long a caller's connection may be idle.
	idleTime = 90 * time.Second
)

// Node is an entry node: it accepts requests from callers and forwards them to instances.
type Node struct {
	set    *Settings
	policy NodePolicy
	clock  clockwork.Clock
	ports  Ports
	know   *Knowledge
	roster *roster.Roster
	table  *dispatch.Table
	gate   *gateway.Gateway
	demand *demand.Meter
	ledger *quarantine.Ledger
	// cooldowns tracks the instances that asked this node to send them nothing for some time.
	cooldowns *cooldown.Tracker
	// limits tracks the instances that limit the requests per second from all nodes together.
	limits  *ratelimit.Tracker
	dealer  *ratelimit.Allocator
	pool    *direct.Pool
	metrics metrics.Registry
	log     *log.Logger
	peers   *peers
	placer  *placer
	health  localhealth.Monitor
	load    leaderLoad
	feed    feed
	started time.Time

	// number identifies this incarnation of the node: the offset of its first entry in the store, plus one.
	number  atomic.Int64
	eras    eras
	storeAt atomic.Int64
	// storeFailed reports whether the last read of the store failed. Only the first of consecutive
	// failures is logged.
	storeFailed atomic.Bool
	stopping    atomic.Bool
	// listSoon requests frequent reads of the instance list.
	listSoon atomic.Bool
	// listNow requests one read of the instance list.
	listNow chan struct{}
	// writeAgain requests that the node's entry is written again.
	writeAgain chan struct{}
	// changed requests a rebuild of the candidates.
	changed chan struct{}

	// garbled holds a key for each invalid or unexpected message that was already logged, so that it
	// is logged only once.
	garbled sync.Map

	mu sync.Mutex
	// avoid holds the groups, each at one epoch, that receive no new requests by decision of the leader.
	avoid map[fleet.GroupKey]bool
	// suspects maps each instance that did not answer this node to the time of the unanswered call.
	suspects map[state.InstanceID]time.Time
	// leavers maps each incarnation known to be leaving to the time at which this node recorded it.
	leavers map[fleet.Incarnation]time.Time
	// news requests an immediate status report to the leader.
	news chan struct{}
}

// New returns a Node. Run starts it.
func New(set *Settings, ports Ports, clock clockwork.Clock, logger *log.Logger) *Node {
	n := &Node{
		set:     set,
		policy:  set.Policy.Node,
		clock:   clock,
		ports:   ports,
		know:    NewKnowledge(ports.Decoder, set.StrictKeys, set.KeysWithin, clock),
		roster:  roster.New(roster.Config{HeartbeatInterval: set.BeatInterval, StallTimeout: set.StallTime, IndirectProbes: true, Policy: set.Policy.Roster}),
		table:   dispatch.NewTable(set.Hall, set.Policy.Dispatch),
		pool:    direct.NewPool(direct.Dialer{Timeout: dialTimeout, Silence: silence}, clock.Now),
		metrics: metrics.NewRegistry(),
		demand:  demand.NewMeter(set.Policy.Demand),
		ledger:  quarantine.NewLedger(set.Policy.Quarantine),

		writeAgain: make(chan struct{}, 1),
		cooldowns:  cooldown.NewTracker(set.Policy.Cooldown),
		limits:     ratelimit.NewTracker(set.Policy.RateLimit),
		dealer:     ratelimit.NewAllocator(set.Policy.RateLimit, rand.Float64),
		log:        logger,
		started:    clock.Now(),
		changed:    make(chan struct{}, 1),
		news:       make(chan struct{}, 1),
		listNow:    make(chan struct{}, 1),
		avoid:      map[fleet.GroupKey]bool{},
		suspects:   map[state.InstanceID]time.Time{},
		leavers:    map[fleet.Incarnation]time.Time{},
	}
	n.gate = gateway.New(gateway.Options{
		Clock: clock, Codec: ports.Dialect, Catalogs: n.know, Table: n.table, FailureDetector: n, Recorder: n, Quarantine: n, Backpressure: n, Pool: n.pool, Demand: n.demand, Policy: set.Policy.Gateway,
		Retry: set.Retry,
	})
	n.peers = newPeers(n)
	n.placer = newPlacer(n)
	return n
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

// Run runs the node until ctx is done, then shuts it down within Settings.StopWithin.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(log.Fields{"node": n.set.Name, "hall": n.set.Hall}).Info("start")
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

// rebuild rebuilds the candidates when the catalog, an instance or the time changes them.
func (n *Node) rebuild(ctx context.Context) {
	var lastVersion uint64
	var lastCatalog *catalog.Catalog
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		case <-n.clock.After(100 * time.Millisecond):
		}
		c := n.know.Catalog()
		now := n.clock.Now()
		views := n.roster.All(now)
		v := n.roster.Version()
		if c == nil || (v == lastVersion && c == lastCatalog && !n.timed(views)) {
			continue
		}
		lastVersion, lastCatalog = v, c
		n.table.Update(c, views, n.avoided)
		n.Count("candidates.rebuilt")
		if !n.sleep(ctx, n.policy.RebuildPause) {
			return
		}
	}
}

// timed reports whether the candidates may change by the passage of time alone, since an instance
// may become lost without a further event.
func (n *Node) timed(views []roster.View) bool {
	for i := range views {
		if views[i].Unreachable || views[i].Draining || views[i].Unlisted {
			return true
		}
	}
	return false
}

// touch requests a rebuild of the candidates.
func (n *Node) touch() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// avoided reports whether a group at one epoch receives no new requests.
func (n *Node) avoided(key fleet.GroupKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.avoid[key]
}

// setAvoid replaces the groups that receive no new requests, and requests a rebuild if they changed.
func (n *Node) setAvoid(list []Formation) {
	next := make(map[fleet.GroupKey]bool, len(list))
	for _, f := range list {
		next[fleet.GroupKey{Group: f.Group, Epoch: f.Epoch}] = true
	}
	n.mu.Lock()
	same := len(next) == len(n.avoid)
	for key := range next {
		same = same && n.avoid[key]
	}
	n.avoid = next
	n.mu.Unlock()
	if !same {
		n.touch()
	}
}
