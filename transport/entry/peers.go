package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
)

// wordProcedure is the path of a node's status report to the leader.
const wordProcedure = "/troutmast.Entry/Tell"

// peers holds what a node knows of the other nodes, and elects the leader among them.
type peers struct {
	n  *Node
	hc *http.Client

	mu    sync.Mutex
	known map[string]NodeEntry
	// contact is when each node last sent a status report to this one, or first became known to it.
	contact map[string]time.Time
	passed  map[string]time.Time
	words   map[string]heardWord
	greeted map[string]time.Time
	clients map[string]*connect.Client[Word, Answer]
	placing bool
	// since is when the node last became leader.
	since time.Time
	// arrived reports whether any node has received requests.
	arrived bool
	// version is that of the leader's configuration, as of its last answer.
	version int64
	// feedFrom and feedVersion identify the instance changes that this node has: those of the node
	// numbered feedFrom, up to its roster version feedVersion.
	feedFrom    int64
	feedVersion uint64
	// ledgerSent is the version of this node's quarantine ledger up to which the leader has it,
	// ledgerHas the version of the leader's ledger up to which this node has it.
	ledgerSent uint64
	ledgerHas  uint64
	// limitsHas is the version up to which this node has the leader's rate limits. dealtAt is when
	// it sent its last status report to a leader that allocates rates to it. told is the number of
	// nodes that may be running, according to the leader; 0 if the leader named none.
	limitsHas uint64
	dealtAt   time.Time
	told      int
	// complete reports whether this node knows the other nodes, from the store or from a leader.
	complete bool
	// resting is the time until which this node does not lead because it was overloaded.
	resting time.Time
	// held is the number of requests in progress from all nodes at each instance, asked the demand
	// at all nodes. Both were computed at totalAt.
	held    map[state.InstanceID]int
	asked   []demand.Flow
	totalAt time.Time
}

// heardWord is the last status report of a node and when it arrived.
type heardWord struct {
	word Word
	at   time.Time
}

// newPeers returns the peers of a node, none of them known yet.
func newPeers(n *Node) *peers {
	dialer := direct.Dialer{Timeout: n.policy.StatusTimeout, Silence: silence}
	return &peers{
		n:       n,
		hc:      &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}},
		known:   map[string]NodeEntry{},
		contact: map[string]time.Time{},
		passed:  map[string]time.Time{},
		words:   map[string]heardWord{},
		greeted: map[string]time.Time{},
		clients: map[string]*connect.Client[Word, Answer]{},
	}
}

// self returns the node's own entry.
func (p *peers) self() NodeEntry {
	return NodeEntry{Name: p.n.set.Name, Address: p.n.set.Peer.String(), Hall: p.n.set.Hall, Capacity: p.n.toldCapacity(), Number: p.n.number.Load()}
}

// run sends a status report to the leader at every interval, and at once when there is news.
func (p *peers) run(ctx context.Context) {
	p.seed()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.n.clock.After(p.n.policy.StatusInterval):
		case <-p.n.news:
		}
	}
}

// seed adds the nodes that the settings name. Their names are unknown until they register.
func (p *peers) seed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.n.set.Seeds {
		if s != p.n.set.Peer {
			p.known[s.String()] = NodeEntry{Address: s.String()}
		}
	}
}

// follow reads the nodes' entries from the store as they are written.
func (p *peers) follow(ctx context.Context) {
	cursor := p.n.newCursor()
	for {
		if cursor.From(p.n.clock.Now()) >= 0 && p.n.feed.configAge(p.n.clock.Now()) < 2*p.n.policy.FeedAge {
			// The leader's answers list new nodes.
			if !p.n.sleep(ctx, p.n.policy.FeedAge) {
				return
			}
			continue
		}
		tail, _, err := p.n.follow(ctx, source.Nodes, cursor, p.n.policy.NodesWait)
		if errors.Is(err, source.ErrTrimmed) {
			cursor.Reset()
		}
		for _, item := range tail.Items {
			var e NodeEntry
			if json.Unmarshal(item.Value, &e) == nil {
				p.learn(e)
			}
		}
		if err == nil && tail.Whole {
			p.setComplete()
			p.shareBudgets()
		}
		// Each new entry completes all waiting reads. Without a pause, nodes that start
		// together would each read once for every other node.
		if !p.n.sleep(ctx, p.n.policy.NodesPause) {
			return
		}
	}
}

