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
	InFlight int
	Tokens   int64
	// BatchSlots is the maximum number of requests in a batch of the engine.
	BatchSlots int
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

// TimedReport is a report and the time at which its probe was sent.
type TimedReport struct {
	Report
	ProbedAt time.Time
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
	entries map[state.InstanceID]TimedReport
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].entries = map[state.InstanceID]TimedReport{}
	}
	return t
}

// shard returns the shard that holds an instance.
func (t *Table) shard(id state.InstanceID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Record records a report whose probe was sent at probedAt. It is dropped unless it is newer
// than the report held.
func (t *Table) Record(r Report, probedAt time.Time) {
	s := t.shard(r.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.entries[r.Instance]; ok && !probedAt.After(old.ProbedAt) {
		return
	}
	s.entries[r.Instance] = TimedReport{Report: r, ProbedAt: probedAt}
}

// Get returns the newest report of an instance.
func (t *Table) Get(id state.InstanceID) (TimedReport, bool) {
	s := t.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[id]
	return e, ok
}

// SetLeavingByList sets the instances that are leaving according to the platform's list.
func (t *Table) SetLeavingByList(leaving []state.InstanceID) {
	m := make(map[state.InstanceID]bool, len(leaving))
	for _, id := range leaving {
		m[id] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingByList = m
}

// IsLeaving reports whether an instance is leaving according to the list or its own report.
func (t *Table) IsLeaving(id state.InstanceID) bool {
	t.mu.Lock()
	listed := t.leavingByList[id]
	t.mu.Unlock()
	if listed {
		return true
	}
	e, ok := t.Get(id)
	return ok && e.Leaving
}

// MemberMismatch is the reason why a member does not match its group.
type MemberMismatch struct {
	Instance state.InstanceID
	Detail   string
}

// Error returns the instance and the reason.
func (f *MemberMismatch) Error() string { return fmt.Sprintf("%s: %s", f.Instance, f.Detail) }

// GroupEvidence is the result of judging a group by the evidence.
type GroupEvidence struct {
	// Expires is when the oldest evidence expires. It is zero if a member does not match.
	Expires time.Time
	// Mismatches lists every member that does not match or whose evidence has expired.
	Mismatches []MemberMismatch
	// Leaving is set if a member is leaving. The group must not get new requests then.
	Leaving bool
	// IncarnationHash changes whenever a member restarts.
	IncarnationHash uint64
	// Head is the report of rank 0.
	Head Report
}

// CheckGroup decides whether every member has reported the group and its epoch, and
// until when that evidence is valid. It does not allocate while the group is
// complete.
func (t *Table) CheckGroup(g *state.Group, now time.Time, window time.Duration) GroupEvidence {
	w := GroupEvidence{IncarnationHash: uint64(g.Epoch)}
	for rank, id := range g.Members {
		e, ok := t.Get(id)
		if detail := memberMismatch(g, rank, e, ok, now, window); detail != "" {
			w.Mismatches = append(w.Mismatches, MemberMismatch{Instance: id, Detail: detail})
			continue
		}
		until := e.ProbedAt.Add(window)
		if w.Expires.IsZero() || until.Before(w.Expires) {
			w.Expires = until
		}
		w.IncarnationHash = w.IncarnationHash*identityMultiplier + xxhash.Sum64String(e.Incarnation)
		w.Leaving = w.Leaving || t.IsLeaving(id)
		if rank == 0 {
			w.Head = e.Report
		}
	}
	if len(w.Mismatches) > 0 {
		w.Expires = time.Time{}
	}
	return w
}

// CheckInstance decides whether an instance outside any group has reported that it is ready.
func (t *Table) CheckInstance(id state.InstanceID, now time.Time, window time.Duration) GroupEvidence {
	e, ok := t.Get(id)
	var detail string
	switch {
	case !ok:
		detail = "has never reported"
	case now.Sub(e.ProbedAt) >= window:
		detail = fmt.Sprintf("has not reported for %s", now.Sub(e.ProbedAt).Round(time.Millisecond))
	case e.Phase != PhaseReady || e.Group != "":
		detail = fmt.Sprintf("is %s, group %q", e.Phase, e.Group)
	}
	if detail != "" {
		return GroupEvidence{Mismatches: []MemberMismatch{{Instance: id, Detail: detail}}}
	}
	return GroupEvidence{
		Expires:         e.ProbedAt.Add(window),
		Leaving:         t.IsLeaving(id),
		IncarnationHash: xxhash.Sum64String(e.Incarnation),
		Head:            e.Report,
	}
}

// identityMultiplier makes IncarnationHash depend on the order of the members' incarnations.
const identityMultiplier = 1099511628211

// memberMismatch describes why a member does not match the group, or returns "".
func memberMismatch(g *state.Group, rank int, e TimedReport, ok bool, now time.Time, window time.Duration) string {
	if g.Members[rank] == "" {
		return "the seat is vacant"
	}
	if !ok {
		return "has never reported"
	}
	if age := now.Sub(e.ProbedAt); age >= window {
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
