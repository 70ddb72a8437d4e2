package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Start time, list entry and membership shared by the tests.
var (
	start  = time.Unix(1000, 0)
	free   = fleet.Instance{ID: "i1", Service: "lm", Position: 5}
	member = fleet.Membership{Group: "g9", Epoch: 9, Rank: 1, State: fleet.Ready}
)

// newRoster returns a roster with one free instance read from the list.
func newRoster() *roster.Roster {
	r := roster.New(roster.Config{HeartbeatInterval: 1200 * time.Millisecond, StallTimeout: 4 * time.Second, MaxReportLag: 200 * time.Millisecond, Policy: roster.DefaultPolicy()})
	r.ApplyFreshEntry(free, start)
	r.RecordListRead(start)
	return r
}

// onlyMember returns the single member of a roster.
func onlyMember(r *roster.Roster, now time.Time) placement.Member {
	return r.Members("lm", time.Time{}, now)[0]
}

// A process that restarts under its ID has none of its earlier state: the state of the earlier
// incarnation must be dropped, and late data from it must be ignored.
func TestLaterIncarnationResetsState(t *testing.T) {
	first, second := start.Add(-time.Minute), start.Add(5*time.Second)
	old := free
	old.Born, old.Membership = first, member
	next := free
	next.Born, next.Position, next.Model = second, 9, ""
	updates := []struct {
		name  string
		apply func(r *roster.Roster, now time.Time)
	}{
		{"from the list", func(r *roster.Roster, now time.Time) { r.ApplyFreshEntry(next, now) }},
		{"from the whole list", func(r *roster.Roster, now time.Time) { r.ApplySnapshot([]fleet.Instance{next}, 10, now) }},
		{"from another node", func(r *roster.Roster, now time.Time) { r.ApplyRelayed(roster.Change{Instance: next}, now) }},
		{"from its own report", func(r *roster.Roster, now time.Time) { r.RecordReport("i1", fleet.Report{Born: second, Asked: now}) }},
	}
	stale := []struct {
		name  string
		apply func(r *roster.Roster, incarnation roster.IncarnationNumber, now time.Time)
	}{
		{"nothing", func(*roster.Roster, roster.IncarnationNumber, time.Time) {}},
		{"an older entry, written later", func(r *roster.Roster, _ roster.IncarnationNumber, now time.Time) {
			late := old
			late.Position = 20
			r.ApplyFreshEntry(late, now)
		}},
		{"an older entry from another node", func(r *roster.Roster, _ roster.IncarnationNumber, now time.Time) {
			late := old
			late.Position = 20
			r.ApplyRelayed(roster.Change{Instance: late}, now)
		}},
		{"an older report", func(r *roster.Roster, _ roster.IncarnationNumber, now time.Time) {
			r.RecordReport("i1", fleet.Report{Born: first, Membership: member, Orders: 7, Asked: now})
		}},
		{"a late reply to an order", func(r *roster.Roster, incarnation roster.IncarnationNumber, now time.Time) {
			r.RecordOrderReply(placement.Order{Action: placement.Join, Instance: "i1", Key: member.Key()}, incarnation, placement.Started, now)
		}},
		{"a failed probe sent before it", func(r *roster.Roster, _ roster.IncarnationNumber, _ time.Time) {
			r.RecordFailure("i1", start.Add(4*time.Second))
			r.RecordFailure("i1", start.Add(4500*time.Millisecond))
		}},
	}
	for _, l := range updates {
		for _, s := range stale {
			t.Run(l.name+", then "+s.name, func(t *testing.T) {
				g := NewWithT(t)
				r := roster.New(roster.Config{HeartbeatInterval: 1200 * time.Millisecond, StallTimeout: 4 * time.Second, MaxReportLag: 200 * time.Millisecond, Policy: roster.DefaultPolicy()})
				r.ApplyFreshEntry(old, start)
				r.RecordReport("i1", fleet.Report{Born: first, Membership: member, Orders: 3, Asked: start.Add(time.Second)})
				r.RecordRefusal("i1", start.Add(2*time.Second))
				r.RecordRefusal("i1", start.Add(3*time.Second))
				incarnation := r.BeginOrder("i1")
				g.Expect(onlyMember(r, start.Add(3*time.Second)).Lost).To(BeTrue())
				now := start.Add(6 * time.Second)
				l.apply(r, now)
				s.apply(r, incarnation, now.Add(10*time.Millisecond))
				m := onlyMember(r, now.Add(20*time.Millisecond))
				g.Expect(m.Membership).To(Equal(fleet.Membership{}), "it is in no group")
				g.Expect(m.Lost).To(BeFalse(), "its failures belong to another incarnation")
				g.Expect(m.OrderPending).To(BeFalse(), "no order to it is in flight")
				g.Expect(m.Model).To(BeEmpty(), "it has no model")
				g.Expect(m.OrdersKnown && m.AcceptedOrders > 0).To(BeFalse(), "its order count starts again")
				g.Expect(m.Born).To(Equal(second))
			})
		}
	}
}

