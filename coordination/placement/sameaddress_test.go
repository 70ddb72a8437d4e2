package placement_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state/fleet"
)

// restartedPair returns two instances of one address, of which the first has ended, and two others.
func restartedPair() []placement.Member {
	list := freeInstances("d", 4, "small", "small")
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
	}
	list[1].Address = list[0].Address
	return list
}

// Guards against a group that serves without all of its members: a worker had started again at its address under another ID, and both
// IDs were listed. Its report counted for both, so that the group looked complete.
func TestReportOfAnotherMemberAtTheAddressOpensNoGroup(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(withModels(modelOf("small", 4)), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	free := func() []placement.Member {
		list := restartedPair()
		list[0].Address = netip.AddrPort{} // unknown when the group was formed
		return list
	}
	joins := p.Step(testStart, free()).Orders
	g.Expect(joins).To(HaveLen(4))
	key := joins[0].Key
	members := restartedPair()
	for i := range members {
		members[i].Loaded = "small"
		members[i].Membership = fleet.Membership{Group: key.Group, Epoch: key.Epoch, Rank: slices.Index(joins[0].Members, members[i].ID), State: fleet.Ready}
	}
	members[0].Membership = members[1].Membership // the answer of the instance that has the address now
	for second := range 5 {
		for _, o := range p.Step(testStart.Add(time.Duration(second)*time.Second), members).Orders {
			g.Expect(o.Action).To(Equal(placement.Leave), "%+v", o)
		}
	}
}
