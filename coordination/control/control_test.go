package control_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/control"
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/statelog"
	_ "github.com/troutmast/troutmast/internal/seed"
	"github.com/troutmast/troutmast/state"
)

// instance is a simulated target that may or may not check fencing tokens.
type instance struct {
	id          state.InstanceID
	checksFence bool
	fence       state.Epoch
	order       control.Order
}

// handleOrder applies an order, even a stale one if the target does not check fencing tokens.
func (i *instance) handleOrder(o control.Order) {
	if i.checksFence && o.Epoch < i.fence {
		return
	}
	i.fence = max(i.fence, o.Epoch)
	i.order = o
}

// report returns the target's report.
func (i *instance) report() evidence.Report {
	r := evidence.Report{Instance: i.id, Incarnation: "1", Group: i.order.Group, Epoch: i.order.Epoch, Rank: i.order.Rank, Phase: evidence.PhaseIdle}
	if r.Group != "" {
		r.Phase = evidence.PhaseReady
	}
	return r
}

// simulation simulates a log, target instances, and nodes that have read the log up to different offsets.
type simulation struct {
	t         *rapid.T
	now       time.Time
	st        *state.State
	views     []*statelog.View
	instances []*instance
	delayed   []control.Order
}

// apply applies operations, which may be refused. It retains a view of every offset for nodes that lag behind.
func (sim *simulation) apply(ops ...state.Op) {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(sim.now.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	binary.BigEndian.PutUint16(id[14:], uint16(sim.st.Offset()))
	r := &state.Record{Version: 1, ID: id.String(), Kind: state.KindCommand, Ops: ops}
	data, err := r.Encode()
	if err != nil {
		sim.t.Fatal(err)
	}
	if _, err := sim.st.Apply(state.Entry{Offset: sim.st.Offset() + 1, Time: sim.now, Data: data}); err != nil {
		sim.t.Fatal(err)
	}
	sim.views = append(sim.views, statelog.NewView(sim.st))
}

// completeGroups returns the members of the groups of a view that are complete according to
// their members' current reports.
func (sim *simulation) completeGroups(v *statelog.View) map[state.GroupName][]state.InstanceID {
	table := evidence.NewTable()
	for _, i := range sim.instances {
		table.Record(i.report(), sim.now)
	}
	complete := map[state.GroupName][]state.InstanceID{}
	for _, g := range v.Groups {
		if len(table.CheckGroup(g, sim.now, time.Second).Mismatches) == 0 {
			complete[g.Name] = g.Members
		}
	}
	return complete
}

// checkExclusive fails if an instance serves two groups or epochs at once, across the views of all nodes.
func (sim *simulation) checkExclusive() {
	owner := map[state.InstanceID]string{}
	for n, v := range sim.views {
		for name, members := range sim.completeGroups(v) {
			key := fmt.Sprintf("%s epoch %d", name, v.GroupsByName[name].Epoch)
			for _, id := range members {
				if other, ok := owner[id]; ok && other != key {
					sim.t.Fatalf("instance %s serves %s and, in the view at offset %d, %s", id, other, n, key)
				}
				owner[id] = key
			}
		}
	}
}

// sendOrder sends the order that a node with the given view derives for a random instance, immediately or delayed.
func (sim *simulation) sendOrder(v *statelog.View) {
	i := sim.instances[rapid.IntRange(0, len(sim.instances)-1).Draw(sim.t, "instance")]
	o, needed := control.NextOrder(v, i.report())
	if !needed {
		return
	}
	if rapid.Bool().Draw(sim.t, "delayed") {
		sim.delayed = append(sim.delayed, o)
		return
	}
	i.handleOrder(o)
}

// deliverDelayed delivers a delayed order, which stays queued and may be delivered again.
func (sim *simulation) deliverDelayed() {
	if len(sim.delayed) == 0 {
		return
	}
	n := rapid.IntRange(0, len(sim.delayed)-1).Draw(sim.t, "order")
	for _, i := range sim.instances {
		if i.id == sim.delayed[n].Instance {
			i.handleOrder(sim.delayed[n])
		}
	}
}

// TestNoInstanceServesTwoGroups checks that stale orders never make an instance serve two
// groups. Nodes at different offsets send orders that arrive late, twice or never, some targets
// do not check fencing tokens, and operators and reports change the state. Once all nodes are up
// to date, every instance must reach its assignment.
func TestNoInstanceServesTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC), st: state.New()}
		for n := range 6 {
			sim.instances = append(sim.instances, &instance{id: state.InstanceID(fmt.Sprint(n)), checksFence: rapid.Bool().Draw(t, "checks")})
		}
		sim.apply()
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			sim.now = sim.now.Add(time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0:
				sim.applyCommand()
			case 1:
				sim.applyProposals()
			case 2:
				sim.sendOrder(sim.views[rapid.IntRange(0, len(sim.views)-1).Draw(t, "stale view")])
			case 3:
				sim.deliverDelayed()
			default:
				sim.sendOrder(sim.views[len(sim.views)-1])
			}
			sim.checkExclusive()
		}
		sim.checkConvergence()
	})
}

