package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/state"
)

// hallFanout is the greatest number of nodes of the own hall asked in one round.
const hallFanout = 3

// exchangeRound asks peers what is new.
//
// Within the hall every round asks up to hallFanout nodes. Of the nodes of
// other halls, only one a round is asked, and only by the node of this hall to
// which that falls; the others of the hall hear of them from it.
func (n *Node) exchangeRound(ctx context.Context) {
	for _, addr := range n.exchangeWith() {
		if m := n.mirrors.take(addr); m != nil {
			go func() {
				defer n.mirrors.done(addr)
				n.exchangeOne(ctx, addr, m)
			}()
		}
	}
}

// mirrors holds what was learnt from each peer; one exchange at a time uses each,
// so that a frozen peer holds up no other.
type mirrors struct {
	mu   sync.Mutex
	m    map[netip.AddrPort]*evidence.Mirror
	busy map[netip.AddrPort]bool
}

// newMirrors returns an empty mirrors.
func newMirrors() *mirrors {
	return &mirrors{m: map[netip.AddrPort]*evidence.Mirror{}, busy: map[netip.AddrPort]bool{}}
}

// take returns the mirror of an address, or nil while an exchange with it is under way.
func (s *mirrors) take(addr netip.AddrPort) *evidence.Mirror {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[addr] {
		return nil
	}
	s.busy[addr] = true
	if s.m[addr] == nil {
		s.m[addr] = &evidence.Mirror{}
	}
	return s.m[addr]
}

// done ends an exchange with an address.
func (s *mirrors) done(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, addr)
}

// exchangeWith returns the addresses to ask in this round.
func (n *Node) exchangeWith() []netip.AddrPort {
	now := n.Clock.Now()
	known := map[netip.AddrPort]bool{}
	var hall, others []netip.AddrPort
	for _, p := range n.Directory.Peers() {
		known[p.Address] = true
		live := now.Sub(p.RequestedAt) < liveness*n.Settings.ExchangeInterval
		switch {
		case p.Hall == n.Settings.Hall && live:
			hall = append(hall, p.Address)
		default:
			others = append(others, p.Address)
		}
	}
	for _, addr := range n.Settings.Peers {
		if !known[addr] && addr != n.Settings.Advertised() {
			others = append(others, addr)
		}
	}
	rand.Shuffle(len(hall), func(i, j int) { hall[i], hall[j] = hall[j], hall[i] })
	list := hall[:min(hallFanout, len(hall))]
	if len(others) > 0 && (len(hall) == 0 || len(n.Directory.Peers()) < len(n.Settings.Peers) || n.Directory.Owns("speaker", now)) {
		list = append(list, others[rand.IntN(len(others))])
	}
	return list
}

// exchangeOne asks one peer and takes in its answer.
func (n *Node) exchangeOne(ctx context.Context, addr netip.AddrPort, mirror *evidence.Mirror) {
	asked := n.Clock.Now()
	n.Count("exchanges")
	resp, err := n.Peers.Exchange(ctx, addr, &rpc.ExchangeRequest{
		From:            peer.EncodeNode(n.Self(), 0),
		SeenIncarnation: mirror.Incarnation,
		SeenVersion:     mirror.Version,
		SeenLedger:      mirror.LedgerVersion,
		WantNodes:       n.wantNodes(asked),
	})
	if err != nil {
		n.Count("exchanges.failed")
		return
	}
	self, err := peer.DecodeNode(resp.GetSelf(), asked)
	if err != nil || self.Name == n.Settings.Name {
		n.Count("exchanges.unusable")
		return
	}
	n.Directory.Update(self)
	mirror.ResetIfRestarted(self.Incarnation)
	n.Quarantine.Merge(peer.DecodeLedgerDelta(resp, n.Clock.Now()), quarantine.PeerSource)
	mirror.LedgerVersion = resp.GetLedgerVersion()
	for _, m := range resp.GetNodes() {
		if other, err := peer.DecodeNode(m, asked); err == nil {
			n.Directory.Update(other)
		}
	}
	if self.Hall == n.Settings.Hall {
		n.mergeHall(mirror, self, resp)
	}
}

// nodesInterval is how often a node asks a peer what it knows of the others.
const nodesInterval = time.Second

// wantNodes reports whether this exchange is to ask for what the peer knows of other nodes.
func (n *Node) wantNodes(now time.Time) bool {
	last := n.nodesAsked.Load()
	at := steady.Nanos(now)
	return at-last >= int64(nodesInterval) && n.nodesAsked.CompareAndSwap(last, at)
}

// mergeHall takes in what a node of the own hall said of instances.
func (n *Node) mergeHall(mirror *evidence.Mirror, self membership.Node, resp *rpc.ExchangeResponse) {
	held := map[state.GroupName]int{}
	for _, h := range resp.GetHeld() {
		held[state.GroupName(h.GetGroup())] = int(h.GetHeld())
	}
	n.Directory.UpdateInFlight(self, held)
	delta, ages := peer.DecodeDelta(resp)
	confirmed := peer.FromMilliseconds(resp.GetConfirmedAgeMs())
	for _, r := range mirror.Apply(n.Evidence, self.Incarnation, delta, self.RequestedAt, confirmed, ages) {
		n.observed(r)
	}
}
