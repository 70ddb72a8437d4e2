package probeslots_test

import (
	"fmt"
	"testing"

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
