package roster_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/roster"
	_ "github.com/troutmast/troutmast/internal/fixedseed"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// coldEntry returns a list entry of the instance that states a remaining cold time.
func coldEntry(position int64, left time.Duration) fleet.Instance {
	in := free
	in.Position, in.ColdLeft = position, left
	return in
}

// relayAsJSON relays all changes since a version from one roster to another at a time, as nodes do.
func relayAsJSON(g *WithT, from, to *roster.Roster, after uint64, packedAt, appliedAt time.Time) (changes int, version uint64) {
	list, version := from.ChangesSince(after, packedAt)
	raw, err := json.Marshal(list)
	g.Expect(err).NotTo(HaveOccurred())
	var received []roster.Change
	g.Expect(json.Unmarshal(raw, &received)).To(Succeed())
	for _, c := range received {
		to.ApplyRelayed(c, appliedAt)
	}
	return len(list), version
}

// coldUntil returns when the instance stops being cold, as a roster knows.
func coldUntil(r *roster.Roster, now time.Time) time.Time {
	v, _ := r.Get(free.ID, now)
	return v.ColdUntil
}

// The cold time counts down from when the entry was read, also at nodes that get it late: there it ends later, never earlier.
func TestColdTimeIsRelayedAsOfItsReading(t *testing.T) {
	g := NewWithT(t)
	from, to := newRoster(), roster.New(roster.Config{HeartbeatInterval: time.Second, Policy: roster.DefaultPolicy()})
	from.ApplyFreshEntry(coldEntry(9, 3*time.Second), start)
	g.Expect(coldUntil(from, start)).To(Equal(start.Add(3 * time.Second)))
	relayAsJSON(g, from, to, 0, start.Add(time.Second), start.Add(1200*time.Millisecond))
	g.Expect(coldUntil(to, start)).To(Equal(start.Add(3200 * time.Millisecond)))
}

// Only a change that other nodes need to know is relayed: not each entry that repeats the same cold time.
func TestOnlyChangesOfColdTimesAreRelayed(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration
		left    time.Duration
		changes int
	}{
		{"the same", time.Second, 2 * time.Second, 0},
		{"somewhat shorter", time.Second, 1900 * time.Millisecond, 0},
		{"warm early", time.Second, 0, 1},
		{"longer", time.Second, 3 * time.Second, 1},
		{"ended", 3 * time.Second, 0, 0},
		{"cold again", 5 * time.Second, time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			from, to := newRoster(), newRoster()
			from.ApplyFreshEntry(coldEntry(9, 3*time.Second), start)
			_, version := relayAsJSON(g, from, to, 0, start, start)
			now := start.Add(c.after)
			from.ApplyFreshEntry(coldEntry(10, c.left), now)
			changes, _ := relayAsJSON(g, from, to, version, now, now)
			g.Expect(changes).To(Equal(c.changes))
			isCold := func(r *roster.Roster) bool { return coldUntil(r, now).After(now) }
			g.Expect(isCold(to)).To(Equal(isCold(from)))
		})
	}
}

// A node of an earlier build relays no cold times: that must not end the cold time that this node has read.
func TestEarlierBuildEndsNoColdTime(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.ApplyFreshEntry(coldEntry(9, 3*time.Second), start)
	relayed := coldEntry(10, 0)
	r.ApplyRelayed(roster.Change{Instance: relayed}, start.Add(time.Second))
	g.Expect(coldUntil(r, start)).To(Equal(start.Add(3 * time.Second)))
	r.ApplyRelayed(roster.Change{Instance: coldEntry(11, 0), ColdAge: time.Millisecond}, start.Add(time.Second))
	g.Expect(coldUntil(r, start)).To(BeZero(), "a node of this build has read that it is warm")
}

// A process that has restarted counts as cold as soon as it is known by an answer of its own, before its entry is read.
func TestRestartedInstanceCountsAsColdBeforeItsEntryIsRead(t *testing.T) {
	g := NewWithT(t)
	r := newRoster()
	r.SetColdStarts(map[state.ServiceName]time.Duration{"lm": 3 * time.Second})
	old := free
	old.Born, old.Position = start.Add(-time.Minute), 6
	r.ApplyFreshEntry(old, start)
	g.Expect(coldUntil(r, start)).To(BeZero())
	now := start.Add(5 * time.Second)
	r.RecordReport(free.ID, fleet.Report{Born: now.Add(-time.Second), Asked: now})
	g.Expect(coldUntil(r, now)).To(Equal(now.Add(3 * time.Second)))
	next := free
	next.Born, next.Position, next.ColdLeft = now.Add(-time.Second), 7, time.Second
	r.ApplyFreshEntry(next, now.Add(100*time.Millisecond))
	g.Expect(coldUntil(r, now)).To(Equal(now.Add(1100 * time.Millisecond)))
}

// Whatever entries are written, and however late they are read and relayed, no node that has the last one takes the
// instance for warm while it is cold.
func TestColdTimeNeverEndsEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		from, to := newRoster(), newRoster()
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		now, trueEnd, version := start, start, uint64(0)
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			if rapid.Bool().Draw(t, "cold again") {
				trueEnd = now.Add(ms("cold for", 4000))
			} else if rapid.Bool().Draw(t, "warm early") {
				trueEnd = now
			}
			entry := coldEntry(int64(10+i), max(trueEnd.Sub(now), 0))
			now = now.Add(ms("read after", 400))
			from.ApplyFreshEntry(entry, now)
			packedAt := now.Add(ms("packed after", 100))
			now = packedAt.Add(ms("relayed after", 300))
			_, version = relayAsJSON(g, from, to, version, packedAt, now)
			for _, r := range []*roster.Roster{from, to} {
				if now.Before(trueEnd) {
					g.Expect(coldUntil(r, now)).NotTo(BeTemporally("<", trueEnd))
				}
			}
			now = now.Add(ms("next entry after", 1500))
		}
	})
}
