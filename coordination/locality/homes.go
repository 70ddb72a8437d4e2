// Package locality decides in which data halls requests run: which halls the home regions of a request allow, and
// which fraction of a hall's requests another hall serves because the first one has no room for them.
package locality

import (
	"slices"

	"github.com/troutmast/troutmast/state"
)

// Homes are the home regions of a request, in which alone it may run. The zero value allows every region.
type Homes struct {
	regions    []state.RegionName
	restricted bool
}

// Intersect returns the regions that all lists have in common. An empty list restricts nothing.
func Intersect(lists ...[]state.RegionName) Homes {
	var h Homes
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !h.restricted:
			h = Homes{regions: list, restricted: true}
		default:
			h.regions = slices.DeleteFunc(slices.Clone(h.regions), func(r state.RegionName) bool { return !slices.Contains(list, r) })
		}
	}
	return h
}

// IsRestricted reports whether the request has home regions.
func (h Homes) IsRestricted() bool { return h.restricted }

// IsEmpty reports whether the request may run nowhere, since its lists have no region in common.
func (h Homes) IsEmpty() bool { return h.restricted && len(h.regions) == 0 }

// Regions returns the home regions. It is empty if there is no restriction.
func (h Homes) Regions() []state.RegionName { return h.regions }

// Allows reports whether the request may run in a region. A hall without a region is no home.
func (h Homes) Allows(region state.RegionName) bool {
	return !h.restricted || region != "" && slices.Contains(h.regions, region)
}

// AllowsBody reports whether a node in a region may receive the body of the request, which the caller sent to a node in
// callerRegion.
func (h Homes) AllowsBody(region, callerRegion state.RegionName) bool {
	return h.Allows(region) || region != "" && region == callerRegion
}
