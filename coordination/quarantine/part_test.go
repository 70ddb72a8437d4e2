package quarantine_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state/fleet"
)

func TestOnlySharedPartsHaveFingerprints(t *testing.T) {
	many := make([]string, 100)
	for i := range many {
		many[i] = strconv.Itoa(i)
	}
	for _, c := range []struct {
		name string
		ids  []string
		want int
	}{
		{"no parts", nil, 0},
		{"only the request's own part", []string{"a"}, 0},
		{"all but the last part", []string{"a", "b", "c"}, 2},
		{"no more than the limit", many, quarantine.MaxParts},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			list := quarantine.NewPartFingerprints(c.ids)
			g.Expect(list).To(HaveLen(c.want))
			distinct := map[quarantine.Fingerprint]bool{}
			for _, f := range list {
				g.Expect(f.IsPart()).To(BeTrue())
				distinct[f] = true
			}
			g.Expect(distinct).To(HaveLen(c.want))
		})
	}
}

func TestPartHasOneFingerprintInAllPrompts(t *testing.T) {
	g := NewWithT(t)
	a, b := quarantine.NewPartFingerprints([]string{"x", "y", "own"}), quarantine.NewPartFingerprints([]string{"y", "other"})
	g.Expect(a[1]).To(Equal(b[0]))
	g.Expect(quarantine.NewFingerprint(quarantine.Content{Body: []byte("y")}).IsPart()).To(BeFalse())
}

// endUnderParts ends an instance during a request with the given parts, at a time after the start.
func endUnderParts(l *quarantine.Ledger, id, body string, after time.Duration, parts ...string) {
	at := start.Add(after)
	r := quarantine.Request{Fingerprint: request(body), Parts: quarantine.NewPartFingerprints(append(slices.Clone(parts), "own"))}
	l.RecordInterruption(r, []fleet.Incarnation{instance(id)}, at.Add(-runTime), at)
	l.RecordEnding(instance(id), at.Add(10*time.Millisecond))
}

// holds reports whether a ledger holds a new request with the given parts back at a time after the start.
func holds(l *quarantine.Ledger, after time.Duration, parts ...string) bool {
	now := start.Add(after)
	r := quarantine.Request{Fingerprint: request("new"), Parts: quarantine.NewPartFingerprints(append(slices.Clone(parts), "own"))}
	return l.VerdictOn(r, now).Quarantined(now)
}

