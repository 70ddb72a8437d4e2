package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/probeslots"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// placementController forms and repairs the groups of all engine services while this node is the leader.
type placementController struct {
	node *Node

	// stepPlanner runs one step of a planner. Tests replace it.
	stepPlanner func(pl *placement.Planner, now time.Time, members []placement.Member) (placement.Plan, error)
	failures    planFailures
	// excludedByService holds the groups that each service's last plan excludes.
	excludedByService map[state.ServiceName][]GroupEpoch

	mu             sync.Mutex
	planners       map[state.ServiceName]*placement.Planner
	envelopes      map[state.ServiceName]*demand.Envelope
	hallAverages   map[state.ServiceName]*demand.HallAverage
	epochs         *placement.EpochGenerator
	excludedGroups []GroupEpoch
	probing        *probeslots.Slots
	probedAt       map[state.InstanceID]time.Time
	wakeup         chan struct{}
	// stagingsByService holds the loads of models to hosts that are in progress, by service. They come from
	// this node's planners while it is the leader, otherwise from the leader.
	stagingsByService map[state.ServiceName][]placement.Staging
	// supplyLoggedAt is when the supply of instances was last logged.
	supplyLoggedAt time.Time
}

func newPlacementController(n *Node) *placementController {
	return &placementController{
		node:         n,
		stepPlanner:  (*placement.Planner).TryStep,
		failures:     planFailures{},
		planners:     map[state.ServiceName]*placement.Planner{},
		envelopes:    map[state.ServiceName]*demand.Envelope{},
		hallAverages: map[state.ServiceName]*demand.HallAverage{},
		probing:      probeslots.New(n.policy.MaxProbes),
		probedAt:     map[state.InstanceID]time.Time{},
		wakeup:       make(chan struct{}, 1),
	}
}

// run steps the planners while this node is the leader.
func (p *placementController) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.node.clock.After(p.node.policy.PlanInterval):
		case <-p.wakeup:
		}
		leading, since := p.node.peers.leadership()
		c := p.node.configState.Catalog()
		if !leading || c == nil {
			p.reset()
			continue
		}
		if !p.node.sleep(ctx, p.pauseAfter(p.step(ctx, c, since))) {
			return
		}
	}
}

// pauseAfter returns the time to wait after a step that took the given time. Each answer of an instance
// requests a step: without a pause, a leader of 296 instances ran 250 to 420 steps per second, which
// used all of its CPU and made its own probes time out.
func (p *placementController) pauseAfter(took time.Duration) time.Duration {
	rest := time.Duration(float64(took) * (1/p.node.policy.MaxPlanFraction - 1))
	return max(rest, p.node.policy.PlanPause)
}

// reset discards all planning state, since another node is the leader.
func (p *placementController) reset() {
	p.node.leaderLoad.reset()
	clear(p.failures)
	p.excludedByService = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.planners)
	clear(p.envelopes)
	clear(p.hallAverages)
	p.excludedGroups = nil
}

// step runs each engine service's planner once and returns the time that took.
func (p *placementController) step(ctx context.Context, c *catalog.Catalog, since time.Time) time.Duration {
	now := p.node.clock.Now()
	staging := map[state.ServiceName][]placement.Staging{}
	excludedBefore := p.excludedByService
	p.excludedByService = map[state.ServiceName][]GroupEpoch{}
	p.forgetRemoved(c)
	inTransition, instances := false, 0
	_, flows := p.node.peers.totals()
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		members := p.node.roster.Members(s.Name, since, now)
		instances += len(members)
		p.node.roster.SetMaxReportLag(s.Engine.MaxReportAge + p.node.policy.ReportMargin)
		plan, err := p.planService(c, s, flows, members, now)
		if err != nil {
			p.excludedByService[s.Name], staging[s.Name] = excludedBefore[s.Name], p.stagingsOf(s.Name)
			continue
		}
		staging[s.Name] = p.planner(s).Stagings()
		for key := range plan.ExcludedGroups {
			p.excludedByService[s.Name] = append(p.excludedByService[s.Name], GroupEpoch{Group: key.Group, Epoch: key.Epoch})
		}
		inTransition = inTransition || plan.InTransition
		p.logRetired(c.Version, s.Name, plan.Retired)
		p.logSupply(now, s.Name, plan, len(members))
		p.executePlan(ctx, members, plan)
	}
	excluded := slices.Concat(slices.Collect(maps.Values(p.excludedByService))...)
	for _, m := range p.node.roster.ProbeCandidates(now) {
		if s := c.Services[m.Service]; s != nil && s.Engine != nil {
			p.probeAtInterval(ctx, m, p.node.policy.SuspectProbeInterval)
		}
	}
	p.mu.Lock()
	p.excludedGroups, p.stagingsByService = excluded, staging
	p.probing.SetInstances(instances, p.node.policy.MaxProbes)
	p.mu.Unlock()
	p.node.setExcluded(excluded)
	p.node.setFrequentListReads(inTransition)
	took := p.node.clock.Since(now)
	p.node.leaderLoad.recordStep(took)
	return took
}

