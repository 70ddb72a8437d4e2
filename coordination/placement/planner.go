package placement

import (
	"cmp"
	"fmt"
	"maps"
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
	// Pending tells that an order to it has not been answered yet.
	Pending bool
	// Superseded is the formation that it last refused to join for a later one.
	Superseded fleet.GroupKey
	// Seen is when the instance was first seen.
	Seen time.Time
}

// usable tells whether the instance can become a member of a new group.
func (m *Member) usable() bool { return !m.Lost && !m.Gone && !m.Draining && !m.Unlisted }

// formation is what the planner knows of one formation of a group.
type formation struct {
	model   string
	members []state.InstanceID
	since   time.Time
	// failed is set once a member was missing: the formation is taken apart then, whatever comes back.
	failed string
	// opened is set once the head was seen open.
	opened bool
	// joined are the members that were seen in the group.
	joined map[state.InstanceID]bool
	// unknown is the number of members that no instance says it is.
	unknown int
	// donor is set when the group is closed so that its members can form others.
	donor time.Time
}

// Bounds of the planner's waiting.
const (
	// settle is how long a domain's newest instance must have been seen before groups are formed of the domain.
	settle = 700 * time.Millisecond
	// joinMargin is added to the time that a member may take to become ready.
	joinMargin = 4 * time.Second
	// loadWindow is the span over which loads are counted.
	loadWindow = 5 * time.Second
	// loadPart is the part of the weight store's rate that is used.
	loadPart = 0.8
	// orderAgain is the least time between two equal orders to an instance.
	orderAgain = 700 * time.Millisecond
	// memberUnknown is how long a recovered formation may have a member that was never seen.
	memberUnknown = 2 * time.Second
	// stageAgain is how long an order to stage a model is trusted to be under way.
	stageAgain = 40 * time.Second
)

// sentOrder is an order that was sent, sentAt when.
type sentOrder struct {
	action Action
	key    fleet.GroupKey
}

type sentAt struct {
	sentOrder
	at time.Time
}

// stagingModel is a model that an instance loads to its host.
type stagingModel struct {
	model string
	since time.Time
}

// Planner decides for the instances of one engine service; not safe for concurrent use.
type Planner struct {
	engine     *catalog.Engine
	next       func(seen state.Epoch) state.Epoch
	formations map[fleet.GroupKey]*formation
	loads      []time.Time
	sent       map[state.InstanceID]sentAt
	staging    map[state.InstanceID]stagingModel
	// Quiet tells that no request has come yet, so that loads are nearly free.
	Quiet bool
	// Shares are the models' parts of the work; nil takes the configured ones.
	Shares []float64
}

