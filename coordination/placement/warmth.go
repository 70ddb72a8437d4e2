package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state/catalog"
)

// coldAtOpening returns how long an instance remains cold once a group of a model that it joins now may be open.
func (s *step) coldAtOpening(m *Member, model *catalog.Model) time.Duration {
	return max(m.ColdUntil.Sub(s.now.Add(joinTime(m, model)+s.engine.FormTime)), 0)
}

// compareWarmth compares two instances by how long they remain cold as members of a new group.
func (s *step) compareWarmth(a, b *Member, model *catalog.Model) int {
	return cmp.Compare(s.coldAtOpening(a, model), s.coldAtOpening(b, model))
}

// withWarmHead returns the members of a new group with the one first that is warm soonest: requests go to the head only,
// and a cold one handles few. The planner does not wait for warm instances, since a cold head serves more
// than a group that does not exist.
func (s *step) withWarmHead(members []*Member, model *catalog.Model) []*Member {
	head := slices.MinFunc(members, func(a, b *Member) int { return s.compareWarmth(a, b, model) })
	ordered := []*Member{head}
	for _, m := range members {
		if m != head {
			ordered = append(ordered, m)
		}
	}
	return ordered
}
