package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/internal/bounds"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
)

// reportResult is the result of a status report to one node.
type reportResult struct {
	address string
	// rank is the position of the node among those asked side by side.
	rank   int
	answer *StatusAnswer
	err    error
	sentAt time.Time
	// ledgerVersion is the version of this node's ledger that the other node has after the report.
	ledgerVersion uint64
}

// sendStatusReport sends this node's status report to another node.
func (p *peers) sendStatusReport(ctx context.Context, address string) *reportResult {
	ctx, cancel := context.WithTimeout(ctx, p.n.policy.StatusTimeout)
	defer cancel()
	r := &reportResult{address: address, sentAt: p.n.clock.Now()}
	w := p.statusReport()
	r.ledgerVersion = p.addLedger(w, r.sentAt)
	resp, err := p.client(address).CallUnary(ctx, connect.NewRequest(w))
	if err != nil {
		if ctx.Err() != nil {
			p.hc.CloseIdleConnections() // other idle connections may be dead as well
		}
		r.err = err
		return r
	}
	r.answer = resp.Msg
	r.err = p.receiveAnswer(r.answer, address)
	return r
}

// receiveAnswer unpacks and checks an answer of the node at an address.
func (p *peers) receiveAnswer(a *StatusAnswer, address string) error {
	if err := a.unpack(); err != nil {
		return err
	}
	p.n.recordMessageRange(a.normalize(), address)
	p.n.recordEra(a.Era, address)
	p.n.recordPeerVersion(a.Protocol, address)
	return nil
}

// callOptions returns the options of calls to other nodes.
func callOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithCodec(peer.JSONCodec{}), connect.WithReadMaxBytes(maxMessageBytes)}
}

// client returns the client for status reports to a node.
func (p *peers) client(address string) *connect.Client[StatusReport, StatusAnswer] {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = connect.NewClient[StatusReport, StatusAnswer](p.hc, "http://"+address+statusReportProcedure, callOptions()...)
		p.clients[address] = c
	}
	return c
}

func (p *peers) statusReport() *StatusReport {
	n := p.n
	now := n.clock.Now()
	w := &StatusReport{
		From:         p.self(),
		Protocol:     protocolVersion,
		InProgress:   n.table.InFlight(),
		Impaired:     n.impairedPools(),
		Suspects:     n.suspicions(now),
		Leaving:      n.recentlyLeaving(now),
		StoreAgeMS:   ceilMS(n.storeAge()),
		Era:          n.eras.current(),
		NodeCount:    p.nodeCount(),
		IsOverloaded: p.isOverloaded(now),
		ConfigAgeMS:  ceilMS(unknownAge),
	}
	w.Partitioned, w.IsStopping = n.partitions.Partitioned(), n.stopping.Load()
	w.Feed, w.FeedVersion = p.feedPosition()
	w.HasRequests = n.gateway.RequestCount() > 0
	w.Demand = n.demand.Flows(now)
	raw, version := n.configState.Encoded()
	w.ConfigVersion = version
	if leaderVersion := p.lastLeaderVersion(); leaderVersion > 0 && version > leaderVersion {
		w.Config = raw
	}
	if a, ok := n.configState.Age(); ok {
		w.ConfigAgeMS = ceilMS(a)
	}
	w.OpenBreakers = n.openBreakers()
	n.evacuations.addToReport(w)
	p.addLimits(w, now)
	p.addRetryUse(w, now)
	return w
}

// lastLeaderVersion returns the version of the leader's configuration, as of its last answer.
func (p *peers) lastLeaderVersion() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaderConfigVersion
}

// applyConfig applies the configuration in an answer to a status report sent at sentAt. The answer
// names the age of the configuration when it was written, which is after the status report was
// sent: subtracting the age from the time of sending never makes the configuration look younger.
func (p *peers) applyConfig(a *StatusAnswer, sentAt time.Time) {
	n := p.n
	p.mu.Lock()
	p.leaderConfigVersion = a.ConfigVersion
	p.mu.Unlock()
	if len(a.Config) > 0 {
		n.applyConfig(a.Config, "peer")
	}
	n.applyRelayedEvacuations(a, sentAt)
	if _, version := n.configState.Encoded(); version == a.ConfigVersion && version > 0 {
		n.configState.RecordConfirmation(sentAt.Add(-millis.Duration(a.ConfigAgeMS)))
	}
}

