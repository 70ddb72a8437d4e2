package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// formation is the planner's record of a group at one epoch.
type formation struct {
	model   string
	members []state.InstanceID
	since   time.Time
	// formed is the time of formation; for a group formed by another leader it is estimated.
	formed time.Time
	// failed is the reason for which the group is being dissolved. Once set it stays, even if a missing member returns.
	failed string
	// opened is set once the head has been seen open.
	opened bool
	// joined holds the members that have been seen in the group.
	joined map[state.InstanceID]bool
	// unknown is the number of ranks that no instance has claimed.
	unknown int
	// donor is the time at which the group was selected to be closed for reallocation; zero if it was not.
	donor time.Time
	// closing is the time since which the head has been closing, for whatever reason.
	closing time.Time
}

// tend reconciles one group: its members join, its head opens or closes, or the group is dissolved.
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

// recover records a group that instances report but this planner did not form.
func (s *step) recover(key fleet.GroupKey) *formation {
	f := &formation{since: s.now, unknown: 1, joined: map[state.InstanceID]bool{}}
	// The group is older than the takeover, so it counts as new only until its members should
	// be known. With its age counted from the takeover, 30 of 300 instances stayed free for 6 s
	// next to groups that lacked one member.
	f.formed = s.now.Add(s.policy.UnknownMemberTimeout - s.policy.DonorAge)
	s.formations[key] = f
	return f
}

// complete fills in unknown members of a recovered group.
func (s *step) complete(key fleet.GroupKey, f *formation) {
	for _, m := range s.groups[key] {
		// A joining member may still report the model of its previous group.
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
		f.unknown++ // the number of members is unknown as well
	}
	for _, id := range f.members {
		if id == "" {
			f.unknown++
		}
	}
}

// membersByRank returns the instances that report membership in a group, indexed by rank; an
// unclaimed rank is empty.
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

// fault returns the reason why a group cannot serve, or an empty string.
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

// headOf returns the instance that is or was the head of a group, or nil.
func (s *step) headOf(f *formation) *Member {
	if len(f.members) == 0 {
		return nil
	}
	return s.byID[f.members[0]]
}

// draining reports whether a member of a group is draining or its head is no longer listed.
func (s *step) draining(f *formation) bool {
	if head := s.headOf(f); head != nil && head.Unlisted {
		return true
	}
	return slices.ContainsFunc(f.members, func(id state.InstanceID) bool { return s.byID[id] != nil && s.byID[id].Draining })
}

// bringUp orders the missing members to join, and the head to open once all members are ready.
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

// watchClosing fails a group whose head stays in the closing state for longer than the close
// timeout, due to a delayed order or an order of an earlier leader. Such a group would never
// serve requests again.
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

// join orders an instance to become a member. The instance refuses the order if it has
// accepted other orders since its last report.
func (s *step) join(key fleet.GroupKey, f *formation, m *Member) {
	if m.Membership.Group != "" {
		return
	}
	expect := m.Orders
	s.order(m, Order{Action: Join, Key: key, Model: f.model, Members: f.members, Expect: &expect, Why: "forming"})
}

// takeApart dissolves a group that cannot serve: all reachable members are ordered to leave.
// A head that lacks a member makes no progress, so it does not matter when its own order
// arrives. A member is free once it reports that it belongs to no group.
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

// handOver drains a group: the head is ordered to finish its requests, and the group fails
// once the head is closed. It applies to groups with a leaving member and to donor groups.
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
