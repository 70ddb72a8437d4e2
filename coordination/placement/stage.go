package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Staging is a load to a host that is under way.
type Staging struct {
	Instance state.InstanceID
	Model    string
	Since    time.Time
}

// Stagings returns the loads to hosts that are under way, by instance.
func (p *Planner) Stagings() []Staging {
	var list []Staging
	for _, st := range p.staging {
		list = append(list, st)
	}
	slices.SortFunc(list, func(a, b Staging) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Adopt records loads that another planner has ordered, so that they are neither
// ordered again nor left out of what the weight store carries.
func (p *Planner) Adopt(list []Staging) {
	for _, st := range list {
		if _, known := p.staging[st.Instance]; !known {
			p.staging[st.Instance] = st
			p.loads = append(p.loads, st.Since)
		}
	}
}

// mayLoad takes a load out of what the weight store carries, if it carries it.
func (s *step) mayLoad() bool {
	if !s.Quiet && len(s.staging) >= max(s.engine.LoadsAtOnce, 1) {
		return false
	}
	s.loads = slices.DeleteFunc(s.loads, func(t time.Time) bool { return s.now.Sub(t) > s.policy.LoadWindow })
	most := int(s.engine.LoadsPerSecond * s.policy.LoadWindow.Seconds() * s.policy.LoadPart)
	if s.now.Sub(s.began) < s.policy.LoadWindow {
		most /= 2 // the leader before this one may have ordered loads that it told nobody of
	}
	if !s.Quiet && len(s.loads) >= most {
		return false
	}
	s.loads = append(s.loads, s.now)
	return true
}

// stage has instances load to their hosts the model that they may need next.
// The weight store carries few loads at once, so instances in no group come
// first, those whose domain gains most by it before the others, and members of
// groups only while loads are nearly free.
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

// wantedLoad is a model that an instance in no group should load to its host.
type wantedLoad struct {
	member *Member
	model  string
	gain   float64
}

// wantedLoads returns the loads to instances in no group that are worth most, the best first.
func (s *step) wantedLoads() []wantedLoad {
	if !s.Quiet && s.now.Sub(s.staged) < s.policy.StagingInterval {
		return nil
	}
	s.staged = s.now
	// What is prepared now serves when loads are no longer nearly free.
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

// loadsOf returns the loads of a model to instances of a domain, as many as gain
// most for each: a group may lack several members that have the model.
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

// stageOther has instances of a kind that have staged nothing load another model than they have.
func (s *step) stageOther(kind func(m *Member) bool) {
	for _, id := range s.ids {
		if m := s.byID[id]; kind(m) && (m.Model != "" || len(m.Staged) == 0) {
			s.stageModel(m, s.otherModel(m.Model))
		}
	}
}

// mayBeLoading reports whether a load that was ordered may still be under way. One that another
// leader's order has superseded never ends, and no other may be ordered while it is counted on.
func (s *step) mayBeLoading(st Staging) bool {
	return s.now.Sub(st.Since) <= min(s.joinTime(st.Model)+s.policy.JoinMargin, s.policy.StagingTimeout)
}

// spare reports whether an instance is in no group, nor named by one, and has been seen for a while.
func (s *step) spare(m *Member) bool {
	return m.usable() && m.Membership.Group == "" && !s.named[m.ID] && s.now.Sub(m.Seen) > 2*s.policy.SettleDelay && s.domains[m.Domain] != nil
}

// slope is what one more instance in groups of a model is worth.
func (s *step) slope(model string) float64 {
	if i := s.modelIndex(model); i >= 0 {
		return s.slopes[i]
	}
	return 0
}

// stageModel orders an instance to load a model to its host, if the weight store carries it.
func (s *step) stageModel(m *Member, model string) {
	if m.Pending || !m.usable() || model == "" || m.HasStaged(model) || s.staging[m.ID].Model != "" || !s.mayLoad() {
		return
	}
	s.staging[m.ID] = Staging{Instance: m.ID, Model: model, Since: s.now}
	s.order(m, Order{Action: Stage, Model: model, Why: "for a later repair"})
}

// prospect returns what the groups are worth that a domain can form of free
// instances, now and after the loss of a member of each of its groups.
func (s *step) prospect(d *domain, free []*Member) float64 {
	worth := s.bestWorth(free)
	for _, f := range d.groups {
		worth += s.worthAfterLoss(free, f) / float64(len(d.groups))
	}
	return worth
}

// withStaging returns free instances as they will be once they have loaded what
// they stage now, and some of them a model besides.
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

// bestWorth returns what the best groups of some free instances are worth.
func (s *step) bestWorth(free []*Member) float64 {
	models := s.engine.Models
	return s.supply.worth(models, s.supply.best(options(len(free), s.able(free), models), models))
}

// worthAfterLoss returns what can be formed of free instances and the rest of a group that loses a member.
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

// otherModel returns the first model that is not the given one.
func (s *step) otherModel(name string) string {
	for _, m := range s.engine.Models {
		if m.Name != name {
			return m.Name
		}
	}
	return ""
}
