package entry

import "github.com/troutmast/troutmast/state"

// Region implements gateway.Regions.
func (n *Node) Region(hall state.HallName) state.RegionName { return (*n.regions.Load())[hall] }
