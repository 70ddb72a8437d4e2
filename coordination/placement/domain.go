package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// form forms new groups from free instances.
func (s *step) form() {
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
			d = &domain{}
			domains[m.Domain] = d
		}
		switch {
		case m.Membership.Group != "" || s.named[id]:
		case !m.Known:
			s.plan.Ask = append(s.plan.Ask, id)
		default:
			d.free = append(d.free, m)
		}
	}
	stock := s.stock(alive)
	s.supply, s.domains = stock, domains
	s.slopes = stock.slopes()
	for _, key := range s.keys() {
		f := s.formations[key]
		if f == nil {
			continue
		}
		if head := s.headOf(f); head != nil && domains[head.Domain] != nil {
			domains[head.Domain].add(f)
		}
	}
	s.formDomains(domains, stock)
}

// formDomains forms groups from the free instances of all domains. Domains without free
// instances close groups for reallocation only if no group is formed in this step: otherwise
// two domains could change alternately to cover the same shortage.
func (s *step) formDomains(domains map[string]*domain, stock *supply) {
	changing := 0
	var idle []*domain
	var ready []*domain
	var choices [][]option
	for _, d := range domains {
		if d.donors {
			changing++
		}
	}
	for _, name := range sortedKeys(domains) {
		d := domains[name]
		switch {
		case d.donors:
			s.keep(KeptClosing)
		case s.settling(d.free):
			s.keep(KeptSettling)
		case len(d.free) == 0:
			idle = append(idle, d)
		case s.change(d, stock, &changing, len(domains)):
		default:
			ready = append(ready, d)
			choices = append(choices, options(len(d.free), s.able(d.free), s.engine.Models))
		}
	}
	formed := false
	for i, o := range stock.pack(choices, s.engine.Models) {
		formed = formed || slices.Max(o.counts) > 0
		s.formDomain(ready[i].free, o)
	}
	for _, d := range idle {
		if !formed {
			s.change(d, stock, &changing, len(domains))
		}
	}
}

// KeptReason is the reason why no group of a domain is closed for reallocation.
type KeptReason string

// Reasons not to close a group for reallocation.
const (
	// KeptClosing means that another group of the domain is already being closed for reallocation.
	KeptClosing KeptReason = "closing"
	// KeptSettling means that an instance of the domain was first seen too recently.
	KeptSettling KeptReason = "settling"
	// KeptLimit means that the maximum number of domains is being changed already.
	KeptLimit KeptReason = "limit"
	// KeptNoGain means that no other layout of the domain has a sufficiently higher utility.
	KeptNoGain KeptReason = "no gain"
)

// keep counts a domain in which no group is closed for reallocation.
func (s *step) keep(reason KeptReason) { s.plan.Kept[reason]++ }

// change closes groups of a domain for reallocation if that gains enough utility and not too
// many domains are being changed already. It reports whether it closed any.
func (s *step) change(d *domain, stock *supply, changing *int, domains int) bool {
	if *changing > domains/s.policy.ChangingPart {
		s.keep(KeptLimit)
		return false
	}
	donors := s.donors(d, stock, options(len(d.free), s.able(d.free), s.engine.Models))
	if donors == nil {
		s.keep(KeptNoGain)
		return false
	}
	s.giveUp(donors, d.free, stock)
	*changing++
	return true
}

// giveUp marks groups to be closed for reallocation, and adds to the supply the groups that
// will be formed from their members and the free instances.
func (s *step) giveUp(donors []*formation, free []*Member, stock *supply) {
	for _, f := range donors {
		f.donor = s.now
		free, _ = s.withMembers(free, f)
		if i := s.modelIndex(f.model); i >= 0 {
			stock.have[i] -= float64(len(f.members))
		}
	}
	models := s.engine.Models
	stock.add(stock.best(options(len(free), s.able(free), models), models), models, 1)
}

// domain is a fabric domain.
type domain struct {
	free []*Member
	// groups are the serving groups; donors reports whether a group is being closed for reallocation.
	groups []*formation
	donors bool
}

