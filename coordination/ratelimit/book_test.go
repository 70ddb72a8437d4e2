package ratelimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

var (
	// start is aligned to the parts of a window.Counter, so that counts are the same in each run.
	start    = aligned(time.Unix(1000, 0))
	instance = fleet.Incarnation{ID: "i", Life: "5000"}
)

// aligned returns t rounded down to a multiple of the window on the steady clock.
func aligned(t time.Time) time.Time {
	return t.Add(-time.Duration(steady.Nanos(t)) % DefaultPolicy().Window)
}

// at returns the time ms milliseconds after the start of a test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// limitedBook returns a Tracker with one limit, announced at start.
func limitedBook(perSecond float64) *Tracker {
	b := NewTracker(DefaultPolicy())
	b.Observe(instance, fleet.LimitedTo(perSecond), start, start)
	return b
}

// Answers can arrive out of order: the head of a stream may be written before another answer
// and arrive after it. If either may be the newer one, the lower limit applies.
func TestStricterLimitAppliesWhenAnswersArriveOutOfOrder(t *testing.T) {
	type answer struct {
		stated             fleet.RateLimit
		sentAt, answeredAt int
	}
	none := fleet.Unlimited()
	for _, c := range []struct {
		name    string
		answers []answer
		want    float64 // negative for no limit
	}{
		{"named", []answer{{fleet.LimitedTo(2), 0, 10}}, 2},
		{"named again", []answer{{fleet.LimitedTo(2), 0, 10}, {fleet.LimitedTo(2), 20, 30}}, 2},
		{"lower, later", []answer{{fleet.LimitedTo(2), 0, 10}, {fleet.LimitedTo(1), 20, 30}}, 1},
		{"lower, possibly earlier", []answer{{fleet.LimitedTo(2), 0, 20}, {fleet.LimitedTo(1), 10, 30}}, 1},
		{"lower, certainly earlier", []answer{{fleet.LimitedTo(2), 50, 60}, {fleet.LimitedTo(1), 0, 40}}, 2},
		{"higher, later", []answer{{fleet.LimitedTo(2), 0, 10}, {fleet.LimitedTo(3), 20, 30}}, 3},
		{"higher, possibly earlier", []answer{{fleet.LimitedTo(2), 0, 20}, {fleet.LimitedTo(3), 10, 30}}, 2},
		{"ended", []answer{{fleet.LimitedTo(2), 0, 10}, {none, 20, 30}}, -1},
		{"ended, possibly earlier", []answer{{fleet.LimitedTo(2), 0, 20}, {none, 10, 30}}, 2},
		{"named again before a late end", []answer{{fleet.LimitedTo(2), 0, 10}, {fleet.LimitedTo(2), 40, 50}, {none, 20, 60}}, 2},
		{"late answer from before the end", []answer{{fleet.LimitedTo(2), 0, 10}, {none, 50, 60}, {fleet.LimitedTo(2), 5, 40}}, -1},
		{"named again after the end", []answer{{fleet.LimitedTo(2), 0, 10}, {none, 50, 60}, {fleet.LimitedTo(2), 55, 70}}, 2},
		{"no readable answer", []answer{{fleet.LimitedTo(2), 0, 10}, {fleet.RateLimit{}, 20, 30}}, 2},
		{"never named", []answer{{none, 0, 10}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b, other := NewTracker(DefaultPolicy()), NewTracker(DefaultPolicy())
			for _, a := range c.answers {
				b.Observe(instance, a.stated, at(a.sentAt), at(a.answeredAt))
				list, _ := b.ChangedSince(0)
				for _, l := range list {
					other.Merge(l, at(a.answeredAt))
				}
			}
			for _, b := range []*Tracker{b, other} {
				perSecond, limited := b.Limited(instance)
				g.Expect(limited).To(Equal(c.want >= 0))
				if limited {
					g.Expect(perSecond).To(Equal(c.want))
				}
				g.Expect(b.HasActive()).To(Equal(limited))
			}
		})
	}
}

