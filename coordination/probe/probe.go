// Package probe probes the target instances of a data hall and sends the orders
// that their reports call for.
package probe

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/coordination/control"
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/partition"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
)

// ErrNotListening is returned when nothing listens at an instance's address: its process is not running.
var ErrNotListening = errors.New("probe: nothing listens at the instance's address")

// InstanceClient sends probes and orders to instances.
type InstanceClient interface {
	// Probe returns an instance's report. ErrNotListening means that the instance is not running, unless the node is
	// partitioned from it.
	Probe(ctx context.Context, addr netip.AddrPort) (evidence.Report, error)
	Order(ctx context.Context, addr netip.AddrPort, o control.Order) error
}

// Config holds the settings of a Prober.
type Config struct {
	Interval time.Duration
	// EvidenceWindow is the evidence window. A probe times out after half of it.
	EvidenceWindow time.Duration
}

// Hooks holds the functions through which a Prober reads the node's state and reports to it.
type Hooks struct {
	// Instances returns the addresses of the hall's instances.
	Instances func() map[state.InstanceID]netip.AddrPort
	// Owns reports whether this node owns the probing of an instance.
	Owns      func(id state.InstanceID) bool
	StateView func() *statelog.View
	// MayOrder reports whether the node's state is fresh enough to give orders.
	MayOrder func() bool
	// OnReport is called after a report of an instance was recorded.
	OnReport func(r evidence.Report)
	// IncrementCounter increments a counter.
	IncrementCounter func(name string)
}

// Prober probes the instances that its node owns, and those whose evidence is about to expire
// because their owner has not probed them. It detects whether the node is partitioned from all of them.
type Prober struct {
	cfg       Config
	target    InstanceClient
	src       Hooks
	table     *evidence.Table
	feed      *evidence.Feed
	clock     clockwork.Clock
	partition *partition.Detector

	mu       sync.Mutex
	inFlight map[state.InstanceID]bool
}

// New returns a Prober that records reports in a table and a feed.
func New(cfg Config, target InstanceClient, src Hooks, table *evidence.Table, feed *evidence.Feed, clock clockwork.Clock) *Prober {
	return &Prober{
		cfg: cfg, target: target, src: src, table: table, feed: feed, clock: clock,
		partition: partition.NewDetector(partitionPolicy), inFlight: map[state.InstanceID]bool{},
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	tick := p.clock.NewTicker(p.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			p.ProbeDue(ctx)
		}
	}
}

// ProbeDue starts one probe of every instance that needs one.
func (p *Prober) ProbeDue(ctx context.Context) {
	now := p.clock.Now()
	for id, addr := range p.src.Instances() {
		owned := p.src.Owns(id)
		if (owned || p.stale(id, now)) && p.markInFlight(id) {
			go p.probe(ctx, id, addr, owned)
		}
	}
	if p.IsPartitioned() {
		go p.probeSample(ctx, "")
	}
	p.feed.Expire(now.Add(-p.cfg.EvidenceWindow))
}

// ProbeInstance probes an instance of the hall now, unless a probe of it is in flight.
func (p *Prober) ProbeInstance(ctx context.Context, id state.InstanceID) {
	if addr, ok := p.src.Instances()[id]; ok {
		p.probeNow(ctx, id, addr)
	}
}

// probeNow probes an instance at an address now, unless a probe of it is in flight.
func (p *Prober) probeNow(ctx context.Context, id state.InstanceID, addr netip.AddrPort) {
	if p.markInFlight(id) {
		go p.probe(ctx, id, addr, p.src.Owns(id))
	}
}

// ProbeUnreported probes the instances of the hall that have no report yet.
func (p *Prober) ProbeUnreported(ctx context.Context) {
	for id, addr := range p.src.Instances() {
		if _, known := p.table.Get(id); !known {
			p.probeNow(ctx, id, addr)
		}
	}
}

// stale reports whether the evidence of an instance is about to expire or has expired.
func (p *Prober) stale(id state.InstanceID, now time.Time) bool {
	e, ok := p.table.Get(id)
	return !ok || now.Sub(e.ProbedAt) > p.cfg.EvidenceWindow*2/3
}

// markInFlight marks an instance as being probed and reports whether it was not marked before.
func (p *Prober) markInFlight(id state.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[id] {
		return false
	}
	p.inFlight[id] = true
	return true
}

// clearInFlight clears the mark set by markInFlight.
func (p *Prober) clearInFlight(id state.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, id)
}

// probe probes one instance and sends it an order if its report calls for one.
func (p *Prober) probe(ctx context.Context, id state.InstanceID, addr netip.AddrPort, owned bool) {
	defer p.clearInFlight(id)
	probedAt := p.clock.Now()
	p.src.IncrementCounter("probes")
	r, err := p.requestReport(ctx, addr)
	switch {
	case err != nil:
		p.handleFailure(ctx, id, err, probedAt, owned)
	case r.Instance != id:
		p.src.IncrementCounter("probes.wrong-instance")
	default:
		p.recordResponse()
		p.recordReport(r, probedAt, owned)
		p.order(ctx, addr, r)
	}
}

// requestReport sends one probe. It times out after half of the evidence window.
func (p *Prober) requestReport(ctx context.Context, addr netip.AddrPort) (evidence.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.EvidenceWindow/2)
	defer cancel()
	return p.target.Probe(ctx, addr)
}

// recordReport records a report, also in the feed to peers if this node owns the instance.
func (p *Prober) recordReport(r evidence.Report, probedAt time.Time, owned bool) {
	p.table.Record(r, probedAt)
	if owned {
		p.feed.Record(r, probedAt)
	}
	p.src.OnReport(r)
}

// order sends the order that a report calls for.
func (p *Prober) order(ctx context.Context, addr netip.AddrPort, r evidence.Report) {
	if !p.src.MayOrder() {
		return
	}
	o, needed := control.NextOrder(p.src.StateView(), r)
	if !needed {
		return
	}
	p.src.IncrementCounter("orders")
	ctx, cancel := context.WithTimeout(ctx, p.cfg.EvidenceWindow/2)
	defer cancel()
	fields := log.Fields{"instance": r.Instance, "group": o.Group, "epoch": o.Epoch}
	if err := p.target.Order(ctx, addr, o); err != nil {
		p.src.IncrementCounter("orders.failed")
		log.WithError(err).WithFields(fields).Warn("order to instance failed")
		return
	}
	log.WithFields(fields).Info("order sent to instance")
}
