package entry

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/pacing"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/succession"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
)

// statusReportProcedure is the path of a node's status report to the leader.
const statusReportProcedure = "/troutmast.Entry/Tell"

// peers holds what a node knows of the other nodes, and elects the leader among them.
type peers struct {
	n  *Node
	hc *http.Client

	mu    sync.Mutex
	known map[string]NodeEntry
	// lastContact is when each node last sent a status report to this one, or first became known to it.
	lastContact   map[string]time.Time
	backoffUntil  map[string]time.Time
	statusReports map[string]receivedReport
	greetedAt     map[string]time.Time
	clients       map[string]*connect.Client[StatusReport, StatusAnswer]
	isLeader      bool
	// leaderSince is when the node last became leader.
	leaderSince time.Time
	// requestedInterval is the time between two status reports that the leader last asked for.
	requestedInterval time.Duration
	// lastLeaderAddress is the address of the node that last answered as leader.
	lastLeaderAddress string
	// leaderAnsweredAt is when that node answered.
	leaderAnsweredAt time.Time
	// hasRequests reports whether any node has received requests.
	hasRequests bool
	// leaderConfigVersion is the version of the leader's configuration, as of its last answer.
	leaderConfigVersion int64
	// feedNode and feedVersion identify the instance changes that this node has: those of the node
	// numbered feedNode, up to its roster version feedVersion.
	feedNode    int64
	feedVersion uint64
	// ownLedgerVersion is the version of this node's quarantine ledger up to which the leader has it,
	// leaderLedgerVersion the version of the leader's ledger up to which this node has it.
	ownLedgerVersion    uint64
	leaderLedgerVersion uint64
	// leaderLimitsVersion is the version up to which this node has the leader's rate limits. allocatedAt is when
	// it sent its last status report to a leader that allocates rates to it. leaderNodeCount is
	// the number of nodes that may be running, according to the leader; 0 if the leader named none.
	leaderLimitsVersion uint64
	allocatedAt         time.Time
	leaderNodeCount     int
	// retryUse is what the processes of each node last reported of their retry budgets, by the node's name.
	retryUse map[string]*nodeRetryUse
	// retryGrants deals retries to nodes that have just started; nil if this node does not lead.
	retryGrants *retry.Grants
	// nodesKnown reports whether this node knows the other nodes, from the store or from a leader.
	nodesKnown bool
	// behindSince is when this node noticed that another one reads the store while it can't, or zero.
	behindSince time.Time
	// noLeadUntil is the time until which this node does not lead because it was overloaded.
	noLeadUntil time.Time
	// inProgress is the number of requests in progress from all nodes at each instance, totalDemand the
	// demand at all nodes. Both were computed at totalsAt.
	inProgress  map[state.InstanceID]int
	totalDemand []demand.Flow
	totalsAt    time.Time
	// hallDemand is the demand by hall of the pools that are divided among halls, as of totalsAt.
	hallDemand []demand.HallFlow
	// serving are the nodes that serve requests of other nodes, as of servingAt.
	serving   []servingNode
	servingAt time.Time

	// changes, sharedTotals, sharedNodes and sharedConfig hold what a leader sends to all nodes, packed,
	// sharedEarlierTotals the totals for those of builds without evacuations while a hall is evacuated.
	changes                                 changeLog
	sharedTotals, sharedNodes, sharedConfig sharedPart
	sharedEarlierTotals                     sharedPart
}

// receivedReport is the last status report of a node and when it arrived.
type receivedReport struct {
	report     StatusReport
	receivedAt time.Time
}

// newPeers returns the peers of a node, none of them known yet.
func newPeers(n *Node) *peers {
	dialer := direct.Dialer{Timeout: n.policy.StatusTimeout, AckTimeout: ackTimeout}
	return &peers{
		n:             n,
		hc:            dialer.HTTPClient(2, 30*time.Second),
		known:         map[string]NodeEntry{},
		lastContact:   map[string]time.Time{},
		backoffUntil:  map[string]time.Time{},
		statusReports: map[string]receivedReport{},
		greetedAt:     map[string]time.Time{},
		retryUse:      map[string]*nodeRetryUse{},
		clients:       map[string]*connect.Client[StatusReport, StatusAnswer]{},
	}
}

// self returns the node's own entry.
func (p *peers) self() NodeEntry {
	return NodeEntry{Name: p.n.settings.Name, Address: p.n.settings.PeerAddress.String(), Hall: p.n.settings.Hall, Capacity: p.n.reportedCapacity(), Number: p.n.incarnationNumber.Load()}
}

