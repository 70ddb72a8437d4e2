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
	start   = time.Unix(1000, 0)
	untold  = fleet.Incarnation{ID: "i1"}
	first   = fleet.Incarnation{ID: "i1", Life: "1000"}
	second  = fleet.Incarnation{ID: "i1", Life: "2000"}
	another = fleet.Incarnation{ID: "i2", Life: "1000"}
)

// after returns the time d after the start of a test.
func after(d time.Duration) time.Time { return start.Add(d) }

func TestACooldownBelongsToOneLifeOfOneInstance(t *testing.T) {
	for _, c := range []struct {
		name      string
		asked, of fleet.Incarnation
		cooling   bool
	}{
		{"the same incarnation", first, first, true},
		{"a later incarnation", first, second, false},
		{"an earlier incarnation", second, first, false},
		{"another instance", first, another, false},
		{"an incarnation whose start was not known yet", untold, first, true},
		{"an incarnation whose start is no longer reported", first, untold, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := cooldown.NewBook(cooldown.DefaultPolicy())
			b.Ask(c.asked, 3*time.Second, start)
			_, cooling := b.Until(c.of, after(time.Second))
			NewWithT(t).Expect(cooling).To(Equal(c.cooling))
		})
	}
}

func TestACooldownLastsAsLongAsTheLongestRequestForIt(t *testing.T) {
	type ask struct{ at, d time.Duration }
	for _, c := range []struct {
		name string
		asks []ask
		ends time.Duration
	}{
		{"one request", []ask{{0, 3 * time.Second}}, 3 * time.Second},
		{"a later request that ends later", []ask{{0, 3 * time.Second}, {time.Second, 3 * time.Second}}, 4 * time.Second},
		{"a later request that ends earlier", []ask{{0, 3 * time.Second}, {time.Second, time.Second}}, 3 * time.Second},
		{"a request above the maximum", []ask{{0, 1e6 * time.Second}}, cooldown.DefaultPolicy().Max},
		{"a request after the end", []ask{{0, time.Second}, {2 * time.Second, time.Second}}, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := cooldown.NewBook(cooldown.DefaultPolicy())
			last := time.Duration(0)
			for _, a := range c.asks {
				b.Ask(first, a.d, after(a.at))
				last = a.at
			}
			until, cooling := b.Until(first, after(last))
			g.Expect(cooling).To(BeTrue())
			g.Expect(until).To(Equal(after(c.ends)))
			_, cooling = b.Until(first, after(c.ends))
			g.Expect(cooling).To(BeFalse())
		})
	}
}

func TestQuestionsWaitOnceACooldownHasHadSomeCalls(t *testing.T) {
	g := NewWithT(t)
	b := cooldown.NewBook(cooldown.DefaultPolicy())
	g.Expect(b.Question(first, start)).To(BeTrue(), "no cooldown")
	b.Ask(first, 3*time.Second, start)
	g.Expect(b.Question(first, start)).To(BeTrue())
	b.Order(first, start)
	g.Expect(b.Question(first, start)).To(BeFalse())
	g.Expect(b.Question(another, start)).To(BeTrue())
	b.Ask(first, 3*time.Second, after(time.Second)) // extends the same cooldown
	g.Expect(b.Question(first, after(time.Second))).To(BeFalse())
	g.Expect(b.Question(first, after(4*time.Second))).To(BeTrue())
	b.Ask(first, time.Second, after(5*time.Second))
	g.Expect(b.Question(first, after(5*time.Second))).To(BeTrue(), "a new cooldown")
}

func TestCooldownsThatEndedAreReturnedOnceAndForgotten(t *testing.T) {
	g := NewWithT(t)
	b := cooldown.NewBook(cooldown.DefaultPolicy())
	b.Ask(another, time.Second, start)
	b.Ask(first, time.Second, start)
	b.Ask(second, 3*time.Second, start)
	g.Expect(b.List(start)).To(HaveLen(3))
	g.Expect(b.Sweep(start)).To(BeEmpty())
	ended := b.Sweep(after(time.Second))
	g.Expect(ended).To(HaveLen(2))
	g.Expect(ended[0].Instance).To(Equal(first))
	g.Expect(ended[1].Instance).To(Equal(another))
	g.Expect(b.Sweep(after(time.Second))).To(BeEmpty())
	g.Expect(b.List(after(time.Second))).To(HaveLen(1))
}

// For random sequences of requests, a cooldown ends exactly when the last-ending request
// does, with each request capped at Policy.Max.
func TestDrawnCooldownsEndWithTheLastRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := cooldown.DefaultPolicy()
		b := cooldown.NewBook(policy)
		lives := []fleet.Incarnation{first, second, another}
		ends := map[fleet.Incarnation]time.Time{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "passed")))
			in := rapid.SampledFrom(lives).Draw(t, "life")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				d := time.Duration(rapid.Int64Range(0, int64(2*policy.Max)).Draw(t, "asked"))
				b.Ask(in, d, now)
				if end := now.Add(min(d, policy.Max)); end.After(ends[in]) {
					ends[in] = end
				}
			case 1:
				b.Sweep(now)
			case 2:
				b.Question(in, now)
			}
			for _, in := range lives {
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
			book := cooldown.NewBook(cooldown.DefaultPolicy())
			for i := range c.cooling {
				book.Ask(fleet.Incarnation{ID: first.ID + second.ID, Life: string(rune('a' + i))}, time.Minute, start)
			}
			for b.Loop() {
				book.Until(first, start)
			}
		})
	}
}
