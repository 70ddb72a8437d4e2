// Package evidence holds the reports of target instances and decides from them
// whether a replica group is complete.
package evidence

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/state"
)

// Phase is an instance's progress in carrying out its order.
type Phase string

// The phases that an instance reports.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	// PhaseDown is set by a prober when nothing listens at the instance's address.
	PhaseDown Phase = "down"
)

// Load is the load that an instance reported. It may be out of date even when it is reported.
type Load struct {
	Held   int
	Tokens int64
	// Slots is the maximum number of requests in a batch of the engine.
	Slots int
}

// Report is the state that an instance reports in answer to a probe.
type Report struct {
	Instance state.InstanceID
	// Incarnation changes whenever the instance's process restarts.
	Incarnation string
	Group       state.GroupName
	Epoch       state.Epoch
	Rank        int
	Phase       Phase
	Leaving     bool
	Load        Load
}

// Entry is a report and the time at which its probe was sent.
type Entry struct {
	Report
	Asked time.Time
}

// shardCount is the number of shards of a Table.
const shardCount = 16

// Table holds the newest report of each instance, in separately locked shards.
type Table struct {
	shards        [shardCount]shard
	mu            sync.Mutex
	leavingByList map[state.InstanceID]bool
}

type shard struct {
	mu      sync.RWMutex
	entries map[state.InstanceID]Entry
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].entries = map[state.InstanceID]Entry{}
	}
	return t
}

// shard returns the shard that holds an instance.
func (t *Table) shard(id state.InstanceID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Observe records a report whose probe was sent at probedAt. It is dropped unless it is newer
// than the report held.
func (t *Table) Observe(r Report, probedAt time.Time) {
	s := t.shard(r.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.entries[r.Instance]; ok && !probedAt.After(old.Asked) {
		return
	}
	s.entries[r.Instance] = Entry{Report: r, Asked: probedAt}
}

// Get returns the newest report of an instance.
func (t *Table) Get(id state.InstanceID) (Entry, bool) {
	s := t.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[id]
	return e, ok
}

// SetListed sets the instances that are leaving according to the platform's list.
func (t *Table) SetListed(leaving []state.InstanceID) {
	m := make(map[state.InstanceID]bool, len(leaving))
	for _, id := range leaving {
		m[id] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingByList = m
}

// Leaving reports whether an instance is leaving according to the list or its own report.
func (t *Table) Leaving(id state.InstanceID) bool {
	t.mu.Lock()
	listed := t.leavingByList[id]
	t.mu.Unlock()
	if listed {
		return true
	}
	e, ok := t.Get(id)
	return ok && e.Leaving
}

// Fault is the reason why a member does not match its group.
type Fault struct {
	Instance state.InstanceID
	Detail   string
}

// Error returns the instance and the reason.
func (f *Fault) Error() string { return fmt.Sprintf("%s: %s", f.Instance, f.Detail) }

// Wholeness is the result of judging a group by the evidence.
type Wholeness struct {
	// Until is when the oldest evidence expires. It is zero if a member does not match.
	Until time.Time
	// Faults lists every member that does not match or whose evidence has expired.
	Faults []Fault
	// Leaving is set if a member is leaving. The group must not get new requests then.
	Leaving bool
	// Identity changes whenever a member restarts.
	Identity uint64
	// Leader is the report of rank 0.
	Leader Report
}

// Judge decides whether every member has reported the group and its epoch, and
// until when that evidence is valid. It does not allocate while the group is
// complete.
func (t *Table) Judge(g *state.Group, now time.Time, window time.Duration) Wholeness {
	w := Wholeness{Identity: uint64(g.Epoch)}
	for rank, id := range g.Members {
		e, ok := t.Get(id)
		if detail := memberMismatch(g, rank, e, ok, now, window); detail != "" {
			w.Faults = append(w.Faults, Fault{Instance: id, Detail: detail})
			continue
		}
		until := e.Asked.Add(window)
		if w.Until.IsZero() || until.Before(w.Until) {
			w.Until = until
		}
		w.Identity = w.Identity*identityMultiplier + xxhash.Sum64String(e.Incarnation)
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

// JudgeInstance decides whether an instance outside any group has reported that it is ready.
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

// identityMultiplier makes Identity depend on the order of the members' incarnations.
const identityMultiplier = 1099511628211

// memberMismatch describes why a member does not match the group, or returns "".
func memberMismatch(g *state.Group, rank int, e Entry, ok bool, now time.Time, window time.Duration) string {
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

// Mismatch describes how a report differs from the member's order, or returns "".
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
