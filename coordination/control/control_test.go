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
	id     state.InstanceID
	checks bool
	fence  state.Epoch
	order  control.Order
}

// obey applies an order, even a stale one if the target does not check fencing tokens.
func (i *instance) obey(o control.Order) {
	if i.checks && o.Epoch < i.fence {
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

// world simulates a log, target instances, and nodes that have read the log up to different offsets.
type world struct {
	t         *rapid.T
	now       time.Time
	st        *state.State
	views     []*statelog.View
	instances []*instance
	delayed   []control.Order
}

// apply applies operations, which may be refused. It retains a view of every offset for nodes that lag behind.
func (w *world) apply(ops ...state.Op) {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(w.now.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	binary.BigEndian.PutUint16(id[14:], uint16(w.st.Offset()))
	r := &state.Record{Version: 1, ID: id.String(), Kind: state.KindCommand, Ops: ops}
	data, err := r.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.st.Apply(state.Entry{Offset: w.st.Offset() + 1, Time: w.now, Data: data}); err != nil {
		w.t.Fatal(err)
	}
	w.views = append(w.views, statelog.NewView(w.st))
}

// wholeAt returns the members of the groups of a view that are complete according to their members' current reports.
func (w *world) wholeAt(v *statelog.View) map[state.GroupName][]state.InstanceID {
	table := evidence.NewTable()
	for _, i := range w.instances {
		table.Record(i.report(), w.now)
	}
	whole := map[state.GroupName][]state.InstanceID{}
	for _, g := range v.Groups {
		if len(table.CheckGroup(g, w.now, time.Second).Mismatches) == 0 {
			whole[g.Name] = g.Members
		}
	}
	return whole
}

// checkApart fails if an instance serves two groups or epochs at once, across the views of all nodes.
func (w *world) checkApart() {
	owner := map[state.InstanceID]string{}
	for n, v := range w.views {
		for name, members := range w.wholeAt(v) {
			key := fmt.Sprintf("%s epoch %d", name, v.ByName[name].Epoch)
			for _, id := range members {
				if other, ok := owner[id]; ok && other != key {
					w.t.Fatalf("instance %s serves %s and, in the view at offset %d, %s", id, other, n, key)
				}
				owner[id] = key
			}
		}
	}
}

// order sends the order that a node with the given view derives for a random instance, immediately or delayed.
func (w *world) order(v *statelog.View) {
	i := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(w.t, "instance")]
	o, needed := control.Need(v, i.report())
	if !needed {
		return
	}
	if rapid.Bool().Draw(w.t, "delayed") {
		w.delayed = append(w.delayed, o)
		return
	}
	i.obey(o)
}

// deliver delivers a delayed order, which stays queued and may be delivered again.
func (w *world) deliver() {
	if len(w.delayed) == 0 {
		return
	}
	n := rapid.IntRange(0, len(w.delayed)-1).Draw(w.t, "order")
	for _, i := range w.instances {
		if i.id == w.delayed[n].Instance {
			i.obey(w.delayed[n])
		}
	}
}

// TestNoInstanceWorksForTwoGroups checks that stale orders never make an instance serve two
// groups. Nodes at different offsets send orders that arrive late, twice or never, some targets
// do not check fencing tokens, and operators and reports change the state. Once all nodes are up
// to date, every instance must reach its assignment.
func TestNoInstanceWorksForTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC), st: state.New()}
		for n := range 6 {
			w.instances = append(w.instances, &instance{id: state.InstanceID(fmt.Sprint(n)), checks: rapid.Bool().Draw(t, "checks")})
		}
		w.apply()
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0:
				w.command()
			case 1:
				w.proposals()
			case 2:
				w.order(w.views[rapid.IntRange(0, len(w.views)-1).Draw(t, "stale view")])
			case 3:
				w.deliver()
			default:
				w.order(w.views[len(w.views)-1])
			}
			w.checkApart()
		}
		w.settle()
	})
}

// command applies a random operator command.
func (w *world) command() {
	g := state.GroupName(rapid.SampledFrom([]string{"g", "h", "k"}).Draw(w.t, "group"))
	place := func() state.Place {
		return state.Place{Instance: w.instances[rapid.IntRange(0, 5).Draw(w.t, "place")].id, Hall: "h", Domain: "d"}
	}
	switch rapid.IntRange(0, 3).Draw(w.t, "command") {
	case 0, 1:
		w.apply(state.Op{CreateGroup: &state.CreateGroup{Name: g, Model: state.Model{Name: "m"}, Gate: state.GateWindow, Members: []state.Place{place(), place()}}})
	case 2:
		if grp := w.st.Group(g); grp != nil {
			w.apply(state.Op{ReplaceMember: &state.ReplaceMember{Group: g, Rank: 0, Out: grp.Members[0], In: place()}})
		}
	default:
		w.apply(state.Op{ReleaseGroup: &state.ReleaseGroup{Group: g}})
	}
}

// proposals applies the proposals that follow from the reports.
func (w *world) proposals() {
	get := func(id state.InstanceID) (evidence.TimedReport, bool) {
		for _, i := range w.instances {
			if i.id == id {
				return evidence.TimedReport{Report: i.report(), ProbedAt: w.now}, true
			}
		}
		return evidence.TimedReport{}, false
	}
	for _, op := range control.Proposals(w.views[len(w.views)-1], get, func(*state.Group) bool { return true }) {
		w.apply(op)
	}
}

// settle sends the orders of up-to-date nodes only, and checks that every instance reaches its assignment.
func (w *world) settle() {
	v := w.views[len(w.views)-1]
	for range 3 {
		for _, i := range w.instances {
			if o, needed := control.Need(v, i.report()); needed {
				i.obey(o)
			}
		}
	}
	for _, i := range w.instances {
		a := v.Assignments[i.id]
		switch {
		case a == nil && i.order.Group != "":
			w.t.Fatalf("instance %s has no assignment but is in group %s", i.id, i.order.Group)
		case a != nil && (i.order.Group != a.Group || i.order.Epoch != a.Epoch):
			w.t.Fatalf("instance %s: assigned %+v, but its last order is %+v", i.id, a, i.order)
		}
	}
}

// TestNodeThatIsBehindOrdersNothing covers a report with an epoch that the node has not read yet.
func TestNodeThatIsBehindOrdersNothing(t *testing.T) {
	v := &statelog.View{Offset: 5, Assignments: map[state.InstanceID]*state.Assignment{"i": {Instance: "i", Epoch: 5}}}
	r := evidence.Report{Instance: "i", Group: "g", Epoch: 9, Phase: evidence.PhaseReady}
	if o, needed := control.Need(v, r); needed {
		t.Errorf("node at offset 5 returned order %+v for a report with epoch 9, want none", o)
	}
	r.Epoch = 4
	if _, needed := control.Need(v, r); !needed {
		t.Error("got no order for a report with an older epoch than the assignment")
	}
}