func TestRereadEntryKeepsNewerMembership(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.RecordReport("i1", fleet.Report{Membership: member, Orders: 1, Asked: start.Add(time.Second)})
	r.ApplyFreshEntry(free, start.Add(1100*time.Millisecond))
	m := onlyMember(r, start.Add(1100*time.Millisecond))
	g.Expect(m.Membership).To(Equal(member))
	g.Expect(m.OrdersKnown).To(BeTrue())
}

func TestMembershipChangeInvalidatesOrderCount(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.RecordReport("i1", fleet.Report{Orders: 0, Asked: start.Add(time.Second)})
	g.Expect(onlyMember(r, start.Add(time.Second)).OrdersKnown).To(BeTrue())
	joined := free
	joined.Membership, joined.Position = member, 6
	r.ApplyFreshEntry(joined, start.Add(1100*time.Millisecond))
	g.Expect(onlyMember(r, start.Add(1100*time.Millisecond)).OrdersKnown).To(BeFalse())
}

func TestReportOlderThanListIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	joined := free
	joined.Membership, joined.Position = member, 6
	r.ApplyFreshEntry(joined, start.Add(time.Second))
	r.RecordReport("i1", fleet.Report{Orders: 1, Asked: start.Add(1100 * time.Millisecond)})
	m := onlyMember(r, start.Add(1100*time.Millisecond))
	g.Expect(m.Membership).To(Equal(member))
	g.Expect(m.OrdersKnown).To(BeFalse())
}

func TestMembershipKnownOnlyWhileInstanceWritesEntries(t *testing.T) {
	for _, c := range []struct {
		name  string
		at    time.Duration
		known bool
	}{
		{"just read", 100 * time.Millisecond, true},
		{"next entry is overdue", 1900 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			now := start.Add(c.at)
			r.RecordListRead(now)
			NewWithT(t).Expect(onlyMember(r, now).MembershipKnown).To(Equal(c.known))
		})
	}
}

func TestAcceptedOrderUpdatesMembershipAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.RecordReport("i1", fleet.Report{Asked: start.Add(time.Second)})
	o := placement.Order{Action: placement.Join, Instance: "i1", Key: member.Key(), Members: nil}
	at := start.Add(1500 * time.Millisecond)
	r.RecordOrderReply(o, r.BeginOrder("i1"), placement.Started, at)
	g.Expect(onlyMember(r, at).Membership.State).To(Equal(fleet.Joining))
	g.Expect(onlyMember(r, at).AcceptedOrders).To(Equal(int64(1)))
	// A report of the state before the order does not undo it.
	r.RecordReport("i1", fleet.Report{Asked: at.Add(50 * time.Millisecond)})
	g.Expect(onlyMember(r, at.Add(50*time.Millisecond)).Membership.Key()).To(Equal(member.Key()))
}

