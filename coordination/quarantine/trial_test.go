package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state/fleet"
)

// requestWith returns a request with the given parts and one of its own.
func requestWith(body string, parts ...string) quarantine.Request {
	return quarantine.Request{Fingerprint: request(body), Parts: quarantine.NewPartFingerprints(append(parts, "own"))}
}

// heldSince is the time after the start at which newHoldingLedger holds its part back.
const heldSince = 5 * time.Second

// newHoldingLedger returns a ledger that holds the part "a" back, at which requests without it arrived.
func newHoldingLedger() *quarantine.Ledger {
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 4 {
		endUnderParts(l, fmt.Sprint("i", i), fmt.Sprint("body ", i), time.Duration(i+1)*time.Second, "a")
	}
	admitOthers(l, 100, start.Add(heldSince))
	return l
}

// admitOthers has requests without the part "a" arrive.
func admitOthers(l *quarantine.Ledger, count int, now time.Time) {
	for i := range count {
		l.Admit(requestWith(fmt.Sprint("other ", i), "other"), false, now)
	}
}

// trialsOf sends a request with the part "a" every 100 ms from heldSince on, one in the given number of all requests, and
// returns when one was let through.
func trialsOf(l *quarantine.Ledger, oneIn int, d time.Duration, isTrialNode bool, onTrial func(r quarantine.Request, now time.Time)) []time.Duration {
	var times []time.Duration
	for after := heldSince; after < heldSince+d; after += 100 * time.Millisecond {
		r := requestWith(after.String(), "a")
		now := start.Add(after)
		admitOthers(l, oneIn-1, now)
		a := l.Admit(r, isTrialNode, now)
		if a.IsTrial {
			times = append(times, after-heldSince)
			onTrial(r, now)
		}
	}
	return times
}

func TestHeldPartIsTriedOneRequestAtATime(t *testing.T) {
	for _, c := range []struct {
		name        string
		oneIn       int
		isTrialNode bool
		// d is how long requests with the part arrive, want the number of those that are let through.
		d    time.Duration
		want int
	}{
		{"a common part, soon", 2, true, 6 * time.Second, 1},
		{"a rare part, not yet", 10, true, 20 * time.Second, 0},
		{"a rare part, later", 10, true, 32 * time.Second, 1},
		{"another node than the leader", 2, false, 40 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newHoldingLedger()
			times := trialsOf(l, c.oneIn, c.d, c.isTrialNode, func(r quarantine.Request, now time.Time) { l.RecordComplete(r, now.Add(50*time.Millisecond)) })
			NewWithT(t).Expect(times).To(HaveLen(c.want))
		})
	}
}

func TestAnsweredTrialReleasesPart(t *testing.T) {
	g := NewWithT(t)
	l := newHoldingLedger()
	g.Expect(holds(l, heldSince, "a")).To(BeTrue())
	trialsOf(l, 2, 6*time.Second, true, func(r quarantine.Request, now time.Time) { l.RecordComplete(r, now.Add(50*time.Millisecond)) })
	g.Expect(holds(l, heldSince+6*time.Second, "a")).To(BeFalse())
}

func TestTrialsOfDeadlyPartAreBounded(t *testing.T) {
	g := NewWithT(t)
	l := newHoldingLedger()
	ended := 0
	times := trialsOf(l, 1, 5*time.Minute, true, func(r quarantine.Request, now time.Time) {
		ended++
		in := instance(fmt.Sprint("trial ", ended))
		l.RecordInterruption(r, []fleet.Incarnation{in}, now, now.Add(50*time.Millisecond))
		l.RecordEnding(in, now.Add(60*time.Millisecond))
	})
	g.Expect(times).To(HaveLen(2))
	g.Expect(holds(l, 5*time.Minute, "a")).To(BeTrue())
}