// stagingsOf returns the loads of a service's models to hosts that are in progress.
func (p *placementController) stagingsOf(service state.ServiceName) []placement.Staging {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stagingsByService[service]
}

// stagings returns the loads of models to hosts that are in progress, in the form sent to other nodes.
func (p *placementController) stagings(now time.Time) []Staging {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Staging
	for service, stagings := range p.stagingsByService {
		for _, st := range stagings {
			list = append(list, Staging{Service: service, Instance: st.Instance, Model: st.Model, AgeMS: ceilMS(now.Sub(st.StartedAt))})
		}
	}
	return list
}

// recordStagings records the loads in progress from the leader's answer to a status report sent at a time,
// in case this node becomes the next leader.
func (p *placementController) recordStagings(list []Staging, sentAt time.Time) {
	byService := map[state.ServiceName][]placement.Staging{}
	for _, st := range list {
		since := sentAt.Add(-millis.Duration(st.AgeMS))
		byService[st.Service] = append(byService[st.Service], placement.Staging{Instance: st.Instance, Model: st.Model, StartedAt: since})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stagingsByService = byService
}

// nextEpoch returns an epoch above seen that no other incarnation of a node generates.
func (p *placementController) nextEpoch(seen state.Epoch) state.Epoch {
	p.mu.Lock()
	epochs := p.epochGeneratorLocked()
	p.mu.Unlock()
	return epochs.Next(seen)
}

// epochGeneratorLocked returns the node's epoch generator, and creates it if there is none. p.mu is held.
func (p *placementController) epochGeneratorLocked() *placement.EpochGenerator {
	if p.epochs == nil {
		p.epochs = placement.NewEpochGenerator(source.Era(p.node.incarnationNumber.Load()), source.Offset(p.node.incarnationNumber.Load()))
	}
	return p.epochs
}

// observeEpoch records the newest epoch that instances reported. If behind is set, an instance has seen an
// epoch unknown to this node, and the generator skips ahead.
func (p *placementController) observeEpoch(seen state.Epoch, behind bool) {
	if p.node.incarnationNumber.Load() == 0 {
		return
	}
	p.mu.Lock()
	epochs := p.epochGeneratorLocked()
	p.mu.Unlock()
	epochs.Observe(seen)
	if behind {
		epochs.SkipAhead()
	}
}

// executePlan sends the orders and probes of a plan.
func (p *placementController) executePlan(ctx context.Context, members []placement.Member, plan placement.Plan) {
	byID := make(map[state.InstanceID]*placement.Member, len(members))
	for i := range members {
		byID[members[i].ID] = &members[i]
	}
	for _, o := range plan.Orders {
		incarnation := p.node.roster.BeginOrder(o.Instance)
		go p.sendOrder(ctx, o, incarnation)
	}
	for _, id := range plan.Probes {
		if m := byID[id]; m != nil {
			p.probeOnce(ctx, m.Instance)
		}
	}
}

// sendOrder sends an order to an incarnation of an instance and records the reply.
func (p *placementController) sendOrder(ctx context.Context, o placement.Order, incarnation roster.IncarnationNumber) {
	callCtx, cancel := context.WithTimeout(ctx, p.node.policy.OrderTimeout)
	defer cancel()
	began := p.node.clock.Now()
	in := p.node.instance(o.Instance)
	p.node.cooldowns.RecordOrder(in.Incarnation(), began)
	p.node.limits.RecordOrder(in.Incarnation(), began)
	ans, err := p.node.ports.Target.Order(callCtx, o)
	p.node.RecordNotice(&in, ans.Notice, "", began)
	reply := ans.Reply
	p.node.roster.RecordOrderReply(o, incarnation, reply, p.node.clock.Now())
	p.observeEpoch(0, reply == placement.Superseded)
	p.node.Count("order." + string(o.Action) + "." + string(reply))
	fields := log.Fields{
		"action": o.Action, "instance": o.Instance, "group": o.Key.Group, "epoch": o.Key.Epoch, "model": o.Model,
		"why": o.Reason, "reply": reply, "ms": p.node.clock.Since(began).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	if o.ExpectedOrders != nil {
		fields["expect"] = *o.ExpectedOrders
	}
	p.node.log.WithFields(fields).Info("order")
	switch {
	case errors.Is(err, placement.ErrAddressReused):
		p.node.RecordReplaced(o.Instance)
	case errors.Is(err, placement.ErrInvalidReply): // it did answer
	case reply == placement.Unanswered && !p.node.isInconclusive(callCtx, began, p.node.policy.OrderTimeout):
		p.node.recordFailureInRoster(o.Instance, began, err)
	}
	p.wakePlanner()
}

// wakePlanner requests a step of the planners as soon as the pause after the last one has elapsed.
func (p *placementController) wakePlanner() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// probeOnce probes an instance unless a probe is in flight or was sent within NodePolicy.ProbeInterval.
func (p *placementController) probeOnce(ctx context.Context, m fleet.Instance) {
	p.probeAtInterval(ctx, m, p.node.policy.ProbeInterval)
}

// probeAtInterval probes an instance in the background unless a probe to it is in flight or was sent within
// an interval, too many probes are in flight in all or in its hall, or the instance's rate limit forbids it.
func (p *placementController) probeAtInterval(ctx context.Context, m fleet.Instance, interval time.Duration) {
	now := p.node.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.probedAt[m.ID]) < interval || !p.node.limits.CanProbe(m.Incarnation(), p.node.probeRequest(m.ID), now) {
		return
	}
	if !p.probing.TryAcquire(m.ID, m.Hall) {
		return
	}
	p.probedAt[m.ID] = now
	go func() {
		p.probeWithPeers(ctx, m, now)
		p.mu.Lock()
		p.probing.Release(m.ID)
		p.mu.Unlock()
		p.wakePlanner()
	}()
}

// probeWithPeers probes an instance. If an indirect probe is due because earlier probes failed, it asks
// other nodes at the same time whether they reach it: an instance that only one node cannot reach is
// not lost.
func (p *placementController) probeWithPeers(ctx context.Context, m fleet.Instance, now time.Time) {
	var wg sync.WaitGroup
	if p.node.roster.IndirectProbeDue(m.ID, now) {
		wg.Go(func() { p.node.peers.probeIndirectly(ctx, m, now) })
	}
	p.node.probeAndRecord(ctx, m, now)
	wg.Wait()
}

// recordPeerSuspicion records that an instance did not answer another node, and probes it from this node. It
// does nothing unless this node is the leader.
func (p *placementController) recordPeerSuspicion(id state.InstanceID, failedAt time.Time) {
	if leading, _ := p.node.peers.leadership(); !leading {
		return
	}
	v, ok := p.node.roster.Get(id, p.node.clock.Now())
	if !ok || v.Unreachable {
		return
	}
	p.node.roster.RecordFailure(id, failedAt)
	p.probeOnce(context.Background(), v.Instance)
}

// excluded returns the groups, each at one epoch, that must not receive new requests.
func (p *placementController) excluded() []GroupEpoch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.excludedGroups
}
