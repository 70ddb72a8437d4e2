package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// Member is one instance as the planner sees it.
type Member struct {
	fleet.Instance
	// Orders is the number of orders taken; Counted tells that it is known.
	Orders  int64
	Counted bool
	// Known tells that the membership is known as of a moment ago.
	Known bool
	// Unlisted tells that the list has not shown the instance for more than a
	// beat: it may be leaving, and as a head it would get no requests.
	Unlisted bool
	// Lost tells that the instance does not answer, Gone that its process has ended for certain.
	Lost bool
	Gone bool
	// Far tells that it does not answer this node but may answer others: a group that it is in
	// goes on serving them, but it can be given no orders.
	Far bool
	// Pending tells that an order to it has not been answered yet.
	Pending bool
	// Superseded is the formation that it last refused to join for a later one.
	Superseded fleet.GroupKey
	// Seen is when the instance was first seen.
	Seen time.Time
}

// usable reports whether the instance can become a member of a new group.
func (m *Member) usable() bool { return !m.Lost && !m.Far && !m.Gone && !m.Draining && !m.Unlisted }

// empty reports whether the instance has no model, neither loaded nor on its host.
func (m *Member) empty() bool { return m.Model == "" && len(m.Staged) == 0 }

// sentOrder is an order that was sent, sentAt when.
type sentOrder struct {
	action Action
	key    fleet.GroupKey
}

type sentAt struct {
	sentOrder
	at time.Time
}

// Planner decides for the instances of one engine service; not safe for concurrent use.
type Planner struct {
	engine     *catalog.Engine
	policy     Policy
	next       func(seen state.Epoch) state.Epoch
	formations map[fleet.GroupKey]*formation
	loads      []time.Time
	// began is when the planner first planned.
	began   time.Time
	sent    map[state.InstanceID]sentAt
	staging map[state.InstanceID]Staging
	// staged is when it was last looked at what to load to hosts.
	staged time.Time
	// Quiet tells that no request has come yet, so that loads are nearly free.
	Quiet bool
	// Work is how many places of groups of pace 1 the requests for each model hold
	// on average; nil is unknown.
	Work []float64
}

// NewPlanner returns a Planner; next returns a new epoch above one that was seen.
func NewPlanner(engine *catalog.Engine, policy Policy, next func(seen state.Epoch) state.Epoch) *Planner {
	return &Planner{
		engine:     engine,
		policy:     policy,
		next:       next,
		formations: map[fleet.GroupKey]*formation{},
		sent:       map[state.InstanceID]sentAt{},
		staging:    map[state.InstanceID]Staging{},
	}
}

// SetEngine takes in a new configuration of the service.
func (p *Planner) SetEngine(engine *catalog.Engine) { p.engine = engine }

// Plan is what is to be done now.
type Plan struct {
	Orders []Order
	// Ask names the instances whose report is needed.
	Ask []state.InstanceID
	// Watch tells that something is under way whose end should be seen soon.
	Watch bool
	// Serving is the number of open groups of each model, Free the number of usable instances in no group.
	Serving map[string]int
	Free    int
	// Wanted is the number of instances that should be in groups of each model.
	Wanted map[string]float64
	// Kept is the number of domains of which no group is closed for its members, by reason.
	Kept map[KeptReason]int
	// Spares tells what each free instance has loaded.
	Spares []string
	// Avoid are the formations that must not be sent new requests.
	Avoid map[fleet.GroupKey]string
}

// step is the state of one call of Step.
type step struct {
	*Planner
	now  time.Time
	byID map[state.InstanceID]*Member
	// ids are the instances in order, named those that a formation names as members.
	ids     []state.InstanceID
	named   map[state.InstanceID]bool
	groups  map[fleet.GroupKey][]*Member
	plan    Plan
	newest  state.Epoch
	domains map[string]*domain
	supply  *supply
	// slopes are what one more instance in groups of each model is worth.
	slopes []float64
}