// learn records a node's entry. It ignores this node's own and those without a name or a valid address.
func (p *peers) learn(e NodeEntry) {
	if _, err := netip.ParseAddrPort(e.Address); err != nil || e.Name == "" || e.Name == p.n.set.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[e.Address] = e
	if _, known := p.contact[e.Address]; !known {
		p.contact[e.Address] = p.n.clock.Now()
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
	return rank(a.Address) > rank(b.Address)
}

// rank returns the rendezvous hash of a node's address.
func rank(address string) uint64 { return xxhash.Sum64String("placing\x00" + address) }

// candidates returns the addresses of the nodes that precede this one, in order, without those
// in backoff. If this node cannot lead, it returns all other nodes.
func (p *peers) candidates(now time.Time) []string {
	own := p.self()
	p.mu.Lock()
	defer p.mu.Unlock()
	canLead := p.mayPlace(now)
	var list []NodeEntry
	for a, e := range p.known {
		if a == own.Address || (canLead && precedes(own, e)) || now.Before(p.passed[a]) {
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

// standby reports whether this node is the leader or one of its standbys by the order of succession.
func (p *peers) standby() bool {
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

// mayPlace reports whether this node can lead, now or once LeadAfter has passed since its
// start. The nodes that it precedes wait for it during that time instead of leading
// themselves. The caller holds p.mu.
func (p *peers) mayPlace(now time.Time) bool {
	return !p.n.stopping.Load() && p.n.number.Load() > 0 && p.n.know.Catalog() != nil && !p.behindOthers() && !p.slowerThanOthers(now)
}

// slowerThanOthers reports whether this node is overloaded and another one is not, or was so
// within LateRest. The caller holds p.mu.
func (p *peers) slowerThanOthers(now time.Time) bool {
	if now.Before(p.resting) {
		return true
	}
	if !p.n.health.Overloaded(now) {
		return false
	}
	for _, h := range p.words {
		if now.Sub(h.at) < p.n.policy.NodeTimeout && !h.word.Late {
			p.resting = now.Add(p.n.policy.LateRest)
			p.n.Count("placing.rested")
			return true
		}
	}
	return false
}

// behindOthers reports whether this node cannot read the store while another one recently could.
// The caller holds p.mu.
func (p *peers) behindOthers() bool {
	stale := p.n.storeStale()
	if p.n.storeAge() < stale {
		return false
	}
	for _, h := range p.words {
		if p.n.clock.Since(h.at) < p.n.policy.NodeTimeout && time.Duration(h.word.StoreMS)*time.Millisecond < stale {
			return true
		}
	}
	return false
}

// storeStale returns the age of its last read of the store from which on a node counts as cut
// off from the store. Where keys are trusted only for a limited time, another node must take
// over and relay the configuration well before that time ends.
func (n *Node) storeStale() time.Duration {
	if n.set.StrictKeys {
		return min(n.policy.StoreStale, n.set.KeysWithin/3)
	}
	return n.policy.StoreStale
}

// round sends a status report to the preceding nodes in order until one answers as leader. If
// none does, this node leads, provided that it can.
func (p *peers) round(ctx context.Context) {
	p.shareBudgets()
	for _, address := range p.candidates(p.n.clock.Now()) {
		sentAt := p.n.clock.Now()
		ans, err := p.tell(ctx, address)
		if err == nil && ans.Placing {
			p.setPlacing(false)
			p.take(ans, sentAt)
			return
		}
		if err == nil {
			// A node that does not lead still relays a valid configuration.
			p.takeConfig(ans, sentAt)
		}
		p.pass(address, err == nil)
	}
	p.mu.Lock()
	canLead := p.mayPlace(p.n.clock.Now()) && p.n.clock.Since(p.n.started) > p.n.policy.LeadAfter
	p.mu.Unlock()
	p.setPlacing(canLead)
	if canLead {
		p.greet(ctx)
		p.n.setLoads(p.total())
	}
}

// greet sends status reports to a few nodes from which none arrived within NodeTimeout. A node
// that has not read the store since this one registered does not know of it otherwise.
func (p *peers) greet(ctx context.Context) {
	now := p.n.clock.Now()
	own := p.n.set.Peer.String()
	var silent []string
	p.mu.Lock()
	reporting := map[string]bool{}
	for _, h := range p.words {
		reporting[h.word.From.Address] = now.Sub(h.at) < p.n.policy.NodeTimeout
	}
	for a := range p.known {
		if a != own && !reporting[a] && now.Sub(p.greeted[a]) > p.n.policy.GreetInterval && len(silent) < p.n.policy.GreetAtOnce {
			p.greeted[a] = now
			silent = append(silent, a)
		}
	}
	p.mu.Unlock()
	for _, a := range silent {
		go func() { _, _ = p.tell(ctx, a) }()
	}
}

// pass starts the backoff of a node that cannot be used as leader. It is shorter for a node that
// answered and does not lead.
func (p *peers) pass(address string, answered bool) {
	until := p.n.clock.Now().Add(p.n.policy.UnreachableBackoff)
	if answered {
		until = p.n.clock.Now().Add(p.n.policy.NotLeadingBackoff)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed[address] = until
}

// setPlacing records whether this node leads. A new leader reads the instance list at once.
func (p *peers) setPlacing(leading bool) {
	p.mu.Lock()
	wasLeading := p.placing
	p.placing = leading
	if leading && !wasLeading {
		p.since = p.n.clock.Now()
	}
	p.mu.Unlock()
	if leading && !wasLeading {
		p.n.readListNow()
	}
	if leading != wasLeading {
		p.n.log.WithField("placing", leading).Info("leadership changed")
	}
}

// isPlacing reports whether this node leads, and when it last became leader.
func (p *peers) isPlacing() (bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placing, p.since
}

// named returns all nodes whose names are known, including this one.
func (p *peers) named() []NodeEntry {
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

// total returns the number of requests in progress from all nodes at each instance, and the
// demand at all nodes. Both are cached for SumInterval and must not be modified.
func (p *peers) total() (map[state.InstanceID]int, []demand.Flow) {
	now := p.n.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil && now.Sub(p.totalAt) < p.n.policy.SumInterval {
		return p.held, p.asked
	}
	inProgress := p.n.table.Held()
	flows := [][]demand.Flow{p.n.demand.Flows(now)}
	for name, h := range p.words {
		if now.Sub(h.at) > p.n.policy.NodeTimeout {
			delete(p.words, name)
			continue
		}
		for id, n := range h.word.Held {
			inProgress[id] += n
		}
		flows = append(flows, h.word.Demand)
	}
	p.held, p.asked, p.totalAt = inProgress, demand.Sum(flows...), now
	return p.held, p.asked
}

// anyArrived reports whether any node has received requests.
func (p *peers) anyArrived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrived || p.n.gate.RequestCount() > 0
}
