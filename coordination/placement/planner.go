package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// Member is the planner's view of an instance.
type Member struct {
	fleet.Instance
	// AcceptedOrders is the number of orders that the instance has accepted; it is valid only if OrdersKnown is set.
	AcceptedOrders int64
	OrdersKnown    bool
	// MembershipKnown reports whether the membership is known from recent information.
	MembershipKnown bool
	// Unlisted reports whether the instance has been missing from the list for longer than
	// a heartbeat interval: it may be leaving, and as a head it would receive no requests.
	Unlisted bool
	// Lost reports whether the instance has failed: it answers no node, and there is evidence that it has ended or it has been
	// silent for too long. Ended reports whether its process has certainly ended.
	Lost  bool
	Ended bool
	// Silent reports whether the instance answers no node, but may only be paused. Its group gets no new requests, but keeps
	// those that it has.
	Silent bool
	// Far reports whether the instance does not answer this node but may answer others. Its
	// group continues to serve those, but no orders can be sent to it.
	Far bool
	// evacuated reports whether the instance's hall is evacuated.
	evacuated bool
	// OrderPending reports whether an order to the instance is still unanswered.
	OrderPending bool
	// SupersededGroup is the group that the instance last refused to join because it had seen a later epoch.
	SupersededGroup fleet.GroupKey
	// ColdUntil is when the instance stops being cold; zero if it is warm or if that has no consequences.
	ColdUntil time.Time
	// FirstSeen is when the instance was first seen.
	FirstSeen time.Time
}

// usable reports whether the instance can become a member of a new group.
func (m *Member) usable() bool {
	return !m.Lost && !m.Silent && !m.Far && !m.Ended && !m.Draining && !m.Unlisted && !m.evacuated
}

// orderKey identifies an order that was sent; sentOrder adds the time of sending.
type orderKey struct {
	action Action
	key    fleet.GroupKey
	model  string
}

type sentOrder struct {
	orderKey
	at time.Time
}

// Planner plans the groups of one engine service. It is not safe for concurrent use.
type Planner struct {
	engine    *catalog.Engine
	policy    Policy
	nextEpoch func(seen state.Epoch) state.Epoch
	groups    map[fleet.GroupKey]*group
	loadTimes []time.Time
	// startedAt is the time of the first call of Step.
	startedAt time.Time
	sent      map[state.InstanceID]sentOrder
	staging   map[state.InstanceID]Staging
	// spareSince is when free instances of a domain were first found to have a model of which they form no group.
	spareSince map[string]time.Time
	// stagingEvaluatedAt is the time at which the models to stage were last evaluated.
	stagingEvaluatedAt time.Time
	// BeforeTraffic reports whether no request has arrived yet, in which case loads are nearly free.
	BeforeTraffic bool
	// ConfigStale reports whether a newer configuration may exist, since the store has not confirmed the current one for some time. No
	// group is given up for a stale one: it may be of a model that only the newer one has.
	ConfigStale bool
	// Demand is the demand for each model: the average number of slots that its requests occupy
	// in groups of pace 1. It is nil if unknown.
	Demand []float64
	// Evacuated holds the evacuated halls. Their groups stay formed, but do not count as capacity.
	Evacuated evacuation.View
	// DemandByHall is the fraction of the demand for each model that arrives in each hall. It is nil if unknown, or if it does
	// not matter in which hall a group is.
	DemandByHall []map[state.HallName]float64
}

// NewPlanner returns a Planner. The function nextEpoch must return a new epoch that is greater
// than seen.
func NewPlanner(engine *catalog.Engine, policy Policy, nextEpoch func(seen state.Epoch) state.Epoch) *Planner {
	return &Planner{
		engine:    engine,
		policy:    policy,
		nextEpoch: nextEpoch,
		groups:    map[fleet.GroupKey]*group{},
		sent:      map[state.InstanceID]sentOrder{},
		staging:   map[state.InstanceID]Staging{},
	}
}

// SetEngine sets the configuration of the service.
func (p *Planner) SetEngine(engine *catalog.Engine) { p.engine = engine }

// Plan is the result of one planning step.
type Plan struct {
	Orders []Order
	// Probes lists the instances to probe for a report.
	Probes []state.InstanceID
	// InTransition reports whether a transition is in progress whose completion should be noticed quickly.
	InTransition bool
	// OpenGroups is the number of open groups of each model, FreeInstances the number of usable instances in no group.
	OpenGroups    map[string]int
	FreeInstances int
	// DesiredInstances is the desired number of instances in groups of each model.
	DesiredInstances map[string]float64
	// Skipped is the number of domains in which no group is closed for reallocation, by reason.
	Skipped map[SkipReason]int
	// Spares is the number of free instances by loaded and staged models, for the log.
	Spares map[string]int
	// ExcludedGroups holds the groups that must not receive new requests, with the reason.
	ExcludedGroups map[fleet.GroupKey]string
	// Retired lists the groups that this step began to give up because of a change of the configuration.
	Retired []RetiredGroup
}

