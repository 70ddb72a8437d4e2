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

// wordProcedure is the path of a node's word to the placing node.
const wordProcedure = "/troutmast.Entry/Tell"

// peers is what a node knows of the other nodes.
type peers struct {
	n  *Node
	hc *http.Client

	mu    sync.Mutex
	known map[string]NodeEntry
	// contact is when each node was first known to this one, or last heard of by it.
	contact map[string]time.Time
	passed  map[string]time.Time
	words   map[string]heardWord
	greeted map[string]time.Time
	clients map[string]*connect.Client[Word, Answer]
	placing bool
	// since is when the node began to place.
	since time.Time
	// arrived tells that some node has had requests.
	arrived bool
	// version is that of the configuration at the placing node, as last heard.
	version int64
	// feedFrom and feedVersion say which changes of the instances this node has: those of a node up to a version.
	feedFrom    int64
	feedVersion uint64
	// ledgerSent is the version of this node's ledger that the leader was told, ledgerHas that
	// of the leader's own that this node has.
	ledgerSent uint64
	ledgerHas  uint64
	// limitsHas is the version of the leader's rate limits that this node has, dealtAt when it
	// last asked a leader that deals for it, told how many nodes may run by a leader's word.
	limitsHas uint64
	dealtAt   time.Time
	told      int
	// complete tells that this node has read which other nodes there are, or was told by a leader.
	complete bool
	// resting is until when this node does not place because it ran late.
	resting time.Time
	// held is what all nodes hold at each instance, asked what callers ask of them, added up at totalAt.
	held    map[state.InstanceID]int
	asked   []demand.Flow
	totalAt time.Time
}

// heardWord is the last word of a node.
type heardWord struct {
	word Word
	at   time.Time
}

// newPeers returns the peers of a node.
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

// run tells the placing node what this one knows, again and again.
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

// seed takes in the nodes that the settings name.
func (p *peers) seed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.n.set.Seeds {
		if s != p.n.set.Peer {
			p.known[s.String()] = NodeEntry{Address: s.String()}
		}
	}
}

// follow keeps up with the nodes' entries in the store.
func (p *peers) follow(ctx context.Context) {
	cursor := p.n.newCursor()
	for {
		if cursor.From(p.n.clock.Now()) >= 0 && p.n.feed.configAge(p.n.clock.Now()) < 2*p.n.policy.FeedAge {
			// The placing node tells of new ones.
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
		// Each new entry ends all waiting reads: without a pause, nodes that start
		// together would read once for each of the others.
		if !p.n.sleep(ctx, p.n.policy.NodesPause) {
			return
		}
	}
}

// learn takes in a node's entry.
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

// precedes reports whether a node comes before another in the order in which nodes
// place: the first that answers does. Larger nodes come first, since the work of
// placing grows with the number of nodes and instances; among equals it is
// rendezvous hashing.
func precedes(a, b NodeEntry) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return rank(a.Address) > rank(b.Address)
}

// rank is the place of a node by rendezvous hashing.
func rank(address string) uint64 { return xxhash.Sum64String("placing\x00" + address) }

