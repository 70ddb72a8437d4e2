package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// placer forms and repairs the groups of all engine services while this node is the leader.
type placer struct {
	n *Node

	mu       sync.Mutex
	planners map[state.ServiceName]*placement.Planner
	epochs   *placement.EpochGenerator
	avoid    []Formation
	asking   map[state.InstanceID]bool
	asked    map[state.InstanceID]time.Time
	wake     chan struct{}
	// staging holds the loads of models to hosts that are in progress, by service. They come from
	// this node's planners while it is the leader, otherwise from the leader.
	staging map[state.ServiceName][]placement.Staging
	// told is when the supply of instances was last logged.
	told time.Time
}

// newPlacer returns the placer of a node.
func newPlacer(n *Node) *placer {
	return &placer{
		n:        n,
		planners: map[state.ServiceName]*placement.Planner{},
		asking:   map[state.InstanceID]bool{},
		asked:    map[state.InstanceID]time.Time{},
		wake:     make(chan struct{}, 1),
	}
}

// run steps the planners while this node is the leader.
func (p *placer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.n.clock.After(p.n.policy.PlanInterval):
		case <-p.wake:
		}
		leading, since := p.n.peers.isPlacing()
		c := p.n.know.Catalog()
		if !leading || c == nil {
			p.rest()
			continue
		}
		if !p.n.sleep(ctx, p.pause(p.step(ctx, c, since))) {
			return
		}
	}
}

// pause returns the time to wait after a step that took the given time. Each answer of an instance
// requests a step: without a pause, a leader of 296 instances ran 250 to 420 steps per second, which
// used all of its CPU and made its own probes time out.
func (p *placer) pause(took time.Duration) time.Duration {
	rest := time.Duration(float64(took) * (1/p.n.policy.PlanPart - 1))
	return max(rest, p.n.policy.PlanPause)
}

// rest discards all planning state, since another node is the leader.
func (p *placer) rest() {
	p.n.load.reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.planners)
	p.avoid = nil
}

// step runs each engine service's planner once and returns the time that took.
func (p *placer) step(ctx context.Context, c *catalog.Catalog, since time.Time) time.Duration {
	now := p.n.clock.Now()
	var excluded []Formation
	staging := map[state.ServiceName][]placement.Staging{}
	inTransition := false
	_, flows := p.n.peers.total()
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		planner := p.planner(s)
		planner.BeforeTraffic = p.n.set.FirstStart && !p.n.peers.anyArrived()
		planner.Demand = p.n.set.Policy.Demand.WorkOf(s.Name, s.Engine, flows)
		members := p.n.roster.Members(s.Name, since, now)
		plan := planner.Step(now, members)
		staging[s.Name] = planner.Stagings()
		for key := range plan.ExcludedGroups {
			excluded = append(excluded, Formation{Group: key.Group, Epoch: key.Epoch})
		}
		inTransition = inTransition || plan.InTransition
		p.tell(now, s.Name, plan, len(members))
		p.n.roster.SetMaxReportLag(s.Engine.ReportLag + p.n.policy.ReportMargin)
		p.carryOut(ctx, members, plan)
	}
	for _, m := range p.n.roster.ProbeCandidates(now) {
		if s := c.Services[m.Service]; s != nil && s.Engine != nil {
			p.askEvery(ctx, m, p.n.policy.DoubtInterval)
		}
	}
	p.mu.Lock()
	p.avoid, p.staging = excluded, staging
	p.mu.Unlock()
	p.n.setAvoid(excluded)
	p.n.readListSoon(inTransition)
	took := p.n.clock.Since(now)
	p.n.load.step(took)
	return took
}