// Guards against a leader that takes an instance which only pauses for one that has ended, and dissolves its group.
func TestInstanceIsSuspectedBeforeItIsLost(t *testing.T) {
	type check struct {
		at           time.Duration
		silent, lost bool
	}
	maxSilence := roster.DefaultPolicy().MaxSilence
	for _, c := range []struct {
		name   string
		record func(r *roster.Roster, sentAt time.Time)
		checks []check
	}{
		{"probes are not answered", func(r *roster.Roster, sentAt time.Time) { r.RecordFailure("i1", sentAt) }, []check{
			{200 * time.Millisecond, true, false}, {1500 * time.Millisecond, true, false}, {maxSilence + time.Millisecond, false, true},
		}},
		{"connections are not accepted", func(r *roster.Roster, sentAt time.Time) { r.RecordUnconnected("i1", sentAt) }, []check{
			{200 * time.Millisecond, true, false}, {roster.DefaultPolicy().MaxUnconnected + time.Millisecond, false, true},
		}},
		{"a connection is not accepted, a later one is", func(r *roster.Roster, sentAt time.Time) {
			if sentAt.Equal(start.Add(time.Second)) {
				r.RecordUnconnected("i1", sentAt)
				return
			}
			r.RecordUnanswered("i1", sentAt)
		}, []check{{200 * time.Millisecond, true, false}, {1500 * time.Millisecond, true, false}, {maxSilence + time.Millisecond, false, true}}},
		{"connections are refused", func(r *roster.Roster, sentAt time.Time) { r.RecordRefusal("i1", sentAt) }, []check{{200 * time.Millisecond, false, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRoster()
			failedAt := start.Add(time.Second)
			c.record(r, failedAt)
			m := onlyMember(r, failedAt)
			g.Expect(m.Silent || m.Lost).To(BeFalse(), "a single packet may have been lost")
			c.record(r, failedAt.Add(200*time.Millisecond))
			for _, want := range c.checks {
				m := onlyMember(r, failedAt.Add(want.at))
				g.Expect([]bool{m.Silent, m.Lost}).To(Equal([]bool{want.silent, want.lost}), "after %s", want.at)
			}
			answeredAt := failedAt.Add(2200 * time.Millisecond)
			r.RecordResponse("i1", answeredAt)
			m = onlyMember(r, answeredAt)
			g.Expect(m.Silent || m.Lost).To(BeFalse(), "it answers again")
		})
	}
}

// Only evidence that an instance has ended may end the requests at its group.
func TestSilenceIsNoEvidenceOfAnEnd(t *testing.T) {
	fail := func(record func(state.InstanceID, time.Time)) {
		for i := range 2 {
			record("i1", start.Add(time.Second+time.Duration(i)*200*time.Millisecond))
		}
	}
	for _, c := range []struct {
		name  string
		apply func(r *roster.Roster)
		ended bool
	}{
		{"it is silent", func(r *roster.Roster) { fail(r.RecordFailure) }, false},
		{"it refuses connections", func(r *roster.Roster) { fail(r.RecordRefusal) }, true},
		{"it refused connections and answers again", func(r *roster.Roster) {
			fail(r.RecordRefusal)
			r.RecordResponse("i1", start.Add(2*time.Second))
		}, false},
		{"another process answers at its address", func(r *roster.Roster) { r.RecordReplaced("i1", start.Add(2*time.Second)) }, true},
		{"it was removed from the list and is silent", func(r *roster.Roster) {
			fail(r.RecordFailure)
			r.MarkUnlisted("i1", 1000, start.Add(2*time.Second))
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRoster()
			c.apply(r)
			g.Expect(r.HasEnded("i1", start.Add(4*time.Second))).To(Equal(c.ended))
		})
	}
}

func TestRelayedChangeDoesNotRestoreUnlistedInstance(t *testing.T) {
	for _, c := range []struct {
		name    string
		relayed func() fleet.Instance
		leaving bool
	}{
		{"the same entry", func() fleet.Instance { return free }, true},
		{"an older entry", func() fleet.Instance { in := free; in.Position = 4; return in }, true},
		{"the position at which it was unlisted", func() fleet.Instance { in := free; in.Position = 6; return in }, true},
		{"a newer entry", func() fleet.Instance { in := free; in.Position = 7; return in }, false},
		{"a newer entry that is leaving", func() fleet.Instance { in := free; in.Position = 7; in.Draining = true; return in }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			r.MarkUnlisted("i1", 6, start)
			r.ApplyRelayed(roster.Change{Instance: c.relayed()}, start.Add(time.Second))
			NewWithT(t).Expect(r.All(start.Add(2 * time.Second))[0].Draining).To(Equal(c.leaving))
		})
	}
}

