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
	own     map[state.InstanceID]*fed
}

// fed is one report; lost is set once it has expired.
type fed struct {
	report  Report
	asked   time.Time
	version uint64
	lost    bool
}

// Delta holds the changes of a Feed since a version.
type Delta struct {
	Version uint64
	// Confirmed is the send time of the oldest probe behind any report that is not lost.
	Confirmed time.Time
	Changed   []Entry
	Lost      []state.InstanceID
}

// NewFeed returns an empty Feed.
func NewFeed() *Feed { return &Feed{own: map[state.InstanceID]*fed{}} }

// Observe records a report whose probe this node sent at asked.
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

// Expire marks every report whose probe was sent before a time as lost.
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

// Since returns the changes after a version. Version 0 returns everything.
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

// Mirror is a node's copy of one peer's Feed.
type Mirror struct {
	Incarnation string
	Version     uint64
	// Ledger is the version of the peer's ledger of instance endings that this node has.
	Ledger  uint64
	reports map[state.InstanceID]Report
}

// Follow resets the mirror if the peer has another incarnation than the mirrored one.
func (m *Mirror) Follow(incarnation string) {
	if m.reports == nil || m.Incarnation != incarnation {
		*m = Mirror{Incarnation: incarnation, reports: map[state.InstanceID]Report{}}
	}
}

// Merge applies a Delta to the mirror and the table and returns the reports that it applied.
//
// asked is when this node sent its request to the peer, by its own clock. ages are the
// ages of the changed reports at the peer, and confirmed is the age of the oldest
// evidence there. The ages are subtracted from the time of the request, not of the
// response: evidence can only look older than it is, never newer.
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
