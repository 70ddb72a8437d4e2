package gateway

import (
	"slices"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/coordination/locality"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// Regions maps data halls to regions.
type Regions interface {
	// Region returns the region of a hall, or "" if the hall belongs to none.
	Region(hall state.HallName) state.RegionName
}

// homeState is the part of a call that concerns its home regions.
type homeState struct {
	// carriedHomes are the home regions that the node which forwarded the request to this one named.
	carriedHomes []state.RegionName
	// routeHomes and teamHomes are the home regions of the request's route and team, homes what they and
	// carriedHomes have in common, all as of the catalog homesAsOf.
	routeHomes, teamHomes []state.RegionName
	homes                 locality.Homes
	homesAsOf             *catalog.Catalog
}

// currentHomes returns the home regions of the request by the configuration that is in force now. A retry or a resumed
// stream follows a configuration that has changed since the request arrived. If that has no such route or key any more, the
// home regions stay as they were.
func (c *call) currentHomes() locality.Homes {
	current := c.Catalogs.Catalog()
	if current == nil {
		current = c.catalog
	}
	if current == c.homesAsOf {
		return c.homes
	}
	if route := current.Route(stripPort(c.r.Host), uriPath(c.r.RequestURI)); route != nil {
		c.routeHomes = route.Homes
	}
	if c.team != nil {
		if team := current.Team(c.claims.Key); team != nil {
			c.teamHomes = team.Homes
		}
	}
	c.homes, c.homesAsOf = locality.Intersect(c.carriedHomes, c.routeHomes, c.teamHomes), current
	return c.homes
}

// isHome reports whether the request may be sent to a target: whether all of its members are in home regions.
func (c *call) isHome(t *dispatch.Candidate) bool {
	homes := c.currentHomes()
	if !homes.IsRestricted() {
		return true
	}
	isElsewhere := func(in fleet.Instance) bool { return !homes.Allows(c.Regions.Region(in.Hall)) }
	return !isElsewhere(t.Instance) && !slices.ContainsFunc(t.Members, isElsewhere)
}

// homeCandidates returns the candidates to which the request may be sent. The slice must not be modified.
func (c *call) homeCandidates() []*dispatch.Candidate {
	all := c.Table.Candidates(c.service, c.model)
	if !c.currentHomes().IsRestricted() {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(t *dispatch.Candidate) bool { return !c.isHome(t) })
}

// lacksHome reports whether the request has home regions and no instance is known there.
func (c *call) lacksHome() bool {
	return c.currentHomes().IsRestricted() && len(c.homeCandidates()) == 0
}

// canReceiveBody reports whether another node may receive the body of the request: whether the node enforces home
// regions and is in one of them or in the region of this node, to which the caller connected.
func (c *call) canReceiveBody(p forwarding.Peer) bool {
	homes := c.currentHomes()
	return !homes.IsRestricted() || p.EnforcesHomes && homes.AllowsBody(c.Regions.Region(p.Hall), c.ownRegion())
}

// ownRegion returns the region of this node.
func (c *call) ownRegion() state.RegionName { return c.Regions.Region(c.Hall) }

// checkHomesBeforeForward returns errNotHome if the home regions have changed since the peer was chosen, so that the
// peer must not get the request or would be told other home regions.
func (c *call) checkHomesBeforeForward(p forwarding.Peer, info forwardInfo) error {
	homes := c.currentHomes()
	if homes.IsEmpty() || !c.canReceiveBody(p) || !slices.Equal(homes.Regions(), info.Homes) {
		return errNotHome
	}
	return nil
}
