package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state/fleet"
)

// Times and entries of the tests.
var (
	start  = time.Unix(1000, 0)
	free   = fleet.Instance{ID: "i1", Service: "lm", Position: 5}
	member = fleet.Membership{Group: "g9", Epoch: 9, Rank: 1, State: fleet.Ready}
)

// newRoster returns a roster that has read one free instance.
func newRoster() *roster.Roster {
	r := roster.New(roster.Config{Beat: 1200 * time.Millisecond, Stall: 4 * time.Second, ReportLag: 200 * time.Millisecond})
	r.Listed(free, start)
	r.Confirm(start)
	return r
}

// only returns the single member of a roster.
func only(r *roster.Roster, now time.Time) placement.Member {
	return r.Members("lm", time.Time{}, now)[0]
}

func TestAnEntryReadAgainBringsNoOldMembershipBack(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.Reported("i1", fleet.Report{Membership: member, Orders: 1, Asked: start.Add(time.Second)})
	r.Listed(free, start.Add(1100*time.Millisecond))
	m := only(r, start.Add(1100*time.Millisecond))
	g.Expect(m.Membership).To(Equal(member))
	g.Expect(m.Counted).To(BeTrue())
}

func TestOrdersAreWorthNothingWithAnotherMembership(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.Reported("i1", fleet.Report{Orders: 0, Asked: start.Add(time.Second)})
	g.Expect(only(r, start.Add(time.Second)).Counted).To(BeTrue())
	joined := free
	joined.Membership, joined.Position = member, 6
	r.Listed(joined, start.Add(1100*time.Millisecond))
	g.Expect(only(r, start.Add(1100*time.Millisecond)).Counted).To(BeFalse())
}

func TestAReportOlderThanTheListCountsForNothing(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	joined := free
	joined.Membership, joined.Position = member, 6
	r.Listed(joined, start.Add(time.Second))
	r.Reported("i1", fleet.Report{Orders: 1, Asked: start.Add(1100 * time.Millisecond)})
	m := only(r, start.Add(1100*time.Millisecond))
	g.Expect(m.Membership).To(Equal(member))
	g.Expect(m.Counted).To(BeFalse())
}

func TestAMembershipIsKnownOnlyFromAnInstanceThatWrites(t *testing.T) {
	for _, c := range []struct {
		name  string
		at    time.Duration
		known bool
	}{
		{"just read", 100 * time.Millisecond, true},
		{"its next entry is late", 1900 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			now := start.Add(c.at)
			r.Confirm(now)
			NewWithT(t).Expect(only(r, now).Known).To(Equal(c.known))
		})
	}
}

func TestWhatAnAcceptedOrderDoesIsBelievedAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.Reported("i1", fleet.Report{Asked: start.Add(time.Second)})
	o := placement.Order{Action: placement.Join, Instance: "i1", Key: member.Key(), Members: nil}
	at := start.Add(1500 * time.Millisecond)
	r.Ordered(o, placement.Begun, at)
	g.Expect(only(r, at).Membership.State).To(Equal(fleet.Joining))
	g.Expect(only(r, at).Orders).To(Equal(int64(1)))
	// An echo from before the order does not undo it.
	r.Reported("i1", fleet.Report{Asked: at.Add(50 * time.Millisecond)})
	g.Expect(only(r, at.Add(50*time.Millisecond)).Membership.Key()).To(Equal(member.Key()))
}

func TestAnInstanceIsLostAfterTwoQuestionsWithoutAnswer(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.Failed("i1", start.Add(time.Second))
	g.Expect(only(r, start.Add(time.Second)).Lost).To(BeFalse())
	r.Failed("i1", start.Add(1200*time.Millisecond))
	g.Expect(only(r, start.Add(1200*time.Millisecond)).Lost).To(BeTrue())
	r.Heard("i1", start.Add(1300*time.Millisecond))
	g.Expect(only(r, start.Add(1300*time.Millisecond)).Lost).To(BeFalse())
}

func TestWordOfAnotherNodeBringsNoLeavingInstanceBack(t *testing.T) {
	for _, c := range []struct {
		name    string
		relayed func() fleet.Instance
		leaving bool
	}{
		{"the same entry", func() fleet.Instance { return free }, true},
		{"an older entry", func() fleet.Instance { in := free; in.Position = 4; return in }, true},
		{"a newer entry", func() fleet.Instance { in := free; in.Position = 6; return in }, false},
		{"a newer entry that is leaving", func() fleet.Instance { in := free; in.Position = 6; in.Draining = true; return in }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			r.Unlisted("i1", start)
			r.Relayed(c.relayed(), start.Add(time.Second))
			NewWithT(t).Expect(r.All(start.Add(2 * time.Second))[0].Draining).To(Equal(c.leaving))
		})
	}
}

func TestWordThatAnInstanceIsLeavingCounts(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	leaving := free
	leaving.Draining = true
	r.Relayed(leaving, start.Add(time.Second))
	g.Expect(r.All(start.Add(time.Second))[0].Draining).To(BeTrue())
}
