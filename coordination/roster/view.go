package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Members returns the instances of a service, by id, as a planner sees them that has planned since a time.
func (r *Roster) Members(service state.ServiceName, since, now time.Time) []placement.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []placement.Member
	for id, e := range r.m {
		r.age(id, e, now)
		if e.listed.Service != service {
			continue
		}
		lost := r.lostToAll(e, now)
		list = append(list, placement.Member{
			Instance:   e.current(),
			Orders:     e.orders,
			Counted:    e.counted,
			Known:      r.known(e, since, now),
			Lost:       lost,
			Far:        !lost && e.lost(now),
			Gone:       e.gone,
			Pending:    e.pending,
			Superseded: e.superseded,
			Seen:       e.seen,
		})
	}
	slices.SortFunc(list, func(a, b placement.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Doubtful returns the instances that should be asked whether they still live:
// those whose entries have stopped, and those that failed to answer.
func (r *Roster) Doubtful(now time.Time) []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleet.Instance
	for _, e := range r.m {
		stopped := now.Sub(r.lastBeat(e)) > 2*r.cfg.Beat+r.cfg.Beat/4 || !e.inList
		if !e.gone && (e.failures > 0 || stopped && now.Sub(e.heard) > r.cfg.Beat) {
			list = append(list, e.listed)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// View is one instance as the request path sees it.
type View struct {
	fleet.Instance
	// Lost tells that it does not answer, Unlisted that the list no longer shows it.
	Lost     bool
	Unlisted bool
}

// All returns every instance that has not ended, by id.
func (r *Roster) All(now time.Time) []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]View, 0, len(r.m))
	for id, e := range r.m {
		if e.forgotten(now) {
			delete(r.m, id)
			continue
		}
		if e.gone {
			continue
		}
		v := View{Instance: e.current(), Lost: e.lost(now), Unlisted: !e.inList}
		v.Draining = v.Draining || (v.Unlisted && now.Sub(e.unlisted) > e.policy.UnlistedGrace)
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b View) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Get returns what is known of one instance.
func (r *Roster) Get(id state.InstanceID, now time.Time) (View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil || e.gone {
		return View{}, false
	}
	return View{Instance: e.current(), Lost: e.lost(now)}, true
}
