package evidence

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Feed holds the reports that a node has itself asked for, numbered by change,
// so that peers can be told only what is new to them.
type Feed struct {
	mu      sync.Mutex
	version uint64
	own     map[state.InstanceID]*fed
}

// fed is one own report; lost is set once it has become too old or is no longer asked for.
type fed struct {
	report  Report
	asked   time.Time
	version uint64
	lost    bool
}

// Delta is what a peer that has seen a version does not know yet.
type Delta struct {
	Version uint64
	// Confirmed is when the oldest question behind any report that is not lost was asked.
	Confirmed time.Time
	Changed   []Entry
	Lost      []state.InstanceID
}

// NewFeed returns an empty Feed.
func NewFeed() *Feed { return &Feed{own: map[state.InstanceID]*fed{}} }

// Observe takes in a report that the node itself has asked for.
func (f *Feed) Observe(r Report, asked time.Time) {
	if r.Rank != 0 || r.Group == "" {
		r.Load = Load{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.own[r.Instance]
	if !ok {
		e = &fed{}
		f.own[r.Instance] = e
	}
	if !ok || e.lost || e.report != r {
		f.version++
		e.version = f.version
	}
	e.report, e.asked, e.lost = r, asked, false
}

// Expire marks every report asked for before a time as lost.
func (f *Feed) Expire(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.own {
		if !e.lost && e.asked.Before(before) {
			f.version++
			e.lost, e.version = true, f.version
		}
	}
}

// Since returns what has changed after a version; 0 returns everything.
func (f *Feed) Since(version uint64) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{Version: f.version}
	for id, e := range f.own {
		if e.lost {
			if e.version > version {
				d.Lost = append(d.Lost, id)
			}
			continue
		}
		if d.Confirmed.IsZero() || e.asked.Before(d.Confirmed) {
			d.Confirmed = e.asked
		}
		if e.version > version {
			d.Changed = append(d.Changed, Entry{Report: e.report, Asked: e.asked})
		}
	}
	return d
}

// Mirror is what a node has learnt from one peer's Feed.
type Mirror struct {
	Incarnation string
	Version     uint64
	// Ledger is the version of the peer's ledger of endings that this node has.
	Ledger  uint64
	reports map[state.InstanceID]Report
}

// Follow begins anew if the peer's process is another than the one that the mirror was of.
func (m *Mirror) Follow(incarnation string) {
	if m.reports == nil || m.Incarnation != incarnation {
		*m = Mirror{Incarnation: incarnation, reports: map[state.InstanceID]Report{}}
	}
}

// Merge takes a Delta into the mirror and the table.
//
// asked is when this node asked the peer, by its own clock; confirmed is how
// old the peer said its oldest unchanged evidence was. Counting the age back
// from the question, not from the answer, can only make evidence look older
// than it is.
//
// It returns the reports that were taken in.
func (m *Mirror) Merge(t *Table, incarnation string, d Delta, asked time.Time, confirmed time.Duration, ages []time.Duration) []Report {
	m.Follow(incarnation)
	m.Version = d.Version
	for _, id := range d.Lost {
		delete(m.reports, id)
	}
	taken := make([]Report, 0, len(m.reports)+len(d.Changed))
	changed := map[state.InstanceID]bool{}
	for i, e := range d.Changed {
		m.reports[e.Instance] = e.Report
		changed[e.Instance] = true
		t.Observe(e.Report, asked.Add(-ages[i]))
		taken = append(taken, e.Report)
	}
	for id, r := range m.reports {
		if !changed[id] {
			t.Observe(r, asked.Add(-confirmed))
			taken = append(taken, r)
		}
	}
	return taken
}