// feedPosition returns which instance changes this node has: the number of the node that sent
// them, and its roster version.
func (p *peers) feedPosition() (int64, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.feedNode, p.feedVersion
}

// applyChanges applies the instance changes in the leader's answer.
func (p *peers) applyChanges(a *StatusAnswer) {
	now := p.n.clock.Now()
	for i := range a.Changes {
		p.applyChange(&a.Changes[i], now)
	}
	p.mu.Lock()
	p.feedNode, p.feedVersion = a.Feed, a.FeedVersion
	p.mu.Unlock()
	if len(a.Changes) > 0 {
		p.n.requestRebuild()
	}
}

// applyChange applies the change of one instance. A change with a value out of range is the leader's view of an entry that
// cannot be used, so that the instance counts as unlisted.
func (p *peers) applyChange(c *roster.Change, now time.Time) {
	if err := c.Validate(); err != nil {
		p.n.recordMessageRange(fmt.Errorf("%w: instance %.40q: %w", bounds.ErrRange, c.ID, err), "leader")
		p.n.roster.MarkUnlisted(c.ID, c.Position, now)
		return
	}
	p.n.roster.ApplyRelayed(*c, now)
}

// addChanges adds to an answer the instance changes that the sender of a status report lacks.
func (p *peers) addChanges(a *StatusAnswer, w *StatusReport, now time.Time) error {
	n := p.n
	a.Feed = n.incarnationNumber.Load()
	after := w.FeedVersion
	if w.Feed != a.Feed {
		after = 0
	}
	if w.Protocol < protocolPacked {
		a.ListAgeMS = ceilMS(n.roster.ListAge(now))
		a.Changes, a.FeedVersion = n.roster.ChangesSince(after, now)
		return nil
	}
	changes, err := p.changes.since(after, n.roster, now)
	if err != nil {
		return err
	}
	a.ChangeBatches, a.FeedVersion, a.ListAgeMS = changes.batches, changes.upTo, ceilMS(now.Sub(changes.listAsOf))
	return nil
}

// addTotals adds to an answer the requests in progress and the demand at all nodes, the groups to avoid and the
// loads in progress.
func (p *peers) addTotals(a *StatusAnswer, w *StatusReport, now time.Time) error {
	t := totals{Avoid: p.n.placement.excluded(), Staging: p.n.placement.stagings(now)}
	t.InProgress, t.Demand = p.totals()
	shared := &p.sharedTotals
	if w.Protocol < protocolEvacuation && p.n.forwardVersion() == protocolEvacuation {
		p.n.hideEvacuated(&t, now)
		shared = &p.sharedEarlierTotals
	}
	t.HallDemand, t.OpenBreakers = p.demandByHall(), p.commonBreakers(now)
	// Nodes without rate limits get totals of their own, see hideLimited.
	if w.Protocol < protocolPacked || p.n.hidesCold(w) {
		a.InProgress, a.Demand, a.Avoid, a.Staging = t.InProgress, t.Demand, t.Avoid, t.Staging
		return nil
	}
	var err error
	a.Totals, err = shared.pack(p.totalsTime(), func() any { return t })
	return err
}

// addNodes adds to an answer the nodes that the leader knows, if the sender knows a different number of them.
func (p *peers) addNodes(a *StatusAnswer, w *StatusReport) error {
	count := p.nodeCount()
	if w.NodeCount == count {
		return nil
	}
	if w.Protocol < protocolPacked {
		a.Nodes = p.namedNodes()
		return nil
	}
	var err error
	a.PackedNodes, err = p.sharedNodes.pack(nodesKey{count, p.totalsTime()}, func() any { return p.namedNodes() })
	return err
}

// nodesKey identifies a list of the known nodes. The time covers changes of entries.
type nodesKey struct {
	count int
	at    time.Time
}

