package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Listed takes in an entry that an instance has written into the list since the
// list was last read, a moment ago.
func (r *Roster) Listed(in fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.list(in, now); e != nil {
		e.vouched = now
	}
}

// Recalled takes in an entry of the list that may have been written long ago.
func (r *Roster) Recalled(in fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list(in, now)
}

// Snapshot updates the roster by the whole list as it stood before a position. Its entries may
// have been written long ago: they count as read, but not as lately written.
func (r *Roster) Snapshot(entries []fleet.Instance, position int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[state.InstanceID]bool, len(entries))
	for _, in := range entries {
		listed[in.ID] = true
		r.reread(in, now)
	}
	for id, e := range r.m {
		if !listed[id] && e.listed.Position < position {
			r.unlist(e, position-1, now) // the next entry has the position itself
		}
	}
}

// Restore updates the roster by the whole list as an older copy of it shows it. The copy lacks what was
// written after it was made: it drops no instance, and takes back nothing that is known of one.
func (r *Roster) Restore(entries []fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.m {
		e.vouched = time.Time{}
	}
	for _, in := range entries {
		r.reread(in, now)
	}
}

// reread applies an entry of the whole list. r.mu is held.
func (r *Roster) reread(in fleet.Instance, now time.Time) {
	e := r.m[in.ID]
	switch {
	case e == nil:
		r.list(in, now).restored = source.Era(in.Position) > 0
	case e.isCopy(in):
		r.keep(e, in)
	default:
		r.list(in, now)
	}
}

// isCopy reports whether an entry that was read in a later era may be older than what is
// known: it has the offset of what is known, or an earlier one. One with a later offset was written since.
func (e *entry) isCopy(in fleet.Instance) bool {
	return source.Era(in.Position) > source.Era(e.listed.Position) &&
		source.Offset(in.Position) <= source.Offset(e.listed.Position) && !e.reborn(in.Born)
}

// keep keeps what is known of an instance over an entry of an older copy. It takes the entry's
// position, as all nodes do that read the copy, so that what they tell each other of the
// instance is compared by the same one. r.mu is held.
func (r *Roster) keep(e *entry, in fleet.Instance) {
	if e.outlived(in.Born) {
		return
	}
	e.listed.Position = in.Position
	e.listed.Draining = e.listed.Draining || in.Draining
	e.restored = true
	r.touch(e)
}

// list takes in an entry and returns it, or nil if it was taken in before. r.mu is held.
func (r *Roster) list(in fleet.Instance, now time.Time) *entry {
	e := r.m[in.ID]
	switch {
	case e == nil:
		e = &entry{policy: &r.cfg.Policy, seen: now, changed: now, belief: in}
		r.m[in.ID] = e
		r.touch(e)
	case e.outlived(in.Born):
		return nil
	case e.reborn(in.Born):
		r.begin(e, in, now)
	}
	if e.beat.IsZero() || in.Position > e.listed.Position {
		e.beat = now
		r.revive(e)
	} else {
		return nil
	}
	before := e.belief.Membership.Key()
	if in.Membership != e.listed.Membership || in.Model != e.listed.Model || !slices.Equal(in.Staged, e.listed.Staged) {
		e.changed = now
	}
	// Every entry says how the instance stands, also one that says the same again.
	if e.believe(in.Membership, in.Model, in.Staged, now) {
		r.touch(e)
	}
	// The number of orders is worth nothing without the membership that it was told with.
	if e.belief.Membership.Key() != before {
		e.counted = false
	}
	if in.Draining != e.listed.Draining || !e.inList || in.Address != e.listed.Address {
		r.touch(e)
	}
	e.listed, e.inList, e.restored = in, true, false
	return e
}

// Confirm takes in that the list was read up to its end by a question asked at a time.
func (r *Roster) Confirm(asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if asked.After(r.listAsOf) {
		r.listAsOf = asked
	}
}

// Fed takes in that another node told all changes of the list as of a time.
func (r *Roster) Fed(asOf time.Time) {
	r.Confirm(asOf)
	r.mu.Lock()
	defer r.mu.Unlock()
	if asOf.After(r.fedAsOf) {
		r.fedAsOf = asOf
	}
}

// ListAge returns how old the knowledge of the list may be.
func (r *Roster) ListAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.listAsOf)
}

// Unlisted takes in that the list no longer shows an instance as of a position.
func (r *Roster) Unlisted(id state.InstanceID, position int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		r.unlist(e, position, now)
	}
}

// unlist notes that the list no longer shows an instance. r.mu is held.
func (r *Roster) unlist(e *entry, position int64, now time.Time) {
	e.listed.Position = max(e.listed.Position, position)
	if e.inList {
		e.inList, e.unlisted = false, now
		r.touch(e)
	}
}

// Change is what one node tells another of an instance.
type Change struct {
	fleet.Instance
	// Unlisted tells that the list no longer shows the instance.
	Unlisted bool `json:",omitempty"`
	// Leaving tells that the instance itself said that it will end soon.
	Leaving bool `json:",omitempty"`
	// Restored tells that the entry is one of an older copy of the list.
	Restored bool `json:",omitempty"`
}

// Changes returns what changed of the instances after a version, by id, and the version now.
func (r *Roster) Changes(after uint64) ([]Change, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after == r.version {
		return nil, r.version
	}
	var list []Change
	for _, e := range r.m {
		if e.stamp > after {
			list = append(list, Change{Instance: e.current(), Unlisted: !e.inList, Leaving: e.leaving, Restored: e.restored})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list, r.version
}

// Relayed takes in what another node knows of an instance, if that is newer than
// what this node has read itself. Of an entry that this node has read too, it
// counts only that the instance is leaving and what has become of its
// membership: word of another node brings none back.
func (r *Roster) Relayed(c Change, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[c.ID]
	known := e != nil
	if !known {
		e = &entry{policy: &r.cfg.Policy, seen: now, changed: now, belief: c.Instance}
		e.listed.Position = c.Position - 1
		r.m[c.ID] = e
	}
	switch {
	case c.Position < e.listed.Position || e.outlived(c.Born):
	case c.Unlisted:
		if e.listed.ID == "" {
			e.listed = c.Instance
		}
		r.unlist(e, c.Position, now)
	case c.Position == e.listed.Position && !e.inList:
	case c.Restored && !e.inList && known && source.Era(c.Position) > source.Era(e.listed.Position):
		// The copy shows an entry that this node knows to have been dropped since.
		r.keep(e, c.Instance)
	default:
		r.relay(c.Instance, c.Restored, e, now)
	}
	// An instance leaves for good, whatever this node has read of the list meanwhile.
	if c.Leaving {
		r.markLeaving(e, c.Incarnation())
	}
}

// relay takes in another node's word on an instance that is listed. r.mu is held.
func (r *Roster) relay(in fleet.Instance, restored bool, e *entry, now time.Time) {
	if e.reborn(in.Born) {
		r.begin(e, in, now)
	}
	if in.Position > e.listed.Position {
		e.beat = now
		r.revive(e)
	}
	copied := restored && source.Era(in.Position) > source.Era(e.listed.Position)
	in.Draining = in.Draining || (copied || in.Position == e.listed.Position) && e.listed.Draining
	if e.believe(in.Membership, in.Model, in.Staged, now) {
		e.counted = false
	}
	e.listed, e.inList, e.restored = in, true, restored
	r.touch(e)
}
