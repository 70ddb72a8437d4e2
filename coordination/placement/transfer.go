package placement

import (
	"cmp"
	"slices"
	"time"
)

// This file moves instances from models with plenty to a scarce one. It answers a load that losses shift
// towards the models with small groups: the members of a broken large group fit into small groups anywhere,
// but the way back needs as many instances of one domain as a large group has members, all with its model
// loaded or on their hosts. No spare of the domain can provide that, so members of serving groups stage it.

// transfer is an exchange of groups and free instances of a domain for groups of a scarce model.
type transfer struct {
	domain *domain
	model  int
	donors []servingGroup
	// groups is the number of groups of the model that the transfer forms.
	groups int
	// missing are the instances that must stage the model first.
	missing []*Member
	// gain is the utility gained per load.
	gain float64
}

// transferLoads returns the loads that prepare transfers to scarce models, the highest gain first. A domain
// prepares one transfer at a time. Those that are prepared already are assumed to be made.
func (s *step) transferLoads() []wantedLoad {
	var candidates []transfer
	for _, name := range sortedDomainNames(s.domains) {
		for model := range s.engine.Models {
			if t, ok := s.planTransfer(s.domains[name], model); ok {
				candidates = append(candidates, t)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b transfer) int {
		return cmp.Or(cmp.Compare(min(len(a.missing), 1), min(len(b.missing), 1)), cmp.Compare(b.gain, a.gain))
	})
	return s.chooseTransfers(candidates)
}

// chooseTransfers returns the loads of the transfers that still gain utility once those before them are made.
func (s *step) chooseTransfers(candidates []transfer) []wantedLoad {
	before, utilities := slices.Clone(s.alloc.current), s.marginalUtilities
	defer func() { s.alloc.current, s.marginalUtilities = before, utilities }()
	s.nextSpareSince = map[string]time.Time{}
	defer func() { s.spareSince = s.nextSpareSince }()
	var list []wantedLoad
	used := map[*domain]bool{}
	for _, c := range candidates {
		t, ok := s.planTransfer(c.domain, c.model)
		if used[c.domain] || !ok {
			continue
		}
		if len(t.donors) == 0 && len(t.missing) == 0 && s.isOverdue(c.domain) {
			continue
		}
		used[c.domain] = true
		for _, m := range t.missing {
			list = append(list, wantedLoad{m, s.engine.Models[t.model].Name, t.gain})
		}
		s.alloc.current[t.model] += float64(t.groups * s.engine.Models[t.model].GroupSize)
		for _, g := range t.donors {
			s.alloc.current[g.modelIndex] -= float64(len(g.members))
		}
		s.marginalUtilities = s.alloc.marginalUtilities()
	}
	return list
}

// isOverdue reports whether the free instances of a domain have long had a model without being worth a group of it. As spares they must not
// keep the domain from preparing a transfer.
func (s *step) isOverdue(d *domain) bool {
	since, unchanged := s.spareSince[d.name]
	if !unchanged {
		since = s.now
	}
	s.nextSpareSince[d.name] = since
	return s.now.Sub(since) > s.policy.DonorAge
}

// planTransfer returns the transfer of a domain to a model that gains the most utility per load, if the model is scarcer
// than that of the donors.
func (s *step) planTransfer(d *domain, model int) (transfer, bool) {
	name, size := s.engine.Models[model].Name, s.engine.Models[model].GroupSize
	t := transfer{domain: d, model: model}
	if d.isReallocating() {
		return t, false
	}
	pool := slices.DeleteFunc(slices.Clone(d.free), func(m *Member) bool { return s.assigned[m.ID] || s.isReserved(m, name) })
	for _, g := range s.donorsFor(d, model) {
		if len(pool) >= size {
			break
		}
		pool, _ = s.withMembers(pool, g.group)
		t.donors = append(t.donors, g)
	}
	prepared, loadable := s.splitByModel(pool, name)
	best := t
	for n := 1; n*size <= len(prepared)+len(loadable); n++ {
		t.groups, t.missing = n, loadable[:max(n*size-len(prepared), 0)]
		t.gain = s.transferGain(&t) / float64(max(len(t.missing), 1))
		if t.gain > best.gain {
			best = t
		}
	}
	return best, best.gain > s.policy.MinStagingGain
}

// donorsFor returns the serving groups of a domain whose model is less scarce than the given one, first those of the least scarce
// model, and among them those with the most members that have the given one.
func (s *step) donorsFor(d *domain, model int) []servingGroup {
	name := s.engine.Models[model].Name
	var donors []servingGroup
	counts := map[*group]int{}
	for _, g := range d.groups {
		members, known := s.withMembers(nil, g.group)
		if g.model == name || !known || !s.isScarcer(name, g.model) || s.isSilent(g.group) {
			continue
		}
		prepared, _ := s.splitByModel(members, name)
		counts[g.group] = len(prepared)
		donors = append(donors, g)
	}
	slices.SortStableFunc(donors, func(a, b servingGroup) int {
		return cmp.Or(cmp.Compare(s.marginalUtilities[a.modelIndex], s.marginalUtilities[b.modelIndex]), cmp.Compare(counts[b.group], counts[a.group]))
	})
	return donors
}

// splitByModel divides instances into those that have a model loaded, on their host or on its way there, and
// those that can be ordered to stage it. Instances that stage another model are in neither.
func (s *step) splitByModel(list []*Member, model string) (prepared, loadable []*Member) {
	for _, m := range list {
		staging := s.staging[m.ID].Model
		switch {
		case m.Model == model || m.HasStaged(model) || staging == model:
			prepared = append(prepared, m)
		case staging == "" && m.usable():
			loadable = append(loadable, m)
		}
	}
	return prepared, loadable
}

// transferGain returns the utility that a transfer gains.
func (s *step) transferGain(t *transfer) float64 {
	gain := s.alloc.addedUtility(t.model, float64(t.groups*s.engine.Models[t.model].GroupSize))
	lost := map[int]float64{}
	for _, g := range t.donors {
		members := float64(len(g.members))
		lost[g.modelIndex] += members
		gain -= s.policy.DonorGain * members
	}
	for i, n := range lost {
		gain += s.alloc.addedUtility(i, -n)
	}
	return gain
}

// isScarcer reports whether a model is so much scarcer than another that instances are reserved for it.
func (s *step) isScarcer(model, other string) bool {
	return s.marginalUtility(model) > s.policy.ScarcityRatio*s.marginalUtility(other)
}

// isReserved reports whether an instance is reserved for its last model, which is scarcer than the given one
// and which it can serve soonest.
func (s *step) isReserved(m *Member, model string) bool {
	return m.Model != model && s.isScarcer(m.Model, model)
}
