package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Staging is a load of a model to a host that is in progress.
type Staging struct {
	Instance state.InstanceID
	Model    string
	Since    time.Time
}

// Stagings returns the stagings in progress, sorted by instance.
func (p *Planner) Stagings() []Staging {
	var list []Staging
	for _, st := range p.staging {
		list = append(list, st)
	}
	slices.SortFunc(list, func(a, b Staging) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Adopt records stagings that another planner has ordered, so that they are not ordered again
// and count toward the load limits of the weight store.
func (p *Planner) Adopt(list []Staging) {
	for _, st := range list {
		if _, known := p.staging[st.Instance]; !known {
			p.staging[st.Instance] = st
			p.loads = append(p.loads, st.Since)
		}
	}
}

// mayLoad reports whether the limits of the weight store allow another load, and if so counts it.
func (s *step) mayLoad() bool {
	if !s.Quiet && len(s.staging) >= max(s.engine.LoadsAtOnce, 1) {
		return false
	}
	s.loads = slices.DeleteFunc(s.loads, func(t time.Time) bool { return s.now.Sub(t) > s.policy.LoadWindow })
	most := int(s.engine.LoadsPerSecond * s.policy.LoadWindow.Seconds() * s.policy.LoadPart)
	if s.now.Sub(s.began) < s.policy.LoadWindow {
		most /= 2 // the previous leader may have ordered loads that it had not reported
	}
	if !s.Quiet && len(s.loads) >= most {
		return false
	}
	s.loads = append(s.loads, s.now)
	return true
}

// stage orders instances to load to their hosts the models that they may need next. The weight
// store supports few concurrent loads, so free instances come first, in descending order of the
// utility gain for their domain. Members of groups stage only while loads are nearly free.
func (s *step) stage() {
	if s.Quiet || len(s.staging) < max(s.engine.LoadsAtOnce, 1) {
		for _, l := range s.wantedLoads() {
			s.stageModel(l.member, l.model)
		}
	}
	if s.Quiet {
		s.stageOther(s.serving)
		s.stageOther(s.spare)
	}
}

// wantedLoad is a model that a free instance should load to its host.
type wantedLoad struct {
	member *Member
	model  string
	gain   float64
}

// wantedLoads returns the loads to free instances that gain enough utility, the highest gain first.
func (s *step) wantedLoads() []wantedLoad {
	if !s.Quiet && s.now.Sub(s.staged) < s.policy.StagingInterval {
		return nil
	}
	s.staged = s.now
	// Staged models are used after traffic has begun, so the gain is computed as if loads were
	// no longer nearly free.
	quiet := s.Quiet
	s.Quiet = false
	defer func() { s.Quiet = quiet }()
	var list []wantedLoad
	for _, name := range sortedKeys(s.domains) {
		for i := range s.engine.Models {
			list = append(list, s.loadsOf(s.domains[name], s.engine.Models[i].Name, s.engine.Models[i].Size)...)
		}
	}
	slices.SortStableFunc(list, func(a, b wantedLoad) int { return cmp.Compare(b.gain, a.gain) })
	return list
}

// loadsOf returns the loads of a model to free instances of a domain. Their number, at most
// most, is the one with the highest gain per load: a group may lack several members that have
// the model, so that a single load would gain nothing.
func (s *step) loadsOf(d *domain, model string, most int) []wantedLoad {
	var lacking []*Member
	for _, m := range d.free {
		if s.spare(m) && s.staging[m.ID].Model == "" && m.Model != model && !m.HasStaged(model) {
			lacking = append(lacking, m)
		}
	}
	slices.SortStableFunc(lacking, func(a, b *Member) int { return cmp.Compare(s.slope(a.Model), s.slope(b.Model)) })
	before := s.prospect(d, s.withStaging(d.free, nil, ""))
	var best []*Member
	gain := s.policy.MinStagingGain
	for n := 1; n <= min(len(lacking), most); n++ {
		after := s.prospect(d, s.withStaging(d.free, lacking[:n], model))
		if each := (after - before) / float64(n); each > gain {
			best, gain = lacking[:n], each
		}
	}
	var list []wantedLoad
	for _, m := range best {
		list = append(list, wantedLoad{m, model, gain})
	}
	return list
}

// stageOther orders the instances selected by kind to stage a model other than the one that they
// last had. Instances that have a staged model but no last model are skipped.
func (s *step) stageOther(kind func(m *Member) bool) {
	for _, id := range s.ids {
		if m := s.byID[id]; kind(m) && (m.Model != "" || len(m.Staged) == 0) {
			s.stageModel(m, s.otherModel(m.Model))
		}
	}
}

// mayBeLoading reports whether an ordered load may still be in progress. A load superseded by the
// order of another leader never completes, and no other load is ordered to the instance while
// this one counts as in progress, so the time is bounded.
func (s *step) mayBeLoading(st Staging) bool {
	return s.now.Sub(st.Since) <= min(s.joinTime(st.Model)+s.policy.JoinMargin, s.policy.StagingTimeout)
}

// spare reports whether an instance is usable, is neither in nor assigned to a group, and was
// first seen more than twice the settle delay ago.
func (s *step) spare(m *Member) bool {
	return m.usable() && m.Membership.Group == "" && !s.named[m.ID] && s.now.Sub(m.Seen) > 2*s.policy.SettleDelay && s.domains[m.Domain] != nil
}

// slope returns the marginal utility of one more instance in groups of a model, or 0 if the
// model is unknown.
func (s *step) slope(model string) float64 {
	if i := s.modelIndex(model); i >= 0 {
		return s.slopes[i]
	}
	return 0
}

// stageModel orders an instance to load a model to its host, if the limits of the weight store allow it.
func (s *step) stageModel(m *Member, model string) {
	if m.Pending || !m.usable() || model == "" || m.HasStaged(model) || s.staging[m.ID].Model != "" || !s.mayLoad() {
		return
	}
	s.staging[m.ID] = Staging{Instance: m.ID, Model: model, Since: s.now}
	s.order(m, Order{Action: Stage, Model: model, Why: "for a later repair"})
}

// prospect returns the utility of the groups that a domain can form from free instances: what
// it can form now, plus the mean of what it can form after one of its groups loses a member.
func (s *step) prospect(d *domain, free []*Member) float64 {
	worth := s.bestWorth(free)
	for _, f := range d.groups {
		worth += s.worthAfterLoss(free, f) / float64(len(d.groups))
	}
	return worth
}

// withStaging returns copies of the free instances as they will be once the stagings in progress
// have completed and the instances in some have staged model.
func (s *step) withStaging(free, some []*Member, model string) []*Member {
	list := make([]*Member, 0, len(free))
	for _, m := range free {
		will := *m
		if st := s.staging[m.ID]; st.Model != "" {
			will.Staged = []string{st.Model}
		}
		if slices.Contains(some, m) {
			will.Staged = []string{model}
		}
		list = append(list, &will)
	}
	return list
}

// bestWorth returns the utility of the best groups that free instances can form.
func (s *step) bestWorth(free []*Member) float64 {
	models := s.engine.Models
	return s.supply.worth(models, s.supply.best(options(len(free), s.able(free), models), models))
}

// worthAfterLoss returns the utility of the best groups that can be formed from free instances and
// the remaining members of a group that loses one member.
func (s *step) worthAfterLoss(free []*Member, f *formation) float64 {
	joined, whole := s.withMembers(free, f)
	i := s.modelIndex(f.model)
	if !whole || i < 0 {
		return 0
	}
	size := float64(len(f.members))
	s.supply.have[i] -= size
	defer func() { s.supply.have[i] += size }()
	return s.bestWorth(joined[:len(joined)-1])
}

// otherModel returns the first model with a name other than the given one, or an empty string.
func (s *step) otherModel(name string) string {
	for _, m := range s.engine.Models {
		if m.Name != name {
			return m.Name
		}
	}
	return ""
}
