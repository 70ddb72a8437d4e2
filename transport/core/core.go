// Package core holds the parts of a running node that its listeners and loops share.
package core

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/admission"
	"github.com/troutmast/troutmast/coordination/claim"
	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/coordination/ticket"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/settings"
)

// Core is a node's shared parts; every field is safe for concurrent use.
type Core struct {
	Settings  *settings.Settings
	Clock     clockwork.Clock
	Metrics   metrics.Registry
	Follower  *statelog.Follower
	Evidence  *evidence.Table
	Feed      *evidence.Feed
	Directory *membership.Directory
	Routing   *routing.Table
	Picker    routing.Picker
	Pools     *Pools
	Teams     *admission.Teams
	Budget    *retry.Budget
	Claims    *claim.Manager
	Tickets   *ticket.Store
	Targets   *target.Client
	Peers     *peer.Client
	Platform  *platform.Client
	Places    *Places
	Decisions *Decisions
	Measures  *Measures
	Repairs   *Repairs
	// Quarantine holds back requests that end the instances that run them.
	Quarantine *quarantine.Ledger
	// Unreached holds instances to which a request could not be sent, so that they are probed at once.
	Unreached chan state.InstanceID
	// IsPartitioned reports whether the node reaches no instance of its hall.
	IsPartitioned func() bool
	// Doubted holds a token when a request broke off, so that its instances are asked whether they live.
	Doubted chan struct{}
	// Cooldowns are the instances that asked this node to send them nothing for a while.
	Cooldowns *cooldown.Tracker

	// Routed is the offset of the state that the routing table shows.
	Routed   atomic.Uint64
	Stopping atomic.Bool
	// Started is when the node began to run.
	Started time.Time
	// Looked tells that the node knows what each instance of its hall is, and what it may take.
	Looked  atomic.Bool
	Held    atomic.Int64
	Arrived atomic.Int64
	Demand  atomic.Int64
}

// Self returns what the node says of itself now.
func (c *Core) Self() membership.Node {
	n := c.Directory.Self()
	n.Applied = c.InForce()
	n.Ready = c.Ready() == nil
	n.Stopping = c.Stopping.Load()
	n.InFlight = int(c.Held.Load())
	n.RequestRate = int(c.Demand.Load())
	n.RequestedAt = c.Clock.Now()
	n.LogLag = time.Hour
	if age, ok := c.Follower.HeadAge(); ok {
		n.LogLag = age
	}
	n.Models = c.OpenModels()
	return n
}

// InForce returns the offset up to which records have their effect on requests.
func (c *Core) InForce() state.Offset { return state.Offset(c.Routed.Load()) }

// LogFresh reports whether the node has lately held all that the log held.
func (c *Core) LogFresh() bool {
	age, ok := c.Follower.HeadAge()
	return ok && age < c.Settings.Behind
}

// OpenModels returns the models and services that have an open candidate here. A node that is partitioned
// from the instances has none, whatever other nodes report of them.
func (c *Core) OpenModels() []string {
	if c.IsPartitioned() {
		return nil
	}
	now := c.Clock.Now()
	var open []string
	for name, pool := range c.Routing.Models() {
		for _, cand := range pool {
			if c.Open(cand, now) {
				open = append(open, name)
				break
			}
		}
	}
	return open
}

// ServicePool returns the name under which a plain service's instances are routed.
func ServicePool(name state.ServiceName) string { return "svc/" + string(name) }

// Count adds one to a counter.
func (c *Core) Count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}

// Pools holds one admission pool for each model and service.
type Pools struct {
	clock clockwork.Clock
	mu    sync.Mutex
	m     map[string]*admission.Pool
}

// NewPools returns an empty Pools.
func NewPools(clock clockwork.Clock) *Pools {
	return &Pools{clock: clock, m: map[string]*admission.Pool{}}
}

// Get returns the pool of a name, making it if need be.
func (p *Pools) Get(name string) *admission.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.m[name]
	if !ok {
		pool = admission.NewPool(admission.DefaultConfig(), p.clock)
		p.m[name] = pool
	}
	return pool
}

// Names returns the names of all pools.
func (p *Pools) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.m))
	for n := range p.m {
		names = append(names, n)
	}
	return names
}
