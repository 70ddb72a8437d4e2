package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/state"
)

// A leader that has just taken over does not know what the one before it granted.
func TestLeaderGrantsRetriesOnceEarlierGrantsHaveExpired(t *testing.T) {
	for _, c := range []struct {
		name    string
		leads   bool
		ledFor  time.Duration
		granted int
	}{
		{"a leader for longer than a window", true, 13 * time.Second, 2},
		{"a new leader", true, 5 * time.Second, 0},
		{"no leader", false, 13 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := numbered(g, "leader", 1)
			n.gateway.SetRetryBounds(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
			now := n.clock.Now()
			n.peers.setLeader(c.leads)
			if c.leads {
				n.peers.retryGrants = retry.NewGrants(now.Add(-c.ledFor))
			}
			var a StatusAnswer
			n.peers.grantRetries(&a, &StatusReport{WantedRetries: map[state.ServiceName]int{"s": 2}}, now)
			g.Expect(a.GrantedRetries["s"]).To(Equal(c.granted))
		})
	}
}
