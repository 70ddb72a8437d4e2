package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// newLoggedState returns the state of a node that has logged nothing yet.
func newLoggedState() *loggedState {
	return &loggedState{instances: map[state.InstanceID]loggedInstance{}}
}

// joinAll records that instances belong to a group at an epoch.
func joinAll(n *Node, instances, epoch int) {
	for i := range instances {
		n.roster.ApplyFreshEntry(fleet.Instance{
			ID: state.InstanceID(fmt.Sprintf("i%04d", i)), Service: "lm", Position: int64(epoch*instances + i),
			Membership: fleet.Membership{Group: "g", Epoch: state.Epoch(epoch), Rank: i, State: fleet.Ready},
		}, n.clock.Now())
	}
}

// When many instances change at once, the number of lines stays bounded and the rest is counted.
func TestLinesOnInstancesAreBounded(t *testing.T) {
	for _, c := range []struct {
		name             string
		leads            bool
		instances, lines int
		leftOut          int
	}{
		{"a few on the leader", true, 10, 10, 0},
		{"a hall on the leader", true, 925, maxInstanceLines, 1},
		{"another node", false, 925, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := observe(&noticing{})
			n.peers.setLeader(c.leads)
			joinAll(n.Node, c.instances, 1)
			b := newLoggedState()
			for range 5 {
				n.logInstances(b, n.clock.Now())
			}
			g.Expect(n.logged("instance")).To(Equal(c.lines))
			g.Expect(n.logged("changes of further instances not logged")).To(Equal(c.leftOut))
		})
	}
}

func TestCandidateChangesAreLoggedInOneLine(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	n.logRouting(dispatch.Difference{}, 1)
	g.Expect(n.logged("candidates changed")).To(BeZero())
	var d dispatch.Difference
	for i := range 100 {
		d.Added = append(d.Added, dispatch.CandidateKey{Instance: state.InstanceID(fmt.Sprint("i", i)), Group: fleet.GroupKey{Group: "g", Epoch: 7}})
	}
	n.logRouting(d, 2)
	g.Expect(n.logged("candidates changed")).To(Equal(1))
	g.Expect(describeCandidates(d.Added)).To(HaveLen(maxNamedCandidates))
	g.Expect(describeCandidates(d.Added)[0]).To(Equal("i0 g/7"))
}

// On a small node a rebuild takes long: the pause after it grows, so that requests keep their share of the processor.
func TestRebuildPauseGrowsWithTheCost(t *testing.T) {
	for _, c := range []struct {
		name        string
		took, pause time.Duration
	}{
		{"fast", time.Millisecond, DefaultPolicy().Node.RebuildPause},
		{"slow", 10 * time.Millisecond, 90 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(newTestNode().rebuildPause(c.took)).To(BeNumerically("~", c.pause, time.Microsecond))
		})
	}
}
