package entry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
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

// reportOf returns a status report of a process of node "b".
func reportOf(process int64, awaits bool, retries int) *StatusReport {
	w := &StatusReport{From: NodeEntry{Name: "b", Address: "127.0.0.1:9"}, Process: process, AwaitsRetries: awaits}
	if retries > 0 {
		w.RetryUse = map[state.ServiceName]RetryUse{"s": {Attempts: 100, Retries: retries}}
	}
	return w
}

// Only the leader that the ended process reported to knows what it had used.
func TestLeaderTellsNewProcessWhatThePreviousOneUsed(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []*StatusReport
		// ledFor is how long the node has led, in place of an hour.
		ledFor time.Duration
		after  time.Duration
		told   bool
	}{
		{"a process that ended just before", []*StatusReport{reportOf(1, false, 7), reportOf(2, true, 0)}, time.Hour, time.Second, true},
		{"a late report of the ended process", []*StatusReport{reportOf(1, false, 7), reportOf(2, true, 0), reportOf(1, false, 7), reportOf(2, true, 0)}, time.Hour, time.Second, true},
		{"a process that ended long before", []*StatusReport{reportOf(1, false, 7), reportOf(2, true, 0)}, time.Hour, 11 * time.Second, false},
		{"a leader that took over since", []*StatusReport{reportOf(1, false, 7), reportOf(2, true, 0)}, 500 * time.Millisecond, time.Second, false},
		{"a process of an earlier build", []*StatusReport{reportOf(0, false, 0), reportOf(2, true, 0)}, time.Hour, time.Second, false},
		{"no process before", []*StatusReport{reportOf(2, true, 0)}, time.Hour, time.Second, false},
		{"a process that knows", []*StatusReport{reportOf(1, false, 7), reportOf(2, false, 0)}, time.Hour, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := numbered(g, "leader", 1)
			n.gateway.SetRetryBounds(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
			now := n.clock.Now()
			n.peers.setLeader(true)
			n.peers.leaderSince = now.Add(-c.ledFor)
			var a StatusAnswer
			for i, w := range c.reports {
				at := now
				if i == 0 && len(c.reports) > 1 {
					at = now.Add(-c.after)
				}
				a = StatusAnswer{}
				n.peers.mu.Lock()
				n.peers.recordRetryUse(w, at)
				n.peers.mu.Unlock()
				n.peers.addPredecessor(&a, w, at)
			}
			if !c.told {
				g.Expect(a.Predecessor).To(BeNil())
				return
			}
			g.Expect(a.Predecessor.RetryUse["s"].Retries).To(Equal(7))
			g.Expect(a.Predecessor.AgeMS).To(Equal(c.after.Milliseconds()))
		})
	}
}

func TestNewProcessInheritsTheRetryBudget(t *testing.T) {
	g := NewWithT(t)
	n := numbered(g, "b", 2)
	now := n.clock.Now()
	n.gateway.SetRetryBounds(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
	w := n.peers.statusReport()
	g.Expect(w.AwaitsRetries).To(BeTrue())
	g.Expect(w.Process).NotTo(BeZero())
	n.inheritRetries(&PredecessorReport{RetryUse: map[state.ServiceName]RetryUse{"s": {Attempts: 100, Retries: 7}}, AgeMS: 1000})
	w = n.peers.statusReport()
	g.Expect(w.AwaitsRetries).To(BeFalse())
	g.Expect(w.RetryUse["s"].Retries).To(Equal(7), "the next process inherits it, too")
	g.Expect(n.gateway.RetryBudgets(now)["s"].Attempts).To(Equal(100))
}

// A process that was killed soon after its start knew nothing of the one before it, whose retries still count. Its successor
// took its count for complete, and used a whole share again: 603 retries arrived where 559 were allowed.
func TestCountOfProcessKilledTwiceIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	leader, first := numbered(g, "leader", 1), numbered(g, "b", 2)
	second := numbered(g, "b", 2)
	for _, n := range []*Node{leader, first, second} {
		n.gateway.SetRetryBounds(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
	}
	leader.peers.setLeader(true)
	leader.peers.leaderSince = leader.clock.Now().Add(-time.Hour)
	tell := func(n *Node) *StatusAnswer {
		w := n.peers.statusReport()
		var a StatusAnswer
		leader.peers.mu.Lock()
		leader.peers.recordRetryUse(w, leader.clock.Now())
		leader.peers.mu.Unlock()
		leader.peers.addPredecessor(&a, w, leader.clock.Now())
		return &a
	}
	advance := func(d time.Duration) {
		for _, n := range []*Node{leader, first, second} {
			n.clock.(*clockwork.FakeClock).Advance(d)
		}
	}
	g.Expect(tell(first).Predecessor).To(BeNil())
	advance(3 * time.Second)
	tell(first)
	answer := tell(second)
	g.Expect(answer.Predecessor.CountsForMS).To(BeEquivalentTo(3000))
	second.inheritRetries(answer.Predecessor)
	g.Expect(second.peers.statusReport().AwaitsRetries).To(BeFalse(), "it is told once")
	g.Expect(second.gateway.IsRetryWithheld(second.clock.Now())).To(BeTrue())
	advance(6 * time.Second)
	g.Expect(second.gateway.IsRetryWithheld(second.clock.Now())).To(BeTrue())
	advance(2 * time.Second)
	g.Expect(second.gateway.IsRetryWithheld(second.clock.Now())).To(BeFalse())
}