// applyCommand applies a random operator command.
func (sim *simulation) applyCommand() {
	g := state.GroupName(rapid.SampledFrom([]string{"g", "h", "k"}).Draw(sim.t, "group"))
	place := func() state.Place {
		return state.Place{Instance: sim.instances[rapid.IntRange(0, 5).Draw(sim.t, "place")].id, Hall: "h", Domain: "d"}
	}
	switch rapid.IntRange(0, 3).Draw(sim.t, "command") {
	case 0, 1:
		sim.apply(state.Op{CreateGroup: &state.CreateGroup{Name: g, Model: state.Model{Name: "m"}, Gate: state.GateWindow, Members: []state.Place{place(), place()}}})
	case 2:
		if grp := sim.st.Group(g); grp != nil {
			sim.apply(state.Op{ReplaceMember: &state.ReplaceMember{Group: g, Rank: 0, Out: grp.Members[0], In: place()}})
		}
	default:
		sim.apply(state.Op{ReleaseGroup: &state.ReleaseGroup{Group: g}})
	}
}

// applyProposals applies the proposals that follow from the reports.
func (sim *simulation) applyProposals() {
	getReport := func(id state.InstanceID) (evidence.TimedReport, bool) {
		for _, i := range sim.instances {
			if i.id == id {
				return evidence.TimedReport{Report: i.report(), ProbedAt: sim.now}, true
			}
		}
		return evidence.TimedReport{}, false
	}
	for _, op := range control.Proposals(sim.views[len(sim.views)-1], getReport, func(*state.Group) bool { return true }) {
		sim.apply(op)
	}
}

// checkConvergence sends the orders of up-to-date nodes only, and checks that every instance reaches its assignment.
func (sim *simulation) checkConvergence() {
	v := sim.views[len(sim.views)-1]
	for range 3 {
		for _, i := range sim.instances {
			if o, needed := control.NextOrder(v, i.report()); needed {
				i.handleOrder(o)
			}
		}
	}
	for _, i := range sim.instances {
		a := v.Assignments[i.id]
		switch {
		case a == nil && i.order.Group != "":
			sim.t.Fatalf("instance %s has no assignment but is in group %s", i.id, i.order.Group)
		case a != nil && (i.order.Group != a.Group || i.order.Epoch != a.Epoch):
			sim.t.Fatalf("instance %s: assigned %+v, but its last order is %+v", i.id, a, i.order)
		}
	}
}

// TestNeedReturnsNoOrderWhenNodeLags covers a report with an epoch that the node has not read yet.
func TestNeedReturnsNoOrderWhenNodeLags(t *testing.T) {
	v := &statelog.View{Offset: 5, Assignments: map[state.InstanceID]*state.Assignment{"i": {Instance: "i", Epoch: 5}}}
	r := evidence.Report{Instance: "i", Group: "g", Epoch: 9, Phase: evidence.PhaseReady}
	if o, needed := control.NextOrder(v, r); needed {
		t.Errorf("node at offset 5 returned order %+v for a report with epoch 9, want none", o)
	}
	r.Epoch = 4
	if _, needed := control.NextOrder(v, r); !needed {
		t.Error("got no order for a report with an older epoch than the assignment")
	}
}
