package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// group is the planner's record of a group at one epoch.
type group struct {
	model        string
	members      []state.InstanceID
	trackedSince time.Time
	// formedAt is the time of formation; for a group formed by another leader it is estimated.
	formedAt time.Time
	// failure is the reason for which the group is being dissolved. Once set it stays, even if a missing member
	// returns, except as canRevive allows.
	failure string
	// silentAt is the last time at which none of the members could be reached; zero if there was none.
	silentAt time.Time
	// opened is set once the head has been seen open.
	opened bool
	// joined holds the members that have been seen in the group.
	joined map[state.InstanceID]bool
	// unknownRanks is the number of ranks that no instance has claimed.
	unknownRanks int
	// donorSince is the time at which the group was selected to be closed for reallocation; zero if it was not.
	donorSince time.Time
	// retiring is set once the group is being given up because of a change of the configuration.
	retiring bool
	// closingSince is the time since which the head has been closing, for whatever reason.
	closingSince time.Time
}

// reconcile plans the next orders for one group: its members join, its head opens or closes, or
// the group is dissolved.
func (s *step) reconcile(key fleet.GroupKey) {
	g := s.groups[key]
	if g == nil {
		g = s.recoverGroup(key)
	}
	if g.unknownRanks > 0 {
		s.fillMembers(key, g)
	}
	for _, m := range s.membersByGroup[key] {
		g.joined[m.ID] = true
	}
	if g.failure == "" || s.canRevive(g) {
		g.failure = s.failureReason(key, g)
	}
	head := s.headOf(g)
	switch {
	case g.failure != "":
		s.plan.ExcludedGroups[key] = g.failure
		s.dissolve(key, g)
	case s.isDraining(g):
		s.plan.ExcludedGroups[key] = "a member is leaving"
		s.drain(key, g, head)
	case !g.donorSince.IsZero():
		s.plan.ExcludedGroups[key] = "its members are needed elsewhere"
		s.drain(key, g, head)
	case s.outdatedReason(key, g) != "":
		s.plan.ExcludedGroups[key] = s.outdatedReason(key, g)
		s.retire(key, g, head)
	case s.isSilent(g):
		s.plan.ExcludedGroups[key] = "a member does not answer"
		s.suspect(key, g)
	default:
		g.retiring = false
		s.bringUp(key, g, head)
	}
}

// recoverGroup records a group that instances report but this planner did not form.
func (s *step) recoverGroup(key fleet.GroupKey) *group {
	g := &group{trackedSince: s.now, unknownRanks: 1, joined: map[state.InstanceID]bool{}}
	// The group is older than the takeover, so it counts as new only until its members should
	// be known. With its age counted from the takeover, 30 of 300 instances stayed free for 6 s
	// next to groups that lacked one member.
	g.formedAt = s.now.Add(s.policy.UnknownMemberTimeout - s.policy.DonorAge)
	s.groups[key] = g
	return g
}

// fillMembers fills in unknown members of a recovered group.
func (s *step) fillMembers(key fleet.GroupKey, g *group) {
	for _, m := range s.membersByGroup[key] {
		// A joining member may still report the model of its previous group.
		if m.Loaded != "" && m.Membership.State != fleet.Joining {
			g.model = m.Loaded
		}
	}
	limit := s.maxMembers(key)
	for _, m := range s.membersByGroup[key] {
		rank := m.Membership.Rank
		if rank < 0 || rank >= limit {
			continue // not a group that this system has formed
		}
		for len(g.members) <= rank {
			g.members = append(g.members, "")
		}
		if g.members[rank] == "" {
			g.members[rank] = m.ID
		}
	}
	size, known := s.recoveredSize(key, g)
	if len(g.members) < size {
		g.members = append(g.members, make([]state.InstanceID, size-len(g.members))...)
	}
	g.unknownRanks = 0
	if !known || g.model == "" {
		g.unknownRanks++
	}
	for _, id := range g.members {
		if id == "" {
			g.unknownRanks++
		}
	}
}

// recoveredSize returns the number of members of a group that this planner did not form. It reports false if it is unknown.
func (s *step) recoveredSize(key fleet.GroupKey, g *group) (int, bool) {
	if size, named := namedSize(key.Group); named {
		return size, true
	}
	if model := s.engine.Model(g.model); model != nil {
		return model.GroupSize, true
	}
	return 0, false
}

