package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// newProbingNode returns a node that knows one instance and probes it through targets.
func newProbingNode(name string, clock clockwork.Clock, targets TargetClient) *Node {
	set := &Settings{Name: name, Hall: "hall", PeerAddress: testAddress(1), Policy: DefaultPolicy()}
	n := New(set, Ports{Decoder: anyConfiguration{}, Target: targets}, clock, &log.Logger{Handler: discard.New()})
	n.roster.ApplyFreshEntry(fleet.Instance{ID: "i", Service: "lm", Address: testAddress(9), Hall: "far"}, clock.Now())
	return n
}

// A leader must not dissolve a group because it alone does not reach one of its members.
func TestLeaderUsesIndirectProbes(t *testing.T) {
	group := fleet.Membership{Group: "g", Epoch: 7, State: fleet.Open}
	for _, c := range []struct {
		name string
		// answering are the instances that answer the other node's probes.
		answering []state.InstanceID
		// supportsIndirect is set if the other node supports indirect probes: earlier builds do not.
		supportsIndirect bool
		lost, far        bool
	}{
		{"another node reaches it", []state.InstanceID{"i"}, true, false, true},
		{"no other node reaches it", nil, true, true, false},
		{"the other node is of an earlier build", []state.InstanceID{"i"}, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			leader := newProbingNode("leader", clock, halls{})
			other := newProbingNode("other", clock, halls{answering: c.answering, proofs: proofs{rep: fleet.Report{Membership: group}}})
			mux := http.NewServeMux()
			if c.supportsIndirect {
				mux.Handle(indirectProbeProcedure, connect.NewUnaryHandler(indirectProbeProcedure, other.peers.handleIndirectProbe, connect.WithCodec(peer.JSONCodec{})))
			}
			srv := httptest.NewServer(mux)
			defer srv.Close()
			entry := NodeEntry{Name: "other", Address: strings.TrimPrefix(srv.URL, "http://")}
			leader.peers.statusReports["other"] = receivedReport{report: StatusReport{From: entry}, receivedAt: clock.Now()}
			in := leader.instance("i")
			for range 3 {
				clock.Advance(leader.policy.ProbeInterval)
				leader.placement.probeWithPeers(t.Context(), in, clock.Now())
			}
			m := leader.roster.Members("lm", clock.Now(), clock.Now())[0]
			g.Expect(m.Lost).To(Equal(c.lost))
			g.Expect(m.Far).To(Equal(c.far))
			if c.far {
				g.Expect(m.Membership).To(Equal(group), "the membership should come from the report to the other node")
			}
		})
	}
}

// A node that is not the leader uses an instance again that it could not reach.
func TestNodeProbesUnreachableInstance(t *testing.T) {
	for _, c := range []struct {
		name        string
		answering   []state.InstanceID
		unreachable bool
	}{
		{"the instance answers again", []state.InstanceID{"i"}, false},
		{"the instance stays silent", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			n := newProbingNode("follower", clock, halls{answering: c.answering})
			n.roster.RecordFailure("i", clock.Now())
			n.roster.RecordFailure("i", clock.Now().Add(DefaultPolicy().Roster.MinProbeSpacing))
			clock.Advance(DefaultPolicy().Roster.RetryInterval + time.Second)
			done := n.probeUnreachable()
			done.Wait()
			v, _ := n.roster.Get("i", clock.Now())
			g.Expect(v.Unreachable).To(Equal(c.unreachable))
		})
	}
}
