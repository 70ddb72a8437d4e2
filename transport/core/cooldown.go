package core

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/state/fleet"
)

// CoolingDown returns until when the instance that takes a group's requests wants none of
// this node, and whether it does so now.
func (c *Core) CoolingDown(cand *routing.Candidate, now time.Time) (time.Time, bool) {
	return c.Cooldowns.Until(c.leaderLife(cand), now)
}

// leaderLife returns the life of the instance that takes a group's requests, as last reported.
func (c *Core) leaderLife(cand *routing.Candidate) fleet.Incarnation {
	id := cand.Group().Members[0]
	e, _ := c.Evidence.Get(id)
	return fleet.Incarnation{ID: id, Life: e.Incarnation}
}

// Cool records that the instance that takes a group's requests asked for a cooldown, and
// returns until when it lasts and whether it has just begun.
func (c *Core) Cool(cand *routing.Candidate, d time.Duration, now time.Time) (until time.Time, began bool) {
	return c.Cooldowns.Record(c.leaderLife(cand), d, now)
}

// Open reports whether this node may send a new request to a group.
func (c *Core) Open(cand *routing.Candidate, now time.Time) bool {
	_, cooling := c.CoolingDown(cand, now)
	return !cooling && cand.CanAccept(now)
}

// Usable returns the groups of a pool that are not cooling down; the slice must not be changed.
func (c *Core) Usable(pool string, now time.Time) []*routing.Candidate {
	all := c.Routing.Candidates(pool)
	cooling := func(cand *routing.Candidate) bool {
		_, cooling := c.CoolingDown(cand, now)
		return cooling
	}
	if !slices.ContainsFunc(all, cooling) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), cooling)
}

// FirstFree returns when the first group of a pool is no longer cooling down, and whether
// all open ones are.
func (c *Core) FirstFree(pool string, now time.Time) (first time.Time, all bool) {
	for _, cand := range c.Routing.Candidates(pool) {
		until, cooling := c.CoolingDown(cand, now)
		switch {
		case !cand.CanAccept(now):
		case !cooling:
			return time.Time{}, false
		case first.IsZero() || until.Before(first):
			first = until
		}
	}
	return first, !first.IsZero()
}
