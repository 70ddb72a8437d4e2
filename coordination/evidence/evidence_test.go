package evidence_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/evidence"
	_ "github.com/troutmast/troutmast/internal/seed"
	"github.com/troutmast/troutmast/state"
)

const window = 1500 * time.Millisecond

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// pair is a group with two members in epoch 5.
var pair = &state.Group{Name: "g", Epoch: 5, Members: []state.InstanceID{"a", "b"}}

// ready returns the report of a member that is ready in its ordered group, epoch and rank.
func ready(id state.InstanceID, rank int) evidence.Report {
	return evidence.Report{Instance: id, Incarnation: "1", Group: "g", Epoch: 5, Rank: rank, Phase: evidence.PhaseReady}
}

func TestCheckGroup(t *testing.T) {
	change := func(f func(*evidence.Report)) evidence.Report {
		r := ready("b", 1)
		f(&r)
		return r
	}
	cases := []struct {
		name     string
		b        evidence.Report
		age      time.Duration
		complete bool
	}{
		{"complete", ready("b", 1), 0, true},
		{"just inside the window", ready("b", 1), window - time.Millisecond, true},
		{"exactly the window's age", ready("b", 1), window, false},
		{"an older epoch, after a stale order", change(func(r *evidence.Report) { r.Epoch = 4 }), 0, false},
		{"another group", change(func(r *evidence.Report) { r.Group = "h" }), 0, false},
		{"another rank", change(func(r *evidence.Report) { r.Rank = 0 }), 0, false},
		{"still loading", change(func(r *evidence.Report) { r.Phase = evidence.PhaseLoading }), 0, false},
		{"restarted without its order", change(func(r *evidence.Report) { r.Group, r.Phase, r.Incarnation = "", evidence.PhaseIdle, "2" }), 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := evidence.NewTable()
			now := start.Add(time.Hour)
			table.Record(ready("a", 0), now)
			table.Record(c.b, now.Add(-c.age))
			w := table.CheckGroup(pair, now, window)
			g.Expect(len(w.Mismatches) == 0).To(Equal(c.complete))
			if !c.complete {
				g.Expect(w.Expires.IsZero()).To(BeTrue())
				g.Expect(w.Mismatches[0].Instance).To(Equal(state.InstanceID("b")))
				return
			}
			g.Expect(w.Expires).To(Equal(now.Add(window - c.age)))
		})
	}
}

func TestIdentityChangesWithEveryRestart(t *testing.T) {
	g := NewWithT(t)
	table := evidence.NewTable()
	table.Record(ready("a", 0), start)
	table.Record(ready("b", 1), start)
	before := table.CheckGroup(pair, start, window).IncarnationHash
	again := ready("b", 1)
	again.Incarnation = "2"
	table.Record(again, start.Add(time.Second))
	g.Expect(table.CheckGroup(pair, start.Add(time.Second), window).IncarnationHash).NotTo(Equal(before))
}

func TestOlderReportIsDropped(t *testing.T) {
	g := NewWithT(t)
	table := evidence.NewTable()
	table.Record(ready("a", 0), start.Add(time.Second))
	late := ready("a", 0)
	late.Epoch = 4
	table.Record(late, start)
	e, _ := table.Get("a")
	g.Expect(e.Epoch).To(Equal(state.Epoch(5)))
}

// Judging a complete group of 16 members must not allocate.
func TestCheckGroupAllocations(t *testing.T) {
	g := NewWithT(t)
	table := evidence.NewTable()
	big := &state.Group{Name: "g", Epoch: 5}
	for n := range 16 {
		id := state.InstanceID(fmt.Sprint(n))
		big.Members = append(big.Members, id)
		table.Record(ready(id, n), start)
	}
	g.Expect(testing.AllocsPerRun(100, func() { table.CheckGroup(big, start, window) })).To(BeZero())
}

func TestLeavingByListOrOwnReport(t *testing.T) {
	g := NewWithT(t)
	table := evidence.NewTable()
	table.SetLeavingByList([]state.InstanceID{"a"})
	own := ready("b", 1)
	own.Leaving = true
	table.Record(own, start)
	g.Expect(table.IsLeaving("a")).To(BeTrue())
	g.Expect(table.IsLeaving("b")).To(BeTrue())
	g.Expect(table.IsLeaving("c")).To(BeFalse())
	table.SetLeavingByList(nil)
	g.Expect(table.IsLeaving("a")).To(BeFalse())
	g.Expect(table.CheckGroup(pair, start, window).Leaving).To(BeTrue())
}

// One node probes and another one merges its feed, with delays at any point between request
// and response. The second node's evidence must never look newer than the first node's probe,
// and each of its reports must be one that the instance gave to such a probe.
func TestMergedEvidenceIsNeverNewerThanItsProbe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		pause := func(name string) { now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, name))) }
		feed, table, mirror := evidence.NewFeed(), evidence.NewTable(), &evidence.Mirror{}
		incarnation := "n1"
		probed := map[state.InstanceID][]evidence.TimedReport{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := state.InstanceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance"))
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0, 1:
				probedAt := now
				pause("probe")
				r := evidence.Report{Instance: id, Incarnation: "1", Group: "g", Epoch: state.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch")), Phase: evidence.PhaseReady}
				feed.Record(r, probedAt)
				probed[id] = append(probed[id], evidence.TimedReport{Report: r, ProbedAt: probedAt})
			case 2:
				feed.Expire(now.Add(-window))
			case 3:
				requestedAt := now
				pause("to the peer")
				d := feed.DeltaSince(mirror.Version)
				var oldestAge time.Duration
				if !d.OldestProbe.IsZero() {
					oldestAge = now.Sub(d.OldestProbe)
				}
				ages := make([]time.Duration, len(d.Changed))
				for i, e := range d.Changed {
					ages[i] = now.Sub(e.ProbedAt)
				}
				pause("back")
				mirror.Apply(table, incarnation, d, requestedAt, oldestAge, ages)
			default:
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					feed, incarnation = evidence.NewFeed(), incarnation+"'"
					mirror.Version = 0
				}
			}
			checkAges(t, table, probed)
		}
	})
}

// checkAges fails if an entry is newer than every probe that returned its report.
func checkAges(t *rapid.T, table *evidence.Table, probed map[state.InstanceID][]evidence.TimedReport) {
	for id, list := range probed {
		e, ok := table.Get(id)
		if !ok {
			continue
		}
		found := false
		for _, entry := range list {
			found = found || (entry.Report == e.Report && !e.ProbedAt.After(entry.ProbedAt))
		}
		if !found {
			t.Fatalf("%s: table has %+v, probes returned %+v", id, e, list)
		}
	}
}

// While nothing changes, a peer gets no report again, only the time of the oldest probe.
func TestFeedSinceReturnsOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	feed := evidence.NewFeed()
	for n := range 100 {
		feed.Record(ready(state.InstanceID(fmt.Sprint(n)), n+1), start)
	}
	all := feed.DeltaSince(0)
	g.Expect(all.Changed).To(HaveLen(100))
	for n := range 100 {
		feed.Record(ready(state.InstanceID(fmt.Sprint(n)), n+1), start.Add(time.Second))
	}
	d := feed.DeltaSince(all.Version)
	g.Expect(d.Changed).To(BeEmpty())
	g.Expect(d.OldestProbe).To(Equal(start.Add(time.Second)))
	feed.Expire(start.Add(2 * time.Second))
	g.Expect(feed.DeltaSince(all.Version).Expired).To(HaveLen(100))
}
