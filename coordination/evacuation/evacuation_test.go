package evacuation_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
)

// policy is that of all tests.
var policy = evacuation.Policy{Bound: 5 * time.Second, RestoreSettle: 2200 * time.Millisecond}

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// record returns a record that evacuates a hall, or readmits it.
func record(offset int64, hall state.HallName, evacuated bool) source.Item {
	it := source.Item{Key: evacuation.Key(hall), Offset: offset}
	if evacuated {
		it.Value = []byte("{}")
	}
	return it
}

// step is a read, or the receipt of another node's set if set is not nil.
type step struct {
	kind      source.ReadKind
	era, next int64
	items     []source.Item
	unsettled bool
	set       *evacuation.Set
}

// apply applies the step.
func (s *step) apply(k evacuation.Knowledge, now time.Time) (evacuation.Knowledge, evacuation.Change) {
	if s.set != nil {
		return k.Merge(*s.set, !s.unsettled, policy, now)
	}
	r := evacuation.Read{ReadResult: source.ReadResult{Era: s.era, NextOffset: s.next, Items: s.items}, Kind: s.kind, StartedAt: now, IsSettled: !s.unsettled}
	return k.ApplyRead(r, policy, now)
}

// received returns the receipt of a set.
func received(position int64, halls ...state.HallName) step {
	return step{set: &evacuation.Set{Position: position, Halls: halls}}
}

func TestKnowledge(t *testing.T) {
	read := func(next int64, items ...source.Item) step {
		return step{kind: source.ReadIncremental, era: 1, next: next, items: items}
	}
	full := func(era, next int64, items ...source.Item) step {
		return step{kind: source.ReadFull, era: era, next: next, items: items}
	}
	restored := func(era, next int64, items ...source.Item) step {
		return step{kind: source.ReadRestored, era: era, next: next, items: items, unsettled: true}
	}
	at := source.Position
	for _, c := range []struct {
		name       string
		steps      []step
		halls      []state.HallName
		position   int64
		incomplete bool
	}{
		{"a full read", []step{full(1, 4, record(2, "a", true), record(3, "b", true))}, []state.HallName{"a", "b"}, at(1, 4), false},
		{"a full read that names deleted keys", []step{full(1, 4, record(2, "a", true), record(3, "a", false))}, nil, at(1, 4), false},
		{"another key of the topic", []step{full(1, 4, source.Item{Key: "config", Value: []byte("{}")})}, nil, at(1, 4), false},
		{"a later record", []step{full(1, 4), read(5, record(4, "a", true))}, []state.HallName{"a"}, at(1, 5), false},
		{"a deleted record", []step{full(1, 4, record(3, "a", true)), read(5, record(4, "a", false))}, nil, at(1, 5), false},
		{"a record written again", []step{full(1, 4), read(7, record(4, "a", true), record(5, "a", false), record(6, "a", true))}, []state.HallName{"a"}, at(1, 7), false},
		{"a later set", []step{full(1, 4, record(3, "a", true)), received(at(1, 6), "b")}, []state.HallName{"b"}, at(1, 6), false},
		{"an older set", []step{full(1, 4, record(3, "a", true)), received(at(1, 3), "b")}, []state.HallName{"a"}, at(1, 4), false},
		{"a set without a position", []step{full(1, 4, record(3, "a", true)), received(0, "b")}, []state.HallName{"a"}, at(1, 4), false},
		{"an own read that begins before a later set", []step{full(1, 4), received(at(1, 6)), read(5, record(4, "a", true))}, nil, at(1, 6), false},
		{"an own read that begins before a later set and ends after it", []step{full(1, 4), received(at(1, 6)), read(7, record(4, "a", true), record(6, "b", true))}, []state.HallName{"b"}, at(1, 7), false},
		{"a full read that is older than a set", []step{received(at(1, 9), "a"), full(1, 4)}, []state.HallName{"a"}, at(1, 9), false},
		{"a set before any read", []step{received(at(1, 9), "a")}, []state.HallName{"a"}, at(1, 9), false},
		{"a restored store that lacks an evacuation", []step{full(1, 4, record(3, "a", true)), restored(2, 3)}, []state.HallName{"a"}, at(1, 4), true},
		{"a restored store with an evacuation that had ended", []step{full(1, 4), restored(2, 3, record(2, "a", true))}, []state.HallName{"a"}, at(1, 4), true},
		{"a restored store, read again in full", []step{full(1, 4, record(3, "a", true)), restored(2, 3), full(2, 3)}, nil, at(2, 3), false},
		{"a restored store to which an evacuation is written at once", []step{
			full(1, 4), restored(2, 3), {kind: source.ReadIncremental, era: 2, next: 4, items: []source.Item{record(3, "a", true)}, unsettled: true},
		}, []state.HallName{"a"}, at(1, 4), true},
		{"a restored store from which an evacuation is deleted at once", []step{
			full(1, 4, record(3, "a", true)), restored(2, 4), {kind: source.ReadIncremental, era: 2, next: 5, items: []source.Item{record(4, "a", false)}, unsettled: true},
		}, []state.HallName{"a"}, at(1, 4), true},
		{"a set of the restored store before its records are written again", []step{
			full(1, 4, record(3, "a", true)), {set: &evacuation.Set{Position: at(2, 3), Halls: []state.HallName{"b"}}, unsettled: true},
		}, []state.HallName{"a", "b"}, at(1, 4), true},
		{"a set of the restored store after its records were written again", []step{
			full(1, 4, record(3, "a", true)), restored(2, 3), received(at(2, 4), "b"),
		}, []state.HallName{"b"}, at(2, 4), false},
		{"a process started after the restore is told of the evacuations before", []step{
			full(2, 3), {set: &evacuation.Set{Position: at(1, 4), Halls: []state.HallName{"a"}, IsUnsettled: true}},
		}, []state.HallName{"a"}, at(2, 3), true},
		{"records between the set and a read are missing", []step{full(1, 4, record(3, "a", true)), restored(2, 3), {kind: source.ReadIncremental, era: 2, next: 6}}, []state.HallName{"a"}, at(1, 4), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var k evacuation.Knowledge
			for i := range c.steps {
				k, _ = c.steps[i].apply(k, start)
			}
			g.Expect(k.Known).To(BeTrue())
			g.Expect(k.Set().Halls).To(Equal(c.halls))
			g.Expect(k.Position).To(Equal(c.position))
			g.Expect(k.IsIncomplete).To(Equal(c.incomplete))
		})
	}
}

