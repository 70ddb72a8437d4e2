package probeslots_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/probeslots"
	"github.com/troutmast/troutmast/state"
)

// acquire tries to take slots for n instances of a hall and returns how many it got.
func acquire(s *probeslots.Slots, hall state.HallName, n int) int {
	got := 0
	for i := range n {
		if s.TryAcquire(state.InstanceID(fmt.Sprint(hall, i)), hall) {
			got++
		}
	}
	return got
}

func TestSilentHallLeavesSlotsToTheOthers(t *testing.T) {
	for _, c := range []struct {
		name          string
		silent, other int
		gotSilent     int
		gotOther      int
	}{
		{"a domain of 37", 37, 20, 16, 16},
		{"a hall of 185", 185, 40, 16, 16},
		{"few", 3, 5, 3, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := probeslots.New(32)
			g.Expect(acquire(s, "other", 1)).To(Equal(1))
			s.Release("other0")
			g.Expect(acquire(s, "silent", c.silent)).To(Equal(c.gotSilent))
			g.Expect(acquire(s, "other", c.other)).To(Equal(c.gotOther))
		})
	}
}

func TestOnlyHallMayUseAllSlots(t *testing.T) {
	NewWithT(t).Expect(acquire(probeslots.New(32), "hall", 40)).To(Equal(32))
}

func TestInstanceHoldsOneSlot(t *testing.T) {
	g := NewWithT(t)
	s := probeslots.New(32)
	g.Expect(s.TryAcquire("i", "hall")).To(BeTrue())
	g.Expect(s.TryAcquire("i", "hall")).To(BeFalse())
	s.Release("i")
	s.Release("i")
	g.Expect(s.TryAcquire("i", "hall")).To(BeTrue())
}

func TestSingleSlotIsUsable(t *testing.T) {
	g := NewWithT(t)
	s := probeslots.New(1)
	g.Expect(s.TryAcquire("a", "one")).To(BeTrue())
	s.Release("a")
	g.Expect(s.TryAcquire("b", "two")).To(BeTrue())
}

// Timing of the probes in TestLossOfManyInstancesIsNoticedFast.
const (
	probeTimeout  = 160 * time.Millisecond
	probeInterval = 400 * time.Millisecond
	lostFailures  = 2
)

// timeToNotice returns the time until each of the silent instances has failed lostFailures probes, when probes
// are sent at every tick while slots last.
func timeToNotice(s *probeslots.Slots, silent int) time.Duration {
	const tick = 25 * time.Millisecond
	failures, probedAt := make([]int, silent), make([]time.Duration, silent)
	inFlight := make([]bool, silent)
	for now := tick; ; now += tick {
		lost := 0
		for i := range silent {
			id := state.InstanceID(fmt.Sprint("i", i))
			if inFlight[i] && now-probedAt[i] >= probeTimeout {
				inFlight[i] = false
				failures[i]++
				s.Release(id)
			}
			if failures[i] >= lostFailures {
				lost++
				continue
			}
			due := probedAt[i] == 0 || now-probedAt[i] >= probeInterval
			if due && s.TryAcquire(id, state.HallName(fmt.Sprint("hall", i%5))) {
				inFlight[i], probedAt[i] = true, now
			}
		}
		if lost == silent {
			return now
		}
	}
}

// When 109 of 925 instances were cut off, 54 groups stood still, and the last of them were noticed after 2.5 s
// because their probes waited for slots.
func TestLossOfManyInstancesIsNoticedFast(t *testing.T) {
	for _, c := range []struct {
		name              string
		instances, silent int
		within            time.Duration
	}{
		{"an eighth of a large system", 925, 109, 800 * time.Millisecond},
		{"a domain of a large system", 925, 37, 700 * time.Millisecond},
		{"an eighth of a small system", 48, 6, 700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := probeslots.New(32)
			s.SetInstances(c.instances, 32)
			g.Expect(timeToNotice(s, c.silent)).To(BeNumerically("<=", c.within))
			if c.silent > 100 {
				g.Expect(timeToNotice(probeslots.New(32), c.silent)).To(BeNumerically(">", c.within), "with the slots of a small system")
			}
		})
	}
}
