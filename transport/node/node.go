// Package node builds a node from its settings and runs its loops and listeners.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/admission"
	"github.com/troutmast/troutmast/coordination/claim"
	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/coordination/probe"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/coordination/ticket"
	"github.com/troutmast/troutmast/internal/tcpstate"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/caller"
	"github.com/troutmast/troutmast/transport/core"
	"github.com/troutmast/troutmast/transport/operator"
	"github.com/troutmast/troutmast/transport/peerapi"
	"github.com/troutmast/troutmast/transport/settings"
)

// Bounds that are not settings.
const (
	// liveness is how many exchange intervals a peer may be silent before it counts as gone.
	liveness = 8
	// dialTimeout bounds the time to connect to anything.
	dialTimeout = time.Second
	// retryRatio and retryMost bound the retries of requests.
	retryRatio = 0.1
	retryMost  = 20
	// maxUnreached is the number of instances that wait for a probe after a failed send.
	maxUnreached = 16
	// claimDrain bounds how long a stopping node tries to append the results of claimed calls.
	claimDrain = 10 * time.Second
)

// Node is one running entry node.
type Node struct {
	*core.Core
	prober  *probe.Prober
	meter   *exchange.Meter
	mirrors *mirrors
	caller  *caller.Server
	missing *missingSince
	// nodesAsked is when a peer was last asked about other nodes, in nanoseconds.
	nodesAsked atomic.Int64
	loops      sync.WaitGroup
	// refresh asks for the routing table to be built anew.
	refresh chan struct{}
}

// New returns a Node that is not yet running, or an error when its TLS files cannot be read.
func New(set *settings.Settings, clock clockwork.Clock) (*Node, error) {
	peerTLS, err := set.PeerTLS()
	if err != nil {
		return nil, err
	}
	self := membership.Node{Name: set.Name, Hall: set.Hall, Address: set.Advertised(), Incarnation: uuid.NewString()}
	dir := membership.NewDirectory(self, liveness*set.ExchangeInterval)
	meter := &exchange.Meter{}
	control := exchange.New(exchange.Options{DialTimeout: dialTimeout, KeepAlive: true, IdleConns: 4, Meter: meter})
	plat := platform.NewClient(set.Platform, set.Name, control)
	peers := peer.NewClient(dir, peer.Options{
		Secret: set.PeerSecret, Seeds: set.Peers, Source: set.Peer.Addr(), Timeout: dialTimeout, Meter: meter, TLS: peerTLS, Now: clock.Now,
	})
	cfg := statelog.DefaultConfig()
	cfg.SnapshotEvery = state.Offset(set.SnapshotEvery)
	follower := statelog.NewFollower(cfg, plat, peers, clock)
	c := &core.Core{
		Settings:  set,
		Clock:     clock,
		Started:   clock.Now(),
		Metrics:   metrics.NewRegistry(),
		Follower:  follower,
		Evidence:  evidence.NewTable(),
		Feed:      evidence.NewFeed(),
		Directory: dir,
		Routing:   routing.NewTable(),
		Picker: &routing.LeastCost{Weights: routing.Weights{
			InFlight: set.HeldCost, TokensInFlight: set.TokenCost, PromptSinceReport: set.RecentCost, Prefix: set.PrefixGain,
		}},
		Pools:   core.NewPools(clock),
		Teams:   &admission.Teams{},
		Budget:  retry.NewBudget(retryRatio, retryMost),
		Claims:  claim.NewManager(set.Name+"/"+self.Incarnation, follower, clock, set.AppendRate),
		Tickets: ticket.NewStore(set.Name, self.Incarnation, clock),
		Targets: target.NewClient(control,
			exchange.New(exchange.Options{DialTimeout: dialTimeout, KeepAlive: true, IdleConns: 64}),
			exchange.New(exchange.Options{DialTimeout: dialTimeout})),
		Peers:     peers,
		Platform:  plat,
		Places:    core.NewPlaces(),
		Decisions: core.NewDecisions(),
		Measures:  &core.Measures{},
		Repairs:   core.NewRepairs(),

		Quarantine: quarantine.NewLedger(quarantine.DefaultPolicy()),
		Doubted:    make(chan struct{}, 1),
		Unreached:  make(chan state.InstanceID, maxUnreached),
		Cooldowns:  cooldown.NewTracker(cooldown.DefaultPolicy()),
	}
	n := &Node{Core: c, meter: meter, mirrors: newMirrors(), missing: newMissingSince(), refresh: make(chan struct{}, 1)}
	n.prober = probe.New(probe.Config{Interval: set.ProbeInterval, EvidenceWindow: set.EvidenceWindow}, c.Targets, n.sources(), c.Evidence, c.Feed, clock)
	c.IsPartitioned = n.prober.IsPartitioned
	n.caller = caller.NewServer(c, exchange.New(exchange.Options{
		DialTimeout: dialTimeout, KeepAlive: true, IdleConns: 64, Source: set.Peer.Addr(), TLS: peerTLS,
	}))
	return n, nil
}

