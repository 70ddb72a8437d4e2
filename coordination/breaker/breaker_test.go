package breaker_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/breaker"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

var (
	start = time.Unix(1000, 0)
	bad   = fleet.Incarnation{ID: "bad", Life: "1"}
)

// opened returns a set in which the breaker of bad has just opened at start.
func opened(g *WithT) *breaker.Set {
	s := breaker.NewSet(breaker.DefaultPolicy())
	for i := range breaker.DefaultPolicy().Failures {
		g.Expect(s.RecordInvalid(bad, start, start)).To(Equal(i == breaker.DefaultPolicy().Failures-1))
	}
	return s
}

// An instance that also sends valid responses, such as one that fails part of its requests, must get requests as before.
func TestBreakerOpensOnlyForInvalidResponsesInARow(t *testing.T) {
	for _, c := range []struct {
		name  string
		valid func(i int) bool
		pause time.Duration
		open  bool
	}{
		{"all invalid", func(int) bool { return false }, time.Millisecond, true},
		{"every third one valid", func(i int) bool { return i%3 == 2 }, time.Millisecond, false},
		{"seldom", func(int) bool { return false }, 11 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := breaker.NewSet(breaker.DefaultPolicy())
			now := start
			for i := range 12 {
				if now = now.Add(c.pause); c.valid(i) {
					s.RecordValid(bad, now)
				} else {
					s.RecordInvalid(bad, now, now)
				}
			}
			g.Expect(s.IsOpen(bad, now)).To(Equal(c.open))
			g.Expect(s.IsOpen(fleet.Incarnation{ID: "bad", Life: "2"}, now)).To(BeFalse(), "a later process of the instance starts anew")
		})
	}
}

// While an instance sends nothing but invalid responses, the requests that it gets must become few.
func TestTrialsBecomeRare(t *testing.T) {
	g := NewWithT(t)
	s := opened(g)
	trials := 0
	for now := start; now.Sub(start) < time.Minute; now = now.Add(10 * time.Millisecond) {
		if s.TryTrial(bad, true, now) {
			trials++
			g.Expect(s.TryTrial(bad, true, now)).To(BeFalse(), "one trial at a time")
			s.RecordInvalid(bad, now, now.Add(5*time.Millisecond))
		}
	}
	g.Expect(trials).To(And(BeNumerically(">=", 4), BeNumerically("<=", 8)))
}

// A request that cannot be repeated is lost by a failed trial, so that it is one only where there are no others.
func TestRepeatableRequestsAreTrialsFirst(t *testing.T) {
	g := NewWithT(t)
	s := opened(g)
	due := start.Add(breaker.DefaultPolicy().TrialInterval)
	g.Expect(s.TryTrial(bad, true, due.Add(-time.Millisecond))).To(BeFalse())
	g.Expect(s.TryTrial(bad, false, due)).To(BeFalse())
	g.Expect(s.TryTrial(bad, false, due.Add(breaker.DefaultPolicy().TrialInterval))).To(BeTrue())
}

func TestValidResponseClosesTheBreaker(t *testing.T) {
	for _, c := range []struct {
		name   string
		sentAt time.Time
		closed bool
	}{
		{"to the trial", start.Add(time.Second), true},
		{"to a request from before the breaker opened", start.Add(-time.Second), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := opened(g)
			g.Expect(s.Open()).To(Equal([]fleet.Incarnation{bad}))
			g.Expect(s.RecordValid(bad, c.sentAt)).To(Equal(c.closed))
			g.Expect(s.IsOpen(bad, start.Add(time.Second))).To(Equal(!c.closed))
			g.Expect(s.HasOpen()).To(Equal(!c.closed))
		})
	}
}

// Callers whose request has just failed come back while its response is checked. They must not be sent there again.
func TestSuspectGetsNoRequestsUntilTheCheckEnds(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet(breaker.DefaultPolicy())
	s.Suspect(bad, start.Add(time.Second))
	g.Expect(s.IsOpen(bad, start)).To(BeTrue())
	g.Expect(s.TryTrial(bad, true, start)).To(BeFalse())
	g.Expect(s.Open()).To(BeEmpty(), "a suspicion is told to nobody")
	g.Expect(s.IsOpen(bad, start.Add(time.Second))).To(BeFalse())
	s.Suspect(bad, start.Add(time.Second))
	s.RecordValid(bad, start)
	g.Expect(s.IsOpen(bad, start)).To(BeFalse())
}

func TestRelayedBreakersCountUntilTheyExpire(t *testing.T) {
	g := NewWithT(t)
	s := breaker.NewSet(breaker.DefaultPolicy())
	s.SetRelayed([]fleet.Incarnation{bad}, start.Add(time.Second))
	g.Expect(s.IsOpen(bad, start)).To(BeTrue())
	g.Expect(s.TryTrial(bad, true, start.Add(time.Hour))).To(BeFalse(), "the nodes that saw the responses make the trials")
	g.Expect(s.Open()).To(BeEmpty(), "a node must not tell what it was told")
	g.Expect(s.IsOpen(bad, start.Add(time.Second))).To(BeFalse())
	s.Sweep(start.Add(time.Second), func(fleet.Incarnation) bool { return true })
	g.Expect(s.HasOpen()).To(BeFalse())
}

// One node whose own connections are at fault must not take an instance from all others.
func TestOnlyCommonBreakersAreRelayed(t *testing.T) {
	g := NewWithT(t)
	other := fleet.Incarnation{ID: "other"}
	lists := [][]fleet.Incarnation{{bad, other}, {bad}, nil}
	g.Expect(breaker.Common(lists, 2, 10)).To(Equal([]fleet.Incarnation{bad}))
	g.Expect(breaker.Common(lists, 1, 10)).To(Equal([]fleet.Incarnation{bad, other}))
	g.Expect(breaker.Common(lists, 1, 1)).To(Equal([]fleet.Incarnation{bad}))
}

// Whatever responses arrive in whatever order, an instance that sends valid responses to all later requests is used again
// after its next trial, and nothing is kept of instances that are gone.
func TestBreakersRecoverInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := breaker.DefaultPolicy()
		s := breaker.NewSet(p)
		now := start
		instance := func() fleet.Incarnation {
			return fleet.Incarnation{ID: state.InstanceID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "instance")))}
		}
		for range rapid.IntRange(0, 60).Draw(t, "responses") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second, 20 * time.Second}).Draw(t, "pause"))
			sentAt := now.Add(-rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "age"))
			switch in := instance(); rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				s.RecordInvalid(in, sentAt, now)
			case 2:
				s.RecordValid(in, sentAt)
			case 3:
				s.TryTrial(in, rapid.Bool().Draw(t, "repeatable"), now)
			}
		}
		for _, in := range s.Open() {
			now = now.Add(2 * p.MaxTrialInterval)
			if !s.TryTrial(in, false, now) {
				t.Fatalf("no trial of %v is due after twice the longest interval", in)
			}
			if !s.RecordValid(in, now) {
				t.Fatalf("the breaker of %v stays open after a valid response to a trial", in)
			}
		}
		s.Sweep(now, func(fleet.Incarnation) bool { return false })
		if s.HasOpen() {
			t.Fatal("breakers of unknown instances are kept")
		}
	})
}
