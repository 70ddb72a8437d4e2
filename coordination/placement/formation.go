package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// formation is what the planner knows of one formation of a group.
type formation struct {
	model   string
	members []state.InstanceID
	since   time.Time
	// formed is when it was formed; of a group that another leader formed, an assumed time.
	formed time.Time
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
	// closing is since when the head closes, for whatever reason.
	closing time.Time
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
	// It stood before; only until its members should be known does it count as new. Counted
	// from the takeover, 30 of 300 instances lay free for 6 s beside groups that lacked one.
	f.formed = s.now.Add(s.policy.UnknownMemberTimeout - s.policy.DonorAge)
	s.formations[key] = f
	return f
}

// complete fills in the members of a recovered formation that were not known.
func (s *step) complete(key fleet.GroupKey, f *formation) {
	for _, m := range s.groups[key] {
		// A member that is joining may still name the model of its last group.
		if m.Loaded != "" && m.Membership.State != fleet.Joining {
			f.model = m.Loaded
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
	if s.engine.Model(f.model) == nil {
		f.unknown++ // how many members there are is not known either
	}
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
	joinBy := f.since.Add(s.joinTime(f.model) + s.policy.JoinMargin)
	for rank, id := range f.members {
		m := s.byID[id]
		switch {
		case id == "" && s.now.Sub(f.since) < s.policy.UnknownMemberTimeout:
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

// headOf returns the instance that is, or was, the head of a formation, or nil.
func (s *step) headOf(f *formation) *Member {
	if len(f.members) == 0 {
		return nil
	}
	return s.byID[f.members[0]]
}

// draining reports whether a member of a formation is leaving, or its head no longer listed.
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
		s.watchClosing(f, head)
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

// watchClosing ends a formation whose head goes on closing, by an order that came
// late or from a planner before this one: it would serve nobody for good.
func (s *step) watchClosing(f *formation, head *Member) {
	switch {
	case head.Membership.State != fleet.Closing:
		f.closing = time.Time{}
	case f.closing.IsZero():
		f.closing = s.now
	case s.now.Sub(f.closing) > s.policy.CloseTimeout:
		f.failed = "closing takes too long"
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

// takeApart ends a formation that cannot serve: all of its members leave. A head
// without one of its members stands still, so that it does not matter when it is
// itself reached. A member is free once it says that it belongs to no group.
func (s *step) takeApart(key fleet.GroupKey, f *formation) {
	left := true
	for _, m := range s.groups[key] {
		if m.Lost || m.Far {
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
		if !f.donor.IsZero() && s.now.Sub(f.donor) > s.policy.CloseTimeout {
			f.failed = "closing takes too long"
		}
	default:
		f.failed = s.plan.Avoid[key]
	}
}

// serving reports whether an instance belongs to an open group.
func (s *step) serving(m *Member) bool {
	f := s.formations[m.Membership.Key()]
	return f != nil && f.opened && f.failed == ""
}
