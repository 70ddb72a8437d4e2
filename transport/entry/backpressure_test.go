package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/internal/retryafter"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// noticing answers every probe and every order with the same notice and error, and counts the probes.
type noticing struct {
	notice fleet.Notice
	err    error
	asked  int
}

func (n *noticing) Report(context.Context, netip.AddrPort, state.InstanceID, ConnectionReuse) (fleet.Report, error) {
	n.asked++
	return fleet.Report{Notice: n.notice}, n.err
}

func (n *noticing) Order(context.Context, placement.Order) (OrderResult, error) {
	return OrderResult{Notice: n.notice, Reply: placement.Refused}, n.err
}

// observedNode is a node that knows one instance, with its clock and its log entries.
type observedNode struct {
	*Node
	in    fleet.Instance
	clock *clockwork.FakeClock
	logs  *memory.Handler
}

// observe returns a node that knows one instance, whose probes and orders targets answers.
func observe(targets TargetClient) *observedNode {
	clock, logs := clockwork.NewFakeClock(), memory.New()
	set := &Settings{Name: "own", PeerAddress: testAddress(1), HeartbeatInterval: time.Second, Policy: DefaultPolicy()}
	n := New(set, Ports{Decoder: anyConfiguration{}, Target: targets}, clock, &log.Logger{Handler: logs, Level: log.InfoLevel})
	in := fleet.Instance{ID: "i", Born: time.UnixMilli(5000).UTC(), Service: "lm", Address: testAddress(9)}
	n.roster.ApplyFreshEntry(in, clock.Now())
	return &observedNode{n, in, clock, logs}
}

// logged returns how many log entries have a message.
func (o *observedNode) logged(message string) int {
	n := 0
	for _, e := range o.logs.Entries {
		if e.Message == message {
			n++
		}
	}
	return n
}

func TestAnyAnswerMayCarryCooldownAndLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		call func(n *observedNode)
		err  error
	}{
		{"answer to a request", func(n *observedNode) {
			n.RecordNotice(&n.in, fleet.Notice{Cooldown: 3 * time.Second, Leaving: true}, "r1", time.Time{})
		}, nil},
		{"answer to a probe", func(n *observedNode) { n.probeAndRecord(context.Background(), n.in, n.clock.Now()) }, nil},
		{"answer to a probe that failed", func(n *observedNode) { n.probeAndRecord(context.Background(), n.in, n.clock.Now()) }, placement.ErrInvalidReport},
		{"answer to an order", func(n *observedNode) {
			n.placement.sendOrder(context.Background(), placement.Order{Instance: "i", Address: n.in.Address}, n.roster.BeginOrder("i"))
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := observe(&noticing{notice: fleet.Notice{Cooldown: 3 * time.Second, Leaving: true}, err: c.err})
			c.call(n)
			until, inCooldown := n.CooldownUntil(&n.in)
			g.Expect(inCooldown).To(BeTrue())
			g.Expect(until).To(Equal(n.clock.Now().Add(3 * time.Second)))
			g.Expect(n.IsLeaving(&n.in)).To(BeTrue())
			c.call(n)
			g.Expect(n.logged("cooldown began")).To(Equal(1))
			g.Expect(n.logged("instance leaving")).To(Equal(1))
			n.clock.Advance(3 * time.Second)
			n.logCooldowns()
			_, inCooldown = n.CooldownUntil(&n.in)
			g.Expect(inCooldown).To(BeFalse())
			g.Expect(n.logged("cooldown ended")).To(Equal(1))
			g.Expect(n.IsLeaving(&n.in)).To(BeTrue())
		})
	}
}

