package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/core"
)

// A completion ended three engines and was sent on, since two of the endings had been taken back: the
// node had found the engines gone, then a peer's report from before their end came, and was
// dated by the node's own newer question.
func TestAnOlderReportOfAPeerTakesNoEndingBack(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	n := &Node{Core: &core.Core{
		Clock: clock, Metrics: metrics.NewRegistry(), Evidence: evidence.NewTable(), Routing: routing.NewTable(), Places: core.NewPlaces(),
		Follower:   statelog.NewFollower(statelog.DefaultConfig(), nil, nil, clock),
		Quarantine: quarantine.NewLedger(quarantine.DefaultPolicy()),
	}}
	f := quarantine.NewFingerprint(quarantine.Content{Body: []byte("deadly")})
	observe := func(r evidence.Report, asked time.Time) {
		n.Evidence.Record(r, asked)
		n.observed(r)
	}
	for i := range quarantine.DefaultPolicy().Endings {
		id := state.InstanceID(fmt.Sprintf("gpu-%d", i))
		alive := evidence.Report{Instance: id, Incarnation: "first", Phase: evidence.PhaseReady}
		peerAsked := clock.Now()
		clock.Advance(time.Second)
		n.Quarantine.RecordInterruption(quarantine.Request{Fingerprint: f}, []fleet.Incarnation{{ID: id, Life: "first"}}, clock.Now().Add(-time.Millisecond), clock.Now())
		clock.Advance(time.Millisecond)
		observe(evidence.Report{Instance: id, Phase: evidence.PhaseDown}, clock.Now())
		observe(alive, peerAsked)
	}
	clock.Advance(time.Second)
	g.Expect(n.Quarantine.Verdict(f, clock.Now()).Quarantined(clock.Now())).To(BeTrue())
}