// run sends a status report to the leader at every interval, and at once when there is news.
func (p *peers) run(ctx context.Context) {
	p.addSeeds()
	for {
		p.reportToLeader(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.n.clock.After(p.statusInterval()):
		case <-p.n.statusRequested:
		}
	}
}

// pacing returns the bounds of the status reports to this node.
func (p *peers) pacing() pacing.Policy {
	return pacing.Policy{MinInterval: p.n.policy.StatusInterval, MaxPerSecond: p.n.policy.MaxStatusRate}
}

// statusInterval returns the time between two status reports: what the leader last asked for.
func (p *peers) statusInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.n.policy.StatusInterval, min(p.requestedInterval, p.n.policy.NodeTimeout/2))
}

// reportingNodes returns the number of nodes whose last status report this node has.
func (p *peers) reportingNodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.statusReports)
}

// addSeeds adds the nodes that the settings name. Their names are unknown until they register.
func (p *peers) addSeeds() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.n.settings.Seeds {
		if s != p.n.settings.PeerAddress {
			p.known[s.String()] = NodeEntry{Address: s.String()}
		}
	}
}

// recordNode records a node's entry. It ignores this node's own and those without a name or a valid address.
func (p *peers) recordNode(e NodeEntry) {
	if _, err := netip.ParseAddrPort(e.Address); err != nil || e.Name == "" || e.Name == p.n.settings.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[e.Address] = e
	if _, known := p.lastContact[e.Address]; !known {
		p.lastContact[e.Address] = p.n.clock.Now()
	}
}

// precedes reports whether node a comes before node b in the order of succession: the
// first node that answers and can lead is the leader. Larger nodes come first, since the
// leader's work grows with the number of nodes and instances. Nodes of equal capacity are
// ordered by rendezvous hashing.
func precedes(a, b NodeEntry) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return rendezvousHash(a.Address) > rendezvousHash(b.Address)
}

// rendezvousHash returns the rendezvous hash of a node's address.
func rendezvousHash(address string) uint64 { return xxhash.Sum64String("placing\x00" + address) }

// leaderCandidates returns the addresses of the nodes that precede this one, in order, without those
// in backoff. If this node cannot lead, it returns all other nodes.
func (p *peers) leaderCandidates(now time.Time) []string {
	own := p.self()
	p.mu.Lock()
	defer p.mu.Unlock()
	canLead := p.canLead(now)
	var list []NodeEntry
	for a, e := range p.known {
		if a == own.Address || (canLead && precedes(own, e)) || now.Before(p.backoffUntil[a]) {
			continue
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b NodeEntry) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	addresses := make([]string, len(list))
	for i, e := range list {
		addresses[i] = e.Address
	}
	return addresses
}

// isStandby reports whether this node is the leader or one of its standbys by the order of succession.
func (p *peers) isStandby() bool {
	own := p.self()
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for _, e := range p.known {
		if e.Address != own.Address && e.Name != "" && precedes(e, own) {
			before++
		}
	}
	return before <= p.n.policy.Standbys
}

// canLead reports whether this node can lead, now or once LeadAfter has passed since its
// start. The nodes that it precedes wait for it during that time instead of leading
// themselves. The caller holds p.mu.
func (p *peers) canLead(now time.Time) bool {
	return !p.n.stopping.Load() && p.n.incarnationNumber.Load() > 0 && p.n.configState.Catalog() != nil && !p.isBehindOthers() && !p.isSlowerThanOthers(now) && !p.isMorePartitionedThanOthers(now)
}

// isSlowerThanOthers reports whether this node is overloaded and another one of at least its capacity is not, or was so
// within OverloadBackoff. A smaller node would only be overloaded sooner, and pass the leadership on to
// a still smaller one. The caller holds p.mu.
func (p *peers) isSlowerThanOthers(now time.Time) bool {
	if now.Before(p.noLeadUntil) {
		return true
	}
	if !p.n.localHealth.Overloaded(now) {
		return false
	}
	for _, h := range p.statusReports {
		canReplace := h.report.From.Capacity >= p.n.settings.Capacity && !h.report.IsOverloaded
		if canReplace && now.Sub(h.receivedAt) < p.n.policy.NodeTimeout {
			p.noLeadUntil = now.Add(p.n.policy.OverloadBackoff)
			p.n.Count("placing.rested")
			return true
		}
	}
	return false
}

// isOverloaded reports whether this node is overloaded, or was so recently that it does not lead. It cannot take over
// from another overloaded leader then.
func (p *peers) isOverloaded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.noLeadUntil) || p.n.localHealth.Overloaded(now)
}

