package core

import (
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
)

// Place implements lang.Resolver.
func (c *Core) Place(id state.InstanceID) (state.Place, bool) {
	p, ok := c.Places.Get(id)
	return state.Place{Instance: id, Hall: p.Hall, Domain: p.Domain}, ok
}

// Group implements lang.Resolver.
func (c *Core) Group(name state.GroupName) *state.Group { return c.Follower.View().GroupsByName[name] }

// HasHall implements lang.Resolver.
func (c *Core) HasHall(hall state.HallName) bool {
	for _, p := range c.Places.All() {
		if p.Hall == hall {
			return true
		}
	}
	return false
}

// Spares implements lang.Resolver: the domain with the fewest free instances that suffice.
func (c *Core) Spares(hall state.HallName, n int) []state.Place {
	byDomain := map[string][]state.Place{}
	for _, p := range c.FreePlaces(c.Follower.View(), hall, c.Clock.Now()) {
		byDomain[p.Domain] = append(byDomain[p.Domain], p)
	}
	var best []state.Place
	for _, places := range byDomain {
		if len(places) < n {
			continue
		}
		if best == nil || len(places) < len(best) || (len(places) == len(best) && places[0].Domain < best[0].Domain) {
			best = places
		}
	}
	if best == nil {
		return nil
	}
	return best[:n]
}

// FreePlaces returns the free instances of a hall, in the order of their ids.
//
// In the node's own hall an instance must have reported itself idle within the
// evidence window; of other halls the node has no reports and trusts the list.
func (c *Core) FreePlaces(view *statelog.View, hall state.HallName, now time.Time) []state.Place {
	busy := map[state.InstanceID]bool{}
	for _, svc := range view.Services {
		for _, id := range svc.Instances {
			busy[id] = true
		}
	}
	var free []state.Place
	for id, p := range c.Places.All() {
		if p.Hall != hall || p.Leaving || busy[id] || view.Assignments[id] != nil || c.Evidence.IsLeaving(id) {
			continue
		}
		if hall == c.Settings.Hall && !c.idle(id, now) {
			continue
		}
		free = append(free, state.Place{Instance: id, Hall: p.Hall, Domain: p.Domain})
	}
	slices.SortFunc(free, func(a, b state.Place) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return free
}

// idle reports whether an instance has lately reported that it holds nothing.
func (c *Core) idle(id state.InstanceID, now time.Time) bool {
	e, ok := c.Evidence.Get(id)
	return ok && now.Sub(e.ProbedAt) < c.Settings.EvidenceWindow && e.Phase == evidence.PhaseIdle && e.Group == ""
}
