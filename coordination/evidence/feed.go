package evidence

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Feed holds the reports that a node has got by its own probes, with a version for each
// change, so that a peer can be sent only what is new to it.
type Feed struct {
	mu      sync.Mutex
	version uint64
	entries map[state.InstanceID]*feedEntry
}

// feedEntry is one report of a Feed. It expires when it is too old, which includes that the
// instance is no longer probed by this node.
type feedEntry struct {
	report   Report
	probedAt time.Time
	version  uint64
	expired  bool
}

// Delta holds the changes of a Feed since a version.
type Delta struct {
	Version uint64
	// OldestProbe is the send time of the oldest probe behind any report that has not expired.
	OldestProbe time.Time
	Changed     []TimedReport
	Expired     []state.InstanceID
}

// NewFeed returns an empty Feed.
func NewFeed() *Feed { return &Feed{entries: map[state.InstanceID]*feedEntry{}} }

// Record records a report whose probe this node sent at probedAt.
func (f *Feed) Record(r Report, probedAt time.Time) {
	if r.Rank != 0 || r.Group == "" {
		r.Load = Load{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[r.Instance]
	if !ok {
		e = &feedEntry{}
		f.entries[r.Instance] = e
	}
	if !ok || e.expired || e.report != r {
		f.version++
		e.version = f.version
	}
	e.report, e.probedAt, e.expired = r, probedAt, false
}

// Expire marks every report whose probe was sent before a time as expired.
func (f *Feed) Expire(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if !e.expired && e.probedAt.Before(before) {
			f.version++
			e.expired, e.version = true, f.version
		}
	}
}

// DeltaSince returns the changes after a version. Version 0 returns everything.
func (f *Feed) DeltaSince(version uint64) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{Version: f.version}
	for id, e := range f.entries {
		if e.expired {
			if e.version > version {
				d.Expired = append(d.Expired, id)
			}
			continue
		}
		if d.OldestProbe.IsZero() || e.probedAt.Before(d.OldestProbe) {
			d.OldestProbe = e.probedAt
		}
		if e.version > version {
			d.Changed = append(d.Changed, TimedReport{Report: e.report, ProbedAt: e.probedAt})
		}
	}
	return d
}

// Mirror is a node's copy of one peer's Feed.
type Mirror struct {
	Incarnation string
	Version     uint64
	// LedgerVersion is the version of the peer's ledger of instance endings that this node has.
	LedgerVersion uint64
	reports       map[state.InstanceID]Report
}

// ResetIfRestarted resets the mirror if the peer has another incarnation than the mirrored one.
func (m *Mirror) ResetIfRestarted(incarnation string) {
	if m.reports == nil || m.Incarnation != incarnation {
		*m = Mirror{Incarnation: incarnation, reports: map[state.InstanceID]Report{}}
	}
}

// Apply applies a Delta to the mirror and the table and returns the reports that it applied.
//
// requestedAt is when this node sent its request to the peer, by its own clock. ages are
// the ages of the changed reports at the peer, and oldestAge is the age of the oldest
// evidence there. The ages are subtracted from the time of the request, not of the
// response: evidence can only look older than it is, never newer.
func (m *Mirror) Apply(t *Table, incarnation string, d Delta, requestedAt time.Time, oldestAge time.Duration, ages []time.Duration) []Report {
	m.ResetIfRestarted(incarnation)
	m.Version = d.Version
	for _, id := range d.Expired {
		delete(m.reports, id)
	}
	applied := make([]Report, 0, len(m.reports)+len(d.Changed))
	changed := map[state.InstanceID]bool{}
	for i, e := range d.Changed {
		m.reports[e.Instance] = e.Report
		changed[e.Instance] = true
		t.Record(e.Report, requestedAt.Add(-ages[i]))
		applied = append(applied, e.Report)
	}
	for id, r := range m.reports {
		if !changed[id] {
			t.Record(r, requestedAt.Add(-oldestAge))
			applied = append(applied, r)
		}
	}
	return applied
}
