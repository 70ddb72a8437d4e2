package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// When a system of 295 nodes started, each node read the whole list several times before a leader relayed it.
func TestOnlyStandbysReadTheListOfAStartingSystem(t *testing.T) {
	policy := DefaultPolicy().Node
	for _, c := range []struct {
		name        string
		firstStart  bool
		larger      int
		after       time.Duration
		hasRequests bool
		leading     bool
		waits       bool
	}{
		{"before the other nodes are known", true, 0, nodesReadTime / 2, false, false, true},
		{"a standby", true, policy.Standbys, time.Second, false, false, false},
		{"another node", true, policy.Standbys + 1, time.Second, false, false, true},
		{"the leader", true, policy.Standbys + 1, time.Second, false, true, false},
		{"another node without a leader for long", true, policy.Standbys + 1, policy.FirstFeedWait, false, false, false},
		{"another node with requests", true, policy.Standbys + 1, time.Second, true, false, false},
		{"a restarted node", false, policy.Standbys + 1, 0, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode()
			n.settings.IsFirstStart = c.firstStart
			for i := range c.larger {
				n.peers.recordNode(NodeEntry{Name: string(rune('a' + i)), Address: testAddress(2 + i).String(), Capacity: 2})
			}
			n.peers.hasRequests = c.hasRequests
			n.peers.setLeader(c.leading)
			NewWithT(t).Expect(n.leavesListToLeader(n.started.Add(c.after))).To(Equal(c.waits))
		})
	}
}