// add records a group as serving or as a donor of the domain.
func (d *domain) add(f *formation) {
	switch {
	case !f.donor.IsZero():
		d.donors = true
	case f.opened && f.failed == "":
		d.groups = append(d.groups, f)
	}
}

// stock returns the current and desired numbers of instances in groups of each model.
func (s *step) stock(alive int) *supply {
	stock := newSupply(s.engine.Models, alive, &s.policy)
	if len(s.Work) == len(s.engine.Models) {
		stock = newNeededSupply(s.engine, s.Work, &s.policy)
	}
	for _, f := range s.formations {
		if i := s.modelIndex(f.model); i >= 0 && f.failed == "" && f.donor.IsZero() && !s.draining(f) {
			stock.have[i] += float64(len(f.members))
		}
	}
	return stock
}

// modelIndex returns the index of a model in the configuration, or -1.
func (s *step) modelIndex(name string) int {
	return slices.IndexFunc(s.engine.Models, func(m catalog.Model) bool { return m.Name == name })
}

// namedMembers returns the instances that are assigned to a group, including those that have
// not joined it yet.
func (s *step) namedMembers() map[state.InstanceID]bool {
	named := make(map[state.InstanceID]bool, len(s.byID))
	for _, f := range s.formations {
		for _, id := range f.members {
			named[id] = true
		}
	}
	return named
}

// formDomain forms the groups of an option from the free instances of a domain.
func (s *step) formDomain(free []*Member, o option) {
	for i, n := range o.counts {
		model := &s.engine.Models[i]
		for range n {
			members := s.choose(free, model)
			if members == nil {
				break
			}
			free = slices.DeleteFunc(slices.Clone(free), func(m *Member) bool { return slices.Contains(members, m) })
			s.start(model, members)
		}
	}
}

// settling reports whether an instance was first seen so recently that more instances may
// follow, which would allow larger groups. Once loads are costly, an instance without a model
// is ignored: it cannot join a group until a load has completed.
func (s *step) settling(free []*Member) bool {
	return slices.ContainsFunc(free, func(m *Member) bool {
		return s.now.Sub(m.Seen) < s.policy.SettleDelay && (s.Quiet || !m.empty())
	})
}

// able returns, for each model, the number of instances that are eligible for its groups.
func (s *step) able(free []*Member) []int {
	counts := make([]int, len(s.engine.Models))
	for i := range s.engine.Models {
		for _, m := range free {
			if s.fit(m, &s.engine.Models[i]) {
				counts[i]++
			}
		}
	}
	return counts
}

// fit reports whether an instance can join a group of a model without a load from the weight
// store. Before the first request loads are nearly free, so every instance is eligible. An
// instance whose last model is scarcer is reserved for that model, which it can serve soonest.
func (s *step) fit(m *Member, model *catalog.Model) bool {
	if s.Quiet || model.Load <= 0 {
		return true
	}
	kept := m.Model != model.Name && s.slope(m.Model) > s.policy.ScarcityRatio*s.slope(model.Name)
	return !kept && joinTime(m, model) < model.Load
}

// donors returns the groups of a domain to close for reallocation, or nil.
func (s *step) donors(d *domain, stock *supply, list []option) []*formation {
	var best []*formation
	least := stock.worth(s.engine.Models, stock.best(list, s.engine.Models))
	for _, chosen := range s.donorSets(d) {
		if gain := s.donorWorth(d.free, stock, chosen); gain > least {
			best, least = chosen, gain
		}
	}
	return best
}

// donorSets returns the candidate sets of groups to close for reallocation. A set holds any
// number of groups of each model, first those with the most members that can join a group of
// another model without a load, and at most as many members as two groups of the largest size.
// The limit counts members because no fixed number of groups is enough: a group of 16 needs
// the members of four groups of 4.
func (s *step) donorSets(d *domain) [][]*formation {
	sets := [][]*formation{nil}
	most := 2 * s.largestSize()
	for _, m := range s.engine.Models {
		var old []*formation
		for _, f := range d.groups {
			if f.model == m.Name && s.now.Sub(f.formed) >= s.policy.DonorAge {
				old = append(old, f)
			}
		}
		slices.SortStableFunc(old, func(a, b *formation) int { return cmp.Compare(s.transferable(b), s.transferable(a)) })
		for _, before := range sets {
			for n := 1; n <= len(old) && memberCount(before)+memberCount(old[:n]) <= most; n++ {
				sets = append(sets, slices.Concat(before, old[:n]))
			}
		}
	}
	return sets[1:]
}