// NewPlanner returns a Planner; next returns a new epoch above one that was seen.
func NewPlanner(engine *catalog.Engine, next func(seen state.Epoch) state.Epoch) *Planner {
	return &Planner{
		engine:     engine,
		next:       next,
		formations: map[fleet.GroupKey]*formation{},
		sent:       map[state.InstanceID]sentAt{},
		staging:    map[state.InstanceID]stagingModel{},
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
	// Spares tells what each free instance has loaded.
	Spares []string
	// Avoid are the formations that must not be sent new requests.
	Avoid map[fleet.GroupKey]string
}

// step is the state of one call of Step.
type step struct {
	*Planner
	now     time.Time
	byID    map[state.InstanceID]*Member
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
		plan:    Plan{Avoid: map[fleet.GroupKey]string{}},
	}
	for i := range members {
		m := &members[i]
		s.byID[m.ID] = m
		s.newest = max(s.newest, m.Membership.Epoch)
		if m.Membership.Group != "" && !m.Gone {
			s.groups[m.Membership.Key()] = append(s.groups[m.Membership.Key()], m)
		}
	}
	for _, key := range s.keys() {
		s.tend(key)
	}
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

// tend looks after one formation: joins, opens, closes or takes it apart.
func (s *step) tend(key fleet.GroupKey) {
	f := s.formations[key]
	if f == nil {
		f = s.recover(key)
	}
	if f.unknown > 0 {
		s.complete(key, f)
	}
	for _, m := range s.groups[key] {
		f.joined[m.ID] = true
	}
	if f.failed == "" {
		f.failed = s.fault(key, f)
	}
	head := s.headOf(f)
	switch {
	case f.failed != "":
		s.plan.Avoid[key] = f.failed
		s.takeApart(key, f)
	case s.draining(f):
		s.plan.Avoid[key] = "a member is leaving"
		s.handOver(key, f, head)
	case !f.donor.IsZero():
		s.plan.Avoid[key] = "its members are needed elsewhere"
		s.handOver(key, f, head)
	default:
		s.bringUp(key, f, head)
	}
}

// recover makes up a formation from what its members say of it.
func (s *step) recover(key fleet.GroupKey) *formation {
	f := &formation{since: s.now, unknown: 1, joined: map[state.InstanceID]bool{}}
	s.formations[key] = f
	return f
}

// complete fills in the members of a recovered formation that were not known.
func (s *step) complete(key fleet.GroupKey, f *formation) {
	for _, m := range s.groups[key] {
		if m.Model != "" {
			f.model = m.Model
		}
	}
	for rank, id := range s.membersByRank(key) {
		for len(f.members) <= rank {
			f.members = append(f.members, "")
		}
		if f.members[rank] == "" {
			f.members[rank] = id
		}
	}
	if model := s.engine.Model(f.model); model != nil && len(f.members) < model.Size {
		f.members = append(f.members, make([]state.InstanceID, model.Size-len(f.members))...)
	}
	f.unknown = 0
	for _, id := range f.members {
		if id == "" {
			f.unknown++
		}
	}
}

// membersByRank lists the instances that say they belong to a formation; a rank nobody has is empty.
func (s *step) membersByRank(key fleet.GroupKey) []state.InstanceID {
	var list []state.InstanceID
	for _, m := range s.groups[key] {
		for len(list) <= m.Membership.Rank {
			list = append(list, "")
		}
		list[m.Membership.Rank] = m.ID
	}
	return list
}

// fault returns why a formation cannot serve, or nothing.
func (s *step) fault(key fleet.GroupKey, f *formation) string {
	joinBy := f.since.Add(s.joinTime(f.model) + joinMargin)
	for rank, id := range f.members {
		m := s.byID[id]
		switch {
		case id == "" && s.now.Sub(f.since) < memberUnknown:
		case id == "":
			return fmt.Sprintf("rank %d is unknown", rank)
		case m == nil || m.Gone:
			return fmt.Sprintf("%s is gone", id)
		case m.Lost:
			return fmt.Sprintf("%s does not answer", id)
		case m.Superseded == key:
			return fmt.Sprintf("%s has seen a later epoch", id)
		case !m.Known:
			s.plan.Ask = append(s.plan.Ask, id)
		case m.Membership.Key() != key && f.joined[id]:
			return fmt.Sprintf("%s has left", id)
		case m.Membership.Key() != key && s.now.After(joinBy):
			return fmt.Sprintf("%s did not join", id)
		case m.Membership.Key() != key && m.Membership.Group != "":
			return fmt.Sprintf("%s is in another group", id)
		case m.Membership.Key() == key && m.Membership.State == fleet.Broken:
			return fmt.Sprintf("%s says broken", id)
		case m.Membership.Key() == key && m.Membership.State == fleet.Joining && s.now.After(joinBy):
			return fmt.Sprintf("%s does not become ready", id)
		}
	}
	return ""
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

// headOf returns the instance that is, or was, the head of a formation, or nil.
func (s *step) headOf(f *formation) *Member {
	if len(f.members) == 0 {
		return nil
	}
	return s.byID[f.members[0]]
}

// draining tells whether a member of a formation is leaving, or its head no longer listed.
func (s *step) draining(f *formation) bool {
	if head := s.headOf(f); head != nil && head.Unlisted {
		return true
	}
	return slices.ContainsFunc(f.members, func(id state.InstanceID) bool { return s.byID[id] != nil && s.byID[id].Draining })
}

// bringUp joins the members that have not joined, and opens the head once all are ready.
func (s *step) bringUp(key fleet.GroupKey, f *formation, head *Member) {
	if head == nil {
		return
	}
	if head.Membership.Key() == key && (head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing) {
		f.opened = true
		return
	}
	s.plan.Watch = true
	ready := true
	for _, id := range f.members {
		m := s.byID[id]
		if m == nil {
			return
		}
		if m.Membership.Key() != key {
			s.join(key, f, m)
			ready = false
			continue
		}
		if m.Membership.State != fleet.Ready {
			ready = false
		}
	}
	model := s.engine.Model(f.model)
	if ready && model != nil && len(f.members) == model.Size {
		s.order(head, Order{Action: Open, Key: key, Why: "all members are ready"})
	}
}

// join orders an instance to become a member, if its last report still holds.
func (s *step) join(key fleet.GroupKey, f *formation, m *Member) {
	if m.Membership.Group != "" {
		return
	}
	expect := m.Orders
	s.order(m, Order{Action: Join, Key: key, Model: f.model, Members: f.members, Expect: &expect, Why: "forming"})
}

// order adds an order, unless the same was sent a moment ago. A join needs the
// number of orders taken so far; where that is not known, it is asked for.
func (s *step) order(m *Member, o Order) {
	last := sentOrder{o.Action, o.Key}
	if m.Pending || (s.sent[m.ID].sentOrder == last && s.now.Sub(s.sent[m.ID].at) < orderAgain) {
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

// takeApart ends a formation that cannot serve: all of its members leave. A head
// without one of its members stands still, so that it does not matter when it is
// itself reached. A member is free once it says that it belongs to no group.
func (s *step) takeApart(key fleet.GroupKey, f *formation) {
	left := true
	for _, m := range s.groups[key] {
		if m.Lost {
			continue
		}
		left = false
		s.plan.Watch = true
		s.order(m, Order{Action: Leave, Key: key, Why: f.failed})
	}
	if left {
		delete(s.formations, key)
	}
}

// handOver closes a group with a leaving member once its requests are done.
func (s *step) handOver(key fleet.GroupKey, f *formation, head *Member) {
	if head == nil || head.Membership.Key() != key {
		f.failed = "a member is leaving"
		return
	}
	s.plan.Watch = true
	switch head.Membership.State {
	case fleet.Open:
		s.order(head, Order{Action: Close, Key: key, Why: s.plan.Avoid[key]})
	case fleet.Closing:
		if !f.donor.IsZero() && s.now.Sub(f.donor) > closeTime {
			f.failed = "closing takes too long"
		}
	default:
		f.failed = s.plan.Avoid[key]
	}
}

// closeTime bounds the closing of a group whose members are needed elsewhere.
const closeTime = 6 * time.Second

// form makes new groups of free instances.
func (s *step) form() {
	domains := map[string]*domain{}
	alive := 0
	for _, id := range sortedIDs(s.byID) {
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
		case m.Membership.Group != "" || s.claimed(id):
		case !m.Known:
			s.plan.Ask = append(s.plan.Ask, id)
		default:
			d.free = append(d.free, m)
		}
	}
	stock := s.stock(alive)
	s.supply, s.domains = stock, domains
	s.slopes = make([]float64, len(s.engine.Models))
	for i := range s.engine.Models {
		s.slopes[i] = stock.gain(i, 1)
	}
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

// formDomains makes groups of the free instances of all domains.
func (s *step) formDomains(domains map[string]*domain, stock *supply) {
	var ready []*domain
	var choices [][]option
	for _, name := range sortedKeys(domains) {
		d := domains[name]
		if len(d.free) == 0 || d.donors || s.settling(d.free) {
			continue
		}
		list := options(len(d.free), s.able(d.free), s.engine.Models)
		if donors := s.donors(d, stock, list); donors != nil {
			for _, f := range donors {
				f.donor = s.now
			}
			continue
		}
		ready = append(ready, d)
		choices = append(choices, list)
	}
	for i, o := range stock.pack(choices, s.engine.Models) {
		s.formDomain(ready[i].free, o)
	}
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
	shares := s.Shares
	if shares == nil {
		for _, m := range s.engine.Models {
			shares = append(shares, m.Share)
		}
	}
	stock := newSupply(s.engine.Models, shares, alive)
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

// claimed tells whether an instance is named by a formation that it has not joined.
func (s *step) claimed(id state.InstanceID) bool {
	for _, f := range s.formations {
		if slices.Contains(f.members, id) {
			return true
		}
	}
	return false
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

// settling tells whether an instance of a domain is so new that others may follow it.
func (s *step) settling(free []*Member) bool {
	return slices.ContainsFunc(free, func(m *Member) bool { return s.now.Sub(m.Seen) < settle })
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

// fit tells whether an instance can join a group of a model without a load from
// the weight store; before the first request, loads are nearly free. An instance
// that would be quick in a group of a scarcer model is kept for that one.
func (s *step) fit(m *Member, model *catalog.Model) bool {
	if s.Quiet || model.Load <= 0 {
		return true
	}
	kept := m.Model != model.Name && s.slope(m.Model) > scarcer*s.slope(model.Name)
	return !kept && joinTime(m, model) < model.Load
}

// donorGain is what closing a group must gain for each of its instances.
const donorGain = 0.2

// donors returns the groups of a domain, two at most, that should be closed for their members.
func (s *step) donors(d *domain, stock *supply, list []option) []*formation {
	var best []*formation
	least := stock.worth(s.engine.Models, stock.best(list, s.engine.Models))
	consider := func(chosen ...*formation) {
		if gain := s.donorWorth(d.free, stock, chosen); gain > least {
			best, least = chosen, gain
		}
	}
	for i, f := range d.groups {
		consider(f)
		for _, g := range d.groups[i+1:] {
			consider(f, g)
		}
	}
	return best
}

// donorWorth returns what can be formed of free instances and the members of some groups, less what these are worth.
func (s *step) donorWorth(free []*Member, stock *supply, chosen []*formation) float64 {
	models := s.engine.Models
	before := slices.Clone(stock.have)
	defer func() { stock.have = before }()
	stock.have = slices.Clone(before)
	lost := 0.0
	for _, f := range chosen {
		joined, whole := s.withMembers(free, f)
		i := s.modelIndex(f.model)
		if i < 0 || !whole {
			return 0
		}
		size := float64(len(f.members))
		lost += stock.value(i, stock.have[i]) - stock.value(i, stock.have[i]-size) + donorGain*size
		stock.have[i] -= size
		free = joined
	}
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

// mayLoad takes a load out of what the weight store carries, if it carries it.
func (s *step) mayLoad() bool {
	if !s.Quiet && len(s.staging) >= max(s.engine.LoadsAtOnce, 1) {
		return false
	}
	s.loads = slices.DeleteFunc(s.loads, func(t time.Time) bool { return s.now.Sub(t) > loadWindow })
	most := int(s.engine.LoadsPerSecond * loadWindow.Seconds() * loadPart)
	if !s.Quiet && len(s.loads) >= most {
		return false
	}
	s.loads = append(s.loads, s.now)
	return true
}

// start makes a new formation and orders its members to join.
func (s *step) start(model *catalog.Model, members []*Member) {
	epoch := s.next(s.newest)
	s.newest = epoch
	key := fleet.GroupKey{Group: state.GroupName(fmt.Sprintf("g%d", epoch)), Epoch: epoch}
	f := &formation{model: model.Name, since: s.now, joined: map[state.InstanceID]bool{}}
	for _, m := range members {
		f.members = append(f.members, m.ID)
	}
	s.formations[key] = f
	for _, m := range members {
		s.join(key, f, m)
	}
}

// stage has instances load to their hosts the model that they may need next.
// The weight store carries few loads at once, so instances that can join no
// group for want of a model come first, and members of groups only while loads
// are nearly free.
func (s *step) stage() {
	for _, id := range sortedIDs(s.byID) {
		if m := s.byID[id]; s.cold(m) {
			s.stageModel(m, s.wantedIn(s.domains[m.Domain], m))
		}
	}
	s.stageOther(s.idle, s.engine.LoadsAtOnce)
	s.stageOther(s.serving, max(s.engine.LoadsAtOnce/2, 1))
}

// stageOther has instances of a kind load another model than they have, while
// fewer than a number load.
func (s *step) stageOther(kind func(m *Member) bool, most int) {
	for _, id := range sortedIDs(s.byID) {
		if m := s.byID[id]; kind(m) && (s.Quiet || len(s.staging) < most) {
			s.stageModel(m, s.otherModel(m.Model))
		}
	}
}

// idle tells whether an instance that has had a model is in no group.
func (s *step) idle(m *Member) bool {
	return m.usable() && m.Membership.Group == "" && m.Model != "" && !s.claimed(m.ID)
}

// scarcer is how many times more one instance of a model must be worth than one
// of another for instances to be kept for it.
const scarcer = 2

// slope is what one more instance in groups of a model is worth.
func (s *step) slope(model string) float64 {
	if i := s.modelIndex(model); i >= 0 {
		return s.slopes[i]
	}
	return 0
}

// cold tells whether an instance can join no group for want of a model.
func (s *step) cold(m *Member) bool {
	return m.usable() && m.Membership.Group == "" && m.Model == "" && len(m.Staged) == 0 &&
		!s.claimed(m.ID) && s.now.Sub(m.Seen) > 2*settle
}

// stageModel orders an instance to load a model to its host, if the weight store carries it.
func (s *step) stageModel(m *Member, model string) {
	if m.Pending || !m.usable() || model == "" || m.HasStaged(model) || s.staging[m.ID].model != "" || !s.mayLoad() {
		return
	}
	s.staging[m.ID] = stagingModel{model: model, since: s.now}
	s.order(m, Order{Action: Stage, Model: model, Why: "for a later repair"})
}

// wantedIn returns the model that is worth most on the host of an instance: for
// the groups that its domain could form now, and after the loss of one member of
// each group that it holds.
func (s *step) wantedIn(d *domain, m *Member) string {
	best, most := "", 0.0
	for i := range s.engine.Models {
		with := *m
		with.Staged = []string{s.engine.Models[i].Name}
		free := append(s.withStaging(d.free, m.ID), &with)
		worth := s.bestWorth(free)
		for _, f := range d.groups {
			worth += s.worthAfterLoss(free, f) / float64(len(d.groups))
		}
		if worth > most {
			best, most = s.engine.Models[i].Name, worth
		}
	}
	return best
}

// withStaging returns free instances as they will be once they have loaded what they stage now, without one of them.
func (s *step) withStaging(free []*Member, without state.InstanceID) []*Member {
	var list []*Member
	for _, m := range free {
		if m.ID == without {
			continue
		}
		will := *m
		if st := s.staging[m.ID]; st.model != "" {
			will.Staged = []string{st.model}
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

// census counts what serves and what is free.
func (s *step) census() {
	s.plan.Serving = map[string]int{}
	for _, f := range s.formations {
		if f.opened && f.failed == "" {
			s.plan.Serving[f.model]++
		}
	}
	for _, id := range sortedIDs(s.byID) {
		m := s.byID[id]
		if m.usable() && m.Membership.Group == "" && !s.claimed(id) {
			s.plan.Free++
			s.plan.Spares = append(s.plan.Spares, fmt.Sprintf("%s: %s has %q and %v", m.Domain, id, m.Model, m.Staged))
		}
	}
}

// serving tells whether an instance belongs to an open group.
func (s *step) serving(m *Member) bool {
	f := s.formations[m.Membership.Key()]
	return f != nil && f.opened && f.failed == ""
}

// remembered is how long the last order to an instance is remembered.
const remembered = time.Minute

// forget drops what is no longer needed.
func (s *step) forget() {
	maps.DeleteFunc(s.sent, func(_ state.InstanceID, at sentAt) bool { return s.now.Sub(at.at) > remembered })
	maps.DeleteFunc(s.staging, func(id state.InstanceID, st stagingModel) bool {
		m := s.byID[id]
		return m == nil || m.Gone || m.Lost || m.HasStaged(st.model) || s.now.Sub(st.since) > stageAgain
	})
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

// sortedIDs returns the ids of instances in order.
func sortedIDs(m map[state.InstanceID]*Member) []state.InstanceID {
	ids := make([]state.InstanceID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
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
