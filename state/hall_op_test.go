package state_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
)

// Guards against evacuations that are lost in a snapshot, and against statements that seem to have an effect.
func TestEvacuateHall(t *testing.T) {
	evacuate := func(hall state.HallName) state.Op { return state.Op{EvacuateHall: &state.EvacuateHall{Hall: hall}} }
	readmit := func(hall state.HallName) state.Op {
		return state.Op{EvacuateHall: &state.EvacuateHall{Hall: hall, Off: true}}
	}
	for _, c := range []struct {
		name   string
		ops    []state.Op
		reason state.Reason
		detail string
		want   []*state.Evacuation
	}{
		{"evacuated", []state.Op{evacuate("a")}, "", "", []*state.Evacuation{{Hall: "a", Since: 1}}},
		{"two halls", []state.Op{evacuate("b"), evacuate("a")}, "", "", []*state.Evacuation{{Hall: "a", Since: 2}, {Hall: "b", Since: 1}}},
		{"readmitted", []state.Op{evacuate("a"), readmit("a")}, "", "", []*state.Evacuation{}},
		{"evacuated again", []state.Op{evacuate("a"), readmit("a"), evacuate("a")}, "", "", []*state.Evacuation{{Hall: "a", Since: 3}}},
		{"evacuated twice", []state.Op{evacuate("a"), evacuate("a")}, state.ReasonHallEvacuated, "statement 1: hall a is evacuated since 1", []*state.Evacuation{{Hall: "a", Since: 1}}},
		{"readmitted without an evacuation", []state.Op{readmit("a")}, state.ReasonHallAdmitted, "statement 1: hall a is not evacuated", []*state.Evacuation{}},
		{"no hall", []state.Op{evacuate("")}, state.ReasonBadValue, "statement 1: no hall named", []*state.Evacuation{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := state.New()
			var last state.Outcome
			for i, op := range c.ops {
				o, err := apply(s, start, command(idAt(start, i+1), op))
				g.Expect(err).NotTo(HaveOccurred())
				last = o
			}
			g.Expect(last.Reason).To(Equal(c.reason))
			g.Expect(last.Detail).To(Equal(c.detail))
			g.Expect(s.Evacuations()).To(Equal(c.want))
			snap, err := s.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			restored, err := state.Restore(snap)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(restored.Evacuations()).To(Equal(c.want))
			g.Expect(restored.Digest()).To(Equal(snap.Digest))
		})
	}
}

// A command that fails as a whole leaves no evacuation behind.
func TestRefusedBatchEvacuatesNothing(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	o, err := apply(s, start, command(idAt(start, 1),
		state.Op{EvacuateHall: &state.EvacuateHall{Hall: "a"}}, state.Op{EvacuateHall: &state.EvacuateHall{Hall: "b", Off: true}}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Accepted).To(BeFalse())
	g.Expect(s.Evacuations()).To(BeEmpty())
}