// Step decides what to do, given all instances of the service.
func (p *Planner) Step(now time.Time, members []Member) Plan {
	s := &step{
		Planner: p,
		now:     now,
		byID:    make(map[state.InstanceID]*Member, len(members)),
		groups:  map[fleet.GroupKey][]*Member{},
		plan:    Plan{Avoid: map[fleet.GroupKey]string{}, Kept: map[KeptReason]int{}},
	}
	if p.began.IsZero() {
		p.began = now
	}
	for i := range members {
		m := &members[i]
		s.byID[m.ID] = m
		s.newest = max(s.newest, m.Membership.Epoch)
		if m.Membership.Group != "" && !m.Gone {
			s.groups[m.Membership.Key()] = append(s.groups[m.Membership.Key()], m)
		}
	}
	s.ids = sortedIDs(s.byID)
	for _, key := range s.keys() {
		s.tend(key)
	}
	s.named = s.namedMembers()
	s.form()
	s.census()
	s.stage()
	s.forget()
	return s.plan
}

// keys returns all formations seen or remembered, the oldest first.
func (s *step) keys() []fleet.GroupKey {
	var keys []fleet.GroupKey
	for key := range s.groups {
		keys = append(keys, key)
	}
	for key := range s.formations {
		if s.groups[key] == nil {
			keys = append(keys, key)
		}
		s.newest = max(s.newest, key.Epoch)
	}
	slices.SortFunc(keys, func(a, b fleet.GroupKey) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Group, b.Group))
	})
	return keys
}

// joinTime is the longest that members of a model, or of an unknown one, may take to become ready.
func (s *step) joinTime(model string) time.Duration {
	var longest time.Duration
	for i := range s.engine.Models {
		if m := &s.engine.Models[i]; m.Name == model || model == "" {
			longest = max(longest, 2*m.Load)
		}
	}
	return longest
}

// order adds an order, unless the same was sent a moment ago. A join needs the
// number of orders taken so far; where that is not known, it is asked for.
func (s *step) order(m *Member, o Order) {
	last := sentOrder{o.Action, o.Key}
	if m.Pending || (s.sent[m.ID].sentOrder == last && s.now.Sub(s.sent[m.ID].at) < s.policy.OrderInterval) {
		return
	}
	if o.Action == Join && (!m.Counted || !m.Known) {
		s.plan.Ask = append(s.plan.Ask, m.ID)
		return
	}
	m.Pending = true
	s.sent[m.ID] = sentAt{last, s.now}
	o.Instance, o.Address = m.ID, m.Address
	s.plan.Orders = append(s.plan.Orders, o)
}

// joinTime is how long an instance takes to become ready in a group of a model.
func joinTime(m *Member, model *catalog.Model) time.Duration {
	switch {
	case m.Model == model.Name:
		return 0
	case m.HasStaged(model.Name):
		return model.Warm
	}
	return model.Load
}

// census counts what serves and what is free.
func (s *step) census() {
	s.plan.Serving = map[string]int{}
	s.plan.Wanted = map[string]float64{}
	for i, m := range s.engine.Models {
		s.plan.Wanted[m.Name] = math.Round(s.supply.want[i])
	}
	for _, f := range s.formations {
		if f.opened && f.failed == "" {
			s.plan.Serving[f.model]++
		}
	}
	for _, id := range s.ids {
		m := s.byID[id]
		if m.usable() && m.Membership.Group == "" && !s.named[id] {
			s.plan.Free++
			s.plan.Spares = append(s.plan.Spares, fmt.Sprintf("%s: %s has %q and %v", m.Domain, id, m.Model, m.Staged))
		}
	}
}

// remembered is how long the last order to an instance is remembered.
const remembered = time.Minute

// forget drops what is no longer needed.
func (s *step) forget() {
	maps.DeleteFunc(s.sent, func(_ state.InstanceID, at sentAt) bool { return s.now.Sub(at.at) > remembered })
	maps.DeleteFunc(s.staging, func(id state.InstanceID, st Staging) bool {
		m := s.byID[id]
		return m == nil || m.Gone || m.Lost || m.HasStaged(st.Model) || !s.mayBeLoading(st)
	})
}

// sortedIDs returns the ids of instances in order.
func sortedIDs(m map[state.InstanceID]*Member) []state.InstanceID {
	ids := make([]state.InstanceID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
