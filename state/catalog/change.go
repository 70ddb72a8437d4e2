package catalog

import (
	"maps"
	"slices"

	"github.com/troutmast/troutmast/state"
)

// ModelChange states how two configurations differ in the models of a service.
type ModelChange struct {
	Service state.ServiceName
	// Added and Removed are the names of models that only the newer or only the older configuration has, Resized those of models whose
	// groups have another size.
	Added, Removed, Resized []string
}

// ModelChanges returns the services whose models differ between two configurations, in order of their names. A service that one of them
// does not have has no models there.
func ModelChanges(before, after *Catalog) []ModelChange {
	names := slices.AppendSeq(slices.Collect(maps.Keys(before.Services)), maps.Keys(after.Services))
	slices.Sort(names)
	var list []ModelChange
	for _, name := range slices.Compact(names) {
		old, current := before.models(name), after.models(name)
		c := ModelChange{Service: name}
		for _, model := range slices.Sorted(maps.Keys(current)) {
			size, known := old[model]
			switch {
			case !known:
				c.Added = append(c.Added, model)
			case size != current[model]:
				c.Resized = append(c.Resized, model)
			}
		}
		for _, model := range slices.Sorted(maps.Keys(old)) {
			if _, kept := current[model]; !kept {
				c.Removed = append(c.Removed, model)
			}
		}
		if len(c.Added)+len(c.Removed)+len(c.Resized) > 0 {
			list = append(list, c)
		}
	}
	return list
}

// models returns the group sizes of a service's models by name.
func (c *Catalog) models(service state.ServiceName) map[string]int {
	sizes := map[string]int{}
	if s := c.Services[service]; s != nil && s.Engine != nil {
		for i := range s.Engine.Models {
			sizes[s.Engine.Models[i].Name] = s.Engine.Models[i].GroupSize
		}
	}
	return sizes
}
