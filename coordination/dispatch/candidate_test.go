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

// testCatalog returns a catalog with a plain service and a service with groups of two.
func testCatalog() *catalog.Catalog {
	engine := &catalog.Engine{BatchSlots: 10, Models: []catalog.Model{{Name: "m", GroupSize: 2, TimeFactor: 1}}}
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

// excludeNone excludes no candidate.
func excludeNone(*dispatch.Candidate) bool { return false }

func TestPickSkipsUnavailableTargets(t *testing.T) {
	with := func(v roster.View, change func(*roster.View)) roster.View {
		change(&v)
		return v
	}
	for _, c := range []struct {
		name     string
		service  state.ServiceName
		views    []roster.View
		excluded bool
		found    bool
	}{
		{"a plain instance", "plain", []roster.View{plain("a")}, false, true},
		{"a draining instance", "plain", []roster.View{with(plain("a"), func(v *roster.View) { v.Draining = true })}, false, false},
		{"an unreachable instance", "plain", []roster.View{with(plain("a"), func(v *roster.View) { v.Unreachable = true })}, false, false},
		{"an open group with all members", "lm", []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready)}, false, true},
		{"a group that is not open", "lm", []roster.View{member("a", 0, fleet.Ready), member("b", 1, fleet.Ready)}, false, false},
		{"a group that lacks a member", "lm", []roster.View{member("a", 0, fleet.Open)}, false, false},
		{"a group with an unreachable member", "lm",
			[]roster.View{member("a", 0, fleet.Open), with(member("b", 1, fleet.Ready), func(v *roster.View) { v.Unreachable = true })}, false, false},
		{"a group with a draining head", "lm",
			[]roster.View{with(member("a", 0, fleet.Open), func(v *roster.View) { v.Draining = true }), member("b", 1, fleet.Ready)}, false, false},
		{"an excluded group", "lm", []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready)}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := dispatch.NewTable("h", dispatch.DefaultPolicy())
			table.Update(testCatalog(), c.views, func(fleet.GroupKey) bool { return c.excluded })
			model := ""
			if c.service == "lm" {
				model = "m"
			}
			NewWithT(t).Expect(table.Pick(c.service, model, start, excludeNone) != nil).To(Equal(c.found))
		})
	}
}

// A node that reaches no instance must be able to tell that from a service without any.
func TestUnreachableCandidatesAreCounted(t *testing.T) {
	unreachable := func(v roster.View, unlisted bool) roster.View {
		v.Unreachable, v.Unlisted = true, unlisted
		return v
	}
	for _, c := range []struct {
		name     string
		service  state.ServiceName
		views    []roster.View
		excluded bool
		count    int
	}{
		{"a reachable instance", "plain", []roster.View{plain("a")}, false, 0},
		{"an unreachable instance", "plain", []roster.View{unreachable(plain("a"), false)}, false, 1},
		{"an unreachable instance that is no longer listed", "plain", []roster.View{unreachable(plain("a"), true)}, false, 0},
		{"a group with an unreachable head", "lm", []roster.View{unreachable(member("a", 0, fleet.Open), false), member("b", 1, fleet.Ready)}, false, 1},
		{"a group with an unreachable member", "lm", []roster.View{member("a", 0, fleet.Open), unreachable(member("b", 1, fleet.Ready), false)}, false, 1},
		{"a group with an ended member", "lm", []roster.View{member("a", 0, fleet.Open), unreachable(member("b", 1, fleet.Ready), true)}, false, 0},
		{"a group that lacks a member", "lm", []roster.View{unreachable(member("a", 0, fleet.Open), false)}, false, 0},
		{"an excluded group", "lm", []roster.View{unreachable(member("a", 0, fleet.Open), false), member("b", 1, fleet.Ready)}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := dispatch.NewTable("h", dispatch.DefaultPolicy())
			d := table.Update(testCatalog(), c.views, func(fleet.GroupKey) bool { return c.excluded })
			model := ""
			if c.service == "lm" {
				model = "m"
			}
			g.Expect(table.Unreachable(c.service, model)).To(Equal(c.count))
			g.Expect(d.Unreachable).To(Equal(c.count))
			g.Expect(d.Excluded == 1).To(Equal(c.excluded))
		})
	}
}

func TestPickPrefersLeastLoadedAcrossNodes(t *testing.T) {
	g := NewWithT(t)
	table := dispatch.NewTable("h", dispatch.DefaultPolicy())
	table.Update(testCatalog(), []roster.View{plain("a"), plain("b")}, func(fleet.GroupKey) bool { return false })
	table.UpdateLoad(map[state.InstanceID]int{"a": 3}, nil, nil)
	for range 20 {
		g.Expect(table.Pick("plain", "", start, excludeNone).ID).To(Equal(state.InstanceID("b")))
	}
	picked := table.Pick("plain", "", start, excludeNone)
	for range 4 {
		picked.BeginRequest(0, start)
	}
	g.Expect(table.InFlight()).To(Equal(map[state.InstanceID]int{"b": 4}))
	for range 20 {
		g.Expect(table.Pick("plain", "", start, excludeNone).ID).To(Equal(state.InstanceID("a")))
	}
}

