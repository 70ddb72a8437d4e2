package entry

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/gateway"
)

// IsPartitioned implements gateway.Peers.
func (n *Node) IsPartitioned(service state.ServiceName) bool {
	return n.partitions.Detector(service).IsPartitioned()
}

// AcquirePeer implements gateway.Peers.
func (n *Node) AcquirePeer(pool dispatch.Pool, isAllowed func(forwarding.Peer) bool) (forwarding.Peer, error) {
	return n.forwarding.AcquirePeer(pool, isAllowed, n.clock.Now())
}

// ReleasePeer implements gateway.Peers.
func (n *Node) ReleasePeer(p forwarding.Peer, pool dispatch.Pool, o forwarding.Outcome) {
	n.forwarding.Release(p, pool, o, n.clock.Now())
}

// forwardReceiver bounds the requests of other nodes. An overloaded node serves only its own callers.
type forwardReceiver struct {
	*forwarding.Receiver
	n *Node
}

// TryAcquire implements gateway.Receiver.
func (r forwardReceiver) TryAcquire() bool {
	return !r.n.localHealth.Overloaded(r.n.clock.Now()) && r.Receiver.TryAcquire()
}

// servePeer returns the handler of the listener for other nodes. Forwarded requests bypass the mux, which
// would redirect a URI that is not in canonical form.
func (n *Node) servePeer(mux http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, gateway.ForwardPath) {
			n.gateway.ServeForwarded(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// impairedPools returns the pools whose requests other nodes can probably serve better than this one.
func (n *Node) impairedPools() []dispatch.Pool {
	if n.stopping.Load() {
		return n.table.Pools()
	}
	impaired, partitioned := n.table.ImpairedPools(), n.partitions.Partitioned()
	if len(partitioned) == 0 {
		return impaired
	}
	return slices.DeleteFunc(n.table.Pools(), func(p dispatch.Pool) bool {
		return !slices.Contains(partitioned, p.Service) && !slices.Contains(impaired, p)
	})
}

// maxListedPeers is the maximum number of nodes of one kind, of the same data hall or of others, that a leader names
// to a node as peers for the requests of one pool.
const maxListedPeers = 8

// servingNode is a node that serves requests of other nodes, except those of the impaired pools.
type servingNode struct {
	peer     forwarding.Peer
	impaired []dispatch.Pool
}

// servingNodes returns the nodes that serve requests of other nodes by their status reports, including this one. The
// list is cached for SumInterval, unless a status report names other impaired pools than the one before, and must not
// be modified.
func (p *peers) servingNodes(now time.Time) []servingNode {
	own := StatusReport{From: p.self(), Protocol: protocolVersion, Impaired: p.n.impairedPools(), IsOverloaded: p.isOverloaded(now)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serving != nil && now.Sub(p.servingAt) < p.n.policy.SumInterval {
		return p.serving
	}
	minVersion := p.n.forwardVersion()
	list := appendServing(make([]servingNode, 0, len(p.statusReports)+1), &own, minVersion)
	for _, r := range p.statusReports {
		knowsInstances := r.report.FeedVersion > 0 // a node that has just started does not
		if knowsInstances && now.Sub(r.receivedAt) < p.n.policy.NodeTimeout {
			list = appendServing(list, &r.report, minVersion)
		}
	}
	p.serving, p.servingAt = list, now
	return list
}

// appendServing appends the sender of a status report unless it is overloaded or of a build that can't serve
// requests of other nodes, which is one of a protocol version below minVersion.
func appendServing(list []servingNode, r *StatusReport, minVersion int) []servingNode {
	at, err := netip.ParseAddrPort(r.From.Address)
	if err != nil || r.Protocol < minVersion || r.IsOverloaded {
		return list
	}
	return append(list, servingNode{forwarding.Peer{Address: at, Hall: r.From.Hall, EnforcesHomes: r.Protocol >= protocolHomeRegions}, r.Impaired})
}

// peersFor returns the nodes to which another node can forward requests of some pools.
func (p *peers) peersFor(node *NodeEntry, pools []dispatch.Pool) []forwarding.PoolPeers {
	if len(pools) == 0 {
		return nil
	}
	address, err := netip.ParseAddrPort(node.Address)
	if err != nil {
		return nil
	}
	own := forwarding.Peer{Address: address, Hall: node.Hall}
	nodes := p.servingNodes(p.n.clock.Now())
	list := make([]forwarding.PoolPeers, 0, len(pools))
	for _, pool := range pools {
		if chosen := choosePeers(nodes, own, pool); len(chosen) > 0 {
			list = append(list, forwarding.PoolPeers{Pool: pool, Peers: chosen})
		}
	}
	return list
}

// choosePeers returns nodes that serve the requests of a pool, of the data hall of the given node and of others. It
// starts at a random one, so that nodes that ask at the same time get different peers.
func choosePeers(nodes []servingNode, own forwarding.Peer, pool dispatch.Pool) []forwarding.Peer {
	var sameHall, otherHalls []forwarding.Peer
	start := rand.IntN(len(nodes) + 1)
	for i := range nodes {
		s := &nodes[(start+i)%len(nodes)]
		if s.peer.Address == own.Address || slices.Contains(s.impaired, pool) {
			continue
		}
		chosen := &otherHalls
		if s.peer.Hall == own.Hall {
			chosen = &sameHall
		}
		if len(*chosen) < maxListedPeers {
			*chosen = append(*chosen, s.peer)
		}
		if len(sameHall)+len(otherHalls) == 2*maxListedPeers {
			break
		}
	}
	return append(sameHall, otherHalls...)
}

// setOwnPeers updates the peers of a node that leads: no other leader names them.
func (p *peers) setOwnPeers() {
	own := p.self()
	p.n.forwarding.SetPeers(p.peersFor(&own, p.n.impairedPools()), p.n.clock.Now())
}