// A deadly part may be in most of the requests. While others with other parts are answered, no sound part is held back, and
// a trial would only end instances.
func TestCommonPartIsNotTriedWhileOthersAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name string
		// alsoHeld is set if another part is suspected of the same endings.
		alsoHeld bool
		want     int
	}{
		{"the only suspect", false, 0},
		{"one of two suspects", true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newHoldingLedger()
			if c.alsoHeld {
				for i := range 4 {
					endUnderParts(l, fmt.Sprint("more ", i), fmt.Sprint("more ", i), time.Duration(i+1)*time.Second+500*time.Millisecond, "b")
				}
			}
			trials := 0
			for after := heldSince; after < heldSince+20*time.Second; after += 100 * time.Millisecond {
				now := start.Add(after)
				l.RecordComplete(requestWith(fmt.Sprint("sound ", after), "other"), now)
				r := requestWith(after.String(), "a")
				if l.Admit(r, true, now).IsTrial {
					trials++
					in := instance(fmt.Sprint("trial ", trials))
					l.RecordInterruption(r, []fleet.Incarnation{in}, now, now.Add(50*time.Millisecond))
					l.RecordEnding(in, now.Add(60*time.Millisecond))
				}
			}
			g.Expect(trials).To(Equal(c.want))
		})
	}
}

// Requests from before a part was held back may be interrupted by anything while one is let through.
func TestInterruptionOfEarlierRequestIsNoOutcomeOfTrial(t *testing.T) {
	g := NewWithT(t)
	l := newHoldingLedger()
	times := trialsOf(l, 1, 20*time.Second, true, func(r quarantine.Request, now time.Time) {
		in := instance("earlier " + now.String())
		l.RecordInterruption(r, []fleet.Incarnation{in}, start, now.Add(50*time.Millisecond))
		l.RecordEnding(in, now.Add(60*time.Millisecond))
	})
	g.Expect(len(times)).To(BeNumerically(">", 2))
}

// Requests that are let through without an outcome, because no instance is up, are bounded too.
func TestTrialsWithoutOutcomeAreBounded(t *testing.T) {
	times := trialsOf(newHoldingLedger(), 1, 5*time.Minute, true, func(quarantine.Request, time.Time) {})
	NewWithT(t).Expect(len(times)).To(BeNumerically("<=", 6))
}

func TestHeldRequestIsNeverTried(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 6 {
		endUnderParts(l, fmt.Sprint("i", i), "deadly", time.Duration(i+1)*time.Second, "a")
	}
	for after := heldSince + 2*time.Second; after < 2*time.Minute; after += time.Second {
		g.Expect(l.Admit(requestWith("deadly", "a"), true, start.Add(after)).Held).To(BeTrue())
	}
}

// A popular part is in progress on every instance that ends, so that it has at least as many endings as the deadly one.
func TestPopularPartDoesNotShieldDeadlyOne(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	l.RecordComplete(requestWith("sound", "popular"), start.Add(time.Millisecond))
	for i := range 5 {
		parts := []string{"popular", fmt.Sprint("topic ", i)}
		if i > 0 {
			parts = append(parts, "deadly")
		}
		endUnderParts(l, fmt.Sprint("i", i), fmt.Sprint("body ", i), time.Duration(i+1)*time.Second, parts...)
	}
	g.Expect(holds(l, 7*time.Second, "deadly")).To(BeTrue())
	g.Expect(holds(l, 7*time.Second, "popular")).To(BeFalse())
}

// Reports of other nodes in which another part has more endings arrive while the deadly part is held.
func TestLateReportsReleaseNoDeadlyPart(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 110 {
		l.RecordComplete(requestWith(fmt.Sprint("sound ", i), fmt.Sprint("topic ", i)), start)
	}
	for i := range 4 {
		endUnderParts(l, fmt.Sprint("i", i), fmt.Sprint("body ", i), time.Duration(i+1)*time.Second, "deadly")
	}
	g.Expect(holds(l, 4500*time.Millisecond, "deadly")).To(BeTrue())
	other := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 5 {
		endUnderParts(other, fmt.Sprint("i", i), fmt.Sprint("other ", i), time.Duration(i+1)*time.Second-200*time.Millisecond, "sound")
	}
	d, _ := other.ChangesSince(0, 0)
	l.Merge(d, quarantine.PeerSource)
	g.Expect(holds(l, 4900*time.Millisecond, "sound")).To(BeTrue())
	g.Expect(holds(l, 4900*time.Millisecond, "deadly")).To(BeTrue())
	l.RecordComplete(requestWith("answered", "deadly"), start.Add(5*time.Second))
	g.Expect(holds(l, 5500*time.Millisecond, "deadly")).To(BeFalse(), "a response clears it")
}
