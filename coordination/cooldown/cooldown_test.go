package cooldown_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/cooldown"
	_ "github.com/troutmast/troutmast/internal/fixedseed"
	"github.com/troutmast/troutmast/state/fleet"
)

// Incarnations of one instance, one of them without a known start, and another instance.
var (
	start         = time.Unix(1000, 0)
	noStart       = fleet.Incarnation{ID: "i1"}
	older         = fleet.Incarnation{ID: "i1", Life: "1000"}
	newer         = fleet.Incarnation{ID: "i1", Life: "2000"}
	otherInstance = fleet.Incarnation{ID: "i2", Life: "1000"}
)

// after returns the time d after the start of a test.
func after(d time.Duration) time.Time { return start.Add(d) }

func TestCooldownAppliesToOneIncarnation(t *testing.T) {
	for _, c := range []struct {
		name               string
		requested, queried fleet.Incarnation
		cooling            bool
	}{
		{"the same incarnation", older, older, true},
		{"a later incarnation", older, newer, false},
		{"an earlier incarnation", newer, older, false},
		{"another instance", older, otherInstance, false},
		{"an incarnation whose start was not known yet", noStart, older, true},
		{"an incarnation whose start is no longer reported", older, noStart, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := cooldown.NewTracker(cooldown.DefaultPolicy())
			b.Record(c.requested, 3*time.Second, start)
			_, cooling := b.Until(c.queried, after(time.Second))
			NewWithT(t).Expect(cooling).To(Equal(c.cooling))
		})
	}
}

func TestCooldownEndsWithTheLastEndingRequest(t *testing.T) {
	type request struct{ at, d time.Duration }
	for _, c := range []struct {
		name     string
		requests []request
		ends     time.Duration
	}{
		{"one request", []request{{0, 3 * time.Second}}, 3 * time.Second},
		{"a later request that ends later", []request{{0, 3 * time.Second}, {time.Second, 3 * time.Second}}, 4 * time.Second},
		{"a later request that ends earlier", []request{{0, 3 * time.Second}, {time.Second, time.Second}}, 3 * time.Second},
		{"a request above the maximum", []request{{0, 1e6 * time.Second}}, cooldown.DefaultPolicy().MaxDuration},
		{"a request after the end", []request{{0, time.Second}, {2 * time.Second, time.Second}}, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := cooldown.NewTracker(cooldown.DefaultPolicy())
			last := time.Duration(0)
			for _, a := range c.requests {
				b.Record(older, a.d, after(a.at))
				last = a.at
			}
			until, cooling := b.Until(older, after(last))
			g.Expect(cooling).To(BeTrue())
			g.Expect(until).To(Equal(after(c.ends)))
			_, cooling = b.Until(older, after(c.ends))
			g.Expect(cooling).To(BeFalse())
		})
	}
}

func TestProbesWaitAfterTheCallLimitOfACooldown(t *testing.T) {
	g := NewWithT(t)
	b := cooldown.NewTracker(cooldown.DefaultPolicy())
	g.Expect(b.TryProbe(older, start)).To(BeTrue(), "no cooldown")
	b.Record(older, 3*time.Second, start)
	g.Expect(b.TryProbe(older, start)).To(BeTrue())
	b.RecordOrder(older, start)
	g.Expect(b.TryProbe(older, start)).To(BeFalse())
	g.Expect(b.TryProbe(otherInstance, start)).To(BeTrue())
	b.Record(older, 3*time.Second, after(time.Second)) // extends the same cooldown
	g.Expect(b.TryProbe(older, after(time.Second))).To(BeFalse())
	g.Expect(b.TryProbe(older, after(4*time.Second))).To(BeTrue())
	b.Record(older, time.Second, after(5*time.Second))
	g.Expect(b.TryProbe(older, after(5*time.Second))).To(BeTrue(), "a new cooldown")
}

func TestSweepReturnsEndedCooldownsOnce(t *testing.T) {
	g := NewWithT(t)
	b := cooldown.NewTracker(cooldown.DefaultPolicy())
	b.Record(otherInstance, time.Second, start)
	b.Record(older, time.Second, start)
	b.Record(newer, 3*time.Second, start)
	g.Expect(b.Active(start)).To(HaveLen(3))
	g.Expect(b.Sweep(start)).To(BeEmpty())
	ended := b.Sweep(after(time.Second))
	g.Expect(ended).To(HaveLen(2))
	g.Expect(ended[0].Instance).To(Equal(older))
	g.Expect(ended[1].Instance).To(Equal(otherInstance))
	g.Expect(b.Sweep(after(time.Second))).To(BeEmpty())
	g.Expect(b.Active(after(time.Second))).To(HaveLen(1))
}

// For random sequences of requests, a cooldown ends exactly when the last-ending request
// does, with each request capped at Policy.MaxDuration.
func TestRandomCooldownsEndWithTheLastEndingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := cooldown.DefaultPolicy()
		b := cooldown.NewTracker(policy)
		incarnations := []fleet.Incarnation{older, newer, otherInstance}
		ends := map[fleet.Incarnation]time.Time{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "passed")))
			in := rapid.SampledFrom(incarnations).Draw(t, "life")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				d := time.Duration(rapid.Int64Range(0, int64(2*policy.MaxDuration)).Draw(t, "asked"))
				b.Record(in, d, now)
				if end := now.Add(min(d, policy.MaxDuration)); end.After(ends[in]) {
					ends[in] = end
				}
			case 1:
				b.Sweep(now)
			case 2:
				b.TryProbe(in, now)
			}
			for _, in := range incarnations {
				until, cooling := b.Until(in, now)
				if cooling != now.Before(ends[in]) || cooling && !until.Equal(ends[in]) {
					t.Fatalf("%v at %v: cooling %v until %v, want until %v", in, now, cooling, until, ends[in])
				}
			}
		}
	})
}

func BenchmarkUntil(b *testing.B) {
	for _, c := range []struct {
		name    string
		cooling int
	}{{"none", 0}, {"one", 1}, {"a hundred", 100}} {
		b.Run(c.name, func(b *testing.B) {
			book := cooldown.NewTracker(cooldown.DefaultPolicy())
			for i := range c.cooling {
				book.Record(fleet.Incarnation{ID: older.ID + newer.ID, Life: string(rune('a' + i))}, time.Minute, start)
			}
			for b.Loop() {
				book.Until(older, start)
			}
		})
	}
}