// maxMembers returns the maximum number of members of a group. A group may be larger than its model's groups
// are now, if it was formed before a change of the configuration.
func (s *step) maxMembers(key fleet.GroupKey) int {
	size, _ := namedSize(key.Group)
	largest := max(size, len(s.membersByGroup[key]))
	for i := range s.engine.Models {
		largest = max(largest, s.engine.Models[i].GroupSize)
	}
	return largest
}

// failureReason returns the reason why a group cannot serve, or an empty string.
func (s *step) failureReason(key fleet.GroupKey, g *group) string {
	joinDeadline := g.trackedSince.Add(s.maxJoinTime(g.model) + s.policy.JoinMargin)
	for rank, id := range g.members {
		m := s.byID[id]
		switch {
		case id == "" && s.now.Sub(g.trackedSince) < s.policy.UnknownMemberTimeout:
		case id == "":
			return fmt.Sprintf("rank %d is unknown", rank)
		case m == nil || m.Ended:
			return fmt.Sprintf("%s is gone", id)
		case m.Lost:
			return fmt.Sprintf("%s does not answer", id)
		case m.SupersededGroup == key:
			return fmt.Sprintf("%s has seen a later epoch", id)
		case !m.MembershipKnown:
			s.plan.Probes = append(s.plan.Probes, id)
		case m.Membership.Key() != key && g.joined[id]:
			return fmt.Sprintf("%s has left", id)
		case m.Membership.Key() != key && s.now.After(joinDeadline):
			return fmt.Sprintf("%s did not join", id)
		case m.Membership.Key() != key && m.Membership.Group != "":
			return fmt.Sprintf("%s is in another group", id)
		case m.Membership.Key() == key && m.Membership.Rank != rank:
			// Another member of the group answers at its address, and the instance that was meant has ended.
			return fmt.Sprintf("%s reports rank %d in place of %d", id, m.Membership.Rank, rank)
		case m.Membership.Key() == key && m.Membership.State == fleet.Broken:
			return fmt.Sprintf("%s says broken", id)
		case m.Membership.Key() == key && m.Membership.State == fleet.Joining && s.now.After(joinDeadline):
			return fmt.Sprintf("%s does not become ready", id)
		}
	}
	if g.model == "" && s.now.After(joinDeadline) {
		return "no member reports a model"
	}
	return ""
}

// headOf returns the instance that is or was the head of a group, or nil.
func (s *step) headOf(g *group) *Member {
	if len(g.members) == 0 {
		return nil
	}
	return s.byID[g.members[0]]
}

// isDraining reports whether a member of a group is draining or its head is no longer listed.
func (s *step) isDraining(g *group) bool {
	if head := s.headOf(g); head != nil && head.Unlisted {
		return true
	}
	return slices.ContainsFunc(g.members, func(id state.InstanceID) bool { return s.byID[id] != nil && s.byID[id].Draining })
}

// bringUp orders the missing members to join, and the head to open once all members are ready.
func (s *step) bringUp(key fleet.GroupKey, g *group, head *Member) {
	if head == nil {
		return
	}
	if head.Membership.Key() == key && (head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing) {
		g.opened = true
		s.enforceCloseTimeout(g, head)
		return
	}
	s.plan.InTransition = true
	ready := true
	for _, id := range g.members {
		m := s.byID[id]
		if m == nil {
			return
		}
		if m.Membership.Key() != key {
			s.orderJoin(key, g, m)
			ready = false
			continue
		}
		if m.Membership.State != fleet.Ready {
			ready = false
		}
	}
	model := s.engine.Model(g.model)
	if ready && model != nil && len(g.members) == model.GroupSize {
		s.addOrder(head, Order{Action: Open, Key: key, Reason: "all members are ready"})
	}
}

// enforceCloseTimeout fails a group whose head stays in the closing state for longer than the close
// timeout, due to a delayed order or an order of an earlier leader. Such a group would never
// serve requests again.
func (s *step) enforceCloseTimeout(g *group, head *Member) {
	switch {
	case head.Membership.State != fleet.Closing:
		g.closingSince = time.Time{}
	case g.closingSince.IsZero():
		g.closingSince = s.now
	case s.now.Sub(g.closingSince) > s.policy.CloseTimeout:
		g.failure = "closing takes too long"
	}
}

