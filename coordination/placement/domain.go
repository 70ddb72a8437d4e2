package placement

import (
	"cmp"
	"slices"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// formGroups forms new groups from free instances.
func (s *step) formGroups() {
	domains := map[string]*domain{}
	alive := 0
	for _, id := range s.ids {
		m := s.byID[id]
		if !m.usable() {
			continue
		}
		alive++
		d := domains[m.Domain]
		if d == nil {
			d = &domain{name: m.Domain}
			domains[m.Domain] = d
		}
		switch {
		case m.Membership.Group != "" || s.assigned[id]:
		case !m.MembershipKnown:
			s.plan.Probes = append(s.plan.Probes, id)
		default:
			d.free = append(d.free, m)
		}
	}
	alloc := s.allocation(alive)
	s.alloc, s.domains = alloc, domains
	s.marginalUtilities = alloc.marginalUtilities()
	for _, key := range s.groupKeys() {
		g := s.groups[key]
		if g == nil {
			continue
		}
		if head := s.headOf(g); head != nil && domains[head.Domain] != nil {
			s.addToDomain(domains[head.Domain], key, g)
		}
	}
	s.formInDomains(domains, alloc)
}

// formInDomains forms groups from the free instances of all domains. Domains without free
// instances close groups for reallocation only if no group is formed in this step: otherwise
// two domains could change alternately to cover the same shortage.
func (s *step) formInDomains(domains map[string]*domain, alloc *allocation) {
	reallocating := 0
	var idle []*domain
	var ready []*domain
	var choices [][]layout
	var halls []state.HallName
	for _, d := range domains {
		if d.hasDonor {
			reallocating++
		}
	}
	for _, name := range sortedDomainNames(domains) {
		d := domains[name]
		switch {
		case d.hasDonor:
			s.countSkipped(SkipClosing)
		case s.isSettling(d.free):
			s.countSkipped(SkipSettling)
		case len(d.free) == 0:
			idle = append(idle, d)
		case s.reallocate(d, alloc, &reallocating, len(domains)):
		default:
			ready = append(ready, d)
			halls = append(halls, d.free[0].Hall)
			choices = append(choices, maximalLayouts(len(d.free), s.eligibleCounts(d.free), s.engine.Models))
		}
	}
	formed := false
	for i, l := range alloc.chooseLayouts(choices, s.engine.Models, s.newHallCoverage(), halls) {
		formed = formed || !l.isEmpty()
		s.formLayout(ready[i].free, l)
	}
	for _, d := range idle {
		if !formed {
			s.reallocate(d, alloc, &reallocating, len(domains))
		}
	}
}

// SkipReason is the reason why no group of a domain is closed for reallocation.
type SkipReason string

// Reasons not to close a group for reallocation.
const (
	// SkipClosing means that another group of the domain is already being closed for reallocation.
	SkipClosing SkipReason = "closing"
	// SkipSettling means that an instance of the domain was first seen too recently.
	SkipSettling SkipReason = "settling"
	// SkipLimit means that the maximum number of domains is being changed already.
	SkipLimit SkipReason = "limit"
	// SkipNoGain means that no other layout of the domain has a sufficiently higher utility.
	SkipNoGain SkipReason = "no gain"
)

// countSkipped counts a domain in which no group is closed for reallocation.
func (s *step) countSkipped(reason SkipReason) { s.plan.Skipped[reason]++ }

// reallocate closes groups of a domain for reallocation if that gains enough utility and not too
// many domains are being changed already. It reports whether it closed any.
func (s *step) reallocate(d *domain, alloc *allocation, reallocating *int, domainCount int) bool {
	if *reallocating > domainCount/s.policy.ChangingPart {
		s.countSkipped(SkipLimit)
		return false
	}
	donors := s.selectDonors(d, alloc, maximalLayouts(len(d.free), s.eligibleCounts(d.free), s.engine.Models))
	if donors == nil {
		s.countSkipped(SkipNoGain)
		return false
	}
	s.closeDonors(donors, d.free, alloc)
	*reallocating++
	return true
}

// closeDonors marks groups to be closed for reallocation, and adds to the allocation the groups
// that will be formed from their members and the free instances.
func (s *step) closeDonors(donors []servingGroup, free []*Member, alloc *allocation) {
	for _, g := range donors {
		g.donorSince = s.now
		free, _ = s.withMembers(free, g.group)
		alloc.current[g.modelIndex] -= float64(len(g.members))
	}
	models := s.engine.Models
	alloc.add(alloc.best(maximalLayouts(len(free), s.eligibleCounts(free), models), models), models, 1)
}

// domain is a fabric domain.
type domain struct {
	name string
	free []*Member
	// groups are the serving groups; hasDonor reports whether a group is being closed for reallocation.
	groups   []servingGroup
	hasDonor bool
}

// addToDomain records a group as serving or as a donor of its domain. An outdated group is neither.
func (s *step) addToDomain(d *domain, key fleet.GroupKey, g *group) {
	i, configured := s.modelIndex(g.model)
	switch {
	case !g.donorSince.IsZero():
		d.hasDonor = true
	case configured && g.opened && g.failure == "" && s.outdatedReason(key, g) == "":
		d.groups = append(d.groups, servingGroup{g, i})
	}
}

// isReallocating reports whether a group of the domain is being closed for reallocation.
func (d *domain) isReallocating() bool {
	return d.hasDonor || slices.ContainsFunc(d.groups, func(g servingGroup) bool { return !g.donorSince.IsZero() })
}

// allocation returns the current and desired numbers of instances in groups of each model.
func (s *step) allocation(alive int) *allocation {
	alloc := newShareAllocation(s.engine.Models, alive, &s.policy)
	if len(s.Demand) == len(s.engine.Models) {
		alloc = newDemandAllocation(s.engine, s.Demand, &s.policy)
	}
	for key, g := range s.groups {
		if i, configured := s.modelIndex(g.model); configured && s.isCapacity(key, g) && !s.isDraining(g) && !s.isEvacuated(g) {
			alloc.current[i] += float64(len(g.members))
		}
	}
	return alloc
}

// isEvacuated reports whether a group's head is in an evacuated hall, so that the group gets no requests.
func (s *step) isEvacuated(g *group) bool {
	head := s.headOf(g)
	return head != nil && head.evacuated
}

// isCapacity reports whether a group serves its model or will: it has not failed and is not being given up.
func (s *step) isCapacity(key fleet.GroupKey, g *group) bool {
	return g.failure == "" && g.donorSince.IsZero() && s.outdatedReason(key, g) == ""
}

// assignedMembers returns the instances that are assigned to a group, including those that have
// not joined it yet.
func (s *step) assignedMembers() map[state.InstanceID]bool {
	assigned := make(map[state.InstanceID]bool, len(s.byID))
	for _, g := range s.groups {
		for _, id := range g.members {
			assigned[id] = true
		}
	}
	return assigned
}

// formLayout forms the groups of a layout from the free instances of a domain.
func (s *step) formLayout(free []*Member, l layout) {
	for i, n := range l.counts {
		model := &s.engine.Models[i]
		for range n {
			members := s.selectMembers(free, model)
			if members == nil {
				break
			}
			free = slices.DeleteFunc(slices.Clone(free), func(m *Member) bool { return slices.Contains(members, m) })
			s.startGroup(model, members)
		}
	}
}

// isSettling reports whether an instance was first seen so recently that more instances may
// follow, which would allow larger groups. Once loads are costly, an instance without a model
// is ignored: it cannot join a group until a load has completed.
func (s *step) isSettling(free []*Member) bool {
	return slices.ContainsFunc(free, func(m *Member) bool {
		return s.now.Sub(m.FirstSeen) < s.policy.SettleDelay && (s.BeforeTraffic || !s.hasNoModel(m))
	})
}

// eligibleCounts returns, for each model, the number of instances that are eligible for its groups.
func (s *step) eligibleCounts(free []*Member) []int {
	counts := make([]int, len(s.engine.Models))
	for i := range s.engine.Models {
		for _, m := range free {
			if s.isEligible(m, &s.engine.Models[i]) {
				counts[i]++
			}
		}
	}
	return counts
}

// isEligible reports whether an instance can join a group of a model without a load from the
// weight store. Before the first request loads are nearly free, so every instance is eligible. An
// instance whose last model is scarcer is reserved for that model, which it can serve soonest.
func (s *step) isEligible(m *Member, model *catalog.Model) bool {
	if s.BeforeTraffic || model.LoadTime <= 0 {
		return true
	}
	return !s.isReserved(m, model.Name) && joinTime(m, model) < model.LoadTime
}

// selectDonors returns the groups of a domain to close for reallocation, or nil.
func (s *step) selectDonors(d *domain, alloc *allocation, list []layout) []servingGroup {
	var best []servingGroup
	bestGain := alloc.utilityGain(s.engine.Models, alloc.best(list, s.engine.Models))
	for _, chosen := range s.donorSets(d) {
		if gain := s.reallocationGain(d.free, alloc, chosen); gain > bestGain {
			best, bestGain = chosen, gain
		}
	}
	return best
}

// donorSets returns the candidate sets of groups to close for reallocation. A set holds any
// number of groups of each model, first those with the most members that can join a group of
// another model without a load, and at most as many members as two groups of the largest size.
// The limit counts members because no fixed number of groups is enough: a group of 16 needs
// the members of four groups of 4.
func (s *step) donorSets(d *domain) [][]servingGroup {
	sets := [][]servingGroup{nil}
	maxMembers := 2 * s.largestGroupSize()
	for i := range s.engine.Models {
		var candidates []servingGroup
		for _, g := range d.groups {
			if g.modelIndex == i && s.now.Sub(g.formedAt) >= s.policy.DonorAge && !s.isSilent(g.group) {
				candidates = append(candidates, g)
			}
		}
		slices.SortStableFunc(candidates, func(a, b servingGroup) int {
			return cmp.Compare(s.transferableMembers(b.group), s.transferableMembers(a.group))
		})
		for _, base := range sets {
			for n := 1; n <= len(candidates) && memberCount(base)+memberCount(candidates[:n]) <= maxMembers; n++ {
				sets = append(sets, slices.Concat(base, candidates[:n]))
			}
		}
	}
	return sets[1:]
}

// largestGroupSize returns the size of the largest group of any model.
func (s *step) largestGroupSize() int {
	largest := 0
	for _, m := range s.engine.Models {
		largest = max(largest, m.GroupSize)
	}
	return largest
}

// memberCount returns the total number of members of groups.
func memberCount(groups []servingGroup) int {
	n := 0
	for _, g := range groups {
		n += len(g.members)
	}
	return n
}

// transferableMembers returns the number of members of a group that can join a group of another
// model without a load.
func (s *step) transferableMembers(g *group) int {
	n := 0
	for _, id := range g.members {
		m := s.byID[id]
		if m != nil && slices.ContainsFunc(s.engine.Models, func(o catalog.Model) bool { return o.Name != g.model && s.isEligible(m, &o) }) {
			n++
		}
	}
	return n
}

// reallocationGain returns the utility of the best groups that can be formed from free instances
// and the members of the chosen groups, less the utility of the chosen groups and the required gain.
// It returns 0 if a member of the chosen groups is unknown.
func (s *step) reallocationGain(free []*Member, alloc *allocation, chosen []servingGroup) float64 {
	models := s.engine.Models
	before, utilities := slices.Clone(alloc.current), s.marginalUtilities
	defer func() { alloc.current, s.marginalUtilities = before, utilities }()
	alloc.current = slices.Clone(before)
	cost := 0.0
	for _, g := range chosen {
		combined, ok := s.withMembers(free, g.group)
		if !ok {
			return 0
		}
		i, size := g.modelIndex, float64(len(g.members))
		cost += alloc.utility(i, alloc.current[i]) - alloc.utility(i, alloc.current[i]-size) + s.policy.DonorGain*size
		alloc.current[i] -= size
		free = combined
	}
	// Once the groups are closed, reservations for scarcer models depend on the new marginal utilities.
	s.marginalUtilities = alloc.marginalUtilities()
	return alloc.utilityGain(models, alloc.best(maximalLayouts(len(free), s.eligibleCounts(free), models), models)) - cost
}

// withMembers returns the free instances and the members of a group. The second result is
// false if a member is unknown.
func (s *step) withMembers(free []*Member, g *group) ([]*Member, bool) {
	combined := slices.Clone(free)
	for _, id := range g.members {
		m := s.byID[id]
		if m == nil {
			return nil, false
		}
		combined = append(combined, m)
	}
	return combined, true
}

// selectMembers selects the members of a new group: the instances that become ready soonest. It
// returns nil if there are too few.
func (s *step) selectMembers(free []*Member, model *catalog.Model) []*Member {
	var candidates []*Member
	for _, m := range free {
		if s.isEligible(m, model) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) < model.GroupSize {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(joinTime(a, model), joinTime(b, model)), s.compareWarmth(a, b, model))
	})
	return s.withWarmHead(candidates[:model.GroupSize], model)
}

// startGroup creates a new group and orders its members to join.
func (s *step) startGroup(model *catalog.Model, members []*Member) {
	epoch := s.nextEpoch(s.highestEpoch)
	s.highestEpoch = epoch
	key := fleet.GroupKey{Group: newGroupName(epoch, len(members)), Epoch: epoch}
	g := &group{model: model.Name, trackedSince: s.now, formedAt: s.now, joined: map[state.InstanceID]bool{}}
	for _, m := range members {
		g.members = append(g.members, m.ID)
		s.assigned[m.ID] = true
	}
	s.groups[key] = g
	for _, m := range members {
		s.orderJoin(key, g, m)
	}
}

// sortedDomainNames returns the names of the domains in ascending order.
func sortedDomainNames(m map[string]*domain) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
