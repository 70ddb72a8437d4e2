package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// retry schedules the probes of an unreachable instance. An unreachable instance gets no requests, so only a
// probe shows that it answers again.
type retry struct {
	// due is when the next probe is due, wait the time between the last two.
	due  time.Time
	wait time.Duration
}

// postpone schedules the next probe after an increasing delay.
func (r *retry) postpone(now time.Time, policy *Policy) {
	r.wait = min(max(2*r.wait, policy.RetryInterval), policy.RetryIntervalMax)
	r.due = now.Add(r.wait)
}

// DueRetries returns at most limit unreachable instances whose next probe is due, the longest due first, and
// schedules the probes after that. It answers a partition between this node and other data halls: as long as it
// lasts, one instance of each hall is probed per RetryInterval. The first that answers makes the probes of all
// others due.
func (r *Roster) DueRetries(now time.Time, limit int) []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleet.Instance
	for _, e := range r.dueRetries(now) {
		hall := e.listed.Hall
		hallAnswers := e.retry.wait == 0
		if len(list) == limit {
			break
		}
		if !hallAnswers && now.Sub(r.hallRetriedAt[hall]) < r.cfg.Policy.RetryInterval {
			continue
		}
		r.hallRetriedAt[hall] = now
		e.retry.postpone(now, &r.cfg.Policy)
		list = append(list, e.listed)
	}
	return list
}

// dueRetries returns the entries of the unreachable instances whose next probe is due, the longest due first.
// r.mu must be held.
func (r *Roster) dueRetries(now time.Time) []*entry {
	var due []*entry
	for id := range r.unreachable {
		e := r.entries[id]
		switch {
		case e == nil || !e.unreachable():
			delete(r.unreachable, id)
		case e.inList && !e.gone && !e.retry.due.After(now):
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(a.retry.due.Compare(b.retry.due), cmp.Compare(a.listed.ID, b.listed.ID))
	})
	return due
}

// retryHall makes the probes of all unreachable instances of a data hall due, since one of them answers again.
// r.mu must be held.
func (r *Roster) retryHall(hall state.HallName, now time.Time) {
	for id := range r.unreachable {
		if e := r.entries[id]; e != nil && e.listed.Hall == hall && e.unreachable() {
			e.retry = retry{due: now}
		}
	}
}