// applyAnswer applies the leader's answer to a status report that was sent at sentAt.
func (p *peers) applyAnswer(a *StatusAnswer, sentAt time.Time) {
	n := p.n
	p.applyConfig(a, sentAt)
	n.evacuations.recordLeader(a.EvacuationsAt)
	p.applyChanges(a)
	configAsOf := sentAt.Add(-millis.Duration(a.ConfigAgeMS))
	listAsOf := sentAt.Add(-millis.Duration(a.ListAgeMS))
	n.roster.RecordRelayedList(listAsOf)
	n.feed.record(configAsOf, listAsOf)
	for _, e := range a.Nodes {
		p.recordNode(e)
	}
	p.mu.Lock()
	p.hasRequests = p.hasRequests || a.HasRequests
	p.requestedInterval = millis.Duration(a.IntervalMS)
	p.mu.Unlock()
	n.setExcluded(a.Avoid)
	n.placement.recordStagings(a.Staging, sentAt)
	n.setLoads(a.InProgress, a.Demand)
	n.updateHalls(a.HallDemand)
	n.setRelayedBreakers(a.OpenBreakers)
	n.forwarding.SetPeers(a.Peers, n.clock.Now())
	p.mergeLimits(a, sentAt)
	n.gateway.GrantRetries(a.GrantedRetries, sentAt)
	n.inheritRetries(a.Predecessor)
}

// setLoads updates the dispatch table with the requests in progress at each instance and the
// demand, both summed over all nodes.
func (n *Node) setLoads(inProgress map[state.InstanceID]int, flows []demand.Flow) {
	n.table.UpdateLoad(subtractOwn(inProgress, n.table.InFlight()), flows, n.demand.Flows(n.clock.Now()))
}

// subtractOwn returns the number of requests in progress from other nodes at each instance, given
// those from all nodes and those from this one.
func subtractOwn(all, own map[state.InstanceID]int) map[state.InstanceID]int {
	others := make(map[state.InstanceID]int, len(all))
	for id, n := range all {
		others[id] = max(n-own[id], 0)
	}
	return others
}

func (p *peers) handleStatusReport(_ context.Context, req *connect.Request[StatusReport]) (*connect.Response[StatusAnswer], error) {
	n := p.n
	now := n.clock.Now()
	defer func() { n.leaderLoad.recordStatusReport(n.clock.Since(now)) }()
	w := req.Msg
	n.recordMessageRange(w.normalize(), w.From.Name)
	p.recordNode(w.From)
	n.recordEra(w.Era, w.From.Name)
	n.recordPeerVersion(w.Protocol, w.From.Name)
	p.mu.Lock()
	if !slices.Equal(p.statusReports[w.From.Name].report.Impaired, w.Impaired) {
		p.serving = nil
	}
	p.statusReports[w.From.Name] = receivedReport{report: *w, receivedAt: now}
	p.lastContact[w.From.Address] = now
	p.hasRequests = p.hasRequests || w.HasRequests
	p.recordRetryUse(w, now)
	a := &StatusAnswer{CanLead: p.canLead(now), Protocol: protocolVersion, Era: n.eras.current()}
	p.mu.Unlock()
	n.applyConfig(w.Config, "peer")
	n.mergeEvacuations(w.Evacuations, w.From.Name)
	n.evacuations.addToAnswer(a, w, n.eras.isCurrent(now), now)
	n.ledger.Merge(w.Ledger.delta(now), quarantine.Source(w.From.Number))
	for _, s := range w.Suspects {
		n.placement.recordPeerSuspicion(s.Instance, now.Add(-millis.Duration(s.AgeMS)))
	}
	for _, in := range w.Leaving {
		n.recordLeaving(in, w.From.Name)
	}
	n.mergeLimits(w.Limits, w.From.Name, now)
	err := p.addConfig(a, w)
	if a.CanLead {
		a.HasRequests = p.anyRequests()
		a.Peers = p.peersFor(&w.From, w.Impaired)
		a.IntervalMS = ceilMS(p.pacing().Interval(p.reportingNodes()))
		err = errors.Join(err, p.addTotals(a, w, now), p.addNodes(a, w), p.addChanges(a, w, now))
		n.addLedgerToAnswer(a, w, now)
		p.addLimitsToAnswer(a, w, now)
		p.grantRetries(a, w, now)
		p.addPredecessor(a, w, now)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(a), nil
}

// addConfig adds to an answer the version and age of this node's configuration, and the
// configuration itself if the sender has an older one.
func (p *peers) addConfig(a *StatusAnswer, w *StatusReport) error {
	raw, version := p.n.configState.Encoded()
	a.ConfigVersion, a.ConfigAgeMS = version, ceilMS(unknownAge)
	if d, ok := p.n.configState.Age(); ok {
		a.ConfigAgeMS = ceilMS(d)
	}
	if w.ConfigVersion >= version {
		return nil
	}
	if w.Protocol < protocolPacked {
		a.Config = raw
		return nil
	}
	var err error
	a.PackedConfig, err = p.sharedConfig.pack(version, func() any { return raw })
	return err
}