// Two probes are enough to find that an instance no longer answers. More of them would only keep
// it from recovering.
func TestInstanceInCooldownIsProbedAtMostTwice(t *testing.T) {
	for _, c := range []struct {
		name        string
		err         error
		unreachable bool
	}{
		{"instance answers", nil, false},
		{"instance does not answer", context.DeadlineExceeded, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			targets := &noticing{err: c.err}
			n := observe(targets)
			n.RecordNotice(&n.in, fleet.Notice{Cooldown: 3 * time.Second}, "r1", time.Time{})
			for range 20 {
				n.clock.Advance(100 * time.Millisecond)
				n.probeAndRecord(context.Background(), n.in, n.clock.Now())
			}
			g.Expect(targets.asked).To(Equal(2))
			v, _ := n.roster.Get("i", n.clock.Now())
			g.Expect(v.Unreachable).To(Equal(c.unreachable))
			n.clock.Advance(time.Second)
			n.probeAndRecord(context.Background(), n.in, n.clock.Now())
			g.Expect(targets.asked).To(Equal(3))
		})
	}
}

func TestUnreadableCooldownIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	for range 3 {
		n.RecordNotice(&n.in, fleet.Notice{CooldownFault: retryafter.ErrValue}, "r1", time.Time{})
	}
	_, inCooldown := n.CooldownUntil(&n.in)
	g.Expect(inCooldown).To(BeFalse())
	g.Expect(n.logged("cooldown not read")).To(Equal(1))
}

func TestLaterIncarnationIsNeitherInCooldownNorLeaving(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	n.RecordNotice(&n.in, fleet.Notice{Cooldown: time.Minute, Leaving: true}, "r1", time.Time{})
	next := n.in
	next.Born, next.Position = next.Born.Add(time.Second), next.Position+1
	n.roster.ApplyFreshEntry(next, n.clock.Now())
	_, inCooldown := n.CooldownUntil(&next)
	g.Expect(inCooldown).To(BeFalse())
	g.Expect(n.IsLeaving(&next)).To(BeFalse())
	n.RecordNotice(&n.in, fleet.Notice{Leaving: true}, "r2", time.Time{}) // a late answer of the earlier incarnation
	g.Expect(n.IsLeaving(&next)).To(BeFalse())
}

func TestOperatorListsInstancesInCooldown(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	n.RecordNotice(&n.in, fleet.Notice{Cooldown: 3 * time.Second}, "r1", time.Time{})
	n.clock.Advance(time.Second)
	mux := http.NewServeMux()
	n.registerOperatorHandlers(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/cooldowns", nil))
	var list []cooldownState
	g.Expect(json.Unmarshal(w.Body.Bytes(), &list)).To(Succeed())
	g.Expect(list).To(Equal([]cooldownState{{Instance: "i", SinceMS: 1000, LeftMS: 2000}}))
}

// One node receives the notice of an instance that it leaves. The leader hands its group over, and no
// node sends it further requests, whatever entry of the list the node has read.
func TestLeaveNoticeOfOneNodeReachesAllNodes(t *testing.T) {
	g := NewWithT(t)
	leader, a, b := numbered(g, "leader", 1), numbered(g, "a", 2), numbered(g, "b", 3)
	in := fleet.Instance{ID: "i", Born: time.UnixMilli(5000).UTC(), Service: "lm", Position: 5, Address: testAddress(9)}
	for _, n := range []*Node{leader, a, b} {
		n.roster.ApplyFreshEntry(in, n.clock.Now())
	}
	exchangeReport(g, b, leader)
	a.RecordNotice(&in, fleet.Notice{Leaving: true}, "r1", time.Time{})
	exchangeReport(g, a, leader)
	newer := in
	newer.Position = 7
	b.roster.ApplyFreshEntry(newer, b.clock.Now())
	leader.clock.(*clockwork.FakeClock).Advance(batchInterval) // the leader sends changes in batches
	exchangeReport(g, b, leader)
	for _, n := range []*Node{leader, a, b} {
		g.Expect(n.IsLeaving(&in)).To(BeTrue(), n.settings.Name)
		v, _ := n.roster.Get("i", n.clock.Now())
		g.Expect(v.Draining).To(BeTrue(), n.settings.Name)
	}
}