// tell logs the groups and instances of a service, at most once per NodePolicy.SupplyLogInterval
// for all services together.
func (p *placer) tell(now time.Time, service state.ServiceName, plan placement.Plan, instances int) {
	if now.Sub(p.told) < p.n.policy.SupplyLogInterval {
		return
	}
	p.told = now
	p.n.log.WithFields(log.Fields{
		"service": service, "groups": plan.OpenGroups, "wanted": plan.DesiredInstances, "kept": plan.Skipped, "free": plan.FreeInstances, "spares": plan.SpareDescriptions, "instances": instances, "failing": avoidedText(plan.ExcludedGroups),
	}).Info("supply")
	p.n.log.WithFields(p.n.load.fields()).Info("leader load")
}

// avoidedText describes groups that receive no requests, with the reasons.
func avoidedText(excluded map[fleet.GroupKey]string) []string {
	list := make([]string, 0, len(excluded))
	for key, reason := range excluded {
		list = append(list, string(key.Group)+": "+reason)
	}
	slices.Sort(list)
	return list
}

// planner returns the planner of a service, and creates it if there is none.
func (p *placer) planner(s *catalog.Service) *placement.Planner {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.planners[s.Name]
	if pl == nil {
		pl = placement.NewPlanner(s.Engine, p.n.set.Policy.Placement, p.nextEpoch)
		pl.RecordStagings(p.staging[s.Name])
		p.planners[s.Name] = pl
	}
	pl.SetEngine(s.Engine)
	return pl
}

// stagings returns the loads of models to hosts that are in progress, in the form sent to other nodes.
func (p *placer) stagings(now time.Time) []Staging {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Staging
	for service, stagings := range p.staging {
		for _, st := range stagings {
			list = append(list, Staging{Service: service, Instance: st.Instance, Model: st.Model, AgeMS: age(now.Sub(st.StartedAt))})
		}
	}
	return list
}

