package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state/fleet"
)

// An instance that the leader cannot reach but other nodes can must not count as silent: otherwise
// the leader keeps requests away from, and in the end dissolves, its group while the group still serves the other nodes.
func TestInstanceReachedByOtherNodesIsFarNotSilent(t *testing.T) {
	failTwice := func(r *roster.Roster, now time.Time) {
		for i := range 2 {
			r.RecordFailure("i1", now.Add(time.Duration(i)*100*time.Millisecond))
		}
	}
	report := func(probedAt time.Time) fleet.Report { return fleet.Report{Membership: member, Asked: probedAt} }
	for _, c := range []struct {
		name        string
		apply       func(r *roster.Roster, now time.Time)
		silent, far bool
	}{
		{"it answers", func(r *roster.Roster, now time.Time) { r.RecordReport("i1", report(now)) }, false, false},
		{"no indirect probe yet", failTwice, false, true},
		{"another node reaches it", func(r *roster.Roster, now time.Time) {
			failTwice(r, now)
			r.RecordIndirectReport("i1", report(now.Add(200*time.Millisecond)), "b")
		}, false, true},
		{"no other node reaches it", func(r *roster.Roster, now time.Time) {
			failTwice(r, now)
			r.RecordIndirectFailure("i1", now.Add(200*time.Millisecond))
		}, true, false},
		{"another node reached it before, no node does now", func(r *roster.Roster, now time.Time) {
			failTwice(r, now)
			r.RecordIndirectReport("i1", report(now.Add(200*time.Millisecond)), "b")
			r.RecordIndirectFailure("i1", now.Add(700*time.Millisecond))
		}, true, false},
		{"no other node reached it before it last answered", func(r *roster.Roster, now time.Time) {
			r.RecordIndirectFailure("i1", now.Add(-time.Second))
			failTwice(r, now)
		}, false, true},
		{"it answers again", func(r *roster.Roster, now time.Time) {
			failTwice(r, now)
			r.RecordIndirectFailure("i1", now.Add(200*time.Millisecond))
			r.RecordReport("i1", report(now.Add(300*time.Millisecond)))
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cfg := roster.Config{HeartbeatInterval: 1200 * time.Millisecond, StallTimeout: 4 * time.Second, IndirectProbes: true, Policy: roster.DefaultPolicy()}
			r := roster.New(cfg)
			r.ApplyFreshEntry(free, start)
			r.RecordListRead(start)
			c.apply(r, start.Add(10*time.Millisecond))
			m := onlyMember(r, start.Add(800*time.Millisecond))
			g.Expect(m.Silent).To(Equal(c.silent))
			g.Expect(m.Lost).To(BeFalse(), "nothing shows that it has ended")
			g.Expect(m.Far).To(Equal(c.far))
		})
	}
}

func TestIndirectProbeInterval(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	interval := roster.DefaultPolicy().IndirectInterval
	now := start.Add(time.Second)
	g.Expect(r.IndirectProbeDue("i1", now)).To(BeFalse(), "it answers")
	r.RecordFailure("i1", now)
	g.Expect(r.IndirectProbeDue("i1", now)).To(BeTrue(), "it failed one probe")
	r.RecordIndirectFailure("i1", now)
	g.Expect(r.IndirectProbeDue("i1", now.Add(interval/2))).To(BeFalse(), "an indirect probe was just sent")
	g.Expect(r.IndirectProbeDue("i1", now.Add(interval))).To(BeTrue(), "the interval has passed")
	r.RecordReport("i1", fleet.Report{Asked: now.Add(10 * time.Millisecond)})
	r.RecordFailure("i1", now.Add(20*time.Millisecond))
	g.Expect(r.IndirectProbeDue("i1", now.Add(20*time.Millisecond))).To(BeTrue(), "it answered and then failed again")
}
