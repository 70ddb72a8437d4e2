package placement_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// cutOff makes the list and all targets of a domain unreachable for a node for a duration. The targets come back
// one after the other.
func (sim *simulation) cutOff(n *node, domain string, d time.Duration) {
	heal := sim.now.Add(d)
	n.isCutOff = true
	sim.schedule(d, func() { n.isCutOff = false })
	for i, id := range slices.Sorted(maps.Keys(sim.targets)) {
		if sim.targets[id].Domain == domain {
			sim.silence(n, id, heal.Add(time.Duration(i%5)*30*time.Millisecond))
		}
	}
}

// silence makes a target unreachable for a node until a time. A request of the node to it fails at once, as a
// caller's does.
func (sim *simulation) silence(n *node, id state.InstanceID, until time.Time) {
	sim.targets[id].unreachableUntil[n.number] = until
	n.roster.RecordFailure(id, sim.now)
}

// Guards against a leader that dissolves intact groups once a partition heals. A leader in a hall that was cut off
// found that no instance of the other halls answered. When they were back, it reached the members of each group
// one after the other, took the groups for broken and ordered the members that it reached to leave. All groups of
// two halls that had served all the while ended at once, with 125 streams on them.
func TestGroupsSurviveHealedPartition(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  time.Duration
	}{
		{"a short cut", 2 * time.Second},
		{"a cut of nearly the stall time", 3800 * time.Millisecond},
		{"a cut after which processes count as ended", 8 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(1, 2, 8, 1)
			sim.faultsEnabled = false
			sim.setLeading(sim.nodes[0], true)
			sim.run(10 * time.Second)
			before := sim.groupKeys()
			sim.cutOff(sim.nodes[0], "d1", c.cut)
			leaves := 0
			sim.onOrder = func(o placement.Order) {
				if t := sim.targets[o.Instance]; o.Action == placement.Leave && sim.reaches(sim.nodes[0], t) {
					leaves++
				}
			}
			sim.run(c.cut + 10*time.Second)
			g.Expect(sim.violations).To(BeEmpty())
			g.Expect(leaves).To(BeZero())
			g.Expect(sim.groupKeys()).To(Equal(before))
		})
	}
}

// A group is dissolved at once if a member has ended or its machine is gone, after the longest pause of a member that is well if it is silent while
// others answer, and after the return delay if it stays silent when the others are back.
func TestGroupWithLostMemberIsDissolved(t *testing.T) {
	pause := roster.DefaultPolicy().MaxSilence
	for _, c := range []struct {
		name      string
		cut       time.Duration
		dead      bool
		dark      bool
		kept      time.Duration
		dissolved time.Duration
	}{
		{"it refuses connections", 0, true, false, 0, 1500 * time.Millisecond},
		{"it accepts no connections", 0, true, true, 0, 1500 * time.Millisecond},
		{"it is silent", 0, false, false, pause - 200*time.Millisecond, pause + 500*time.Millisecond},
		{"it is silent after a partition", 2 * time.Second, false, false, 0, 3500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(1, 2, 8, 1)
			sim.faultsEnabled = false
			sim.setLeading(sim.nodes[0], true)
			sim.run(10 * time.Second)
			if c.cut > 0 {
				sim.cutOff(sim.nodes[0], "d1", c.cut)
			}
			lost := sim.memberOf("d1")
			sim.targets[lost].dead, sim.targets[lost].dark = c.dead, c.dark
			sim.silence(sim.nodes[0], lost, sim.now.Add(time.Hour))
			key := sim.targets[lost].Membership.Key()
			others := func() (left []state.InstanceID) {
				for id, t := range sim.targets {
					if t.Membership.Key() == key && id != lost {
						left = append(left, id)
					}
				}
				return left
			}
			before := len(others())
			sim.run(c.kept)
			g.Expect(others()).To(HaveLen(before), "the member may only be paused")
			sim.run(c.dissolved - c.kept)
			g.Expect(others()).To(BeEmpty())
		})
	}
}

// Guards against a leader that ends a group because a member pauses. All streams of a model were cut when the head of the only
// group paused for a second: half a second into the pause, the other members had been ordered to leave.
func TestGroupSurvivesPauseOfMember(t *testing.T) {
	for _, c := range []struct {
		name   string
		paused func(m fleet.Membership) bool
		pause  time.Duration
		again  time.Duration
		// leaderAfter is when another node leads from, counted from the start of the pause; 0 if none does.
		leaderAfter time.Duration
	}{
		{"the head", func(m fleet.Membership) bool { return m.Rank == 0 }, time.Second, 0, 0},
		{"another member", func(m fleet.Membership) bool { return m.Rank == 1 }, 1600 * time.Millisecond, 0, 0},
		{"all members", func(fleet.Membership) bool { return true }, 1300 * time.Millisecond, 0, 0},
		{"the head, twice", func(m fleet.Membership) bool { return m.Rank == 0 }, time.Second, 900 * time.Millisecond, 0},
		{"the head, while the leader changes", func(m fleet.Membership) bool { return m.Rank == 0 }, 1300 * time.Millisecond, 0, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(1, 2, 8, 2)
			sim.faultsEnabled = false
			sim.setLeading(sim.nodes[0], true)
			sim.run(10 * time.Second)
			before := sim.groupKeys()
			if c.leaderAfter > 0 {
				sim.schedule(c.leaderAfter, func() {
					sim.setLeading(sim.nodes[0], false)
					sim.setLeading(sim.nodes[1], true)
				})
			}
			sim.onOrder = func(o placement.Order) {
				g.Expect(o.Action).NotTo(Equal(placement.Leave), "%s: %s", o.Instance, o.Reason)
			}
			for _, pause := range []time.Duration{c.pause, c.again} {
				for _, target := range sim.targets {
					if c.paused(target.Membership) {
						for _, n := range sim.nodes {
							sim.silence(n, target.ID, sim.now.Add(pause))
						}
					}
				}
				sim.run(pause + 500*time.Millisecond)
			}
			g.Expect(sim.groupKeys()).To(Equal(before))
		})
	}
}

// memberOf returns a member of an open group of a domain that is not its head.
func (sim *simulation) memberOf(domain string) state.InstanceID {
	for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
		if t := sim.targets[id]; t.Domain == domain && t.Membership.Group != "" && t.Membership.Rank > 0 {
			return id
		}
	}
	return ""
}

// Guards against survivors that stay unused. The record of a group whose other members have left must not hold them
// until the lost members count as ended, 5.5 s later.
func TestSurvivorsOfLossAreUsedAtOnce(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 1, 8, 1)
	sim.faultsEnabled = false
	sim.setLeading(sim.nodes[0], true)
	sim.run(10 * time.Second)
	lost := sim.memberOf("d0")
	key := sim.targets[lost].Membership.Key()
	members := slices.Clone(sim.targets[lost].members)
	for _, id := range []state.InstanceID{lost, members[len(members)-1]} {
		sim.targets[id].dead = true
		sim.silence(sim.nodes[0], id, sim.now.Add(time.Hour))
	}
	sim.run(3500 * time.Millisecond)
	for _, id := range members {
		if m := sim.targets[id]; !m.dead {
			g.Expect(m.Membership.State).To(Or(Equal(fleet.Open), Equal(fleet.Ready)), "%s waits", id)
			g.Expect(m.Membership.Key()).NotTo(Equal(key))
		}
	}
}