// largestSize returns the size of the largest group of any model.
func (s *step) largestSize() int {
	largest := 0
	for _, m := range s.engine.Models {
		largest = max(largest, m.Size)
	}
	return largest
}

// memberCount returns the total number of members of groups.
func memberCount(groups []*formation) int {
	n := 0
	for _, f := range groups {
		n += len(f.members)
	}
	return n
}

// transferable returns the number of members of a group that can join a group of another model without a load.
func (s *step) transferable(f *formation) int {
	n := 0
	for _, id := range f.members {
		m := s.byID[id]
		if m != nil && slices.ContainsFunc(s.engine.Models, func(o catalog.Model) bool { return o.Name != f.model && s.fit(m, &o) }) {
			n++
		}
	}
	return n
}

// donorWorth returns the utility of the best groups that can be formed from free instances and
// the members of the chosen groups, less the utility of the chosen groups and the required gain.
// It returns 0 if a model or a member of the chosen groups is unknown.
func (s *step) donorWorth(free []*Member, stock *supply, chosen []*formation) float64 {
	models := s.engine.Models
	before, slopes := slices.Clone(stock.have), s.slopes
	defer func() { stock.have, s.slopes = before, slopes }()
	stock.have = slices.Clone(before)
	lost := 0.0
	for _, f := range chosen {
		joined, whole := s.withMembers(free, f)
		i := s.modelIndex(f.model)
		if i < 0 || !whole {
			return 0
		}
		size := float64(len(f.members))
		lost += stock.value(i, stock.have[i]) - stock.value(i, stock.have[i]-size) + s.policy.DonorGain*size
		stock.have[i] -= size
		free = joined
	}
	// Once the groups are closed, reservations for scarcer models depend on the new slopes.
	s.slopes = stock.slopes()
	return stock.worth(models, stock.best(options(len(free), s.able(free), models), models)) - lost
}

// withMembers returns the free instances and the members of a group. The second result is
// false if a member is unknown.
func (s *step) withMembers(free []*Member, f *formation) ([]*Member, bool) {
	joined := slices.Clone(free)
	for _, id := range f.members {
		m := s.byID[id]
		if m == nil {
			return nil, false
		}
		joined = append(joined, m)
	}
	return joined, true
}

// choose selects the members of a new group: the instances that become ready soonest. It
// returns nil if there are too few.
func (s *step) choose(free []*Member, model *catalog.Model) []*Member {
	var sorted []*Member
	for _, m := range free {
		if s.fit(m, model) {
			sorted = append(sorted, m)
		}
	}
	if len(sorted) < model.Size {
		return nil
	}
	slices.SortStableFunc(sorted, func(a, b *Member) int {
		return cmp.Compare(joinTime(a, model), joinTime(b, model))
	})
	return sorted[:model.Size]
}

// start creates a new group and orders its members to join.
func (s *step) start(model *catalog.Model, members []*Member) {
	epoch := s.next(s.newest)
	s.newest = epoch
	key := fleet.GroupKey{Group: state.GroupName(fmt.Sprintf("g%d", epoch)), Epoch: epoch}
	f := &formation{model: model.Name, since: s.now, formed: s.now, joined: map[state.InstanceID]bool{}}
	for _, m := range members {
		f.members = append(f.members, m.ID)
		s.named[m.ID] = true
	}
	s.formations[key] = f
	for _, m := range members {
		s.join(key, f, m)
	}
}

// sortedKeys returns the names of the domains in ascending order.
func sortedKeys(m map[string]*domain) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