func TestRelayedDrainingIsApplied(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	leaving := free
	leaving.Draining = true
	r.ApplyRelayed(roster.Change{Instance: leaving}, start.Add(time.Second))
	g.Expect(r.All(start.Add(time.Second))[0].Draining).To(BeTrue())
}

func TestPossiblyStaleEntryDoesNotConfirmMembership(t *testing.T) {
	for _, c := range []struct {
		name  string
		read  func(r *roster.Roster, i fleet.Instance, at time.Time)
		known bool
	}{
		{"written since the last read", func(r *roster.Roster, i fleet.Instance, at time.Time) { r.ApplyFreshEntry(i, at) }, true},
		{"read after a pause", func(r *roster.Roster, i fleet.Instance, at time.Time) { r.ApplyOldEntry(i, at) }, false},
		{"read with the whole list", func(r *roster.Roster, i fleet.Instance, at time.Time) { r.ApplySnapshot([]fleet.Instance{i}, 9, at) }, false},
		{"relayed by another node", func(r *roster.Roster, i fleet.Instance, at time.Time) { r.ApplyRelayed(roster.Change{Instance: i}, at) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			now := start.Add(5 * time.Second)
			in := free
			in.Position = 8
			c.read(r, in, now)
			r.RecordListRead(now)
			NewWithT(t).Expect(onlyMember(r, now).MembershipKnown).To(Equal(c.known))
		})
	}
}

func TestChangesReturnsOnlyLaterChanges(t *testing.T) {
	g := NewWithT(t)
	from, to := newRoster(), roster.New(roster.Config{HeartbeatInterval: time.Second, Policy: roster.DefaultPolicy()})
	second := fleet.Instance{ID: "i2", Service: "lm", Position: 6}
	from.ApplyFreshEntry(second, start)
	relay := func(after uint64, expect int) uint64 {
		changes, version := from.ChangesSince(after, start)
		g.Expect(changes).To(HaveLen(expect))
		for _, c := range changes {
			to.ApplyRelayed(c, start.Add(time.Second))
		}
		return version
	}
	version := relay(0, 2)
	g.Expect(to.All(start)).To(HaveLen(2))
	version = relay(version, 0)

	again := free
	again.Position = 7 // a heartbeat without a change is not relayed
	from.ApplyFreshEntry(again, start.Add(time.Second))
	version = relay(version, 0)

	from.MarkUnlisted("i1", 8, start.Add(time.Second))
	joined := second
	joined.Position, joined.Membership = 9, member
	from.ApplyFreshEntry(joined, start.Add(time.Second))
	version = relay(version, 2)
	views := to.All(start.Add(time.Second))
	g.Expect(views[0].Unlisted).To(BeTrue())
	g.Expect(views[1].Membership).To(Equal(member))

	again.Position = 10 // it is listed again
	from.ApplyFreshEntry(again, start.Add(2*time.Second))
	relay(version, 1)
	g.Expect(to.All(start.Add(2 * time.Second))[0].Unlisted).To(BeFalse())
}

