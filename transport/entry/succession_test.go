package entry

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// silentAddress returns the address of a listener that accepts connections and never answers, as a node behind a
// silent network partition does.
func silentAddress(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// A node whose hall is cut off reports to the leader of its side without waiting for the silent nodes that precede
// it. Each of these took a whole timeout, so that the leader had no reports and the others no changes for seconds.
func TestSilentCandidatesDoNotDelayTheLeadersAnswer(t *testing.T) {
	g := NewWithT(t)
	leader := leaderOf(g, fleetSize{nodes: 9, instances: 48})
	address := servePeers(t, leader)
	n := ableNode(g)
	n.policy.StatusTimeout = time.Minute
	n.settings.Name, n.settings.PeerAddress = "reporter", testAddress(250)
	for i, a := range []string{silentAddress(t), silentAddress(t), address} {
		n.peers.known[a] = NodeEntry{Address: a, Capacity: float64(10 - i)}
	}
	n.peers.setLastLeader(address)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.peers.reportToLeader(t.Context())
	}()
	clock := n.clock.(*clockwork.FakeClock)
	g.Expect(clock.BlockUntilContext(t.Context(), 1)).To(Succeed()) // the leader has answered
	clock.Advance(preferenceDelay)
	g.Eventually(done, 10*time.Second).Should(BeClosed())
	g.Expect(n.peers.lastLeader()).To(Equal(address))
	g.Expect(n.roster.All(n.clock.Now())).To(HaveLen(48))
}

// A preceding candidate that answers in time is preferred to the last leader.
func TestPrecedingCandidateThatCanLeadIsPreferred(t *testing.T) {
	g := NewWithT(t)
	first := servePeers(t, leaderOf(g, fleetSize{nodes: 9, instances: 48}))
	second := servePeers(t, leaderOf(g, fleetSize{nodes: 9, instances: 48}))
	n := ableNode(g)
	n.settings.Name, n.settings.PeerAddress = "reporter", testAddress(250)
	n.peers.known[first] = NodeEntry{Address: first, Capacity: 3}
	n.peers.known[second] = NodeEntry{Address: second, Capacity: 2}
	n.peers.setLastLeader(second)
	n.peers.reportToLeader(t.Context())
	g.Expect(n.peers.lastLeader()).To(Equal(first))
}