// candidates returns the addresses of the nodes before this one in the order, without those passed over.
func (p *peers) candidates(now time.Time) []string {
	own := p.self()
	p.mu.Lock()
	defer p.mu.Unlock()
	placing := p.mayPlace(now)
	var list []NodeEntry
	for a, e := range p.known {
		if a == own.Address || (placing && precedes(own, e)) || now.Before(p.passed[a]) {
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

// standby reports whether this node is among the first in the order.
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

// mayPlace reports whether this node can place groups, if not at once: until it
// is old enough to know of all others, no node after it in the order does either.
func (p *peers) mayPlace(now time.Time) bool {
	return !p.n.stopping.Load() && p.n.number.Load() > 0 && p.n.know.Catalog() != nil && !p.behindOthers() && !p.slowerThanOthers(now)
}

// slowerThanOthers reports whether the node lately ran late again and again while another one did not.
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

// behindOthers reports whether the node cannot read the store while another one lately could.
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

// storeStale returns the age of its last read of the store from which on a node
// counts as cut off from it. Where keys are trusted only for a time, it must hear of
// them from another node well before that is over.
func (n *Node) storeStale() time.Duration {
	if n.set.StrictKeys {
		return min(n.policy.StoreStale, n.set.KeysWithin/3)
	}
	return n.policy.StoreStale
}

// round tells the first node that places; if there is none before this one, this one does.
func (p *peers) round(ctx context.Context) {
	p.shareBudgets()
	for _, address := range p.candidates(p.n.clock.Now()) {
		asked := p.n.clock.Now()
		ans, err := p.tell(ctx, address)
		if err == nil && ans.Placing {
			p.setPlacing(false)
			p.take(ans, asked)
			return
		}
		if err == nil {
			// It does not place, but what it knows of the configuration counts all the same.
			p.takeConfig(ans, asked)
		}
		p.pass(address, err == nil)
	}
	p.mu.Lock()
	may := p.mayPlace(p.n.clock.Now()) && p.n.clock.Since(p.n.started) > p.n.policy.LeadAfter
	p.mu.Unlock()
	p.setPlacing(may)
	if may {
		p.greet(ctx)
		p.n.setLoads(p.total())
	}
}

// greet tells a few nodes that were not heard of lately that this one places: one
// that could not read the store since this one registered knows nothing of it.
func (p *peers) greet(ctx context.Context) {
	now := p.n.clock.Now()
	own := p.n.set.Peer.String()
	var silent []string
	p.mu.Lock()
	heard := map[string]bool{}
	for _, h := range p.words {
		heard[h.word.From.Address] = now.Sub(h.at) < p.n.policy.NodeTimeout
	}
	for a := range p.known {
		if a != own && !heard[a] && now.Sub(p.greeted[a]) > p.n.policy.GreetInterval && len(silent) < p.n.policy.GreetAtOnce {
			p.greeted[a] = now
			silent = append(silent, a)
		}
	}
	p.mu.Unlock()
	for _, a := range silent {
		go func() { _, _ = p.tell(ctx, a) }()
	}
}

// pass has a node passed over for a while; one that answered, but does not place, for less.
func (p *peers) pass(address string, answered bool) {
	until := p.n.clock.Now().Add(p.n.policy.UnreachableBackoff)
	if answered {
		until = p.n.clock.Now().Add(p.n.policy.NotLeadingBackoff)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed[address] = until
}

// setPlacing notes whether this node places groups.
func (p *peers) setPlacing(on bool) {
	p.mu.Lock()
	was := p.placing
	p.placing = on
	if on && !was {
		p.since = p.n.clock.Now()
	}
	p.mu.Unlock()
	if on && !was {
		p.n.readListNow()
	}
	if on != was {
		p.n.log.WithField("placing", on).Info("placing changed")
	}
}

// isPlacing reports whether this node places groups, and since when.
func (p *peers) isPlacing() (bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placing, p.since
}

// named returns all nodes that are known by name, this one among them.
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

// total adds up what all nodes hold at each instance, and what callers ask of
// them; neither must be changed.
func (p *peers) total() (map[state.InstanceID]int, []demand.Flow) {
	now := p.n.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil && now.Sub(p.totalAt) < p.n.policy.SumInterval {
		return p.held, p.asked
	}
	held := p.n.table.Held()
	flows := [][]demand.Flow{p.n.demand.Flows(now)}
	for name, h := range p.words {
		if now.Sub(h.at) > p.n.policy.NodeTimeout {
			delete(p.words, name)
			continue
		}
		for id, n := range h.word.Held {
			held[id] += n
		}
		flows = append(flows, h.word.Demand)
	}
	p.held, p.asked, p.totalAt = held, demand.Sum(flows...), now
	return p.held, p.asked
}

// anyArrived reports whether any node has had requests.
func (p *peers) anyArrived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrived || p.n.gate.RequestCount() > 0
}
