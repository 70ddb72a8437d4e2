package roster

import (
	"slices"
	"strings"
	"time"

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

// Snapshot takes in the whole list as it stood at a position. Its entries may
// have been written long ago: they count as read, but not as lately written.
func (r *Roster) Snapshot(entries []fleet.Instance, position int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[state.InstanceID]bool, len(entries))
	for _, in := range entries {
		listed[in.ID] = true
		r.list(in, now)
	}
	for id, e := range r.m {
		if !listed[id] && e.listed.Position < position {
			r.unlist(e, position, now)
		}
	}
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
	} else if e.inList {
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
	e.listed, e.inList = in, true
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
			list = append(list, Change{Instance: e.current(), Unlisted: !e.inList, Leaving: e.leaving})
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
	if e == nil {
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
	default:
		r.relay(c.Instance, e, now)
	}
	// An instance leaves for good, whatever this node has read of the list meanwhile.
	if c.Leaving {
		r.markLeaving(e, c.Incarnation())
	}
}

// relay takes in another node's word on an instance that is listed. r.mu is held.
func (r *Roster) relay(in fleet.Instance, e *entry, now time.Time) {
	if e.reborn(in.Born) {
		r.begin(e, in, now)
	}
	if in.Position > e.listed.Position {
		e.beat = now
		r.revive(e)
	}
	in.Draining = in.Draining || in.Position == e.listed.Position && e.listed.Draining
	if e.believe(in.Membership, in.Model, in.Staged, now) {
		e.counted = false
	}
	e.listed, e.inList = in, true
	r.touch(e)
}