// orderJoin orders an instance to become a member. The instance refuses the order if it has
// accepted other orders since its last report.
func (s *step) orderJoin(key fleet.GroupKey, g *group, m *Member) {
	if m.Membership.Group != "" {
		return
	}
	expect := m.AcceptedOrders
	s.addOrder(m, Order{Action: Join, Key: key, Model: g.model, Members: g.members, ExpectedOrders: &expect, Reason: "forming"})
}

// reachableMembers returns the members of a group that answer this node.
func (s *step) reachableMembers(key fleet.GroupKey) []*Member {
	return slices.DeleteFunc(slices.Clone(s.membersByGroup[key]), func(m *Member) bool { return m.Lost || m.Silent || m.Far })
}

// suspect leaves a group with a silent member as it is: the member may only be paused, and an order to the others would end
// requests that go on as soon as it does.
func (s *step) suspect(key fleet.GroupKey, g *group) {
	if len(s.reachableMembers(key)) == 0 {
		g.silentAt = s.now
	}
}

// dissolve dissolves a group that cannot serve: all reachable members are ordered to leave.
// A head that lacks a member makes no progress, so it does not matter when its own order
// arrives. A member is free once it reports that it belongs to no group.
func (s *step) dissolve(key fleet.GroupKey, g *group) {
	reachable := s.reachableMembers(key)
	if len(reachable) == 0 {
		s.keepOrForget(key, g, len(s.membersByGroup[key]))
		return
	}
	s.plan.InTransition = true
	if s.isReturning(g) {
		return
	}
	for _, m := range reachable {
		s.addOrder(m, Order{Action: Leave, Key: key, Reason: g.failure})
	}
}

// keepOrForget keeps the record of a failed group of which no member can be reached if all of them still belong to it
// by what was last known. Otherwise it cannot revive, and its record would only hold the members that have left.
func (s *step) keepOrForget(key fleet.GroupKey, g *group, remaining int) {
	if remaining > 0 && remaining == len(g.members) {
		g.silentAt = s.now
		return
	}
	delete(s.groups, key)
}

// isReturning reports whether some members of a group answer again after all of them were silent, and the others
// may still follow. A leader that was cut off from a data hall reaches its instances again one after the other
// once the partition heals. Groups that lack a member only for that reason have served all the while.
func (s *step) isReturning(g *group) bool {
	return s.isSilent(g) && s.now.Sub(g.silentAt) < s.policy.ReturnDelay
}

// isSilent reports whether a member of a group does not answer.
func (s *step) isSilent(g *group) bool {
	return slices.ContainsFunc(g.members, func(id state.InstanceID) bool { return s.byID[id] != nil && (s.byID[id].Lost || s.byID[id].Silent) })
}

// canRevive reports whether a group of which no member could be reached may turn out to be intact, so that its
// failure is evaluated anew: the members get no orders while none of them can be reached.
func (s *step) canRevive(g *group) bool {
	return !g.silentAt.IsZero() && s.now.Sub(g.silentAt) < s.policy.ReturnDelay && g.donorSince.IsZero()
}

// drain drains a group: the head is ordered to finish its requests, and the group fails
// once the head is closed. It applies to groups with a leaving member, donor groups and outdated groups.
func (s *step) drain(key fleet.GroupKey, g *group, head *Member) {
	if head == nil || head.Membership.Key() != key {
		g.failure = s.plan.ExcludedGroups[key]
		return
	}
	s.plan.InTransition = true
	switch head.Membership.State {
	case fleet.Open:
		s.addOrder(head, Order{Action: Close, Key: key, Reason: s.plan.ExcludedGroups[key]})
	case fleet.Closing:
		if !g.donorSince.IsZero() && s.now.Sub(g.donorSince) > s.policy.CloseTimeout {
			g.failure = "closing takes too long"
		}
	default:
		g.failure = s.plan.ExcludedGroups[key]
	}
}

// isServing reports whether an instance belongs to an open group.
func (s *step) isServing(m *Member) bool {
	g := s.groups[m.Membership.Key()]
	return g != nil && g.opened && g.failure == ""
}
