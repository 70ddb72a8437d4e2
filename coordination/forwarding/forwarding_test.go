package forwarding_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/state"
)

// start is the current time in the tests.
var start = time.Unix(1000, 0)

var pool = dispatch.Pool{Service: "lm", Model: "m"}

// peer returns a peer by its number.
func peer(n int, hall state.HallName) forwarding.Peer {
	return forwarding.Peer{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", n)), Hall: hall}
}

func TestAcquirePeer(t *testing.T) {
	p := forwarding.DefaultPolicy()
	plain := dispatch.Pool{Service: "plain"}
	listed := []forwarding.PoolPeers{{Pool: pool, Peers: []forwarding.Peer{peer(1, "h")}}, {Pool: plain, Peers: []forwarding.Peer{peer(1, "h")}}}
	release := func(pool dispatch.Pool, o forwarding.Outcome) func(*forwarding.Sender) {
		return func(s *forwarding.Sender) {
			p, err := s.AcquirePeer(pool, allowAll, start)
			if err != nil {
				t.Fatal(err)
			}
			s.Release(p, pool, o, start)
		}
	}
	for _, c := range []struct {
		name   string
		pool   dispatch.Pool
		change func(s *forwarding.Sender)
		age    time.Duration
		err    error
	}{
		{"a peer of the pool", pool, func(*forwarding.Sender) {}, 0, nil},
		{"another pool", dispatch.Pool{Service: "other"}, func(*forwarding.Sender) {}, 0, forwarding.ErrNoPeer},
		{"an old list", pool, func(*forwarding.Sender) {}, p.PeersTTL + 1, forwarding.ErrNoPeer},
		{"an empty list", pool, func(s *forwarding.Sender) { s.SetPeers(nil, start) }, 0, forwarding.ErrNoPeer},
		{"an unreachable peer", pool, release(pool, forwarding.Unreachable), p.PeerBackoff - 1, forwarding.ErrNoPeer},
		{"a peer that was unreachable", pool, release(pool, forwarding.Unreachable), p.PeerBackoff, nil},
		{"a peer that was unreachable for a request of another pool", pool, release(plain, forwarding.Unreachable), p.PeerBackoff - 1, forwarding.ErrNoPeer},
		{"a peer without a target for the pool", pool, release(pool, forwarding.NoTarget), p.PeerBackoff - 1, forwarding.ErrNoPeer},
		{"a peer that had no target for the pool", pool, release(pool, forwarding.NoTarget), p.PeerBackoff, nil},
		{"a peer without a target for another pool", pool, release(plain, forwarding.NoTarget), 0, nil},
		{"a peer that served a request", pool, release(pool, forwarding.Reached), 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := forwarding.NewSender("h", p)
			s.SetPeers(listed, start)
			c.change(s)
			_, err := s.AcquirePeer(c.pool, allowAll, start.Add(c.age))
			if c.err == nil {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				return
			}
			NewWithT(t).Expect(err).To(MatchError(c.err))
		})
	}
}

// For any sequence of requests, a node forwards at most MaxSent at a time, and only to listed peers.
func TestForwardedRequestsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := forwarding.DefaultPolicy()
		p.MaxSent = rapid.IntRange(0, 8).Draw(t, "limit")
		s := forwarding.NewSender("h", p)
		var list []forwarding.Peer
		for i := range rapid.IntRange(1, 4).Draw(t, "peers") {
			list = append(list, peer(i, state.HallName(rapid.SampledFrom([]string{"h", "far"}).Draw(t, "hall"))))
		}
		s.SetPeers([]forwarding.PoolPeers{{Pool: pool, Peers: list}}, start)
		var held []forwarding.Peer
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				s.Release(held[0], pool, forwarding.Reached, start)
				held = held[1:]
				continue
			}
			got, err := s.AcquirePeer(pool, allowAll, start)
			if (err == nil) != (len(held) < p.MaxSent) {
				t.Fatalf("%d requests are forwarded, the limit is %d: %v", len(held), p.MaxSent, err)
			}
			if err == nil {
				held = append(held, got)
			}
		}
	})
}

// Four nodes of a hall whose only other node still reaches the instances must not send all their requests to that one.
func TestForwardedRequestsAreSpreadOverHalls(t *testing.T) {
	const requests = 40
	g := NewWithT(t)
	s := forwarding.NewSender("h", forwarding.DefaultPolicy())
	s.SetPeers([]forwarding.PoolPeers{{Pool: pool, Peers: []forwarding.Peer{peer(1, "h"), peer(2, "far"), peer(3, "far")}}}, start)
	counts := map[state.HallName]int{}
	for range requests {
		p, err := s.AcquirePeer(pool, allowAll, start)
		g.Expect(err).NotTo(HaveOccurred())
		counts[p.Hall]++
	}
	g.Expect(counts["h"]).To(BeNumerically(">=", requests/5))
	g.Expect(counts["far"]).To(BeNumerically(">=", requests/5))
}

func TestReceiverBoundsRequests(t *testing.T) {
	g := NewWithT(t)
	r := forwarding.NewReceiver(forwarding.Policy{MaxReceived: 2})
	g.Expect(r.TryAcquire()).To(BeTrue())
	g.Expect(r.TryAcquire()).To(BeTrue())
	g.Expect(r.TryAcquire()).To(BeFalse())
	g.Expect(r.InFlight()).To(Equal(2))
	r.Release()
	g.Expect(r.TryAcquire()).To(BeTrue())
}

// allowAll allows every peer.
func allowAll(forwarding.Peer) bool { return true }

// A request with home regions must not go to a peer that may not receive its body, however many of those are listed.
func TestPeersThatAreNotAllowedGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	s := forwarding.NewSender("h", forwarding.DefaultPolicy())
	s.SetPeers([]forwarding.PoolPeers{{Pool: pool, Peers: []forwarding.Peer{peer(1, "h"), peer(2, "far"), peer(3, "h")}}}, start)
	inFar := func(p forwarding.Peer) bool { return p.Hall == "far" }
	for range 50 {
		p, err := s.AcquirePeer(pool, inFar, start)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p).To(Equal(peer(2, "far")))
	}
	_, err := s.AcquirePeer(pool, func(forwarding.Peer) bool { return false }, start)
	g.Expect(err).To(MatchError(forwarding.ErrNoPeer))
}