// step holds the state of one call of Step.
type step struct {
	*Planner
	now  time.Time
	byID map[state.InstanceID]*Member
	// ids are the sorted instance ids; assigned holds the instances that are assigned to a group.
	ids            []state.InstanceID
	assigned       map[state.InstanceID]bool
	membersByGroup map[fleet.GroupKey][]*Member
	plan           Plan
	highestEpoch   state.Epoch
	domains        map[string]*domain
	alloc          *allocation
	// marginalUtilities are the marginal utilities of one more instance in groups of each model.
	marginalUtilities []float64
	// nextSpareSince replaces Planner.spareSince.
	nextSpareSince map[string]time.Time
}

// Step returns the plan for the given instances, which are all instances of the service.
func (p *Planner) Step(now time.Time, members []Member) Plan {
	s := &step{
		Planner:        p,
		now:            now,
		byID:           make(map[state.InstanceID]*Member, len(members)),
		membersByGroup: map[fleet.GroupKey][]*Member{},
		plan:           Plan{ExcludedGroups: map[fleet.GroupKey]string{}, Skipped: map[SkipReason]int{}},
	}
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	for i := range members {
		m := &members[i]
		s.byID[m.ID] = m
		m.evacuated = p.Evacuated[m.Hall] != evacuation.Admitted
		s.highestEpoch = max(s.highestEpoch, m.Membership.Epoch)
		if m.Membership.Group != "" && !m.Ended {
			s.membersByGroup[m.Membership.Key()] = append(s.membersByGroup[m.Membership.Key()], m)
		}
	}
	s.ids = sortedIDs(s.byID)
	for _, key := range s.groupKeys() {
		s.reconcile(key)
	}
	s.assigned = s.assignedMembers()
	s.formGroups()
	s.summarize()
	s.stage()
	s.removeExpired()
	return s.plan
}

// groupKeys returns all groups that instances report or the planner has recorded, in order of epoch.
func (s *step) groupKeys() []fleet.GroupKey {
	var keys []fleet.GroupKey
	for key := range s.membersByGroup {
		keys = append(keys, key)
	}
	for key := range s.groups {
		if s.membersByGroup[key] == nil {
			keys = append(keys, key)
		}
		s.highestEpoch = max(s.highestEpoch, key.Epoch)
	}
	slices.SortFunc(keys, func(a, b fleet.GroupKey) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Group, b.Group))
	})
	return keys
}

// maxJoinTime returns the maximum time that members of a group of a model may take to become
// ready, not counting the margin. For a model that the configuration does not have it is the longest of all.
func (s *step) maxJoinTime(model string) time.Duration {
	if m := s.engine.Model(model); m != nil {
		return 2 * m.LoadTime
	}
	var longest time.Duration
	for i := range s.engine.Models {
		longest = max(longest, 2*s.engine.Models[i].LoadTime)
	}
	return longest
}

// addOrder adds an order to the plan, unless an equal one was sent within the order interval or
// another is unanswered. A join needs the number of orders that the instance has accepted; if
// that is unknown, the instance is probed instead. It reports whether the order was added.
func (s *step) addOrder(m *Member, o Order) bool {
	last := orderKey{o.Action, o.Key, o.Model}
	if m.OrderPending || (s.sent[m.ID].orderKey == last && s.now.Sub(s.sent[m.ID].at) < s.policy.OrderInterval) {
		return false
	}
	if o.Action == Join && (!m.OrdersKnown || !m.MembershipKnown) {
		s.plan.Probes = append(s.plan.Probes, m.ID)
		return false
	}
	m.OrderPending = true
	s.sent[m.ID] = sentOrder{last, s.now}
	o.Instance, o.Address = m.ID, m.Address
	s.plan.Orders = append(s.plan.Orders, o)
	return true
}

// joinTime returns the time that an instance takes to become ready in a group of a model.
func joinTime(m *Member, model *catalog.Model) time.Duration {
	switch {
	case m.Model == model.Name:
		return 0
	case m.HasStaged(model.Name):
		return model.HostLoadTime
	}
	return model.LoadTime
}

// summarize fills in the counts of open groups, desired instances and free instances.
func (s *step) summarize() {
	s.plan.OpenGroups = map[string]int{}
	s.plan.DesiredInstances = map[string]float64{}
	s.plan.Spares = map[string]int{}
	for i, m := range s.engine.Models {
		s.plan.DesiredInstances[m.Name] = math.Round(s.alloc.desired[i])
	}
	for _, g := range s.groups {
		if g.opened && g.failure == "" {
			s.plan.OpenGroups[g.model]++
		}
	}
	for _, id := range s.ids {
		m := s.byID[id]
		if m.usable() && m.Membership.Group == "" && !s.assigned[id] {
			s.plan.FreeInstances++
			s.plan.Spares[fmt.Sprintf("%q, staged %v", m.Model, m.Staged)]++
		}
	}
}

// orderRetention is how long the last order to an instance is recorded.
const orderRetention = time.Minute

// removeExpired removes expired orders and stagings that have ended.
func (s *step) removeExpired() {
	maps.DeleteFunc(s.sent, func(_ state.InstanceID, at sentOrder) bool { return s.now.Sub(at.at) > orderRetention })
	maps.DeleteFunc(s.staging, func(id state.InstanceID, st Staging) bool {
		m := s.byID[id]
		return m == nil || m.Ended || m.Lost || m.HasStaged(st.Model) || !s.mayBeInProgress(st)
	})
}

// sortedIDs returns the instance ids in ascending order.
func sortedIDs(m map[state.InstanceID]*Member) []state.InstanceID {
	ids := make([]state.InstanceID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
