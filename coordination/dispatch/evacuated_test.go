package dispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// excludeNoGroup excludes no group.
func excludeNoGroup(fleet.GroupKey) bool { return false }

// inHall returns a view of an instance in another hall.
func inHall(hall state.HallName, v roster.View) roster.View {
	v.Hall = hall
	return v
}

// Guards against requests to instances in evacuated halls, and against a model that nothing serves while the halls
// that remain are laid out anew.
func TestCandidatesLeaveOutEvacuatedHalls(t *testing.T) {
	group := func(hall state.HallName, name string) []roster.View {
		head, other := inHall(hall, member(name+"0", 0, fleet.Open)), inHall(hall, member(name+"1", 1, fleet.Ready))
		head.Membership.Group, other.Membership.Group = state.GroupName(name), state.GroupName(name)
		return []roster.View{head, other}
	}
	unreachable := inHall("x", plain("u"))
	unreachable.Unreachable = true
	for _, c := range []struct {
		name      string
		service   state.ServiceName
		views     []roster.View
		phase     evacuation.Phase
		want      []state.InstanceID
		evacuated int
	}{
		{"a plain instance in the hall", "plain", []roster.View{plain("a"), inHall("x", plain("b"))}, evacuation.Closed, []state.InstanceID{"a"}, 1},
		{"plain instances only in the hall", "plain", []roster.View{inHall("x", plain("b"))}, evacuation.Closed, nil, 1},
		{"plain instances only in the hall, just evacuated", "plain", []roster.View{inHall("x", plain("b"))}, evacuation.LastResort, nil, 1},
		{"an instance in the hall that the node does not reach", "plain", []roster.View{unreachable}, evacuation.Closed, nil, 0},
		{"a group elsewhere", "lm", append(group("h", "g"), group("x", "f")...), evacuation.LastResort, []state.InstanceID{"g0"}, 1},
		{"no group elsewhere, just evacuated", "lm", group("x", "f"), evacuation.LastResort, []state.InstanceID{"f0"}, 0},
		{"no group elsewhere", "lm", group("x", "f"), evacuation.Closed, nil, 1},
		{"a hall that is not evacuated", "lm", group("x", "f"), evacuation.Admitted, []state.InstanceID{"f0"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := dispatch.NewTable("h", dispatch.DefaultPolicy())
			table.SetEvacuated(evacuation.View{"x": c.phase})
			table.Update(testCatalog(), c.views, excludeNoGroup)
			model := ""
			if c.service == "lm" {
				model = "m"
			}
			var got []state.InstanceID
			for _, cand := range table.Candidates(c.service, model) {
				got = append(got, cand.ID)
			}
			g.Expect(got).To(ConsistOf(c.want))
			g.Expect(table.Evacuated(c.service, model)).To(Equal(c.evacuated))
			g.Expect(table.ImpairedPools()).To(BeEmpty(), "no other node serves them either")
			table.SetEvacuated(nil)
			table.Update(testCatalog(), c.views, excludeNoGroup)
			g.Expect(table.Evacuated(c.service, model)).To(BeZero())
			g.Expect(table.Candidates(c.service, model)).To(HaveLen(c.evacuated+len(c.want)), "after the hall is readmitted")
		})
	}
}
