package entry

import (
	"maps"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/state"
)

// Nodes of different builds run side by side while a system is upgraded or goes back. Messages
// and records of the store only gain fields, which a build that does not know them leaves
// out; what a build sends does not depend on who reads it. A version tells what a node acts on.
//
// The versions of what nodes say to each other. Builds that name none have version 0.
const (
	// protocolLimits is the first version whose nodes send to instances with rate limits by grants.
	protocolLimits = 1
	// protocolVersion is the version of this build.
	protocolVersion = protocolLimits
)

// leadingBonus is what each version adds to the capacity that a node tells, in cores: far less
// than the sizes of nodes differ by. All builds order nodes by capacity, so that of nodes of one
// size those of the newest build lead: an older leader would not hand on what it does not know.
const leadingBonus = 1e-6

// toldCapacity returns the capacity by which nodes order each other.
func (n *Node) toldCapacity() float64 { return n.set.Capacity + leadingBonus*protocolVersion }

// heedVersion records the version that another node names. One of a later build is logged once.
func (n *Node) heedVersion(version int, name string) {
	if version <= protocolVersion {
		return
	}
	n.Count("status.later-version")
	if _, known := n.garbled.LoadOrStore(laterVersion{name, version}, true); !known {
		n.log.WithFields(log.Fields{"node": name, "version": version, "own": protocolVersion}).Info("node of a later version")
	}
}

// laterVersion keys the nodes that named a later version.
type laterVersion struct {
	name    string
	version int
}

// shieldLimited has a node of a build without rate limits keep away from the instances that
// have one: it heeds which formations take no requests, and leaves out instances that look full.
func (n *Node) shieldLimited(a *Answer) {
	limits := n.limits.Active()
	if len(limits) == 0 {
		return
	}
	held := maps.Clone(a.Held)
	if held == nil {
		held = map[state.InstanceID]int{}
	}
	avoid := a.Avoid
	for i := range limits {
		in := n.instance(limits[i].Instance.ID)
		held[in.ID] += heldWhenFull * max(in.Slots, 1)
		if key := in.Membership.Key(); key.Group != "" && in.Membership.Rank == 0 {
			avoid = append(avoid[:len(avoid):len(avoid)], Formation{Group: key.Group, Epoch: key.Epoch})
		}
	}
	a.Held, a.Avoid = held, avoid
}

// heldWhenFull is how many requests for each of its places an instance is told to hold that
// should be sent none.
const heldWhenFull = 100