func TestSnapshotDropsOnlyEntriesBeforeItsPosition(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	newer := fleet.Instance{ID: "i2", Service: "lm", Position: 12}
	r.ApplyRelayed(roster.Change{Instance: newer}, start)
	r.ApplySnapshot(nil, 10, start.Add(time.Second))
	views := r.All(start.Add(time.Second))
	g.Expect(views[0].Unlisted).To(BeTrue())
	g.Expect(views[1].Unlisted).To(BeFalse())
}

// A new leader has received the list from another node, which relays only changes. It must
// not treat instances without a change as silent.
func TestRelayedListKeepsInstancesFromBeingDoubtful(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	now := start.Add(20 * time.Second)
	g.Expect(r.ProbeCandidates(now)).To(HaveLen(1))
	r.RecordRelayedList(now.Add(-time.Second))
	g.Expect(r.ProbeCandidates(now)).To(BeEmpty())
	r.RecordFailure("i1", now.Add(-100*time.Millisecond))
	r.RecordFailure("i1", now)
	g.Expect(onlyMember(r, now).Ended).To(BeFalse())
	g.Expect(r.ProbeCandidates(now)).To(HaveLen(1))
}

// An instance that was silent for long behind a network partition counts as alive again with
// its next entry; one whose address another process has taken over does not.
func TestNewEntryRevivesSilentInstance(t *testing.T) {
	for _, c := range []struct {
		name     string
		replaced bool
		revived  bool
	}{
		{"it was silent", false, true},
		{"another process answers at its address", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRoster()
			r.RecordFailure("i1", start.Add(7*time.Second))
			r.RecordFailure("i1", start.Add(8*time.Second))
			if c.replaced {
				r.RecordReplaced("i1", start.Add(8*time.Second))
			}
			g.Expect(onlyMember(r, start.Add(9*time.Second)).Ended).To(BeTrue())
			again := free
			again.Position = 9
			r.ApplyFreshEntry(again, start.Add(10*time.Second))
			m := onlyMember(r, start.Add(10*time.Second))
			g.Expect(m.Ended).To(Equal(!c.revived))
			g.Expect(m.Lost).To(Equal(!c.revived))
		})
	}
}

// An instance announces its shutdown in its answers. List entries and changes relayed by other
// nodes may still show it as ready for seconds; they must not clear the leaving mark.
func TestOnlyLaterIncarnationClearsLeaving(t *testing.T) {
	born := start.Add(-time.Minute)
	old := free
	old.Born, old.Position = born, 6
	newer := old
	newer.Position = 9
	next := newer
	next.Born = start.Add(time.Second)
	for _, c := range []struct {
		name    string
		marked  fleet.Incarnation
		apply   func(r *roster.Roster, now time.Time)
		leaving bool
	}{
		{"nothing", old.Incarnation(), func(*roster.Roster, time.Time) {}, true},
		{"an incarnation without a start time", fleet.Incarnation{ID: "i1"}, func(*roster.Roster, time.Time) {}, true},
		{"an earlier incarnation", fleet.NewIncarnation("i1", born.Add(-time.Second)), func(*roster.Roster, time.Time) {}, false},
		{"a newer entry", old.Incarnation(), func(r *roster.Roster, now time.Time) { r.ApplyFreshEntry(newer, now) }, true},
		{"the whole list", old.Incarnation(), func(r *roster.Roster, now time.Time) { r.ApplySnapshot([]fleet.Instance{newer}, 10, now) }, true},
		{"another node", old.Incarnation(), func(r *roster.Roster, now time.Time) { r.ApplyRelayed(roster.Change{Instance: newer}, now) }, true},
		{"its report", old.Incarnation(), func(r *roster.Roster, now time.Time) { r.RecordReport("i1", fleet.Report{Born: born, Asked: now}) }, true},
		{"listed again after it was unlisted", old.Incarnation(), func(r *roster.Roster, now time.Time) {
			r.MarkUnlisted("i1", 8, now)
			r.ApplyFreshEntry(newer, now.Add(time.Minute))
		}, true},
		{"a later incarnation", old.Incarnation(), func(r *roster.Roster, now time.Time) { r.ApplyFreshEntry(next, now) }, false},
		{"a later incarnation, from its report", old.Incarnation(), func(r *roster.Roster, now time.Time) {
			r.RecordReport("i1", fleet.Report{Born: next.Born, Asked: now})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRoster()
			r.ApplyFreshEntry(old, start)
			g.Expect(r.MarkLeaving(c.marked)).To(Equal(c.name != "an earlier incarnation"))
			g.Expect(r.MarkLeaving(c.marked)).To(BeFalse(), "it is marked already")
			now := start.Add(5 * time.Second)
			c.apply(r, now)
			g.Expect(onlyMember(r, now).Draining).To(Equal(c.leaving))
			g.Expect(r.All(now)[0].Draining).To(Equal(c.leaving))
			g.Expect(r.IsLeaving(old.Incarnation())).To(Equal(c.leaving))
			g.Expect(r.IsLeaving(next.Incarnation())).To(BeFalse())
		})
	}
}