// behindGrace is the time in which a node can read the store once another one could. Without it, leadership passes through
// several nodes after each outage: each has read the store a little later than another one.
const behindGrace = 300 * time.Millisecond

// isBehindOthers reports whether this node cannot read the store although another one could for behindGrace.
// The caller holds p.mu.
func (p *peers) isBehindOthers() bool {
	if !p.othersReadStore() {
		p.behindSince = time.Time{}
		return false
	}
	now := p.n.clock.Now()
	if p.behindSince.IsZero() {
		p.behindSince = now
		signal(p.n.storeAnswers)
	}
	return now.Sub(p.behindSince) >= behindGrace
}

// othersReadStore reports whether another node recently read the store and this one did not. The caller holds p.mu.
func (p *peers) othersReadStore() bool {
	stale := p.n.staleStoreAge()
	if p.n.storeAge() < stale {
		return false
	}
	for _, h := range p.statusReports {
		if p.n.clock.Since(h.receivedAt) < p.n.policy.NodeTimeout && millis.Duration(h.report.StoreAgeMS) < stale {
			return true
		}
	}
	return false
}

// staleStoreAge returns the age of its last read of the store from which on a node counts as cut
// off from the store. Where keys are trusted only for a limited time, another node must take
// over and relay the configuration well before that time ends.
func (n *Node) staleStoreAge() time.Duration {
	if n.settings.StrictKeys {
		return min(n.policy.StoreStale, n.settings.MaxKeyAge/3)
	}
	return n.policy.StoreStale
}

// reportToLeader sends a status report to the preceding nodes in order, some of them side by side, until one
// answers as leader. If none does, this node leads, provided that it can.
func (p *peers) reportToLeader(ctx context.Context) {
	p.shareBudgets()
	for _, round := range succession.Rounds(p.leaderCandidates(p.n.clock.Now()), p.lastLeader()) {
		if r := p.askRound(ctx, round); r != nil {
			p.setLeader(false)
			p.mergeLedger(r.answer, r.ledgerVersion)
			p.applyAnswer(r.answer, r.sentAt)
			p.setLastLeader(r.address)
			return
		}
	}
	p.mu.Lock()
	canLead := p.canLead(p.n.clock.Now()) && p.n.clock.Since(p.n.started) > p.n.policy.LeadAfter
	p.mu.Unlock()
	p.setLeader(canLead)
	if canLead {
		p.greetSilentNodes(ctx)
		p.n.setLoads(p.totals())
		p.n.updateHalls(p.demandByHall())
		p.n.setRelayedBreakers(p.commonBreakers(p.n.clock.Now()))
		p.setOwnPeers()
	}
}

// preferenceDelay is how long the answer of a leader waits for the answers of preceding candidates. It exceeds a
// round trip between halls.
const preferenceDelay = 50 * time.Millisecond

// askRound sends status reports to candidates side by side, and returns the answer of the first one in order that
// can lead, or nil. It does not wait for preceding candidates longer than preferenceDelay.
func (p *peers) askRound(ctx context.Context, round []string) *reportResult {
	results := make(chan *reportResult, len(round))
	for i, address := range round {
		go func() {
			r := p.askCandidate(ctx, address)
			r.rank = i
			results <- r
		}()
	}
	var best *reportResult
	var preferred <-chan time.Time
	for range round {
		select {
		case r := <-results:
			if r.err != nil || !r.answer.CanLead || best != nil && best.rank < r.rank {
				continue
			}
			if best = r; best.rank == 0 {
				return best
			}
			preferred = p.n.clock.After(preferenceDelay)
		case <-preferred:
			return best
		}
	}
	return best
}

// askCandidate sends a status report to a node that may lead, and starts its backoff if it does not.
func (p *peers) askCandidate(ctx context.Context, address string) *reportResult {
	r := p.sendStatusReport(ctx, address)
	if r.err != nil || !r.answer.CanLead {
		p.startBackoff(address, r.err == nil)
	}
	if r.err == nil && !r.answer.CanLead {
		// A node that does not lead still relays a valid configuration.
		p.applyConfig(r.answer, r.sentAt)
	}
	return r
}

