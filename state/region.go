package state

// RegionName names a region, which holds one or more data halls. The empty name stands for no region.
type RegionName string
