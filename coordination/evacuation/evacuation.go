// Package evacuation decides which data halls may get requests. An operator evacuates a hall by a record in
// the configuration topic of the platform's store, and readmits it by deleting the record.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
)

// keyPrefix begins the keys of the records that evacuate a hall.
const keyPrefix = "evacuation/"

// Key returns the key of the record that evacuates a hall.
func Key(hall state.HallName) string { return keyPrefix + string(hall) }

// HallOf returns the hall that the record with a key evacuates, and false if it is another record.
func HallOf(key string) (state.HallName, bool) {
	name, found := strings.CutPrefix(key, keyPrefix)
	return state.HallName(name), found && name != ""
}

// transitMargin is subtracted from the bound of an evacuation, to allow for the transit of a request to its instance.
const transitMargin = 500 * time.Millisecond

// Policy holds the parameters of evacuations.
type Policy struct {
	// Bound is the time from the operator's record on within which the last request may arrive at an instance of the
	// hall; 0 if the deployment has no evacuations.
	Bound time.Duration
	// RestoreSettle is the time after a restore of the store from a backup within which its records may be incomplete.
	RestoreSettle time.Duration
}

// Set is the set of the evacuated halls, in ascending order, as of a position in the configuration topic: it takes into
// account all records before the position. Of two sets, the one with the later position applies.
type Set struct {
	Position int64            `json:"p"`
	Halls    []state.HallName `json:"h,omitempty"`
	// IsUnsettled is set if the store was restored from a backup so recently that the sender has not replaced its set yet.
	// The receiver may have read the backup only: it adds the halls to its own.
	IsUnsettled bool `json:"u,omitempty"`
}

// Evacuation is the evacuation of one hall, as a node knows it.
type Evacuation struct {
	Hall state.HallName
	// LearnedAt is when the node learned of the evacuation.
	LearnedAt time.Time
	// LastResortUntil is the time until which the hall's groups may serve models that no group elsewhere serves.
	LastResortUntil time.Time
}

// phase returns the phase of the evacuation.
func (e *Evacuation) phase(now time.Time) Phase {
	if now.Before(e.LastResortUntil) {
		return LastResort
	}
	return Closed
}

// Phase states what the instances of a hall may be used for.
type Phase int

// The phases.
const (
	// Admitted means that the hall is not evacuated.
	Admitted Phase = iota
	// LastResort means that the hall is evacuated, but its groups may still serve models that no group elsewhere serves.
	LastResort
	// Closed means that the hall is evacuated and its instances get no requests.
	Closed
)

// MayServe reports whether a candidate in a hall of the phase may get new requests. isGroup is set for the head of a
// group, servedElsewhere if a hall that is not evacuated has a candidate for the same requests.
func (p Phase) MayServe(isGroup, servedElsewhere bool) bool {
	return p == Admitted || p == LastResort && isGroup && !servedElsewhere
}

// View holds the phases of the evacuated halls at one time. Other halls are admitted.
type View map[state.HallName]Phase

// Change lists the halls whose evacuation a node learned to have begun or ended.
type Change struct {
	Began, Ended []state.HallName
}

// IsEmpty reports whether nothing changed.
func (c Change) IsEmpty() bool { return len(c.Began) == 0 && len(c.Ended) == 0 }

// Knowledge is what a node knows of evacuations. The zero value knows nothing.
type Knowledge struct {
	// Known is set once the node has read or received any set.
	Known bool
	// Position is that of the set; 0 if the set is complete as of no position.
	Position int64
	// Evacuations holds the evacuated halls.
	Evacuations map[state.HallName]Evacuation
	// EndedAt holds the times at which the node learned that evacuations ended.
	EndedAt map[state.HallName]time.Time
	// IsIncomplete is set if the set may contain evacuations that have ended since its position. The next complete set
	// that is not older replaces it.
	IsIncomplete bool
	// ConfirmedAt is the latest time as of which the set was known to be current.
	ConfirmedAt time.Time
	// knownSince is when the node first knew any set.
	knownSince time.Time
	// unsettledUntil is the time until which the node's reads may lack records, according to another node.
	unsettledUntil time.Time
	// readTo is the position up to which the node's own reads of the topic have come.
	readTo int64
}

// Read is the result of one read of the configuration topic.
type Read struct {
	source.ReadResult
	Kind      source.ReadKind
	StartedAt time.Time
	// IsSettled is set unless the store was restored from a backup so recently that its records may be incomplete.
	IsSettled bool
}

// ApplyRead returns the knowledge after a read of the topic, and the change. Consecutive reads must be applied in their
// order, stale ones left out.
func (k Knowledge) ApplyRead(r Read, policy Policy, now time.Time) (Knowledge, Change) {
	from, end := k.readTo, source.Position(r.Era, r.NextOffset)
	k.readTo = end
	isFull := r.Kind == source.ReadFull || r.Kind == source.ReadRestored
	isSettled := r.IsSettled && r.Kind != source.ReadRestored && !r.StartedAt.Before(k.unsettledUntil)
	switch {
	case isFull && isSettled && (!k.Known || end >= k.Position):
		return k.replace(apply(nil, r.Items), end, policy, now)
	case isFull && isSettled:
		return k, Change{} // a later set is known already
	case !isFull && isSettled && !k.IsIncomplete && from <= k.Position && source.Era(k.Position) == r.Era:
		later := slices.DeleteFunc(slices.Clone(r.Items), func(it source.Item) bool { return it.Offset < source.Offset(k.Position) })
		return k.replace(apply(k.halls(), later), max(k.Position, end), policy, now)
	}
	return k.add(apply(nil, r.Items), policy, now)
}

