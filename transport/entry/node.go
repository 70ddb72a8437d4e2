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

// Bounds of connections.
const (
	// dialTimeout bounds the time to connect to an instance.
	dialTimeout = 400 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged.
	silence = 2 * time.Second
	// headerTime bounds the reading of a request's head.
	headerTime = 10 * time.Second
	// idleTime is how long a caller's connection may rest.
	idleTime = 90 * time.Second
)

// Node is one entry node.
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
	// cooldowns are the instances that asked this node to send them nothing for a while.
	cooldowns *cooldown.Tracker
	// limits are the instances that take only so many requests a second from all nodes together.
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

	// number names this life of the node among all: the place of its first entry in the store, plus one.
	number  atomic.Int64
	eras    eras
	storeAt atomic.Int64
	// storeFailed tells that the last read of the store failed: only the first of a row is logged.
	storeFailed atomic.Bool
	stopping    atomic.Bool
	// listSoon asks for frequent reads of the list.
	listSoon atomic.Bool
	listNow  chan struct{}
	// writeAgain asks for the node's entry to be written again.
	writeAgain chan struct{}
	// changed asks for the candidates to be built anew.
	changed chan struct{}

	// garbled are the instances that answered something that is no report.
	garbled sync.Map

	mu sync.Mutex
	// avoid are formations that the placing node takes apart.
	avoid map[fleet.GroupKey]bool
	// suspects are instances that did not answer this node, with when they were asked.
	suspects map[state.InstanceID]time.Time
	// leavers are lives of instances that told this node that they will end soon, with when.
	leavers map[fleet.Incarnation]time.Time
	// news asks for a word to the placing node at once.
	news chan struct{}
}

// New returns a Node that is not yet running.
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

// sampleSize and sampleAlpha are go-metrics' customary reservoir for histograms.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// ObserveDuration implements gateway.Recorder: histograms are in microseconds.
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

// Run runs the node until ctx ends, then stops it within the time for a planned stop.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(log.Fields{"node": n.set.Name, "hall": n.set.Hall}).Info("start")
	life, end := context.WithCancel(context.Background())
	defer end()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	var loops sync.WaitGroup
	for _, loop := range n.loops() {
		loops.Go(func() { loop(life) })
	}
	<-ctx.Done()
	n.stop(servers)
	end()
	loops.Wait()
	n.log.Info("stopped")
	return nil
}

// every returns a loop that calls a function again and again.
func (n *Node) every(interval time.Duration, f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for n.sleep(ctx, interval) {
			f(ctx)
		}
	}
}

// sleep waits and reports whether the node still runs.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}

// rebuild builds the candidates anew whenever something has changed.
func (n *Node) rebuild(ctx context.Context) {
	var version uint64
	var known *catalog.Catalog
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
		if c == nil || (v == version && c == known && !n.timed(views)) {
			continue
		}
		version, known = v, c
		n.table.Update(c, views, n.avoided)
		n.Count("candidates.rebuilt")
		if !n.sleep(ctx, n.policy.RebuildPause) {
			return
		}
	}
}

// timed reports whether an instance may have come to count as lost by time alone.
func (n *Node) timed(views []roster.View) bool {
	for i := range views {
		if views[i].Unreachable || views[i].Draining || views[i].Unlisted {
			return true
		}
	}
	return false
}

// touch asks for the candidates to be built anew.
func (n *Node) touch() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// avoided reports whether a formation takes no new requests.
func (n *Node) avoided(key fleet.GroupKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.avoid[key]
}

// setAvoid takes in the formations that take no new requests.
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