// Run runs the node until ctx ends, then stops it without cutting a request off.
func (n *Node) Run(ctx context.Context) error {
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	fatal := make(chan error, 8)
	n.startLoops(loops, fatal)
	servers := []*http.Server{
		n.server(n.Settings.Callers.String(), n.callerHandler()),
		n.server(n.Settings.Operator.String(), operator.NewServer(n.Core).Handler()),
		n.server(n.Settings.Peer.String(), peerapi.NewServer(n.Core, n.caller.ForwardHandler()).Handler()),
	}
	for _, s := range servers {
		go n.listen(s, fatal)
	}
	log.WithFields(log.Fields{"node": n.Settings.Name, "hall": n.Settings.Hall, "callers": n.Settings.Callers}).Info("node started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-fatal:
		log.WithError(err).Error("node cannot go on")
	}
	n.stop(servers)
	stopLoops()
	n.loops.Wait()
	return err
}

// listen serves one listener and reports why it ended.
func (n *Node) listen(s *http.Server, fatal chan<- error) {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		fatal <- fmt.Errorf("node: %w", err)
		return
	}
	if s.Addr == n.Settings.Peer.String() {
		l = n.meter.Listener(l)
		s.Protocols = peer.HTTPProtocols()
		s.Protocols.SetHTTP1(true)
	}
	if n.Settings.CertFile != "" {
		err = s.ServeTLS(l, n.Settings.CertFile, n.Settings.KeyFile)
	} else {
		err = s.Serve(l)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		fatal <- fmt.Errorf("node: %s: %w", s.Addr, err)
	}
}

// server returns a listener with bounds on headers.
func (n *Node) server(addr string, h http.Handler) *http.Server {
	return &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10, ConnContext: tcpstate.NewContext}
}

// stop ends the node's work: first it is not ready, then it accepts for the
// balancer's lag, then it finishes every request.
func (n *Node) stop(servers []*http.Server) {
	n.Stopping.Store(true)
	log.WithField("lag", n.Settings.StopLag).Info("stopping, still accepting")
	n.Clock.Sleep(n.Settings.StopLag)
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.MaxTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			log.WithError(err).WithField("listener", s.Addr).Warn("requests cut off at the greatest time")
		}
	}
	n.drainClaims()
	log.Info("every request has ended")
}

// drainClaims waits until the results of claimed calls are in the log.
func (n *Node) drainClaims() {
	end := n.Clock.Now().Add(claimDrain)
	for n.Claims.Pending() > 0 && n.Clock.Now().Before(end) {
		n.Clock.Sleep(50 * time.Millisecond)
	}
}

// callerHandler returns the callers' routes with those of the balancer.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.caller.Handler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.HandleFunc("GET /metrics", n.metrics)
	return mux
}

// readyz tells the balancer whether to send new requests.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := n.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// metrics writes all counters and timers as JSON.
func (n *Node) metrics(w http.ResponseWriter, _ *http.Request) {
	in, out := n.meter.Totals()
	metrics.GetOrRegisterGauge("control.bytes-received", n.Metrics).Update(in)
	metrics.GetOrRegisterGauge("control.bytes-sent", n.Metrics).Update(out)
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.Metrics, w)
}
