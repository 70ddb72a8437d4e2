package roster

import (
	"github.com/troutmast/troutmast/state/fleet"
)

// MarkLeaving records that a life of an instance said that it will end soon, and reports
// whether that is new.
func (r *Roster) MarkLeaving(in fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[in.ID]
	if e == nil {
		return false
	}
	return r.markLeaving(e, in)
}

// markLeaving marks an instance as leaving if the life that said so may be the one known. r.mu is held.
func (r *Roster) markLeaving(e *entry, in fleet.Incarnation) bool {
	known := e.listed.Incarnation()
	if e.leaving || in.Life != "" && known.Life != "" && in.Life != known.Life {
		return false
	}
	e.leaving = true
	r.touch(e)
	return true
}

// Leaving reports whether a life of an instance is known to leave.
func (r *Roster) Leaving(in fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[in.ID]
	return e != nil && e.leaving && (in.Life == "" || e.listed.Born.IsZero() || in.Life == e.listed.Incarnation().Life)
}
