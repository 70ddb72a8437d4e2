package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// ApplyFreshEntry records a list entry that the instance wrote since the previous read of the
// list. That read must be recent, so that the entry counts as freshly written.
func (r *Roster) ApplyFreshEntry(in fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.applyListEntry(in, now); e != nil {
		e.freshEntryAt = now
	}
}

// ApplyOldEntry records a list entry that may have been written long ago.
func (r *Roster) ApplyOldEntry(in fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyListEntry(in, now)
}

// ApplySnapshot updates the roster from the whole list as of the records before position. Its entries
// may have been written long ago: they count as read, but not as freshly written.
func (r *Roster) ApplySnapshot(entries []fleet.Instance, position int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[state.InstanceID]bool, len(entries))
	for _, in := range entries {
		listed[in.ID] = true
		r.applyWholeListEntry(in, now)
	}
	for id, e := range r.entries {
		if !listed[id] && e.listed.Position < position {
			r.unlistEntry(e, position-1, now) // the next record gets position itself
		}
	}
}

// ApplyBackup updates the roster from the whole list after the store was restored from a backup. The
// backup lacks what was written after it was made, so it neither removes an instance nor reverts
// newer state of one.
func (r *Roster) ApplyBackup(entries []fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		e.freshEntryAt = time.Time{}
	}
	for _, in := range entries {
		r.applyWholeListEntry(in, now)
	}
}

// applyWholeListEntry applies an entry of the whole list. r.mu must be held.
func (r *Roster) applyWholeListEntry(in fleet.Instance, now time.Time) {
	e := r.entries[in.ID]
	switch {
	case e == nil:
		r.applyListEntry(in, now).restored = source.Era(in.Position) > 0
	case e.mayBeOutdated(in):
		r.retainKnown(e, in)
	default:
		r.applyListEntry(in, now)
	}
}

// mayBeOutdated reports whether an entry of a later era may come from the backup and be older than
// the known one: its offset is not higher. An entry with a higher offset was written since.
func (e *entry) mayBeOutdated(in fleet.Instance) bool {
	return source.Era(in.Position) > source.Era(e.listed.Position) &&
		source.Offset(in.Position) <= source.Offset(e.listed.Position) && !e.isLaterIncarnation(in.Born)
}

// retainKnown keeps the known state of an instance over an entry of a backup. It adopts the entry's
// position, as every node that reads the backup does, so that the changes that nodes send each
// other are ordered by the same positions. r.mu must be held.
func (r *Roster) retainKnown(e *entry, in fleet.Instance) {
	if e.isEarlierIncarnation(in.Born) {
		return
	}
	e.listed.Position = in.Position
	e.listed.Draining = e.listed.Draining || in.Draining
	e.restored = true
	r.markChanged(e)
}

// applyListEntry applies a list entry and returns the instance's state. It returns nil if the entry
// is not newer than the known one or belongs to an earlier incarnation. r.mu must be held.
func (r *Roster) applyListEntry(in fleet.Instance, now time.Time) *entry {
	e := r.entries[in.ID]
	switch {
	case e == nil:
		e = &entry{policy: &r.cfg.Policy, firstSeen: now, listChangedAt: now, latest: in}
		r.addEntry(in.ID, e)
		r.markChanged(e)
	case e.isEarlierIncarnation(in.Born):
		return nil
	case e.isLaterIncarnation(in.Born):
		r.startIncarnation(e, in, now)
	}
	if e.heartbeatAt.IsZero() || in.Position > e.listed.Position {
		e.heartbeatAt = now
		r.clearGone(e)
	} else {
		return nil
	}
	before := e.latest.Membership.Key()
	if in.Membership != e.listed.Membership || in.Model != e.listed.Model || !slices.Equal(in.Staged, e.listed.Staged) {
		e.listChangedAt = now
	}
	// Every entry states the current membership, so one that repeats the previous entry still
	// overrides an older report.
	if e.updateMembership(in.Membership, in.Model, in.Staged, now) {
		r.markChanged(e)
	}
	// The order count is valid only with the membership that it was reported with.
	if e.latest.Membership.Key() != before {
		e.ordersKnown = false
	}
	if in.Draining != e.listed.Draining || !e.inList || in.Address != e.listed.Address {
		r.markChanged(e)
	}
	if e.cold.set(in.ColdLeft, now, now) {
		r.markChanged(e)
	}
	e.listed, e.inList, e.restored = in, true, false
	return e
}

