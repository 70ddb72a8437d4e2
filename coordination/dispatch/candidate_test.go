package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// config returns a catalog with a plain service and a service with groups of two.
func config() *catalog.Catalog {
	engine := &catalog.Engine{Slots: 10, Models: []catalog.Model{{Name: "m", Size: 2, Pace: 1}}}
	return catalog.New(1, nil, []catalog.Service{{Name: "plain"}, {Name: "lm", Engine: engine}}, nil, catalog.Limits{})
}

// plain returns an instance of the plain service.
func plain(id string) roster.View {
	return roster.View{Instance: fleet.Instance{ID: state.InstanceID(id), Service: "plain", Slots: 4, Hall: "h"}}
}

// member returns a member of group g at a rank.
func member(id string, rank int, s fleet.MemberState) roster.View {
	return roster.View{Instance: fleet.Instance{
		ID: state.InstanceID(id), Service: "lm", Model: "m", Hall: "h",
		Membership: fleet.Membership{Group: "g", Epoch: 3, Rank: rank, State: s},
	}}
}

// start is the current time in the tests.
var start = time.Unix(1000, 0)

// nobody excludes no candidate.
func nobody(*dispatch.Candidate) bool { return false }

func TestOnlySoundTargetsAreCandidates(t *testing.T) {
	with := func(v roster.View, change func(*roster.View)) roster.View {
		change(&v)
		return v
	}
	for _, c := range []struct {
		name    string
		service state.ServiceName
		views   []roster.View
		avoided bool
		found   bool
	}{
		{"a plain instance", "plain", []roster.View{plain("a")}, false, true},
		{"a draining instance", "plain", []roster.View{with(plain("a"), func(v *roster.View) { v.Draining = true })}, false, false},
		{"an unreachable instance", "plain", []roster.View{with(plain("a"), func(v *roster.View) { v.Lost = true })}, false, false},
		{"an open group with all members", "lm", []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready)}, false, true},
		{"a group that is not open", "lm", []roster.View{member("a", 0, fleet.Ready), member("b", 1, fleet.Ready)}, false, false},
		{"a group that lacks a member", "lm", []roster.View{member("a", 0, fleet.Open)}, false, false},
		{"a group with an unreachable member", "lm",
			[]roster.View{member("a", 0, fleet.Open), with(member("b", 1, fleet.Ready), func(v *roster.View) { v.Lost = true })}, false, false},
		{"a group with a draining head", "lm",
			[]roster.View{with(member("a", 0, fleet.Open), func(v *roster.View) { v.Draining = true }), member("b", 1, fleet.Ready)}, false, false},
		{"an excluded group", "lm", []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready)}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := dispatch.NewTable("h", dispatch.DefaultPolicy())
			table.Update(config(), c.views, func(fleet.GroupKey) bool { return c.avoided })
			model := ""
			if c.service == "lm" {
				model = "m"
			}
			NewWithT(t).Expect(table.Pick(c.service, model, start, nobody) != nil).To(Equal(c.found))
		})
	}
}

func TestTheLeastLoadedIsPickedOverWhatAllNodesHold(t *testing.T) {
	g := NewWithT(t)
	table := dispatch.NewTable("h", dispatch.DefaultPolicy())
	table.Update(config(), []roster.View{plain("a"), plain("b")}, func(fleet.GroupKey) bool { return false })
	table.SetOthers(map[state.InstanceID]int{"a": 3}, nil, nil)
	for range 20 {
		g.Expect(table.Pick("plain", "", start, nobody).ID).To(Equal(state.InstanceID("b")))
	}
	held := table.Pick("plain", "", start, nobody)
	for range 4 {
		held.Hold(0, start)
	}
	g.Expect(table.Held()).To(Equal(map[state.InstanceID]int{"b": 4}))
	for range 20 {
		g.Expect(table.Pick("plain", "", start, nobody).ID).To(Equal(state.InstanceID("a")))
	}
}

func TestAGroupIsFullBelowItsPlaces(t *testing.T) {
	g := NewWithT(t)
	table := dispatch.NewTable("h", dispatch.DefaultPolicy())
	table.Update(config(), []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready)}, func(fleet.GroupKey) bool { return false })
	head := table.Pick("lm", "m", start, nobody)
	for range 8 {
		head.Hold(0, start)
	}
	g.Expect(head.Full(start)).To(BeFalse())
	last := head.Hold(0, start)
	g.Expect(head.Full(start)).To(BeTrue())
	last.End()
	g.Expect(head.Full(start)).To(BeFalse())
}

// With stale load data, requests go to every candidate that becomes the cheapest
// within the horizon, in proportion to its share, and to none that stays more expensive.
func TestComingRequestsAreSpread(t *testing.T) {
	g := NewWithT(t)
	policy := dispatch.DefaultPolicy()
	policy.SpreadHorizon = 250 * time.Millisecond
	table := dispatch.NewTable("h", policy)
	table.Update(config(), []roster.View{plain("a"), plain("b"), plain("c")}, func(fleet.GroupKey) bool { return false })
	asked := []demand.Flow{{Service: "plain", Requests: 16}} // four within the horizon
	table.SetOthers(map[state.InstanceID]int{"b": 2, "c": 9}, asked, nil)
	const draws = 6000
	got := map[state.InstanceID]int{}
	for range draws {
		got[table.Pick("plain", "", start, nobody).ID]++
	}
	g.Expect(got["c"]).To(BeZero())
	g.Expect(got["a"]).To(BeNumerically("~", 3*draws/4, draws/20))
	g.Expect(got["b"]).To(BeNumerically("~", draws/4, draws/20))
}

func TestAFullGroupIsPickedOnlyWhereAllAre(t *testing.T) {
	g := NewWithT(t)
	table := dispatch.NewTable("h", dispatch.DefaultPolicy())
	other := member("c", 0, fleet.Open)
	other.Membership.Group = "h"
	mate := member("d", 1, fleet.Ready)
	mate.Membership.Group = "h"
	table.Update(config(), []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready), other, mate}, func(fleet.GroupKey) bool { return false })
	asked := []demand.Flow{{Service: "lm", Model: "m", Requests: 1000}}
	table.SetOthers(map[state.InstanceID]int{"a": 9, "c": 5}, asked, nil)
	for range 50 {
		g.Expect(table.Pick("lm", "m", start, nobody).ID).To(Equal(state.InstanceID("c")))
	}
	table.SetOthers(map[state.InstanceID]int{"a": 9, "c": 9}, asked, nil)
	g.Expect(table.Pick("lm", "m", start, nobody).Full(start)).To(BeTrue())
}