func TestRequestsWithDeadlyPartAreHeld(t *testing.T) {
	for _, c := range []struct {
		name string
		// parts are those of the request under each ending, answered those of a request answered after the last one.
		parts    [][]string
		answered []string
		held     [][]string
		sound    [][]string
	}{
		{
			"a part that all have in common, in any place", [][]string{{"a", "d"}, {"b", "d"}, {"d", "c"}, {"e", "d"}}, nil,
			[][]string{{"a", "d"}, {"d"}, {"x", "d", "y"}}, [][]string{{"a"}, {"a", "b", "c", "e"}, nil},
		},
		{"a part with too few endings", [][]string{{"a", "d"}, {"b", "d"}, {"c", "d"}}, nil, nil, [][]string{{"d"}}},
		{"parts that always come together, together only", [][]string{{"a", "d"}, {"a", "d"}, {"a", "d"}, {"a", "d"}}, nil, [][]string{{"a", "d"}, {"d", "x", "a"}}, [][]string{{"a"}, {"d"}}},
		{"what is left after an answer", [][]string{{"a", "d"}, {"a", "d"}, {"a", "d"}, {"a", "d"}}, []string{"a"}, [][]string{{"d"}, {"a", "d"}}, [][]string{{"a"}}},
		{"two deadly parts", [][]string{{"d"}, {"e"}, {"d"}, {"e"}, {"d"}, {"e"}, {"d"}, {"e"}}, nil, [][]string{{"d"}, {"e"}}, [][]string{{"x"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := quarantine.NewLedger(quarantine.DefaultPolicy())
			var last time.Duration
			for i, parts := range c.parts {
				last = time.Duration(i+1) * time.Second
				endUnderParts(l, fmt.Sprint("i", i), fmt.Sprint("body ", i), last, parts...)
			}
			if c.answered != nil {
				r := quarantine.Request{Fingerprint: request("answered"), Parts: quarantine.NewPartFingerprints(append(c.answered, "own"))}
				l.RecordComplete(r, start.Add(last+500*time.Millisecond))
			}
			last += 2 * time.Second
			for _, parts := range c.held {
				g.Expect(holds(l, last, parts...)).To(BeTrue(), "%v", parts)
			}
			for _, parts := range c.sound {
				g.Expect(holds(l, last, parts...)).To(BeFalse(), "%v", parts)
			}
		})
	}
}

// The parts of a request that is sent again and again are under the same endings as the request.
func TestRequestIsHeldRatherThanItsParts(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 6 {
		endUnderParts(l, fmt.Sprint("i", i), "deadly", time.Duration(i+1)*time.Second, "a", "b")
	}
	g.Expect(isQuarantined(l, "deadly", 8*time.Second)).To(BeTrue())
	g.Expect(holds(l, 8*time.Second, "a", "b")).To(BeFalse())
}

// A part that was answered here before is held only once another node had the time to clear it.
func TestPopularPartIsHeldOnlyAfterOthersCouldClearIt(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 200 {
		r := quarantine.Request{Fingerprint: request(fmt.Sprint("sound ", i)), Parts: quarantine.NewPartFingerprints([]string{"popular", "own"})}
		l.RecordComplete(r, start.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 4 {
		endUnderParts(l, fmt.Sprint("i", i), fmt.Sprint("body ", i), time.Duration(i+1)*time.Second, "popular", fmt.Sprint("topic ", i))
	}
	g.Expect(holds(l, 4300*time.Millisecond, "popular")).To(BeFalse())
	g.Expect(holds(l, 4800*time.Millisecond, "popular")).To(BeTrue())
	other := quarantine.Clearing{Request: quarantine.NewPartFingerprints([]string{"popular", "own"})[0], By: 7, Number: 1, At: start.Add(4900 * time.Millisecond)}
	l.Merge(quarantine.Delta{Cleared: []quarantine.Clearing{other}}, quarantine.PeerSource)
	g.Expect(holds(l, 5*time.Second, "popular")).To(BeFalse())
}

// Each node answers requests with a popular part, and each would clear it for all others.
func TestOneClearingOfPartIsRelayed(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	part := quarantine.NewPartFingerprints([]string{"popular", "own"})[0]
	for by := range quarantine.Source(300) {
		c := quarantine.Clearing{Request: part, By: by + 1, Number: 1, At: start.Add(time.Duration(by) * 100 * time.Microsecond)}
		l.Merge(quarantine.Delta{Cleared: []quarantine.Clearing{c}}, by+1)
	}
	d, _ := l.ChangesSince(0, 0)
	g.Expect(d.Cleared).To(HaveLen(1))
	later := quarantine.Clearing{Request: part, By: 2, Number: 2, At: start.Add(time.Second)}
	l.Merge(quarantine.Delta{Cleared: []quarantine.Clearing{later}}, 2)
	d, _ = l.ChangesSince(0, 0)
	g.Expect(d.Cleared).To(Equal([]quarantine.Clearing{later}))
}

// The loss of many instances must not push out the endings that hold a part back.
func TestLossOfManyInstancesReleasesNoPart(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 4 {
		endUnderParts(l, fmt.Sprint("i", i), fmt.Sprint("body ", i), time.Duration(i+1)*time.Second, "d")
	}
	g.Expect(holds(l, 6*time.Second, "d")).To(BeTrue())
	for i := range 400 {
		endUnderParts(l, fmt.Sprint("lost ", i), fmt.Sprint("sound ", i), 7*time.Second+time.Duration(i)*time.Millisecond, fmt.Sprint("topic ", i))
	}
	g.Expect(holds(l, 9*time.Second, "d")).To(BeTrue())
}