func TestGroupIsFullBelowItsSlots(t *testing.T) {
	g := NewWithT(t)
	table := dispatch.NewTable("h", dispatch.DefaultPolicy())
	table.Update(testCatalog(), []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready)}, func(fleet.GroupKey) bool { return false })
	head := table.Pick("lm", "m", start, excludeNone)
	for range 8 {
		head.BeginRequest(0, start)
	}
	g.Expect(head.IsFull(start)).To(BeFalse())
	last := head.BeginRequest(0, start)
	g.Expect(head.IsFull(start)).To(BeTrue())
	last.End()
	g.Expect(head.IsFull(start)).To(BeFalse())
}

// With stale load data, requests go to every candidate that becomes the cheapest
// within the horizon, in proportion to its share, and to none that stays more expensive.
func TestPickSpreadsExpectedArrivals(t *testing.T) {
	g := NewWithT(t)
	policy := dispatch.DefaultPolicy()
	policy.SpreadHorizon = 250 * time.Millisecond
	table := dispatch.NewTable("h", policy)
	table.Update(testCatalog(), []roster.View{plain("a"), plain("b"), plain("c")}, func(fleet.GroupKey) bool { return false })
	total := []demand.Flow{{Service: "plain", Requests: 16}} // four within the horizon
	table.UpdateLoad(map[state.InstanceID]int{"b": 2, "c": 9}, total, nil)
	const draws = 6000
	picks := map[state.InstanceID]int{}
	for range draws {
		picks[table.Pick("plain", "", start, excludeNone).ID]++
	}
	g.Expect(picks["c"]).To(BeZero())
	g.Expect(picks["a"]).To(BeNumerically("~", 3*draws/4, draws/20))
	g.Expect(picks["b"]).To(BeNumerically("~", draws/4, draws/20))
}

// Without admission, the limit on slots alone decides, whatever the demand.
func TestFullGroupIsPickedOnlyIfAllAreFull(t *testing.T) {
	g := NewWithT(t)
	policy := dispatch.DefaultPolicy()
	policy.Admission.Enabled = false
	table := dispatch.NewTable("h", policy)
	otherHead := member("c", 0, fleet.Open)
	otherHead.Membership.Group = "h"
	otherMember := member("d", 1, fleet.Ready)
	otherMember.Membership.Group = "h"
	table.Update(testCatalog(), []roster.View{member("a", 0, fleet.Open), member("b", 1, fleet.Ready), otherHead, otherMember}, func(fleet.GroupKey) bool { return false })
	total := []demand.Flow{{Service: "lm", Model: "m", Requests: 1000}}
	table.UpdateLoad(map[state.InstanceID]int{"a": 9, "c": 5}, total, nil)
	for range 50 {
		g.Expect(table.Pick("lm", "m", start, excludeNone).ID).To(Equal(state.InstanceID("c")))
	}
	table.UpdateLoad(map[state.InstanceID]int{"a": 9, "c": 9}, total, nil)
	g.Expect(table.Pick("lm", "m", start, excludeNone).IsFull(start)).To(BeTrue())
}

func TestUpdateReturnsWhatChanged(t *testing.T) {
	key := fleet.GroupKey{Group: "g", Epoch: 3}
	a, head, second := plain("a"), member("b", 0, fleet.Open), member("c", 1, fleet.Ready)
	plainKey, groupKey := dispatch.CandidateKey{Instance: "a"}, dispatch.CandidateKey{Instance: "b", Group: key}
	for _, c := range []struct {
		name           string
		before, after  []roster.View
		added, removed []dispatch.CandidateKey
	}{
		{"nothing", []roster.View{a, head, second}, []roster.View{a, head, second}, nil, nil},
		{"a new instance and a new group", nil, []roster.View{a, head, second}, []dispatch.CandidateKey{plainKey, groupKey}, nil},
		{"a lost member", []roster.View{a, head, second}, []roster.View{a, head}, nil, []dispatch.CandidateKey{groupKey}},
		{"a lost instance", []roster.View{a, head, second}, []roster.View{head, second}, nil, []dispatch.CandidateKey{plainKey}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := dispatch.NewTable("h", dispatch.DefaultPolicy())
			includeAll := func(fleet.GroupKey) bool { return false }
			table.Update(testCatalog(), c.before, includeAll)
			d := table.Update(testCatalog(), c.after, includeAll)
			g.Expect(d.Added).To(ConsistOf(c.added))
			g.Expect(d.Removed).To(ConsistOf(c.removed))
		})
	}
}