func TestLimitAppliesToOneIncarnation(t *testing.T) {
	for _, c := range []struct {
		name, known, queried string
		limited              bool
	}{
		{"the same incarnation", "5000", "5000", true},
		{"a later incarnation", "5000", "6000", false},
		{"an earlier incarnation", "5000", "4000", false},
		{"a later incarnation with a longer start", "5000", "10000", false},
		{"an incarnation without a known start", "5000", "", true},
		{"limit of an incarnation without a known start", "", "5000", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := NewTracker(DefaultPolicy())
			b.Observe(fleet.Incarnation{ID: "i", Life: c.known}, fleet.LimitedTo(2), start, start)
			in := fleet.Incarnation{ID: "i", Life: c.queried}
			_, limited := b.Limited(in)
			g.Expect(limited).To(Equal(c.limited))
			g.Expect(b.Allow(in, at(1))).To(Equal(!c.limited))
			g.Expect(b.Take(in, at(1))).To(Equal(!c.limited))
		})
	}
}

func TestLaterIncarnationStartsWithoutLimit(t *testing.T) {
	g := NewWithT(t)
	b, later := limitedBook(2), fleet.Incarnation{ID: "i", Life: "6000"}
	b.AddGrants([]Grant{{"i", 3}}, at(1000))
	g.Expect(b.Observe(later, fleet.Unlimited(), at(5), at(6))).To(Equal(LimitUnchanged))
	g.Expect(b.Observe(later, fleet.LimitedTo(1), at(10), at(20))).To(Equal(LimitBegan))
	g.Expect(b.Allow(later, at(21))).To(BeFalse(), "the grants were for the earlier incarnation")
	g.Expect(b.Observe(instance, fleet.LimitedTo(9), at(30), at(40))).To(Equal(LimitUnchanged), "a late answer of the earlier incarnation")
	perSecond, _ := b.Limited(later)
	g.Expect(perSecond).To(Equal(1.0))
}

func TestGrantIsUsedOnceBeforeItExpiresAndUnderItsLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(b *Tracker)
		want int
	}{
		{"used", func(*Tracker) {}, 2},
		{"expired", func(b *Tracker) { b.Allow(instance, at(500)) }, 0},
		{"lower limit", func(b *Tracker) { b.Observe(instance, fleet.LimitedTo(1), at(10), at(20)) }, 0},
		{"higher limit", func(b *Tracker) { b.Observe(instance, fleet.LimitedTo(3), at(10), at(20)) }, 2},
		{"limit ended and began again", func(b *Tracker) {
			b.Observe(instance, fleet.Unlimited(), at(10), at(20))
			b.Observe(instance, fleet.LimitedTo(2), at(30), at(40))
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := limitedBook(2)
			b.AddGrants([]Grant{{"i", 2}, {"unknown", 5}}, at(500))
			c.then(b)
			sent := 0
			for range 5 {
				if b.Take(instance, at(100)) {
					sent++
				}
			}
			g.Expect(sent).To(Equal(c.want))
			g.Expect(b.Allow(instance, at(100))).To(BeFalse())
		})
	}
}

// Calls sent before a limit is known count within the window, as do probes and orders.
func TestUsageCountsAllCallsWithinTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := NewTracker(DefaultPolicy())
	g.Expect(b.Usage(start)).To(BeNil())
	for range 3 {
		g.Expect(b.Take(instance, start)).To(BeTrue())
	}
	b.Observe(instance, fleet.LimitedTo(2), at(10), at(20))
	b.RecordOrder(instance, at(30))
	g.Expect(b.TryProbe(instance, ProbeRequest{IsLeader: true}, at(40))).To(BeTrue())
	g.Expect(b.Take(instance, at(50))).To(BeFalse())
	b.AddGrants([]Grant{{"i", 2}}, at(1000))
	g.Expect(b.Take(instance, at(60))).To(BeTrue())
	g.Expect(b.Usage(at(100))).To(Equal(map[state.InstanceID]Usage{"i": {Sent: 6, Unused: 1}}))
	g.Expect(b.Usage(at(1500))).To(Equal(map[state.InstanceID]Usage{"i": {Sent: 6, Expired: 1}}))
	g.Expect(b.Usage(at(10000))).To(BeEmpty(), "no calls or grants within the window")
}

func TestProbesUseAFractionOfTheLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		by        ProbeRequest
		want      time.Duration // minimum time between two probes; 0 if a probe needs a grant
	}{
		{"an eighth of the limit", 2, ProbeRequest{IsLeader: true}, 4 * time.Second},
		{"a high limit", 100, ProbeRequest{IsLeader: true}, 2 * time.Second},
		{"a low limit", 0.1, ProbeRequest{IsLeader: true}, 4 * time.Second},
		{"a limit of zero", 0, ProbeRequest{IsLeader: true}, 4 * time.Second},
		{"an instance that does not answer", 2, ProbeRequest{IsLeader: true, LastProbeFailed: true}, time.Second},
		{"a node that is not the leader", 100, ProbeRequest{}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := limitedBook(c.perSecond)
			if c.want == 0 {
				g.Expect(b.TryProbe(instance, c.by, at(1))).To(BeFalse())
				b.AddGrants([]Grant{{"i", 1}}, at(1000))
				g.Expect(b.CanProbe(instance, c.by, at(2))).To(BeTrue())
				g.Expect(b.TryProbe(instance, c.by, at(2))).To(BeTrue(), "the grant allows one probe")
				g.Expect(b.TryProbe(instance, c.by, at(3))).To(BeFalse())
				return
			}
			g.Expect(b.TryProbe(instance, c.by, at(1))).To(BeTrue())
			for _, now := range []time.Time{at(2), at(1).Add(c.want - time.Millisecond)} {
				g.Expect(b.CanProbe(instance, c.by, now)).To(BeFalse())
				g.Expect(b.TryProbe(instance, c.by, now)).To(BeFalse())
			}
			g.Expect(b.CanProbe(instance, c.by, at(1).Add(c.want))).To(BeTrue())
		})
	}
}

func TestOnlyChangesAreReportedToOtherNodes(t *testing.T) {
	g := NewWithT(t)
	b, other := limitedBook(2), NewTracker(DefaultPolicy())
	mergeChanges := func(after uint64, now time.Time) (int, uint64) {
		list, version := b.ChangedSince(after)
		for _, l := range list {
			other.Merge(l, now)
		}
		return len(list), version
	}
	n, version := mergeChanges(0, at(1))
	g.Expect(n).To(Equal(1))
	b.Observe(instance, fleet.LimitedTo(2), at(10), at(20))
	n, version = mergeChanges(version, at(21))
	g.Expect(n).To(BeZero(), "the limit is unchanged")
	g.Expect(b.RecentlyObserved(at(30))).To(HaveLen(1))
	g.Expect(other.RecentlyObserved(at(30))).To(BeEmpty(), "the change came from another node")
	b.Observe(instance, fleet.Unlimited(), at(40), at(50))
	n, _ = mergeChanges(version, at(60))
	g.Expect(n).To(Equal(1))
	g.Expect(other.HasActive()).To(BeFalse())
	g.Expect(b.RecentlyObserved(at(10000))).To(BeEmpty())
}

func TestSweepRemovesLimitsOfUnknownIncarnationsAndOldEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		ended bool
		after time.Duration
		known bool
		want  int
	}{
		{"in force", false, time.Hour, true, 1},
		{"incarnation is not known", false, time.Second, false, 0},
		{"ended recently", true, time.Second, true, 1},
		{"ended long ago", true, time.Hour, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := limitedBook(2)
			b.RecordOrder(instance, start)
			if c.ended {
				b.Observe(instance, fleet.Unlimited(), at(10), at(20))
			}
			b.Sweep(start.Add(c.after), func(fleet.Incarnation) bool { return c.known })
			list, _ := b.ChangedSince(0)
			g.Expect(list).To(HaveLen(c.want))
			g.Expect(b.HasActive()).To(Equal(c.want == 1 && !c.ended))
			g.Expect(b.calls).To(HaveLen(map[bool]int{true: 1}[c.after == time.Second]))
		})
	}
}