// Guards against an evacuation that ends twice or never in the log, and for the instances that are cold afterwards.
func TestChangesAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	var k evacuation.Knowledge
	k, change := k.Merge(evacuation.Set{Position: 4, Halls: []state.HallName{"a", "b"}}, true, policy, start)
	g.Expect(change).To(Equal(evacuation.Change{Began: []state.HallName{"a", "b"}}))
	k, change = k.Merge(evacuation.Set{Position: 5, Halls: []state.HallName{"a", "b"}}, true, policy, start)
	g.Expect(change.IsEmpty()).To(BeTrue())
	k, change = k.Merge(evacuation.Set{Position: 6, Halls: []state.HallName{"b", "c"}}, true, policy, start.Add(time.Second))
	g.Expect(change).To(Equal(evacuation.Change{Began: []state.HallName{"c"}, Ended: []state.HallName{"a"}}))
	g.Expect(k.EndedAt).To(Equal(map[state.HallName]time.Time{"a": start.Add(time.Second)}))
	g.Expect(k.Evacuations["b"].LearnedAt).To(Equal(start), "an evacuation that goes on should not begin anew")
}

// Guards against groups that serve as a last resort for longer than the bound allows. The record may be as old as the
// last confirmation that there was none; a process that has just started knows nothing of its age.
func TestLastResort(t *testing.T) {
	for _, c := range []struct {
		name string
		// confirmed is how long ago the set without the evacuation was last confirmed, 0 if there was none.
		confirmed time.Duration
		want      time.Duration
	}{
		{"learned at once", 300 * time.Millisecond, 2500 * time.Millisecond},
		{"learned late", 3 * time.Second, 1500 * time.Millisecond},
		{"learned after a partition", time.Minute, 0},
		{"learned by a process that starts", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var k evacuation.Knowledge
			if c.confirmed > 0 {
				k, _ = k.Merge(evacuation.Set{Position: 4}, true, policy, start.Add(-c.confirmed))
				k = k.Confirm(4, start.Add(-c.confirmed))
			}
			k, _ = k.Merge(evacuation.Set{Position: 5, Halls: []state.HallName{"a"}}, true, policy, start)
			for _, after := range []time.Duration{0, c.want - time.Millisecond, c.want, c.want + time.Second} {
				want := evacuation.Closed
				if after < c.want && after >= 0 {
					want = evacuation.LastResort
				}
				g.Expect(k.Phase("a", start.Add(max(after, 0)))).To(Equal(want), "%v after", after)
				g.Expect(k.View(start.Add(max(after, 0)))).To(Equal(evacuation.View{"a": want}))
			}
			g.Expect(k.Phase("b", start)).To(Equal(evacuation.Admitted))
		})
	}
}

func TestMayServe(t *testing.T) {
	for _, c := range []struct {
		phase                    evacuation.Phase
		isGroup, servedElsewhere bool
		want                     bool
	}{
		{evacuation.Admitted, false, false, true},
		{evacuation.Admitted, true, true, true},
		{evacuation.LastResort, true, false, true},
		{evacuation.LastResort, true, true, false},
		{evacuation.LastResort, false, false, false},
		{evacuation.Closed, true, false, false},
		{evacuation.Closed, false, false, false},
	} {
		NewWithT(t).Expect(c.phase.MayServe(c.isGroup, c.servedElsewhere)).To(Equal(c.want), "%+v", c)
	}
}

func TestKeyNamesHall(t *testing.T) {
	for _, c := range []struct {
		key   string
		hall  state.HallName
		found bool
	}{
		{evacuation.Key("a"), "a", true},
		{evacuation.Key("a/b"), "a/b", true},
		{evacuation.Key(""), "", false},
		{"config", "", false},
	} {
		g := NewWithT(t)
		hall, found := evacuation.HallOf(c.key)
		g.Expect(found).To(Equal(c.found), c.key)
		if found {
			g.Expect(hall).To(Equal(c.hall))
		}
	}
}
