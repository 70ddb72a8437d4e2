package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
)

// Times of the simulated nodes.
const (
	tick           = 100 * time.Millisecond
	reportInterval = 300 * time.Millisecond
	feedTimeout    = 1200 * time.Millisecond
	// slack is added to the bound after a fault. It covers the relay's time-out, which a node waits for first.
	slack = 2 * time.Second
)

// halls are the halls of the histories.
var halls = []state.HallName{"a", "b", "c"}

// topic is the configuration topic of a store that can be restored from a backup.
type topic struct {
	era   int64
	items []source.Item
	// changedAt is when the records of each hall last changed, by an operator or a restore.
	changedAt map[state.HallName]time.Time
	// restoredAt is when the store was last restored.
	restoredAt time.Time
}

// isEvacuated reports whether the store evacuates a hall.
func (s *topic) isEvacuated(hall state.HallName) bool {
	evacuated := false
	for _, it := range s.items {
		if it.Key == evacuation.Key(hall) {
			evacuated = len(it.Value) > 0
		}
	}
	return evacuated
}

// write evacuates or readmits a hall, unless that is its state.
func (s *topic) write(hall state.HallName, evacuated bool, now time.Time) {
	if s.isEvacuated(hall) == evacuated {
		return
	}
	s.items = append(s.items, record(int64(len(s.items)), hall, evacuated))
	s.changedAt[hall] = now
}

// restore goes back to the first n records.
func (s *topic) restore(n int, now time.Time) {
	before := map[state.HallName]bool{}
	for _, hall := range halls {
		before[hall] = s.isEvacuated(hall)
	}
	s.items = s.items[:n:n]
	s.era++
	s.restoredAt = now
	for _, hall := range halls {
		if s.isEvacuated(hall) != before[hall] {
			s.changedAt[hall] = now
		}
	}
}

// simNode is one process of a node.
type simNode struct {
	knowledge evacuation.Knowledge
	cursor    source.Cursor
	startedAt time.Time
	// era, settledAt and knowsEra are what the node knows of restores.
	era       int64
	knowsEra  bool
	settledAt time.Time
	// leads is set if the node answers as leader; leaderAt and relayedAt are as of the last leader's answer.
	leads     bool
	leaderAt  int64
	relayedAt time.Time
	// storeCut is set while the node does not reach the store; reachedAt is since when it does.
	storeCut  bool
	reachedAt time.Time
}

// world is a history of nodes and their store.
type world struct {
	t     *rapid.T
	now   time.Time
	store topic
	nodes []*simNode
	// cut holds the pairs of nodes that do not reach each other. olderBuilds are the nodes that do not know evacuations.
	cut         map[[2]int]bool
	olderBuilds map[int]bool
	backup      int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, store: topic{era: 1, changedAt: map[state.HallName]time.Time{}}, cut: map[[2]int]bool{}, olderBuilds: map[int]bool{}}
	w.store.items = append(w.store.items, source.Item{Key: "config", Value: []byte("{}")})
	w.backup = 1
	for i := range rapid.IntRange(2, 6).Draw(t, "nodes") {
		w.nodes = append(w.nodes, w.newNode())
		w.olderBuilds[i] = i == 0 && rapid.Bool().Draw(t, "first leader is of an older build")
	}
	return w
}

func (w *world) newNode() *simNode {
	return &simNode{cursor: source.Cursor{SettleTime: policy.RestoreSettle}, startedAt: w.now, reachedAt: w.now}
}

// recordEra records the era that a message names.
func (n *simNode) recordEra(era int64, now time.Time) {
	if n.knowsEra && era > n.era {
		n.settledAt = now.Add(policy.RestoreSettle)
	}
	n.era, n.knowsEra = max(n.era, era), true
}

func (n *simNode) isSettled(at time.Time) bool { return !at.Before(n.settledAt) }

// read reads the store once, as the configuration reader does.
func (w *world) read(n *simNode) {
	from := n.cursor.NextOffset(w.now)
	items := w.store.items
	r := source.ReadResult{Era: w.store.era, NextOffset: int64(len(items)), AtEnd: true}
	switch {
	case from > int64(len(items)):
		n.cursor.Reset()
		return
	case from >= 0:
		r.Items = items[from:]
	default:
		r.Items = items
	}
	n.recordEra(r.Era, w.now)
	kind := n.cursor.Record(from, r, w.now)
	if kind == source.ReadStale {
		return
	}
	read := evacuation.Read{ReadResult: r, Kind: kind, StartedAt: w.now, IsSettled: n.isSettled(w.now)}
	n.knowledge, _ = n.knowledge.ApplyRead(read, policy, w.now)
	if kind != source.ReadRestored && read.IsSettled {
		n.knowledge = n.knowledge.Confirm(source.Position(r.Era, r.NextOffset), w.now)
	}
	if n.knowledge.NeedsFullRead(w.now) && n.isSettled(w.now) {
		n.cursor.Reset()
	}
}

// report exchanges a status report and its answer with the leader, if the node reaches one.
func (w *world) report(i int) {
	n := w.nodes[i]
	for j := range i {
		leader := w.nodes[j]
		if w.cut[[2]int{j, i}] || leader.storeCut && !n.storeCut {
			continue // a node that does not read the store while others do does not lead
		}
		n.leads = false
		w.exchange(n, leader, w.olderBuilds[j])
		return
	}
	n.leads, n.leaderAt = true, 0
}

