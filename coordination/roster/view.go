package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Members returns the instances of a service for the planner, sorted by ID. A membership counts
// as known only from data newer than since.
func (r *Roster) Members(service state.ServiceName, since, now time.Time) []placement.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]placement.Member, 0, len(r.entries))
	for _, id := range r.ids() {
		e := r.entries[id]
		r.updateLiveness(id, e, now)
		if e.listed.Service != service {
			continue
		}
		unreachable := r.unreachableFromAll(e, now)
		lost := unreachable && (e.hasEnded(now) || r.isSilentForLong(e, now))
		list = append(list, placement.Member{
			Instance:        e.current(),
			AcceptedOrders:  e.orders,
			OrdersKnown:     e.ordersKnown,
			MembershipKnown: r.membershipKnown(e, since, now),
			Lost:            lost,
			Silent:          unreachable && !lost,
			Far:             !unreachable && e.lost(now),
			Ended:           e.gone,
			OrderPending:    e.orderPending,
			SupersededGroup: e.superseded,
			ColdUntil:       r.coldUntil(e),
			FirstSeen:       e.firstSeen,
		})
	}
	return list
}

// ProbeCandidates returns the instances that should be probed: those whose heartbeats have stopped
// and those with probe failures.
func (r *Roster) ProbeCandidates(now time.Time) []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleet.Instance
	for _, e := range r.entries {
		heartbeatsStopped := now.Sub(r.lastHeartbeat(e)) > 2*r.cfg.HeartbeatInterval+r.cfg.HeartbeatInterval/4 || !e.inList
		if !e.gone && (e.failures > 0 || heartbeatsStopped && now.Sub(e.answeredAt) > r.cfg.HeartbeatInterval) {
			list = append(list, e.listed)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// View is the state of one instance for request routing.
type View struct {
	fleet.Instance
	// Unreachable is set if the instance does not answer, Unlisted if it is no longer in the list.
	Unreachable bool
	Unlisted    bool
	// ColdUntil is when the instance stops being cold at the latest; zero if it is not known to be cold.
	ColdUntil time.Time
}

// All returns every instance that has not ended, sorted by ID.
func (r *Roster) All(now time.Time) []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]View, 0, len(r.entries))
	for _, id := range r.ids() {
		e := r.entries[id]
		if e.expired(now) {
			r.removeEntry(id)
			continue
		}
		if e.gone {
			continue
		}
		list = append(list, e.view(now))
	}
	return list
}

// view returns the state of the instance for request routing.
func (e *entry) view(now time.Time) View {
	v := View{Instance: e.current(), Unreachable: e.lost(now), Unlisted: !e.inList, ColdUntil: e.cold.until}
	v.Draining = v.Draining || e.unlistedTooLong(now)
	return v
}

// unlistedTooLong reports whether an instance has been missing from the list for longer than UnlistedGrace.
func (e *entry) unlistedTooLong(now time.Time) bool {
	return !e.inList && now.Sub(e.unlistedAt) > e.policy.UnlistedGrace
}

// TimedStates returns a hash of the states of unlisted instances that change with time, without an event. While it and
// Version stay the same, so does the result of All, which is much more expensive.
func (r *Roster) TimedStates(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum uint64
	for id, e := range r.entries {
		if e.inList {
			continue
		}
		states := []byte{0, 0, 0}
		for i, set := range []bool{e.expired(now), e.unlistedTooLong(now), e.lost(now)} {
			if set {
				states[i] = 1
			}
		}
		sum += xxhash.Sum64String(string(id) + string(states)) // the sum does not depend on the order
	}
	return sum
}

// Service returns the service of an instance, or "" if the instance is unknown.
func (r *Roster) Service(id state.InstanceID) state.ServiceName {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return e.listed.Service
	}
	return ""
}

// Get returns the state of one instance, and false if it is unknown or has ended.
func (r *Roster) Get(id state.InstanceID, now time.Time) (View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || e.gone {
		return View{}, false
	}
	return e.view(now), true
}
