package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// probeCounter counts the probes of groups that a StallDetector requests.
type probeCounter struct{ probes int }

func (p *probeCounter) ProbeGroup(*dispatch.Candidate)           { p.probes++ }
func (*probeCounter) RecordResponse(state.InstanceID, time.Time) {}
func (*probeCounter) RecordFailure(state.InstanceID, time.Time)  {}
func (*probeCounter) RecordReplaced(state.InstanceID)            {}

// groupOfOne returns a candidate that is the head of a group of one member.
func groupOfOne(g *WithT) *dispatch.Candidate {
	engine := &catalog.Engine{BatchSlots: 22, Models: []catalog.Model{{Name: "m", GroupSize: 1}}}
	c := catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{})
	table := dispatch.NewTable("hall", dispatch.DefaultPolicy())
	head := fleet.Instance{ID: "head", Service: "lm", Model: "m", Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open}}
	table.Update(c, []roster.View{{Instance: head}}, func(fleet.GroupKey) bool { return false })
	list := table.Candidates("lm", "m")
	g.Expect(list).To(HaveLen(1))
	return list[0]
}

// callWith returns a call whose request may or may not be repeated.
func callWith(repeatable bool) *call {
	kind := catalog.Unsafe
	if repeatable {
		kind = catalog.Safe
	}
	return &call{route: &catalog.Route{Kind: kind, MaxAttempts: 2}}
}

// While groups are full, each node that had a waiting request probed all members of its group every 300 ms: 295 nodes sent
// 5,000 probes a second. A group is probed once its request waits longer than others do.
func TestWaitUnderLoadIsNoSignOfAStall(t *testing.T) {
	for _, c := range []struct {
		name       string
		usual      time.Duration
		waited     time.Duration
		wantProbes int
	}{
		{"light load, a short wait", 200 * time.Millisecond, 500 * time.Millisecond, 0},
		{"light load, a long wait", 200 * time.Millisecond, 700 * time.Millisecond, 1},
		{"full groups, a usual wait", 1500 * time.Millisecond, 2 * time.Second, 0},
		{"full groups, an unusual wait", 1500 * time.Millisecond, 3100 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock, health, policy := clockwork.NewFakeClock(), &probeCounter{}, DefaultPolicy()
			d := newStallDetector(clock, health, &policy)
			target := groupOfOne(g)
			for range 5 {
				a := d.add(callWith(true), target, clock.Now(), nil)
				clock.Advance(c.usual)
				d.recordData(a, clock.Now())
				d.remove(a)
			}
			d.add(callWith(true), target, clock.Now(), nil)
			clock.Advance(c.waited)
			d.Check()
			g.Expect(health.probes).To(Equal(c.wantProbes))
		})
	}
}

// An instance that is well may fall silent for a second and go on. A request that can't be repeated loses its answer if it is
// cancelled meanwhile, and gains nothing: it could not be sent elsewhere.
func TestShortPauseCancelsOnlyRepeatableRequests(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		silent     time.Duration
		cancelled  bool
	}{
		{"a repeatable request, a short pause", true, 600 * time.Millisecond, true},
		{"a request that can't be repeated, a short pause", false, 1200 * time.Millisecond, false},
		{"a request that can't be repeated, a long pause", false, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock, policy := clockwork.NewFakeClock(), DefaultPolicy()
			d := newStallDetector(clock, &probeCounter{}, &policy)
			ctx, cancel := context.WithCancelCause(t.Context())
			a := d.add(callWith(c.repeatable), groupOfOne(g), clock.Now(), cancel)
			clock.Advance(time.Second)
			d.recordData(a, clock.Now())
			clock.Advance(c.silent)
			d.CancelGroup("head")
			g.Expect(ctx.Err() != nil).To(Equal(c.cancelled))
		})
	}
}