// A relayed leaving mark is applied even by a node that has read a newer list entry.
func TestLeavingIsRelayed(t *testing.T) {
	g := NewWithT(t)
	r, other := newRoster(), newRoster()
	newer := free
	newer.Position = 9
	other.ApplyFreshEntry(newer, start)
	_, before := r.ChangesSince(0, start)
	r.MarkLeaving(free.Incarnation())
	changes, _ := r.ChangesSince(before, start)
	g.Expect(changes).To(HaveLen(1))
	other.ApplyRelayed(changes[0], start)
	g.Expect(other.IsLeaving(free.Incarnation())).To(BeTrue())
	g.Expect(other.All(start)[0].Draining).To(BeTrue())
}

// After a network partition the list may show an instance again that was leaving before it.
func TestLeavingInstanceIsRetainedLonger(t *testing.T) {
	for _, c := range []struct {
		name    string
		leaving bool
	}{{"leaving", true}, {"not leaving", false}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			if c.leaving {
				r.MarkLeaving(free.Incarnation())
			}
			r.MarkUnlisted("i1", 6, start)
			later := start.Add(2 * roster.DefaultPolicy().ForgetAfter)
			r.All(later)
			again := free
			again.Position = 20
			r.ApplyFreshEntry(again, later)
			NewWithT(t).Expect(r.All(later)[0].Draining).To(Equal(c.leaving))
		})
	}
}

