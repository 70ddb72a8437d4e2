package dispatch

import (
	"slices"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/state"
)

// SetEvacuated sets the evacuated halls. It takes effect with the next Update.
func (t *Table) SetEvacuated(halls evacuation.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuatedHalls = halls
}

// Evacuated returns the number of instances of a service, or groups of one of its models, that would be candidates if
// their hall were not evacuated.
func (t *Table) Evacuated(service state.ServiceName, model string) int {
	return (*t.evacuated.Load())[Pool{service, model}]
}

// removeEvacuated removes the candidates in evacuated halls from the pools, except those that may still serve. t.mu
// must be held.
func (t *Table) removeEvacuated(pools map[Pool][]*Candidate) {
	evacuated := map[Pool]int{}
	t.evacuated.Store(&evacuated)
	if len(t.evacuatedHalls) == 0 {
		return
	}
	for key, pool := range pools {
		servedElsewhere := slices.ContainsFunc(pool, func(c *Candidate) bool {
			return t.evacuatedHalls[c.Hall] == evacuation.Admitted
		})
		kept := slices.DeleteFunc(pool, func(c *Candidate) bool {
			return !t.evacuatedHalls[c.Hall].MayServe(c.Size > 0, servedElsewhere)
		})
		if n := len(pool) - len(kept); n > 0 {
			evacuated[key] = n
		}
		pools[key] = kept
		if len(kept) == 0 {
			delete(pools, key)
		}
	}
}