// lastLeader returns the address of the node that last answered as leader, or "".
func (p *peers) lastLeader() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLeaderAddress
}

// setLastLeader records the address of the node that answered as leader.
func (p *peers) setLastLeader(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLeaderAddress, p.leaderAnsweredAt = address, p.n.clock.Now()
}

// currentLeader returns the address of the node that leads, or "" if none has answered within NodeTimeout.
func (p *peers) currentLeader(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.leaderAnsweredAt) > p.n.policy.NodeTimeout {
		return ""
	}
	return p.lastLeaderAddress
}

// greetSilentNodes sends status reports to a few nodes from which none arrived within NodeTimeout. A node
// that has not read the store since this one registered does not know of it otherwise.
func (p *peers) greetSilentNodes(ctx context.Context) {
	now := p.n.clock.Now()
	own := p.n.settings.PeerAddress.String()
	var silent []string
	p.mu.Lock()
	reporting := map[string]bool{}
	for _, h := range p.statusReports {
		reporting[h.report.From.Address] = now.Sub(h.receivedAt) < p.n.policy.NodeTimeout
	}
	for a := range p.known {
		if a != own && !reporting[a] && now.Sub(p.greetedAt[a]) > p.n.policy.GreetInterval && len(silent) < p.n.policy.MaxGreetings {
			p.greetedAt[a] = now
			silent = append(silent, a)
		}
	}
	p.mu.Unlock()
	for _, a := range silent {
		go func() { p.sendStatusReport(ctx, a) }()
	}
}

// startBackoff starts the backoff of a node that cannot be used as leader. It is shorter for a node that
// answered and does not lead.
func (p *peers) startBackoff(address string, answered bool) {
	until := p.n.clock.Now().Add(p.n.policy.UnreachableBackoff)
	if answered {
		until = p.n.clock.Now().Add(p.n.policy.NotLeadingBackoff)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil[address] = until
}

// setLeader records whether this node leads. A new leader reads the instance list at once.
func (p *peers) setLeader(leading bool) {
	p.mu.Lock()
	wasLeading := p.isLeader
	p.isLeader = leading
	if leading && !wasLeading {
		p.leaderSince = p.n.clock.Now()
		p.retryGrants = retry.NewGrants(p.leaderSince)
	}
	if !leading {
		p.retryGrants = nil
	}
	p.mu.Unlock()
	if leading && !wasLeading {
		p.n.requestListRead()
		signal(p.n.becameLeader)
		signal(p.n.schedules.becameLeader)
	}
	if leading != wasLeading {
		p.n.log.WithField("placing", leading).Info("leadership changed")
	}
}

// leadership reports whether this node leads, and when it last became leader.
func (p *peers) leadership() (bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLeader, p.leaderSince
}

// namedNodes returns all nodes whose names are known, including this one.
func (p *peers) namedNodes() []NodeEntry {
	list := []NodeEntry{p.self()}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.known {
		if e.Name != "" {
			list = append(list, e)
		}
	}
	return list
}

// totals returns the number of requests in progress from all nodes at each instance, and the
// demand at all nodes. Both are cached for SumInterval and must not be modified.
func (p *peers) totals() (map[state.InstanceID]int, []demand.Flow) {
	now := p.n.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress != nil && now.Sub(p.totalsAt) < p.n.policy.SumInterval {
		return p.inProgress, p.totalDemand
	}
	inProgress := p.n.table.InFlight()
	flows := [][]demand.Flow{p.n.demand.Flows(now)}
	byHall := p.n.newHallSum()
	byHall.Add(p.n.settings.Hall, flows[0])
	for name, h := range p.statusReports {
		if now.Sub(h.receivedAt) > p.n.policy.NodeTimeout {
			delete(p.statusReports, name)
			continue
		}
		for id, n := range h.report.InProgress {
			inProgress[id] += n
		}
		flows = append(flows, h.report.Demand)
		byHall.Add(h.report.From.Hall, h.report.Demand)
	}
	p.inProgress, p.totalDemand, p.totalsAt = inProgress, demand.Sum(flows...), now
	p.hallDemand = byHall.Flows()
	return p.inProgress, p.totalDemand
}

// totalsTime returns when the totals were last computed.
func (p *peers) totalsTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalsAt
}

// anyRequests reports whether any node has received requests.
func (p *peers) anyRequests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasRequests || p.n.gateway.RequestCount() > 0
}