// The list was restored from a backup: an entry may be older than the known state of its
// instance, and a missing entry may have been written after the backup was made.
func TestRestoreKeepsNewerState(t *testing.T) {
	entry := func(era, offset int64, change func(*fleet.Instance)) fleet.Instance {
		in := free
		in.Position = source.Position(era, offset)
		if change != nil {
			change(&in)
		}
		return in
	}
	drain := func(in *fleet.Instance) { in.Draining = true }
	join := func(in *fleet.Instance) { in.Membership = member }
	known := entry(1, 20, join)
	for _, c := range []struct {
		name string
		// before sets the state before the backup is read, after applies what is read later.
		before   func(r *roster.Roster)
		backup   []fleet.Instance
		after    func(r *roster.Roster, at time.Time)
		want     fleet.Membership
		draining bool
		unlisted bool
	}{
		{name: "an older entry", backup: []fleet.Instance{entry(2, 10, nil)}, want: member},
		{name: "the same entry", backup: []fleet.Instance{entry(2, 20, join)}, want: member},
		{name: "no entry", want: member},
		{name: "an entry with a higher offset, written since", backup: []fleet.Instance{entry(2, 25, nil)}},
		{name: "an older entry, then one written since at a lower offset", backup: []fleet.Instance{entry(2, 10, nil)}, want: fleet.Membership{},
			after: func(r *roster.Roster, at time.Time) { r.ApplyFreshEntry(entry(2, 12, nil), at) }},
		{name: "it was leaving, not leaving in the backup", backup: []fleet.Instance{entry(2, 10, nil)}, want: member, draining: true,
			before: func(r *roster.Roster) {
				r.ApplyFreshEntry(entry(1, 21, func(in *fleet.Instance) { join(in); drain(in) }), start)
			}},
		{name: "leaving in the backup", backup: []fleet.Instance{entry(2, 10, drain)}, want: member, draining: true},
		{name: "it was unlisted, listed in the backup", backup: []fleet.Instance{entry(2, 10, nil)}, want: member, draining: true, unlisted: true,
			before: func(r *roster.Roster) { r.MarkUnlisted("i1", source.Position(1, 21), start) }},
		{name: "it was unlisted, listed in the backup, whole list read again", backup: []fleet.Instance{entry(2, 10, nil)}, want: member, draining: true, unlisted: true,
			before: func(r *roster.Roster) { r.MarkUnlisted("i1", source.Position(1, 21), start) },
			after: func(r *roster.Roster, at time.Time) {
				r.ApplySnapshot([]fleet.Instance{entry(2, 10, nil)}, source.Position(2, 11), at)
			}},
		{name: "it was unlisted, then writes again", backup: []fleet.Instance{entry(2, 10, nil)},
			before: func(r *roster.Roster) { r.MarkUnlisted("i1", source.Position(1, 21), start) },
			after:  func(r *roster.Roster, at time.Time) { r.ApplyFreshEntry(entry(2, 11, nil), at) }},
		{name: "no entry, whole list read again", want: member, draining: true, unlisted: true,
			after: func(r *roster.Roster, at time.Time) { r.ApplySnapshot(nil, source.Position(2, 11), at) }},
		{name: "no entry, then one at the next offset", want: fleet.Membership{},
			after: func(r *roster.Roster, at time.Time) {
				r.ApplySnapshot(nil, source.Position(2, 11), at)
				r.ApplyFreshEntry(entry(2, 11, nil), at)
			}},
		{name: "a second backup during the first", backup: []fleet.Instance{entry(2, 10, nil)}, want: member,
			after: func(r *roster.Roster, at time.Time) { r.ApplyBackup([]fleet.Instance{entry(3, 8, nil)}, at) }},
		{name: "relayed by a node that knows only the backup", backup: nil, want: fleet.Membership{}, draining: true,
			before: func(r *roster.Roster) { r.ApplyFreshEntry(entry(1, 21, drain), start) },
			after: func(r *roster.Roster, at time.Time) {
				r.ApplyRelayed(roster.Change{Instance: entry(2, 10, nil), Restored: true}, at)
			}},
		{name: "unlisted, relayed by a node that knows only the backup", backup: nil, want: member, draining: true, unlisted: true,
			before: func(r *roster.Roster) { r.MarkUnlisted("i1", source.Position(1, 21), start) },
			after: func(r *roster.Roster, at time.Time) {
				r.ApplyRelayed(roster.Change{Instance: entry(2, 10, nil), Restored: true}, at)
			}},
		{name: "relayed by a node of the previous era", backup: []fleet.Instance{entry(2, 10, nil)}, want: member,
			after: func(r *roster.Roster, at time.Time) { r.ApplyRelayed(roster.Change{Instance: entry(1, 30, drain)}, at) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRoster()
			r.ApplyFreshEntry(known, start)
			if c.before != nil {
				c.before(r)
			}
			now := start.Add(time.Second)
			r.ApplyBackup(c.backup, now)
			if c.after != nil {
				c.after(r, now)
			}
			later := now.Add(roster.DefaultPolicy().UnlistedGrace + time.Millisecond)
			v := r.All(later)[0]
			g.Expect(v.Membership).To(Equal(c.want))
			g.Expect(v.Draining).To(Equal(c.draining))
			g.Expect(v.Unlisted).To(Equal(c.unlisted))
		})
	}
}