// RecordListRead records that the list was read up to its end by a request sent at the given time.
func (r *Roster) RecordListRead(requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if requestedAt.After(r.listAsOf) {
		r.listAsOf = requestedAt
	}
}

// RecordRelayedList records that another node relayed all changes of the list as of the given time.
func (r *Roster) RecordRelayedList(asOf time.Time) {
	r.RecordListRead(asOf)
	r.mu.Lock()
	defer r.mu.Unlock()
	if asOf.After(r.relayedAsOf) {
		r.relayedAsOf = asOf
	}
}

// ListAge returns the maximum age of the list data in the roster.
func (r *Roster) ListAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.listAsOf)
}

// MarkUnlisted records that the list no longer contains an instance as of a position.
func (r *Roster) MarkUnlisted(id state.InstanceID, position int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		r.unlistEntry(e, position, now)
	}
}

// unlistEntry marks an instance as no longer in the list. r.mu must be held.
func (r *Roster) unlistEntry(e *entry, position int64, now time.Time) {
	e.listed.Position = max(e.listed.Position, position)
	if e.inList {
		e.inList, e.unlistedAt = false, now
		r.markChanged(e)
	}
}

// Change is the state of an instance as one node relays it to another.
type Change struct {
	fleet.Instance
	// Unlisted is set if the list no longer contains the instance.
	Unlisted bool `json:",omitempty"`
	// Leaving is set if the instance itself announced its shutdown.
	Leaving bool `json:",omitempty"`
	// Restored is set if the entry comes from a backup of the list.
	Restored bool `json:",omitempty"`
	// ColdAge is the time since the entry was read that states Instance.ColdLeft, which is relayed as of
	// when the change was made up. Builds that relay no cold times leave both out.
	ColdAge time.Duration `json:",omitzero"`
}

// ChangesSince returns the instances that changed after a version, as of now, sorted by ID, and the current version.
func (r *Roster) ChangesSince(after uint64, now time.Time) ([]Change, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after == r.version {
		return nil, r.version
	}
	var list []Change
	for _, e := range r.entries {
		if e.changeVersion > after {
			c := Change{Instance: e.current(), Unlisted: !e.inList, Leaving: e.leaving, Restored: e.restored}
			c.ColdLeft, c.ColdAge = e.cold.left(now)
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list, r.version
}

// ApplyRelayed applies a change relayed by another node unless this node has read a newer entry
// itself. If this node has read the same entry, only the draining and leaving marks and the
// membership are updated: a relayed change never lists again an instance that this node knows
// to be unlisted at that position.
func (r *Roster) ApplyRelayed(c Change, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[c.ID]
	known := e != nil
	if !known {
		e = &entry{policy: &r.cfg.Policy, firstSeen: now, listChangedAt: now, latest: c.Instance}
		e.listed.Position = c.Position - 1
		r.addEntry(c.ID, e)
	}
	switch {
	case c.Position < e.listed.Position || e.isEarlierIncarnation(c.Born):
	case c.Unlisted:
		if e.listed.ID == "" {
			e.listed = c.Instance
		}
		r.unlistEntry(e, c.Position, now)
	case c.Position == e.listed.Position && !e.inList:
	case c.Restored && !e.inList && known && source.Era(c.Position) > source.Era(e.listed.Position):
		// The backup contains an entry that this node knows to have been removed since.
		r.retainKnown(e, c.Instance)
	default:
		r.applyRelayedEntry(c, e, now)
	}
	// Leaving is final for an incarnation, whatever this node has read from the list since.
	if c.Leaving {
		r.markLeaving(e, c.Incarnation())
	}
}

// applyRelayedEntry applies a change relayed by another node for a listed instance. r.mu must be held.
func (r *Roster) applyRelayedEntry(c Change, e *entry, now time.Time) {
	in, restored := c.Instance, c.Restored
	if e.isLaterIncarnation(in.Born) {
		r.startIncarnation(e, in, now)
		e.cold.setRelayed(&c, now)
	}
	if in.Position > e.listed.Position {
		e.cold.setRelayed(&c, now)
		e.heartbeatAt = now
		r.clearGone(e)
	}
	fromBackup := restored && source.Era(in.Position) > source.Era(e.listed.Position)
	in.Draining = in.Draining || (fromBackup || in.Position == e.listed.Position) && e.listed.Draining
	if e.updateMembership(in.Membership, in.Model, in.Staged, now) {
		e.ordersKnown = false
	}
	e.listed, e.inList, e.restored = in, true, restored
	r.markChanged(e)
}
