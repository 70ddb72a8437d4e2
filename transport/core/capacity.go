package core

import (
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/state"
)

// defaultSlots is how many requests an engine is taken to batch before it has said so.
const defaultSlots = 8

// HallDemand returns the demand of each live node of the hall, this one included.
func (c *Core) HallDemand() map[string]int {
	demand := map[string]int{c.Directory.Self().Name: int(c.Demand.Load())}
	for _, n := range c.Directory.LivePeers(c.Directory.Self().Hall, c.Clock.Now()) {
		if !n.Stopping {
			demand[n.Name] = n.RequestRate
		}
	}
	return demand
}

// TeamLimit returns how many places of a team's share fall to this node.
func (c *Core) TeamLimit(share state.Share) int {
	return membership.ShareOf(share.Places, c.HallDemand(), c.Directory.Self().Name)
}

// UpdateCapacity sets the places of every pool from the slots of its open groups.
func (c *Core) UpdateCapacity() {
	demand := c.HallDemand()
	now := c.Clock.Now()
	for name, pool := range c.Routing.Models() {
		slots := 0
		for _, cand := range pool {
			if cand.CanAccept(now) {
				slots += slotsOf(cand)
			}
		}
		c.Pools.Get(name).SetCapacity(membership.ShareOf(slots, demand, c.Directory.Self().Name))
	}
}

// slotsOf returns how many requests a candidate batches.
func slotsOf(c *routing.Candidate) int {
	if n := c.BatchSlots(); n > 0 {
		return n
	}
	return defaultSlots
}

// JudgeGroup takes the evidence of a candidate into the routing table.
func (c *Core) JudgeGroup(cand *routing.Candidate) {
	cand.UpdateEvidence(func(g *state.Group) evidence.GroupEvidence {
		now := c.Clock.Now()
		if g.Epoch == 0 {
			return c.Evidence.CheckInstance(g.Members[0], now, c.Settings.EvidenceWindow)
		}
		return c.Evidence.CheckGroup(g, now, c.Settings.EvidenceWindow)
	})
}
