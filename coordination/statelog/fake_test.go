package statelog_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
)

// errResponseLost is the error of an append whose response was lost.
var errResponseLost = errors.New("response lost")

// fakeLog is an in-memory log with fault injection.
type fakeLog struct {
	mu      sync.Mutex
	first   state.Offset
	entries []state.Entry
	now     time.Time
	// appendFault is called for each append. It returns how many times the record is appended, and the
	// error of the append.
	appendFault func() (times int, err error)
	down        bool
}

// newFakeLog returns an empty log that injects no faults.
func newFakeLog(now time.Time) *fakeLog {
	return &fakeLog{first: 1, now: now, appendFault: func() (int, error) { return 1, nil }}
}

// Append implements statelog.Log.
func (l *fakeLog) Append(_ context.Context, data []byte) (state.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, statelog.ErrNotAppended
	}
	times, err := l.appendFault()
	for range times {
		l.now = l.now.Add(time.Millisecond)
		l.entries = append(l.entries, state.Entry{Offset: l.first + state.Offset(len(l.entries)), Time: l.now, Data: data})
	}
	return l.first + state.Offset(len(l.entries)) - 1, err
}

// Read implements statelog.Log; it never waits.
func (l *fakeLog) Read(_ context.Context, from state.Offset, limit int, _ time.Duration) (statelog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return statelog.Page{}, errors.New("down")
	}
	page := statelog.Page{First: l.first, Head: l.first + state.Offset(len(l.entries)) - 1}
	if from >= l.first && from <= page.Head {
		i := int(from - l.first)
		page.Entries = append(page.Entries, l.entries[i:min(i+limit, len(l.entries))]...)
	}
	return page, nil
}

// trim drops the entries before an offset.
func (l *fakeLog) trim(before state.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before <= l.first {
		return
	}
	n := min(int(before-l.first), len(l.entries))
	l.entries = append([]state.Entry(nil), l.entries[n:]...)
	l.first += state.Offset(n)
}

// fakePeers serves the state of one follower.
type fakePeers struct{ f *statelog.Follower }

// Snapshot implements statelog.Peers.
func (p *fakePeers) Snapshot(_ context.Context, newerThan state.Offset) (snap *state.Snapshot, err error) {
	p.f.Read(func(s *state.State) {
		if s.Offset() <= newerThan {
			err = errors.New("no newer snapshot")
			return
		}
		snap, err = s.Snapshot()
	})
	return snap, err
}

// Records implements statelog.Peers.
func (p *fakePeers) Records(_ context.Context, from state.Offset, limit int) ([]state.Entry, error) {
	entries, held := p.f.RecentEntries(from, limit)
	if !held {
		return nil, errors.New("entries not retained")
	}
	return entries, nil
}
