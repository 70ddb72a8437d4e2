// Package evidence holds what target instances have themselves reported, and
// decides from it whether a replica group is whole.
package evidence

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/state"
)

// Phase is how far an instance has come with its order.
type Phase string

// The phases that an instance reports.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	// PhaseDown is noted by a prober that found nothing listening at the instance's address.
	PhaseDown Phase = "down"
)

// Load is what an instance said of its work, already old when it was said.
type Load struct {
	Held   int
	Tokens int64
	// Slots is the greatest number of requests the engine batches.
	Slots int
}

// Report is what an instance said of itself.
type Report struct {
	Instance state.InstanceID
	// Incarnation changes whenever the instance's process starts anew.
	Incarnation string
	Group       state.GroupName
	Epoch       state.Epoch
	Rank        int
	Phase       Phase
	Leaving     bool
	Load        Load
}

// Entry is a report and the time at which the question behind it was asked.
type Entry struct {
	Report
	Asked time.Time
}

// shardCount is the number of independently locked parts of a Table.
const shardCount = 16

// Table holds the newest report of each instance, in shards under their own locks.
type Table struct {
	shards [shardCount]shard
	mu     sync.Mutex
	listed map[state.InstanceID]bool
}

type shard struct {
	mu sync.RWMutex
	m  map[state.InstanceID]Entry
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].m = map[state.InstanceID]Entry{}
	}
	return t
}

// shard returns the part of the table that holds an instance.
func (t *Table) shard(id state.InstanceID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Observe takes in a report whose question was asked at a time; an older one than that held is dropped.
func (t *Table) Observe(r Report, asked time.Time) {
	s := t.shard(r.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.m[r.Instance]; ok && !asked.After(old.Asked) {
		return
	}
	s.m[r.Instance] = Entry{Report: r, Asked: asked}
}

// Get returns the newest report of an instance.
func (t *Table) Get(id state.InstanceID) (Entry, bool) {
	s := t.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.m[id]
	return e, ok
}

// SetListed replaces the instances that the platform's list calls leaving.
func (t *Table) SetListed(leaving []state.InstanceID) {
	m := make(map[state.InstanceID]bool, len(leaving))
	for _, id := range leaving {
		m[id] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = m
}

// Leaving reports whether the list or the instance itself says that it is leaving.
func (t *Table) Leaving(id state.InstanceID) bool {
	t.mu.Lock()
	listed := t.listed[id]
	t.mu.Unlock()
	if listed {
		return true
	}
	e, ok := t.Get(id)
	return ok && e.Leaving
}

// Fault says why a group is not whole.
type Fault struct {
	Instance state.InstanceID
	Detail   string
}

// Error names the instance and what is wrong with it.
func (f *Fault) Error() string { return fmt.Sprintf("%s: %s", f.Instance, f.Detail) }

// Wholeness is what the evidence says of a group.
type Wholeness struct {
	// Until is when the oldest evidence runs out; the zero time when a member does not match.
	Until time.Time
	// Faults names every member that does not match, or whose evidence has run out.
	Faults []Fault
	// Leaving is set when a member is leaving: no new request may go to the group.
	Leaving bool
	// Identity changes whenever a member was started anew.
	Identity uint64
	// Leader is the report of rank 0.
	Leader Report
}

// Judge decides whether every member has itself reported the group and its
// epoch, and until when that evidence may be used. It does not allocate while
// the group is whole.
func (t *Table) Judge(g *state.Group, now time.Time, window time.Duration) Wholeness {
	w := Wholeness{Identity: uint64(g.Epoch)}
	for rank, id := range g.Members {
		e, ok := t.Get(id)
		if detail := mismatch(g, rank, e, ok, now, window); detail != "" {
			w.Faults = append(w.Faults, Fault{Instance: id, Detail: detail})
			continue
		}
		until := e.Asked.Add(window)
		if w.Until.IsZero() || until.Before(w.Until) {
			w.Until = until
		}
		w.Identity = w.Identity*prime + xxhash.Sum64String(e.Incarnation)
		w.Leaving = w.Leaving || t.Leaving(id)
		if rank == 0 {
			w.Leader = e.Report
		}
	}
	if len(w.Faults) > 0 {
		w.Until = time.Time{}
	}
	return w
}

// JudgeInstance decides whether an instance outside any group has reported itself ready.
func (t *Table) JudgeInstance(id state.InstanceID, now time.Time, window time.Duration) Wholeness {
	e, ok := t.Get(id)
	var detail string
	switch {
	case !ok:
		detail = "has never reported"
	case now.Sub(e.Asked) >= window:
		detail = fmt.Sprintf("has not reported for %s", now.Sub(e.Asked).Round(time.Millisecond))
	case e.Phase != PhaseReady || e.Group != "":
		detail = fmt.Sprintf("is %s, group %q", e.Phase, e.Group)
	}
	if detail != "" {
		return Wholeness{Faults: []Fault{{Instance: id, Detail: detail}}}
	}
	return Wholeness{
		Until:    e.Asked.Add(window),
		Leaving:  t.Leaving(id),
		Identity: xxhash.Sum64String(e.Incarnation),
		Leader:   e.Report,
	}
}

// prime mixes the incarnations of the members in their order.
const prime = 1099511628211

// mismatch says what is wrong with a member, or "".
func mismatch(g *state.Group, rank int, e Entry, ok bool, now time.Time, window time.Duration) string {
	if g.Members[rank] == "" {
		return "the seat is vacant"
	}
	if !ok {
		return "has never reported"
	}
	if age := now.Sub(e.Asked); age >= window {
		return fmt.Sprintf("has not reported for %s", age.Round(time.Millisecond))
	}
	return Mismatch(g, rank, e.Report)
}

// Mismatch says in what a report differs from the member's order, or "".
func Mismatch(g *state.Group, rank int, r Report) string {
	if r.Phase == PhaseDown {
		return "nothing listens at its address"
	}
	if r.Group != g.Name || r.Epoch != g.Epoch || r.Rank != rank {
		return fmt.Sprintf("reports group %q epoch %d rank %d, ordered %q epoch %d rank %d",
			r.Group, r.Epoch, r.Rank, g.Name, g.Epoch, rank)
	}
	if r.Phase != PhaseReady {
		return fmt.Sprintf("is %s", r.Phase)
	}
	return ""
}
