package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/schedule"
)

// distantHalls decodes every record as a configuration with an engine service and a delay between halls.
type distantHalls struct{ delay time.Duration }

func (d distantHalls) Catalog([]byte) (*catalog.Catalog, error) {
	engine := &catalog.Engine{
		BatchSlots: 8, StepTime: time.Millisecond, StepsPerPass: 5, PrefillTokensPerSecond: 1000, PromptTokensPerPass: 2000, Models: []catalog.Model{{Name: "m", GroupSize: 1}},
		Delays: []catalog.HallDelay{{From: "hall", To: "other", Delay: d.delay}},
	}
	return catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{}), nil
}

func (distantHalls) Instance(string, []byte) (fleet.Instance, error) { return fleet.Instance{}, nil }

// schedulingNode returns a node that is not running, in a deployment with a delay between halls.
func schedulingNode(g *WithT, delay time.Duration) *Node {
	set := &Settings{Name: "own", Hall: "hall", PeerAddress: testAddress(1), Capacity: 1, MaxKeyAge: time.Second, Policy: DefaultPolicy()}
	n := New(set, Ports{Decoder: distantHalls{delay}}, clockwork.NewRealClock(), &log.Logger{Handler: discard.New()})
	g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
	return n
}

// requestForPool is a request of a caller.
func requestForPool() *scheduling.Request {
	return &scheduling.Request{Pool: scheduling.Pool{Service: "lm", Model: "m"}, PromptTokens: 10, Goal: time.Second, TimeLeft: time.Second}
}

// idleGroup is a group without requests.
var idleGroup = []scheduling.Snapshot{{
	Pool: scheduling.Pool{Service: "lm", Model: "m"}, ReportInterval: time.Second, Groups: []scheduling.Group{{Head: "head", Hall: "hall", Slots: 8, Engine: scheduling.Engine{PrefillTimePerToken: time.Millisecond}}},
}}

// leaderServer starts a server in the place of the leader and has the node take it for the leader.
func leaderServer(t *testing.T, n *Node, h http.Handler) {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	n.peers.setLastLeader(srv.Listener.Addr().String())
}

// Guards against callers that wait for a leader which is gone, hangs, does not lead any more or has an earlier build: the
// node picks a group itself, at once after the first failure.
func TestNodePicksGroupsItselfWithoutAnswerOfTheLeader(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(t *testing.T, n *Node)
	}{
		{"no leader is known", func(*testing.T, *Node) {}},
		{"the leader is gone", func(_ *testing.T, n *Node) { n.peers.setLastLeader("127.0.0.1:1") }},
		{"the leader hangs", func(t *testing.T, n *Node) {
			ended := make(chan struct{})
			leaderServer(t, n, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
			t.Cleanup(func() { close(ended) })
		}},
		{"the leader has an earlier build", func(t *testing.T, n *Node) { leaderServer(t, n, http.NotFoundHandler()) }},
		{"the leader does not lead any more", func(t *testing.T, n *Node) {
			other := schedulingNode(NewWithT(t), 2*time.Millisecond)
			leaderServer(t, n, schedule.NewHandler(other.schedules))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := schedulingNode(g, 2*time.Millisecond)
			c.serve(t, n)
			_, ok := n.schedules.Schedule(context.Background(), requestForPool())
			g.Expect(ok).To(BeFalse())
			began := time.Now()
			for range 20 {
				_, ok = n.schedules.Schedule(context.Background(), requestForPool())
				g.Expect(ok).To(BeFalse())
			}
			g.Expect(time.Since(began)).To(BeNumerically("<", n.schedules.policy.Timeout))
		})
	}
}

// Guards against a leader whose decisions do not reach other nodes as it made them.
func TestLeaderSchedulesRequestsOfOtherNodes(t *testing.T) {
	g := NewWithT(t)
	leader, n := schedulingNode(g, 2*time.Millisecond), schedulingNode(g, 2*time.Millisecond)
	leader.peers.isLeader = true
	leader.schedules.scheduler.Update(idleGroup, leader.clock.Now())
	leaderServer(t, n, schedule.NewHandler(leader.schedules))
	d, ok := n.schedules.Schedule(context.Background(), requestForPool())
	g.Expect(ok).To(BeTrue())
	g.Expect(d.Instance).To(BeEquivalentTo("head"))
	long := requestForPool()
	long.PromptTokens = 100000
	_, ok = n.schedules.Schedule(context.Background(), long)
	g.Expect(ok).To(BeTrue())
	d, ok = n.schedules.Schedule(context.Background(), requestForPool())
	g.Expect(ok).To(BeTrue())
	g.Expect(d.Refused).To(BeTrue())
	g.Expect(d.Reason).To(Equal(scheduling.WaitTooLong))
	g.Expect(d.RetryAfter).To(BeNumerically(">", 0))
	d, ok = leader.schedules.Schedule(context.Background(), requestForPool())
	g.Expect(ok).To(BeTrue(), "the leader schedules its own callers' requests, too")
	g.Expect(d.Refused).To(BeTrue())
}

// Guards against a change of deployments whose configuration states no long delays between halls.
func TestRequestsAreScheduledOnlyWhereHallsAreFarApart(t *testing.T) {
	for _, c := range []struct {
		name      string
		delay     time.Duration
		scheduled bool
	}{
		{"no delay stated", 0, false},
		{"halls of one site", 500 * time.Microsecond, false},
		{"distant halls", 1400 * time.Microsecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := schedulingNode(g, c.delay)
			g.Expect(n.schedules.Schedules("lm")).To(Equal(c.scheduled))
			g.Expect(n.schedules.Schedules("unknown")).To(BeFalse())
		})
	}
}
