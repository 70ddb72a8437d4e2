package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Staging is a load of a model to a host that is in progress.
type Staging struct {
	Instance  state.InstanceID
	Model     string
	StartedAt time.Time
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

// RecordStagings records stagings that another planner has ordered, so that they are not ordered again
// and count toward the load limits of the weight store.
func (p *Planner) RecordStagings(list []Staging) {
	for _, st := range list {
		if _, known := p.staging[st.Instance]; !known {
			p.staging[st.Instance] = st
			p.loadTimes = append(p.loadTimes, st.StartedAt)
		}
	}
}

// reserveLoad reports whether the limits of the weight store allow another load, and if so counts it.
func (s *step) reserveLoad() bool {
	if !s.BeforeTraffic && len(s.staging) >= max(s.engine.MaxConcurrentLoads, 1) {
		return false
	}
	s.loadTimes = slices.DeleteFunc(s.loadTimes, func(t time.Time) bool { return s.now.Sub(t) > s.policy.LoadWindow })
	maxLoads := int(s.engine.MaxLoadsPerSecond * s.policy.LoadWindow.Seconds() * s.policy.LoadPart)
	if s.now.Sub(s.startedAt) < s.policy.LoadWindow {
		maxLoads /= 2 // the previous leader may have ordered loads that it had not reported
	}
	if !s.BeforeTraffic && len(s.loadTimes) >= maxLoads {
		return false
	}
	s.loadTimes = append(s.loadTimes, s.now)
	return true
}

// stage orders instances to load to their hosts the models that they may need next. The weight
// store supports few concurrent loads, so those that gain the most utility come first: loads of free
// instances for a repair in their domain, and loads that prepare a transfer to a scarce model. While
// loads are nearly free, all other members of groups and spares stage another model as well.
func (s *step) stage() {
	if s.BeforeTraffic || len(s.staging) < max(s.engine.MaxConcurrentLoads, 1) {
		for _, l := range s.wantedLoads() {
			s.stageModel(l.member, l.model)
		}
	}
	if s.BeforeTraffic {
		s.stageAlternates(s.isServing)
		s.stageAlternates(s.isSpare)
	}
}

// wantedLoad is a model that an instance should load to its host.
type wantedLoad struct {
	member *Member
	model  string
	gain   float64
}

// wantedLoads returns the loads that gain enough utility, the highest gain first.
func (s *step) wantedLoads() []wantedLoad {
	if !s.BeforeTraffic && s.now.Sub(s.stagingEvaluatedAt) < s.policy.StagingInterval {
		return nil
	}
	s.stagingEvaluatedAt = s.now
	// Staged models are used after traffic has begun, so the gain is computed as if loads were
	// no longer nearly free.
	quiet := s.BeforeTraffic
	s.BeforeTraffic = false
	defer func() { s.BeforeTraffic = quiet }()
	var list []wantedLoad
	for _, name := range sortedDomainNames(s.domains) {
		for i := range s.engine.Models {
			list = append(list, s.bestLoads(s.domains[name], s.engine.Models[i].Name, s.engine.Models[i].GroupSize)...)
		}
	}
	if !quiet {
		list = append(list, s.transferLoads()...)
		list = append(list, s.emptyHostLoads()...)
	}
	slices.SortStableFunc(list, func(a, b wantedLoad) int { return cmp.Compare(b.gain, a.gain) })
	return list
}

// emptyHostLoads returns a load of the scarcest model for each spare without any model. The other loads count on
// the loss of one member at a time, so that they leave such spares of a domain without a model that could still
// repair it after several losses, or complete a group with later spares.
func (s *step) emptyHostLoads() []wantedLoad {
	if len(s.engine.Models) == 0 {
		return nil
	}
	scarcest := 0
	for i := range s.marginalUtilities {
		if s.marginalUtilities[i] > s.marginalUtilities[scarcest] {
			scarcest = i
		}
	}
	var list []wantedLoad
	for _, name := range sortedDomainNames(s.domains) {
		for _, m := range s.domains[name].free {
			if s.isSpare(m) && s.hasNoModel(m) {
				list = append(list, wantedLoad{member: m, model: s.engine.Models[scarcest].Name})
			}
		}
	}
	return list
}

// bestLoads returns the loads of a model to free instances of a domain. Their number, at most
// maxLoads, is the one with the highest gain per load: a group may lack several members that have
// the model, so that a single load would gain nothing.
func (s *step) bestLoads(d *domain, model string, maxLoads int) []wantedLoad {
	var candidates []*Member
	for _, m := range d.free {
		if s.isSpare(m) && s.staging[m.ID].Model == "" && m.Model != model && !m.HasStaged(model) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, s.compareStagingCost)
	before := s.expectedUtility(d, s.withStaging(d.free, nil, ""))
	var best []*Member
	gain := s.policy.MinStagingGain
	for n := 1; n <= min(len(candidates), maxLoads); n++ {
		after := s.expectedUtility(d, s.withStaging(d.free, candidates[:n], model))
		if gainPerLoad := (after - before) / float64(n); gainPerLoad > gain {
			best, gain = candidates[:n], gainPerLoad
		}
	}
	var list []wantedLoad
	for _, m := range best {
		list = append(list, wantedLoad{m, model, gain})
	}
	return list
}

// compareStagingCost compares two instances by what their hosts may give up for another model: first those without any
// configured model, then those whose last model is the least scarce.
func (s *step) compareStagingCost(a, b *Member) int {
	if isEmpty := s.hasNoModel(a); isEmpty != s.hasNoModel(b) {
		if isEmpty {
			return -1
		}
		return 1
	}
	return cmp.Compare(s.marginalUtility(a.Model), s.marginalUtility(b.Model))
}

// stageAlternates orders the instances for which selected returns true to stage a model other than
// the one that they last had. Instances that have a staged model but no last model are skipped.
func (s *step) stageAlternates(selected func(m *Member) bool) {
	for _, id := range s.ids {
		if m := s.byID[id]; selected(m) && (m.Model != "" || len(m.Staged) == 0) {
			s.stageModel(m, s.otherModel(m.Model))
		}
	}
}

// mayBeInProgress reports whether an ordered load may still be in progress. A load superseded by
// the order of another leader never completes, and no other load is ordered to the instance while
// this one counts as in progress, so the time is bounded.
func (s *step) mayBeInProgress(st Staging) bool {
	return s.now.Sub(st.StartedAt) <= min(s.maxJoinTime(st.Model)+s.policy.JoinMargin, s.policy.StagingTimeout)
}

// isSpare reports whether an instance is usable, is neither in nor assigned to a group, and was
// first seen more than twice the settle delay ago.
func (s *step) isSpare(m *Member) bool {
	return m.usable() && m.Membership.Group == "" && !s.assigned[m.ID] && s.now.Sub(m.FirstSeen) > 2*s.policy.SettleDelay && s.domains[m.Domain] != nil
}

// marginalUtility returns the marginal utility of one more instance in groups of a model, or 0 if
// the model is unknown.
func (s *step) marginalUtility(model string) float64 {
	if i, configured := s.modelIndex(model); configured {
		return s.marginalUtilities[i]
	}
	return 0
}

// stageModel orders an instance to load a model to its host, if the limits of the weight store allow it.
func (s *step) stageModel(m *Member, model string) {
	if m.OrderPending || !m.usable() || model == "" || m.HasStaged(model) || s.staging[m.ID].Model != "" || !s.reserveLoad() {
		return
	}
	if s.addOrder(m, Order{Action: Stage, Model: model, Reason: "for a later repair"}) {
		s.staging[m.ID] = Staging{Instance: m.ID, Model: model, StartedAt: s.now}
	}
}

// expectedUtility returns the utility of the groups that a domain can form from free instances:
// what it can form now, plus the mean of what it can form after one of its groups loses a member.
func (s *step) expectedUtility(d *domain, free []*Member) float64 {
	utility := s.bestUtility(free)
	for _, g := range d.groups {
		utility += s.utilityAfterLoss(free, g) / float64(len(d.groups))
	}
	return utility
}

// withStaging returns copies of the free instances as they will be once the stagings in progress
// have completed and the instances in staging have staged model.
func (s *step) withStaging(free, staging []*Member, model string) []*Member {
	list := make([]*Member, 0, len(free))
	for _, m := range free {
		updated := *m
		if st := s.staging[m.ID]; st.Model != "" {
			updated.Staged = []string{st.Model}
		}
		if slices.Contains(staging, m) {
			updated.Staged = []string{model}
		}
		list = append(list, &updated)
	}
	return list
}

// bestUtility returns the utility of the best groups that free instances can form.
func (s *step) bestUtility(free []*Member) float64 {
	models := s.engine.Models
	return s.alloc.utilityGain(models, s.alloc.best(maximalLayouts(len(free), s.eligibleCounts(free), models), models))
}

// utilityAfterLoss returns the utility of the best groups that can be formed from free instances
// and the remaining members of a group that loses one member.
func (s *step) utilityAfterLoss(free []*Member, g servingGroup) float64 {
	combined, ok := s.withMembers(free, g.group)
	if !ok {
		return 0
	}
	i, size := g.modelIndex, float64(len(g.members))
	s.alloc.current[i] -= size
	defer func() { s.alloc.current[i] += size }()
	return s.bestUtility(combined[:len(combined)-1])
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