// handOver records the loads in progress from the leader's answer to a status report sent at a time,
// in case this node becomes the next leader.
func (p *placer) handOver(list []Staging, sentAt time.Time) {
	byService := map[state.ServiceName][]placement.Staging{}
	for _, st := range list {
		since := sentAt.Add(-time.Duration(st.AgeMS) * time.Millisecond)
		byService[st.Service] = append(byService[st.Service], placement.Staging{Instance: st.Instance, Model: st.Model, StartedAt: since})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staging = byService
}

// nextEpoch returns an epoch above seen that no other incarnation of a node generates.
func (p *placer) nextEpoch(seen state.Epoch) state.Epoch {
	p.mu.Lock()
	epochs := p.makeEpochs()
	p.mu.Unlock()
	return epochs.Next(seen)
}

// makeEpochs returns the node's epoch generator, and creates it if there is none. p.mu is held.
func (p *placer) makeEpochs() *placement.EpochGenerator {
	if p.epochs == nil {
		p.epochs = placement.NewEpochGenerator(source.Era(p.n.number.Load()), source.Offset(p.n.number.Load()))
	}
	return p.epochs
}

// observe records the newest epoch that instances reported. If behind is set, an instance has seen an
// epoch unknown to this node, and the generator skips ahead.
func (p *placer) observe(seen state.Epoch, behind bool) {
	if p.n.number.Load() == 0 {
		return
	}
	p.mu.Lock()
	epochs := p.makeEpochs()
	p.mu.Unlock()
	epochs.Observe(seen)
	if behind {
		epochs.SkipAhead()
	}
}

// carryOut sends the orders and probes of a plan.
func (p *placer) carryOut(ctx context.Context, members []placement.Member, plan placement.Plan) {
	byID := make(map[state.InstanceID]*placement.Member, len(members))
	for i := range members {
		byID[members[i].ID] = &members[i]
	}
	for _, o := range plan.Orders {
		incarnation := p.n.roster.BeginOrder(o.Instance)
		go p.order(ctx, o, incarnation)
	}
	for _, id := range plan.Probes {
		if m := byID[id]; m != nil {
			p.askOnce(ctx, m.Instance)
		}
	}
}

// order sends an order to an incarnation of an instance and records the reply.
func (p *placer) order(ctx context.Context, o placement.Order, incarnation roster.IncarnationNumber) {
	callCtx, cancel := context.WithTimeout(ctx, p.n.policy.OrderTimeout)
	defer cancel()
	began := p.n.clock.Now()
	in := p.n.instance(o.Instance)
	p.n.cooldowns.RecordOrder(in.Incarnation(), began)
	p.n.limits.RecordOrder(in.Incarnation(), began)
	ans, err := p.n.ports.Targets.Order(callCtx, o, p.n.connectionTo(o.Instance))
	p.n.RecordNotice(&in, ans.Notice, "", began)
	reply := ans.Reply
	p.n.roster.RecordOrderReply(o, incarnation, reply, p.n.clock.Now())
	p.observe(0, reply == placement.Superseded)
	p.n.Count("order." + string(o.Action) + "." + string(reply))
	fields := log.Fields{
		"action": o.Action, "instance": o.Instance, "group": o.Key.Group, "epoch": o.Key.Epoch, "model": o.Model,
		"why": o.Reason, "reply": reply, "ms": p.n.clock.Since(began).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	if o.ExpectedOrders != nil {
		fields["expect"] = *o.ExpectedOrders
	}
	p.n.log.WithFields(fields).Info("order")
	switch {
	case errors.Is(err, placement.ErrAddressReused):
		p.n.RecordReplaced(o.Instance)
	case reply == placement.Unanswered && !p.n.delayed(callCtx, began, p.n.policy.OrderTimeout):
		p.n.roster.RecordFailure(o.Instance, began)
	}
	p.stir()
}

// stir requests a step of the planners as soon as the pause after the last one has elapsed.
func (p *placer) stir() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// askOnce probes an instance unless a probe is in flight or was sent within NodePolicy.ProbeInterval.
func (p *placer) askOnce(ctx context.Context, m fleet.Instance) {
	p.askEvery(ctx, m, p.n.policy.ProbeInterval)
}

// askEvery probes an instance in the background unless a probe to it is in flight or was sent within
// an interval, too many probes are in flight, or the instance's rate limit forbids it.
func (p *placer) askEvery(ctx context.Context, m fleet.Instance, interval time.Duration) {
	now := p.n.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.asking) >= p.n.policy.ProbesAtOnce || p.asking[m.ID] || now.Sub(p.asked[m.ID]) < interval {
		return
	}
	if !p.n.limits.CanProbe(m.Incarnation(), p.n.asker(m.ID), now) {
		return
	}
	p.asking[m.ID], p.asked[m.ID] = true, now
	go func() {
		p.askAround(ctx, m, now)
		p.mu.Lock()
		delete(p.asking, m.ID)
		p.mu.Unlock()
		p.stir()
	}()
}

// askAround probes an instance. If an indirect probe is due because earlier probes failed, it asks
// other nodes at the same time whether they reach it: an instance that only one node cannot reach is
// not lost.
func (p *placer) askAround(ctx context.Context, m fleet.Instance, now time.Time) {
	var wg sync.WaitGroup
	if p.n.roster.IndirectProbeDue(m.ID, now) {
		wg.Go(func() { p.n.peers.askAbout(ctx, m, now) })
	}
	p.n.report(ctx, m, now)
	wg.Wait()
}

// suspect records that an instance did not answer another node, and probes it from this node. It
// does nothing unless this node is the leader.
func (p *placer) suspect(id state.InstanceID, failedAt time.Time) {
	if leading, _ := p.n.peers.isPlacing(); !leading {
		return
	}
	v, ok := p.n.roster.Get(id, p.n.clock.Now())
	if !ok || v.Unreachable {
		return
	}
	p.n.roster.RecordFailure(id, failedAt)
	p.askOnce(context.Background(), v.Instance)
}

// avoiding returns the groups, each at one epoch, that must not receive new requests.
func (p *placer) avoiding() []Formation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.avoid
}
