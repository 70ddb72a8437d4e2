package roster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/roster"
	_ "github.com/troutmast/troutmast/internal/fixedseed"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// A node rebuilds its candidates only if the version or the timed states of the roster change. The result of All
// must therefore not change while both stay the same.
func TestVersionAndTimedStatesCoverAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		r := newRoster()
		now := start
		version, timed, views := r.Version(), r.TimedStates(now), r.All(now)
		for step := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
			id := state.InstanceID(fmt.Sprint("i", rapid.IntRange(1, 4).Draw(t, "instance")))
			switch rapid.SampledFrom([]string{"time", "list", "unlist", "fail", "answer", "leave", "replace", "plan"}).Draw(t, "event") {
			case "list":
				r.ApplyFreshEntry(fleet.Instance{ID: id, Service: "lm", Position: int64(10 + step)}, now)
			case "unlist":
				r.MarkUnlisted(id, int64(10+step), now)
			case "fail":
				r.RecordFailure(id, now)
			case "answer":
				r.RecordResponse(id, now)
			case "leave":
				r.MarkLeaving(fleet.Incarnation{ID: id})
			case "replace":
				r.RecordReplaced(id, now)
			case "plan":
				r.Members("lm", time.Time{}, now)
			}
			nextVersion, nextTimed, nextViews := r.Version(), r.TimedStates(now), r.All(now)
			if version == nextVersion && timed == nextTimed {
				g.Expect(nextViews).To(HaveLen(len(views)))
				for i := range views {
					views[i].Position, nextViews[i].Position = 0, 0 // orders list entries and routes no request
				}
				g.Expect(nextViews).To(Equal(views))
			}
			version, timed, views = nextVersion, nextTimed, nextViews
		}
	})
}

func TestTimedStatesChangeWithTimeOnlyForUnlistedInstances(t *testing.T) {
	policy := roster.DefaultPolicy()
	for _, c := range []struct {
		name     string
		unlisted bool
		after    time.Duration
		changed  bool
	}{
		{"listed", false, time.Hour, false},
		{"just unlisted", true, policy.UnlistedGrace / 2, false},
		{"unlisted for a while", true, policy.UnlistedGrace + time.Millisecond, true},
		{"unlisted and silent", true, policy.UnlistedTimeout + time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			if c.unlisted {
				r.MarkUnlisted("i1", 6, start)
			}
			before := r.TimedStates(start)
			NewWithT(t).Expect(r.TimedStates(start.Add(c.after)) != before).To(Equal(c.changed))
		})
	}
}

// Get returned an instance that the list had dropped as if it were still in use.
func TestGetAndAllReturnTheSameState(t *testing.T) {
	for _, after := range []time.Duration{0, roster.DefaultPolicy().UnlistedGrace + time.Millisecond, roster.DefaultPolicy().UnlistedTimeout + time.Millisecond} {
		g := NewWithT(t)
		r := newRoster()
		r.MarkUnlisted("i1", 6, start)
		now := start.Add(after)
		v, known := r.Get("i1", now)
		g.Expect(known).To(BeTrue())
		g.Expect(v.Unlisted).To(BeTrue())
		g.Expect(v).To(Equal(r.All(now)[0]))
	}
}
