package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
)

// tell sends this node's status report to another node and returns the answer.
func (p *peers) tell(ctx context.Context, address string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.n.policy.StatusTimeout)
	defer cancel()
	p.mu.Lock()
	c := p.clients[address]
	if c == nil {
		c = connect.NewClient[Word, Answer](p.hc, "http://"+address+wordProcedure, connect.WithCodec(peer.JSONCodec{}))
		p.clients[address] = c
	}
	p.mu.Unlock()
	w := p.word()
	ledgerVersion := p.addLedger(w, p.n.clock.Now())
	resp, err := c.CallUnary(ctx, connect.NewRequest(w))
	if err != nil {
		if ctx.Err() != nil {
			p.hc.CloseIdleConnections() // other idle connections may be dead as well
		}
		return nil, err
	}
	p.n.observeEra(resp.Msg.Era, address)
	p.n.heedVersion(resp.Msg.Protocol, address)
	if resp.Msg.Placing {
		p.takeLedger(resp.Msg, ledgerVersion)
	}
	return resp.Msg, nil
}

// word returns this node's status report.
func (p *peers) word() *Word {
	n := p.n
	now := n.clock.Now()
	w := &Word{
		From:     p.self(),
		Protocol: protocolVersion,
		Held:     n.table.Held(),
		Suspects: n.suspected(now),
		Leaving:  n.leavingTold(now),
		StoreMS:  age(n.storeAge()),
		Era:      n.eras.current(),
		Nodes:    p.count(),
		Late:     n.health.Overloaded(now),
		AgeMS:    age(never),
	}
	w.Feed, w.After = p.hasFeed()
	w.Arrived = n.gate.RequestCount() > 0
	w.Demand = n.demand.Flows(now)
	raw, version := n.know.Raw()
	w.Version = version
	if leaderVersion := p.heardVersion(); leaderVersion > 0 && version > leaderVersion {
		w.Config = raw
	}
	if a, ok := n.know.Age(); ok {
		w.AgeMS = age(a)
	}
	p.addLimits(w, now)
	return w
}

// heardVersion returns the version of the leader's configuration, as of its last answer.
func (p *peers) heardVersion() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// takeConfig applies the configuration in an answer to a status report sent at sentAt. The answer
// names the age of the configuration when it was written, which is after the status report was
// sent: subtracting the age from the time of sending never makes the configuration look younger.
func (p *peers) takeConfig(a *Answer, sentAt time.Time) {
	n := p.n
	p.mu.Lock()
	p.version = a.Version
	p.mu.Unlock()
	if len(a.Config) > 0 {
		n.learnConfig(a.Config, "peer")
	}
	if _, version := n.know.Raw(); version == a.Version && version > 0 {
		n.know.Confirm(sentAt.Add(-time.Duration(a.AgeMS) * time.Millisecond))
	}
}

// hasFeed returns which instance changes this node has: the number of the node that sent them, and its roster version.
func (p *peers) hasFeed() (int64, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.feedFrom, p.feedVersion
}

// takeChanges applies the instance changes in the leader's answer.
func (p *peers) takeChanges(a *Answer) {
	now := p.n.clock.Now()
	for _, c := range a.Changes {
		p.n.roster.ApplyRelayed(c, now)
	}
	p.mu.Lock()
	p.feedFrom, p.feedVersion = a.Feed, a.Now
	p.mu.Unlock()
	if len(a.Changes) > 0 {
		p.n.touch()
	}
}

// giveChanges adds to an answer the instance changes that the sender of a status report lacks.
func (p *peers) giveChanges(a *Answer, w *Word) {
	n := p.n
	a.Feed = n.number.Load()
	after := w.After
	if w.Feed != a.Feed {
		after = 0
	}
	a.ListAgeMS = age(n.roster.ListAge(n.clock.Now()))
	a.Changes, a.Now = n.roster.ChangesSince(after)
}

// take applies the leader's answer to a status report that was sent at sentAt.
func (p *peers) take(a *Answer, sentAt time.Time) {
	n := p.n
	p.takeConfig(a, sentAt)
	p.takeChanges(a)
	configAsOf := sentAt.Add(-time.Duration(a.AgeMS) * time.Millisecond)
	listAsOf := sentAt.Add(-time.Duration(a.ListAgeMS) * time.Millisecond)
	n.roster.RecordRelayedList(listAsOf)
	n.feed.take(configAsOf, listAsOf)
	for _, e := range a.Nodes {
		p.learn(e)
	}
	p.mu.Lock()
	p.arrived = p.arrived || a.Arrived
	p.mu.Unlock()
	n.setAvoid(a.Avoid)
	n.placer.handOver(a.Staging, sentAt)
	n.setLoads(a.Held, a.Demand)
	p.takeLimits(a, sentAt)
}

// setLoads updates the dispatch table with the requests in progress at each instance and the
// demand, both summed over all nodes.
func (n *Node) setLoads(inProgress map[state.InstanceID]int, flows []demand.Flow) {
	n.table.SetOthers(minus(inProgress, n.table.Held()), flows, n.demand.Flows(n.clock.Now()))
}

// minus returns the number of requests in progress from other nodes at each instance, given
// those from all nodes and those from this one.
func minus(all, own map[state.InstanceID]int) map[state.InstanceID]int {
	others := make(map[state.InstanceID]int, len(all))
	for id, n := range all {
		others[id] = max(n-own[id], 0)
	}
	return others
}

// answer handles the status report of another node.
func (p *peers) answer(_ context.Context, req *connect.Request[Word]) (*connect.Response[Answer], error) {
	n := p.n
	now := n.clock.Now()
	defer func() { n.load.statusReport(n.clock.Since(now)) }()
	w := req.Msg
	p.learn(w.From)
	n.observeEra(w.Era, w.From.Name)
	n.heedVersion(w.Protocol, w.From.Name)
	p.mu.Lock()
	p.words[w.From.Name] = heardWord{word: *w, at: now}
	p.contact[w.From.Address] = now
	p.arrived = p.arrived || w.Arrived
	a := &Answer{Placing: p.mayPlace(now), Protocol: protocolVersion, Era: n.eras.current()}
	p.mu.Unlock()
	n.learnConfig(w.Config, "peer")
	n.ledger.Merge(w.Ledger.delta(now), quarantine.Source(w.From.Number))
	for _, s := range w.Suspects {
		n.placer.suspect(s.Instance, now.Add(-time.Duration(s.AgeMS)*time.Millisecond))
	}
	for _, in := range w.Leaving {
		n.leaving(in, w.From.Name)
	}
	n.learnLimits(w.Limits, w.From.Name, now)
	p.giveConfig(a, w)
	if a.Placing {
		if w.Nodes != p.count() {
			a.Nodes = p.named()
		}
		a.Held, a.Demand = p.total()
		a.Avoid = n.placer.avoiding()
		a.Staging = n.placer.stagings(now)
		a.Arrived = p.anyArrived()
		p.giveChanges(a, w)
		n.giveLedger(a, w, now)
		p.giveLimits(a, w, now)
	}
	return connect.NewResponse(a), nil
}

// giveConfig adds to an answer the version and age of this node's configuration, and the
// configuration itself if the sender has an older one.
func (p *peers) giveConfig(a *Answer, w *Word) {
	raw, version := p.n.know.Raw()
	a.Version, a.AgeMS = version, age(never)
	if d, ok := p.n.know.Age(); ok {
		a.AgeMS = age(d)
	}
	if w.Version < version {
		a.Config = raw
	}
}
