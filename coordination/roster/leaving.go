package roster

import (
	"github.com/troutmast/troutmast/state/fleet"
)

// MarkLeaving records that an incarnation of an instance announced its shutdown. It reports
// whether the instance was not marked before.
func (r *Roster) MarkLeaving(in fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[in.ID]
	if e == nil {
		return false
	}
	return r.markLeaving(e, in)
}

// markLeaving marks an instance as leaving unless in is known to be another incarnation than the
// current one. r.mu must be held.
func (r *Roster) markLeaving(e *entry, in fleet.Incarnation) bool {
	known := e.listed.Incarnation()
	if e.leaving || in.Life != "" && known.Life != "" && in.Life != known.Life {
		return false
	}
	e.leaving = true
	r.markChanged(e)
	return true
}

// IsLeaving reports whether an incarnation of an instance is known to be leaving.
func (r *Roster) IsLeaving(in fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[in.ID]
	return e != nil && e.leaving && (in.Life == "" || e.listed.Born.IsZero() || in.Life == e.listed.Incarnation().Life)
}
