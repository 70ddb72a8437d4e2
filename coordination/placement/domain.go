package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// form makes new groups of free instances.
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

// formDomains makes groups of the free instances of all domains. Domains without
// free ones give up groups for others only while nothing is formed: else two
// domains could change in turn for the same want.
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

// KeptReason is why no group of a domain is closed for its members.
type KeptReason string

// The reasons.
const (
	// KeptClosing: another group of the domain is being closed for them.
	KeptClosing KeptReason = "closing"
	// KeptSettling: an instance of the domain is too new.
	KeptSettling KeptReason = "settling"
	// KeptLimit: enough domains change already.
	KeptLimit KeptReason = "limit"
	// KeptNoGain: no other groups are worth more.
	KeptNoGain KeptReason = "no gain"
)

// keep counts a domain whose groups stay for a reason.
func (s *step) keep(reason KeptReason) { s.plan.Kept[reason]++ }

// change has groups of a domain closed for their members if that gains enough and
// not too many domains change already, and reports whether it did.
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

// giveUp has groups closed for their members, and counts what will be formed of
// these and the free ones.
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

// domain is one fabric domain.
type domain struct {
	free []*Member
	// groups are those that serve, donors tells that one is being closed for its members.
	groups []*formation
	donors bool
}

// add counts a formation to its domain.
func (d *domain) add(f *formation) {
	switch {
	case !f.donor.IsZero():
		d.donors = true
	case f.opened && f.failed == "":
		d.groups = append(d.groups, f)
	}
}

// stock counts the instances in groups of each model.
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

// modelIndex returns the place of a model in the configuration, or -1.
func (s *step) modelIndex(name string) int {
	return slices.IndexFunc(s.engine.Models, func(m catalog.Model) bool { return m.Name == name })
}

// namedMembers returns the instances that a formation names as members, also those
// that have not joined it.
func (s *step) namedMembers() map[state.InstanceID]bool {
	named := make(map[state.InstanceID]bool, len(s.byID))
	for _, f := range s.formations {
		for _, id := range f.members {
			named[id] = true
		}
	}
	return named
}

// formDomain makes the groups of an option.
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

// settling reports whether an instance of a domain is so new that others may follow
// it, with which larger groups could be formed. One that has no model yet cannot
// join a group for as long as a load takes, so it is not waited for.
func (s *step) settling(free []*Member) bool {
	return slices.ContainsFunc(free, func(m *Member) bool {
		return s.now.Sub(m.Seen) < s.policy.SettleDelay && (s.Quiet || !m.empty())
	})
}

// able returns how many instances can soon be members of a group of each model.
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

// fit reports whether an instance can join a group of a model without a load from
// the weight store; before the first request, loads are nearly free. An instance
// that would be quick in a group of a scarcer model is kept for that one.
func (s *step) fit(m *Member, model *catalog.Model) bool {
	if s.Quiet || model.Load <= 0 {
		return true
	}
	kept := m.Model != model.Name && s.slope(m.Model) > s.policy.ScarcityRatio*s.slope(model.Name)
	return !kept && joinTime(m, model) < model.Load
}

// donors returns the groups of a domain that should be closed for their members.
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

// donorSets returns the sets of groups that may be closed for their members: any
// number of each model, those first whose members can join other groups soonest, with
// no more members than two of the largest groups have. A group of 16 takes the
// members of four groups of 4, so that no fixed number of groups is enough.
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

// largestSize returns the number of instances in a group of the largest model.
func (s *step) largestSize() int {
	largest := 0
	for _, m := range s.engine.Models {
		largest = max(largest, m.Size)
	}
	return largest
}

// memberCount returns how many instances some groups have.
func memberCount(groups []*formation) int {
	n := 0
	for _, f := range groups {
		n += len(f.members)
	}
	return n
}

// transferable returns how many members of a group can join one of another model without a load.
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

// donorWorth returns what can be formed of free instances and the members of some groups, less what these are worth.
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
	// Which instances are kept for which model will be judged once the groups are closed.
	s.slopes = stock.slopes()
	return stock.worth(models, stock.best(options(len(free), s.able(free), models), models)) - lost
}

// withMembers returns instances together with the members of a formation; false if one of these is not known.
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

// choose picks the members of a new group: those that are ready soonest.
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

// start makes a new formation and orders its members to join.
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

// sortedKeys returns the names of domains in order.
func sortedKeys(m map[string]*domain) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