func (w *world) exchange(n, leader *simNode, isOlder bool) {
	leader.recordEra(n.era, w.now)
	n.recordEra(leader.era, w.now)
	if isOlder {
		n.leaderAt, n.relayedAt = 0, w.now
		return
	}
	own := n.knowledge.Set()
	if n.leaderAt > 0 && own.Position > n.leaderAt {
		leader.knowledge, _ = leader.knowledge.Merge(own, leader.isSettled(w.now), policy, w.now)
	}
	set := leader.knowledge.Set()
	set.IsUnsettled = !leader.isSettled(w.now) && source.Era(set.Position) < source.Era(own.Position)
	if set.Position > own.Position || set.IsUnsettled {
		n.knowledge, _ = n.knowledge.Merge(set, n.isSettled(w.now), policy, w.now)
	}
	if set.Position > 0 {
		n.knowledge = n.knowledge.Confirm(set.Position, leader.knowledge.ConfirmedAt)
	}
	n.leaderAt, n.relayedAt = set.Position, leader.knowledge.ConfirmedAt
}

// step lets a tick pass and checks the rules.
func (w *world) step() {
	w.now = w.now.Add(tick)
	isReport := w.now.Sub(start)%reportInterval == 0
	for i, n := range w.nodes {
		if isReport {
			w.report(i)
		}
		isRelayed := !n.leads && n.leaderAt > 0 && !n.knowledge.NeedsFullRead(w.now) && w.now.Sub(n.relayedAt) < feedTimeout
		if isRelayed {
			n.cursor.Reset()
		} else if !n.storeCut {
			w.read(n)
		}
	}
	for i, n := range w.nodes {
		if !w.olderBuilds[i] {
			w.check(i, n)
		}
	}
}

// check checks that a node enforces the evacuations that are older than the bound, and no others, if it has been in
// contact with the store for as long. A restore delays the end of an evacuation, since its records may be incomplete, but
// not the beginning.
func (w *world) check(i int, n *simNode) {
	if n.storeCut || !n.knowledge.Known {
		return
	}
	for _, hall := range halls {
		since := latest(w.store.changedAt[hall], n.reachedAt, n.startedAt)
		evacuated := w.store.isEvacuated(hall)
		if !evacuated {
			since = latest(since, w.store.restoredAt)
		}
		if w.now.Sub(since) < policy.Bound {
			continue
		}
		phase := n.knowledge.Phase(hall, w.now)
		if evacuated && phase != evacuation.Closed || !evacuated && phase != evacuation.Admitted {
			w.t.Fatalf("%v: node %d has %v for hall %s, evacuated %t since %v", w.now.Sub(start), i, phase, hall, evacuated, w.store.changedAt[hall].Sub(start))
		}
	}
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// act makes one drawn change.
func (w *world) act() {
	t := w.t
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	n := w.nodes[i]
	switch rapid.SampledFrom([]string{"evacuate", "readmit", "restart", "cut store", "heal store", "cut link", "heal link", "backup", "restore", "wait"}).Draw(t, "act") {
	case "evacuate":
		w.store.write(rapid.SampledFrom(halls).Draw(t, "hall"), true, w.now)
	case "readmit":
		w.store.write(rapid.SampledFrom(halls).Draw(t, "hall"), false, w.now)
	case "restart":
		cut := n.storeCut
		w.nodes[i] = w.newNode()
		w.nodes[i].storeCut = cut
		w.olderBuilds[i] = w.olderBuilds[i] && rapid.Bool().Draw(t, "same build")
	case "cut store":
		n.storeCut = true
	case "heal store":
		if n.storeCut {
			n.storeCut, n.reachedAt = false, w.now
		}
	case "cut link", "heal link":
		for j := range w.nodes {
			if j != i && rapid.Bool().Draw(t, fmt.Sprint("link ", j)) {
				w.cut[[2]int{min(i, j), max(i, j)}] = rapid.Bool().Draw(t, "cut")
			}
		}
	case "backup":
		w.backup = len(w.store.items)
	case "restore":
		w.store.restore(min(w.backup, len(w.store.items)), w.now)
	}
	for range rapid.IntRange(0, 40).Draw(t, "ticks") {
		w.step()
	}
}

// Guards against requests into an evacuated hall after the bound, and against a hall that stays closed after it was
// readmitted: for each node in contact with the store, whatever restarts, partitions, leaders of an older build and
// restores of the store there are.
func TestNodesFollowStoreInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 25).Draw(t, "acts") {
			w.act()
		}
		for range (policy.Bound + slack) / tick {
			w.step()
		}
	})
}

// Guards against nodes that readmit a hall while the records that a backup lacks are being written again.
func TestRestoreReadmitsNoHallBeforeRecordsAreWrittenAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.olderBuilds = map[int]bool{}
		for range policy.Bound / tick {
			w.step()
		}
		w.store.write("a", true, w.now)
		for range rapid.IntRange(20, 80).Draw(t, "ticks before the restore") {
			w.step()
		}
		w.store.restore(1, w.now)
		rewritten := rapid.IntRange(0, int(policy.RestoreSettle/tick)-4).Draw(t, "ticks until the record is written again")
		for i := range 60 {
			if i == rewritten {
				w.store.write("a", true, w.now)
			}
			w.step()
			for j, n := range w.nodes {
				if n.knowledge.Phase("a", w.now) == evacuation.Admitted {
					t.Fatalf("node %d admits the hall %d ticks after the restore", j, i)
				}
			}
		}
	})
}