// Merge returns the knowledge after another node's set was received, and the change. isSettled is as in Read.
func (k Knowledge) Merge(s Set, isSettled bool, policy Policy, now time.Time) (Knowledge, Change) {
	isNewer := s.Position > k.Position || s.Position == k.Position && k.IsIncomplete
	switch {
	case s.IsUnsettled && k.Known && now.Sub(k.knownSince) >= policy.RestoreSettle:
		return k, Change{} // the node has noticed the restore itself, or started long after it
	case s.IsUnsettled:
		if !now.Before(k.unsettledUntil) {
			k.unsettledUntil = now.Add(policy.RestoreSettle)
		}
		return k.add(s.Halls, policy, now)
	case s.Position == 0 || !isNewer:
		return k, Change{}
	case !isSettled:
		return k.add(s.Halls, policy, now)
	}
	return k.replace(s.Halls, s.Position, policy, now)
}

// Confirm returns the knowledge after a source of which the set is complete as of the position was current at a time.
func (k Knowledge) Confirm(position int64, at time.Time) Knowledge {
	if k.Known && !k.IsIncomplete && position <= k.Position && at.After(k.ConfirmedAt) {
		k.ConfirmedAt = at
	}
	return k
}

// NeedsFullRead reports whether the node must read all records of the topic now to know a complete set.
func (k Knowledge) NeedsFullRead(now time.Time) bool {
	return k.IsIncomplete && !now.Before(k.unsettledUntil)
}

// Set returns the set for other nodes.
func (k Knowledge) Set() Set { return Set{Position: k.Position, Halls: k.halls()} }

// Phase returns the phase of a hall.
func (k Knowledge) Phase(hall state.HallName, now time.Time) Phase {
	if e, evacuated := k.Evacuations[hall]; evacuated {
		return e.phase(now)
	}
	return Admitted
}

// View returns the phases of the evacuated halls.
func (k Knowledge) View(now time.Time) View {
	v := make(View, len(k.Evacuations))
	for hall, e := range k.Evacuations {
		v[hall] = e.phase(now)
	}
	return v
}

// halls returns the evacuated halls in ascending order.
func (k Knowledge) halls() []state.HallName { return slices.Sorted(maps.Keys(k.Evacuations)) }

// apply returns the halls that are evacuated after records that follow in their order, given those before.
func apply(halls []state.HallName, items []source.Item) []state.HallName {
	for _, it := range items {
		hall, ok := HallOf(it.Key)
		if !ok {
			continue
		}
		halls = slices.DeleteFunc(slices.Clone(halls), func(h state.HallName) bool { return h == hall })
		if len(it.Value) > 0 {
			halls = append(halls, hall)
		}
	}
	return halls
}

// add returns the knowledge with further evacuated halls. Its position stays, since the records may be incomplete.
func (k Knowledge) add(halls []state.HallName, policy Policy, now time.Time) (Knowledge, Change) {
	position := k.Position
	next, change := k.replace(append(k.halls(), halls...), position, policy, now)
	next.IsIncomplete = true
	return next, change
}

// replace returns the knowledge with the given evacuated halls and position.
func (k Knowledge) replace(halls []state.HallName, position int64, policy Policy, now time.Time) (Knowledge, Change) {
	var change Change
	evacuations := make(map[state.HallName]Evacuation, len(halls))
	for _, hall := range halls {
		e, known := k.Evacuations[hall]
		if !known {
			e = Evacuation{Hall: hall, LearnedAt: now, LastResortUntil: k.lastResortUntil(policy, now)}
		}
		if _, twice := evacuations[hall]; !known && !twice {
			change.Began = append(change.Began, hall)
		}
		evacuations[hall] = e
	}
	ended := maps.Clone(k.EndedAt)
	for _, hall := range k.halls() {
		if _, stays := evacuations[hall]; stays {
			continue
		}
		change.Ended = append(change.Ended, hall)
		if ended == nil {
			ended = map[state.HallName]time.Time{}
		}
		ended[hall] = now
	}
	slices.Sort(change.Began)
	if !k.Known {
		k.knownSince = now
	}
	k.Known, k.Position, k.Evacuations, k.EndedAt, k.IsIncomplete = true, position, evacuations, ended, false
	return k, change
}

// lastResortUntil returns the time until which the groups of a hall whose evacuation the node learns now may serve models
// that no group elsewhere serves: half of the bound, and no longer than the bound after the last time at which
// the record was known not to exist. A node that knew nothing before does not know the age of the record.
func (k Knowledge) lastResortUntil(policy Policy, now time.Time) time.Time {
	if k.ConfirmedAt.IsZero() {
		return now
	}
	until, latest := now.Add(policy.Bound/2), k.ConfirmedAt.Add(policy.Bound-transitMargin)
	if latest.Before(until) {
		return latest
	}
	return until
}
