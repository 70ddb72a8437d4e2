package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// BenchmarkUpgradeAtSize replaces all nodes of a system one at a time. It reports how often the
// leader changes, with and without preference for the newest build, and the size in kilobytes of
// the leader's first answer to a node that has just started.
func BenchmarkUpgradeAtSize(b *testing.B) {
	for _, size := range []struct{ nodes, instances int }{{85, 296}, {300, 1050}, {570, 2000}} {
		for _, newestFirst := range []bool{true, false} {
			b.Run(fmt.Sprintf("nodes=%d/newest-first=%t", size.nodes, newestFirst), func(b *testing.B) {
				changes := 0
				for i := range b.N {
					changes += leaderChanges(size.nodes, newestFirst, i)
				}
				b.ReportMetric(float64(changes)/float64(b.N), "leader-changes")
				b.ReportMetric(float64(firstAnswerSize(NewWithT(b), size.nodes, size.instances))/1000, "first-kB")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// leaderChanges returns how often the leader changes while nodes of four capacities are replaced
// one at a time. Each is away long enough for the next node in the order to lead.
func leaderChanges(nodes int, newestFirst bool, seed int) int {
	var all []NodeEntry
	for i := range nodes {
		all = append(all, NodeEntry{Name: fmt.Sprint("n", i), Address: fmt.Sprintf("10.%d.%d.%d:8229", seed%250, i/250, i%250), Capacity: []float64{0.192, 0.4, 0.6, 0.8}[i%4]})
	}
	changes := 0
	leader := leaderWithout(all, -1)
	updateLeader := func(absent int) {
		if next := leaderWithout(all, absent); next != leader {
			leader = next
			changes++
		}
	}
	for i := range all {
		updateLeader(i)
		if newestFirst {
			all[i].Capacity += versionBonus
		}
		updateLeader(-1)
	}
	return changes
}

// leaderWithout returns the address of the node that leads if the node at index absent is left
// out; -1 leaves out none.
func leaderWithout(all []NodeEntry, absent int) string {
	best := -1
	for i := range all {
		if i != absent && (best < 0 || precedes(all[i], all[best])) {
			best = i
		}
	}
	return all[best].Address
}

// firstAnswerSize returns the size in bytes of a leader's answer to a node that knows nothing.
func firstAnswerSize(g *WithT, nodes, instances int) int {
	leader := numbered(g, "leader", 1)
	leader.peers.setLeader(true)
	for i := range nodes - 1 {
		leader.peers.recordNode(NodeEntry{Name: fmt.Sprint("front-hall-", i), Address: fmt.Sprintf("10.1.%d.%d:8229", i/250, i%250), Hall: "hall", Number: int64(i)})
	}
	for i := range instances {
		leader.roster.ApplyFreshEntry(fleet.Instance{
			ID: state.InstanceID(fmt.Sprintf("i-%010x", i)), Service: "lm-service", Address: testAddress(i % 200), Hall: "some-hall", Domain: "some-hall-d0", Slots: 23,
			Model: "model-name", Loaded: "model-name", Staged: []string{"model-name"}, Position: int64(i),
			Membership: fleet.Membership{Group: "g1234567890", Epoch: 1234567890, Rank: i % 16, State: fleet.Ready},
		}, leader.clock.Now())
	}
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(&StatusReport{From: NodeEntry{Name: "new", Address: "10.9.9.9:8229"}, Protocol: protocolVersion}))
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := json.Marshal(resp.Msg)
	g.Expect(err).NotTo(HaveOccurred())
	return len(raw)
}
