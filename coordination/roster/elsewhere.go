package roster

import (
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// elsewhere is the result of the last indirect probes of an instance by other nodes.
type elsewhere struct {
	// asked is when the last indirect probe was requested; reached is whether it got an answer.
	asked   time.Time
	reached bool
	// heard is the time of the last indirect probe that was answered; by is the node that sent it.
	heard time.Time
	by    string
}

// AskElsewhere reports whether an indirect probe of an instance that does not answer this node
// is due.
func (r *Roster) AskElsewhere(id state.InstanceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil || e.failures == 0 {
		return false
	}
	return e.elsewhere.asked.Before(e.failing) || now.Sub(e.elsewhere.asked) >= r.cfg.Policy.IndirectInterval
}

// ReachedElsewhere records a report that another node got from an instance by an indirect probe
// requested at rep.Asked. It does not reset this node's own probe failures.
func (r *Roster) ReachedElsewhere(id state.InstanceID, rep fleet.Report, by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil || e.outlived(rep.Born) || e.reborn(rep.Born) {
		return // an indirect report does not start a later incarnation; a direct one does
	}
	e.elsewhere = elsewhere{asked: rep.Asked, reached: true, heard: rep.Asked, by: by}
	r.version++
	r.takeReport(e, rep)
}

// ReachedBy returns the name of the node whose indirect probe last reached an instance, or "".
func (r *Roster) ReachedBy(id state.InstanceID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		return e.elsewhere.by
	}
	return ""
}

// UnreachedElsewhere records that no other node reached an instance by the indirect probes
// requested at the given time.
func (r *Roster) UnreachedElsewhere(id state.InstanceID, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		e.elsewhere.asked, e.elsewhere.reached = asked, false
		r.version++
	}
}

// lastHeard returns when an instance last answered this node or an indirect probe.
func (e *entry) lastHeard() time.Time {
	if e.elsewhere.heard.After(e.heard) {
		return e.elsewhere.heard
	}
	return e.heard
}

// lostToAll reports whether an instance counts as unreachable from every node. One that only this
// node fails to reach may still serve other nodes, so it does not count as lost until an indirect
// probe since its first failure has failed too.
func (r *Roster) lostToAll(e *entry, now time.Time) bool {
	if e.gone || e.dropped(now, e.lastHeard()) {
		return true
	}
	if !e.unreachable() || !r.cfg.Indirect {
		return e.unreachable()
	}
	return !e.elsewhere.reached && !e.elsewhere.asked.Before(e.failing)
}
