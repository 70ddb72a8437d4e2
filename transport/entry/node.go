package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
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
	set     *Settings
	clock   clockwork.Clock
	ports   Ports
	know    *Knowledge
	roster  *roster.Roster
	table   *dispatch.Table
	gate    *gateway.Gateway
	pool    *direct.Pool
	metrics metrics.Registry
	log     *log.Logger
	peers   *peers
	placer  *placer
	started time.Time

	number   atomic.Int64
	storeAt  atomic.Int64
	stopping atomic.Bool
	// listSoon asks for frequent reads of the list.
	listSoon atomic.Bool
	listNow  chan struct{}
	// changed asks for the candidates to be built anew.
	changed chan struct{}

	mu sync.Mutex
	// avoid are formations that the placing node takes apart.
	avoid map[fleet.GroupKey]bool
	// suspects are instances that did not answer this node, with when they were asked.
	suspects map[state.InstanceID]time.Time
	// news asks for a word to the placing node at once.
	news chan struct{}
}

// New returns a Node that is not yet running.
func New(set *Settings, ports Ports, clock clockwork.Clock, logger *log.Logger) *Node {
	n := &Node{
		set:      set,
		clock:    clock,
		ports:    ports,
		know:     NewKnowledge(ports.Decoder, set.StrictKeys, set.KeysWithin, clock),
		roster:   roster.New(roster.Config{Beat: set.BeatInterval, Stall: set.StallTime}),
		table:    dispatch.NewTable(set.Hall),
		pool:     direct.NewPool(direct.Dialer{Timeout: dialTimeout, Silence: silence}, clock.Now),
		metrics:  metrics.NewRegistry(),
		log:      logger,
		started:  clock.Now(),
		changed:  make(chan struct{}, 1),
		news:     make(chan struct{}, 1),
		listNow:  make(chan struct{}, 1),
		avoid:    map[fleet.GroupKey]bool{},
		suspects: map[state.InstanceID]time.Time{},
	}
	n.gate = gateway.New(gateway.Options{
		Clock: clock, Dialect: ports.Dialect, Catalogs: n.know, Table: n.table, Health: n, Recorder: n, Pool: n.pool, Retry: set.Retry,
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

// Time implements gateway.Recorder: histograms are in microseconds.
func (n *Node) Time(name string, d time.Duration) {
	h := n.metrics.GetOrRegister(name+".us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}

// Decide implements gateway.Recorder.
func (n *Node) Decide(event, id string, fields map[string]any) {
	f := log.Fields(fields)
	f["request"] = id
	n.log.WithFields(f).Info(event)
}

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

// Reload takes in settings that were read anew. Addresses and names need a new
// start; where they differ, the settings are refused and the old ones stay.
func (n *Node) Reload(set *Settings) error {
	if set.Name != n.set.Name || set.Callers != n.set.Callers || set.Ready != n.set.Ready || set.Peer != n.set.Peer || set.Store != n.set.Store {
		return ErrNeedsRestart
	}
	n.know.SetBound(set.StrictKeys, set.KeysWithin)
	n.gate.SetRetry(set.Retry)
	n.log.Info("settings reloaded")
	return nil
}

// ErrNeedsRestart means that changed settings take effect only with a new start.
var ErrNeedsRestart = errors.New("entry: the name or an address differs, which needs a new start")

// loops returns what runs for the life of the node.
func (n *Node) loops() []func(context.Context) {
	return []func(context.Context){
		n.followConfig,
		n.followInstances,
		n.register,
		n.rebuild,
		n.watchBeliefs,
		n.peers.run,
		n.peers.follow,
		n.placer.run,
		n.every(50*time.Millisecond, func(context.Context) { n.gate.Watch.Look() }),
		n.every(time.Second, func(context.Context) { n.pool.Sweep() }),
	}
}

// every returns a loop that calls a function again and again.
func (n *Node) every(interval time.Duration, f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for n.sleep(ctx, interval) {
			f(ctx)
		}
	}
}

// sleep waits and tells whether the node still runs.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}

// listener is one server of the node.
type listener struct {
	srv *http.Server
	ln  net.Listener
}

// listen opens all listeners and serves them.
func (n *Node) listen() ([]*http.Server, error) {
	inner := http.NewServeMux()
	inner.Handle(wordProcedure, connect.NewUnaryHandler(wordProcedure, n.peers.answer, connect.WithCodec(peer.JSONCodec{})))
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.serveReady)
	measures := http.NewServeMux()
	measures.HandleFunc("/metrics", n.serveMetrics)
	plan := []struct {
		at string
		h  http.Handler
	}{
		{n.set.Callers.String(), n.gate},
		{n.set.Ready.String(), ready},
		{n.set.Peer.String(), inner},
		{n.set.Metrics.String(), measures},
	}
	var list []*listener
	for _, p := range plan {
		ln, err := net.Listen("tcp4", p.at)
		if err != nil {
			return nil, fmt.Errorf("entry: listen on %s: %w", p.at, err)
		}
		srv := &http.Server{Handler: p.h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, ErrorLog: nil}
		list = append(list, &listener{srv: srv, ln: ln})
	}
	var servers []*http.Server
	for _, l := range list {
		servers = append(servers, l.srv)
		go func() {
			if err := l.srv.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
				n.log.WithError(err).Error("listener ended")
			}
		}()
	}
	return servers, nil
}

// serveReady answers whether the node takes new connections.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady tells whether the node can answer callers.
func (n *Node) isReady() bool { return !n.stopping.Load() && n.know.Catalog() != nil }

// serveMetrics writes all counters.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.metrics, w) }

// Bounds of a planned stop.
const (
	// leaveTime is how long new connections still come after the node is no longer ready.
	leaveTime = 2900 * time.Millisecond
	// stopMargin is kept of the time for a planned stop.
	stopMargin = 400 * time.Millisecond
)

// stop ends the node: it is no longer ready, answers on, then takes nothing new and finishes what it holds.
func (n *Node) stop(servers []*http.Server) {
	began := n.clock.Now()
	n.log.Info("stopping")
	n.stopping.Store(true)
	n.gate.Stop()
	n.clock.Sleep(min(leaveTime, n.set.StopWithin/2))
	n.gate.Refuse()
	ctx, cancel := context.WithTimeout(context.Background(), n.set.StopWithin-stopMargin-n.clock.Since(began))
	defer cancel()
	if err := servers[0].Shutdown(ctx); err != nil {
		n.log.WithError(err).WithField("held", n.gate.Watch.Active()).Warn("requests cut off by the stop")
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
	}
}

// timed tells whether an instance may have come to count as lost by time alone.
func (n *Node) timed(views []roster.View) bool {
	for i := range views {
		if views[i].Lost || views[i].Draining || views[i].Unlisted {
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

// avoided tells whether a formation takes no new requests.
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

// Bounds of following the store.
const (
	configWait   = 3 * time.Second
	listInterval = 500 * time.Millisecond
	// listIntervalSoon is the time between two reads while the node has groups formed or taken apart.
	listIntervalSoon = 80 * time.Millisecond
	storeTimeout     = time.Second
	storeRetry       = 150 * time.Millisecond
	// storeRetryMost bounds the time between two tries of a store that does not answer.
	storeRetryMost = 700 * time.Millisecond
)

// followConfig keeps up with the operator's configuration.
func (n *Node) followConfig(ctx context.Context) {
	next, wait := int64(-1), storeRetry
	for {
		asked := n.clock.Now()
		tail, err := n.readTail(ctx, source.Configuration, next, n.configWait())
		if err != nil {
			if errors.Is(err, source.ErrTrimmed) {
				next = -1
			}
			if !n.sleep(ctx, wait) {
				return
			}
			wait = min(2*wait, storeRetryMost)
			continue
		}
		wait = storeRetry
		next = tail.End
		for _, item := range tail.Items {
			n.learnConfig(item.Value, "store")
		}
		if tail.Whole {
			n.know.Confirm(asked)
		}
		n.storeRead(asked)
	}
}

// configWait returns how long a read of the configuration waits for a new one.
// Keys are trusted for a time from the last question on, so where that is
// bounded, questions must be asked several times as often.
func (n *Node) configWait() time.Duration {
	if n.set.StrictKeys {
		return min(configWait, n.set.KeysWithin/4)
	}
	return configWait
}

// learnConfig takes in a configuration; one that cannot be read leaves the last in force.
func (n *Node) learnConfig(raw []byte, from string) {
	if len(raw) == 0 {
		return
	}
	newer, err := n.know.Learn(raw)
	if err != nil {
		n.Count("config.unreadable")
		n.log.WithError(err).WithField("from", from).Error("configuration not read")
		return
	}
	if newer {
		_, version := n.know.Raw()
		n.log.WithFields(log.Fields{"version": version, "from": from}).Info("configuration in force")
		n.touch()
	}
}

// storeRead notes that the store answered a question asked at a time.
func (n *Node) storeRead(asked time.Time) {
	n.storeAt.Store(int64(asked.Sub(n.started)) + 1)
}

// storeAge returns how long ago the last question was asked that the store answered.
func (n *Node) storeAge() time.Duration {
	at := n.storeAt.Load()
	if at == 0 {
		return time.Hour
	}
	return n.clock.Since(n.started) - time.Duration(at)
}

// readTail reads a topic from an offset on, or its newest records for an offset below 0.
func (n *Node) readTail(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.Tail, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	n.Count("store." + string(topic))
	if from < 0 {
		tail, err := n.ports.Store.Newest(ctx, topic)
		tail.Whole = err == nil
		return tail, err
	}
	return n.ports.Store.Read(ctx, topic, from, wait)
}

// followInstances keeps up with the platform's list of instances.
func (n *Node) followInstances(ctx context.Context) {
	next := int64(-1)
	for {
		asked := n.clock.Now()
		tail, err := n.readTail(ctx, source.Instances, next, 0)
		switch {
		case errors.Is(err, source.ErrTrimmed):
			next = -1
		case err == nil:
			n.learnInstances(tail, next < 0)
			next = tail.End
			if tail.Whole {
				n.roster.Confirm(asked)
			}
			n.storeRead(asked)
		}
		wait := listInterval
		if placing, _ := n.peers.isPlacing(); err == nil && placing && n.listSoon.Load() {
			wait = listIntervalSoon
		}
		if err == nil && !tail.Whole {
			wait = 0
		}
		if !n.waitForList(ctx, wait) {
			return
		}
	}
}

// waitForList waits for the next read of the list and tells whether the node still runs.
func (n *Node) waitForList(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
	case <-n.listNow:
		return n.sleep(ctx, min(d, listIntervalSoon))
	}
	return true
}

// readListSoon asks for frequent reads of the list, or no longer.
func (n *Node) readListSoon(on bool) {
	if n.listSoon.Swap(on) || !on {
		return
	}
	select {
	case n.listNow <- struct{}{}:
	default:
	}
}

// learnInstances takes in records of the list; whole says that they are all there is.
func (n *Node) learnInstances(tail source.Tail, whole bool) {
	now := n.clock.Now()
	before := n.roster.Version()
	seen := map[state.InstanceID]bool{}
	for _, item := range tail.Items {
		id := state.InstanceID(item.Key)
		if len(item.Value) == 0 {
			n.roster.Unlisted(id, now)
			delete(seen, id)
			continue
		}
		in, err := n.ports.Decoder.Instance(item.Key, item.Value)
		if err != nil {
			n.Count("instances.unreadable")
			n.log.WithError(err).Warn("entry not read")
			continue
		}
		in.Position = item.Offset
		n.placer.observe(in.Membership.Epoch, false)
		seen[id] = true
		n.roster.Listed(in, now)
	}
	if whole {
		n.roster.Retain(seen, now)
	}
	if n.roster.Version() != before {
		n.touch()
		n.placer.stir()
	}
}

// register writes the node's entry into the store, whose offset is the node's number.
func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(n.peers.self())
	if err != nil {
		n.log.WithError(err).Error("entry of the node")
		return
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		offset, err := n.ports.Store.Append(callCtx, source.Nodes, n.set.Name, value)
		cancel()
		if err == nil {
			n.number.Store(offset + 1)
			n.log.WithField("number", offset+1).Info("registered")
			return
		}
		if !n.sleep(ctx, 2*storeRetry) {
			return
		}
	}
}
