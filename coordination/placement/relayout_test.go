package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// sixteensAndFours is an engine whose large groups take the members of four small ones.
func sixteensAndFours() *catalog.Engine {
	return &catalog.Engine{
		Slots: 23, LoadsPerSecond: 25, LoadsAtOnce: 37, Form: form,
		Models: []catalog.Model{
			{Name: "large", Size: 16, Share: 0.5, Pace: 1, Load: 16 * time.Second, Warm: warm},
			{Name: "small", Size: 4, Share: 0.5, Pace: 0.6, Load: 12 * time.Second, Warm: warm},
		},
	}
}

// fours returns the members of some open groups of four in a domain, with some models on their hosts.
func fours(domain string, groups int, staged ...string) []placement.Member {
	var list []placement.Member
	for n := range groups {
		for rank := range 4 {
			m := free(state.InstanceID(fmt.Sprintf("%s-i%02d", domain, 4*n+rank)), "small", staged...)
			m.Domain, m.Loaded = domain, "small"
			m.Membership = fleet.Membership{
				Group: state.GroupName(fmt.Sprintf("%s-g%d", domain, n)), Epoch: state.Epoch(n+1) << 20, Rank: rank, State: fleet.Ready,
			}
			if rank == 0 {
				m.Membership.State = fleet.Open
			}
			list = append(list, m)
		}
	}
	return list
}

// closed returns the groups that a plan closes.
func closed(plan placement.Plan) []state.GroupName {
	var names []state.GroupName
	for _, o := range plan.Orders {
		if o.Action == placement.Close {
			names = append(names, o.Key.Group)
		}
	}
	slices.Sort(names)
	return names
}

// Callers of the model in groups of 16 waited in front of five groups all day,
// though nine were wanted: domains had been laid out in groups of 4 before
// traffic. For one group of 16, four of 4 must be closed at once, and no more than
// two were ever considered.
//
// Evidence: 148 instances wanted for each model, 80 in groups of 16 and 208 in
// groups of 4 from the first second to the last, and one group closed for its members.
func TestADomainOfSmallGroupsTurnsWhereLargeOnesAreMissing(t *testing.T) {
	for _, c := range []struct {
		name   string
		work   []float64
		closes int
	}{
		{"half of the work is the large model's", nil, 4},
		{"the small model is short of instances too", []float64{0, 300}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := placement.NewPlanner(sixteensAndFours(), placement.DefaultPolicy(), placement.NewEpochs(0, 1).Next)
			p.Work = c.work
			members := func() []placement.Member { return fours("d", 9, "large", "small") }
			old := stagingNow.Add(placement.DefaultPolicy().DonorAge)
			p.Step(stagingNow, members())
			p.Step(old, members())
			plan := p.Step(old.Add(time.Second), members())
			g.Expect(closed(plan)).To(HaveLen(c.closes))
		})
	}
}

// Fifteen members of a broken group of 16 lay free for 6 s after each change of the
// leader, while callers of their model were refused. The sixteenth member stood in a
// small group beside them; to the new leader all groups that it found were new, and
// none that is new is closed.
//
// Evidence: no group closed for want of gain from the takeover on, three of eight
// domains closing groups as soon as they had been known for 6 s.
func TestANewLeaderClosesGroupsThatItFound(t *testing.T) {
	g := NewWithT(t)
	members := fours("d", 5, "large", "small")
	for n := range 15 {
		members = append(members, free(state.InstanceID(fmt.Sprintf("z%02d", n)), "large", "small"))
	}
	p := placement.NewPlanner(sixteensAndFours(), placement.DefaultPolicy(), placement.NewEpochs(0, 1).Next)
	p.Work = []float64{80, 250}
	p.Step(stagingNow, members)
	known := stagingNow.Add(placement.DefaultPolicy().UnknownMemberTimeout)
	g.Expect(closed(p.Step(known.Add(-time.Second), members))).To(BeEmpty(), "not all members need be known yet")
	p.Step(known, members)
	g.Expect(closed(p.Step(known.Add(time.Second), members))).To(HaveLen(1))
}
