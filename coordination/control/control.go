// Package control turns the agreed state and the evidence into orders for
// target instances and into proposals for the log. Its functions are pure:
// two nodes that know the same reach the same orders and proposals.
package control

import (
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
)

// Order is what an instance is told to be; a target that checks fences refuses
// one whose epoch is lower than the last it obeyed.
type Order struct {
	Instance state.InstanceID
	// Group is empty for an order to release whatever is held.
	Group state.GroupName
	Epoch state.Epoch
	Rank  int
	Size  int
	Model state.Model
}

// Need returns the order that an instance needs after its report, or false.
//
// A report of a later epoch than the state knows means that this node is
// behind: it orders nothing.
func Need(v *statelog.View, r evidence.Report) (Order, bool) {
	if r.Epoch > v.Offset {
		return Order{}, false
	}
	a := v.Assignments[r.Instance]
	if a == nil {
		return strayOrder(v, r)
	}
	if a.Group == "" {
		if Released(a, r) {
			return Order{}, false
		}
		return Order{Instance: r.Instance, Epoch: a.Epoch}, true
	}
	g := v.ByName[a.Group]
	if r.Group == a.Group && r.Epoch == a.Epoch && r.Rank == a.Rank && r.Phase != evidence.PhaseIdle {
		return Order{}, false
	}
	return Order{Instance: r.Instance, Group: a.Group, Epoch: a.Epoch, Rank: a.Rank, Size: len(g.Members), Model: g.Model}, true
}

// strayOrder releases an instance that holds a group which the state does not give it.
func strayOrder(v *statelog.View, r evidence.Report) (Order, bool) {
	if r.Group == "" {
		return Order{}, false
	}
	return Order{Instance: r.Instance, Epoch: v.Offset}, true
}

// Released reports whether an instance has itself reported the release it was ordered.
func Released(a *state.Assignment, r evidence.Report) bool {
	return a.Group == "" && r.Group == "" && r.Phase == evidence.PhaseIdle && r.Epoch == a.Epoch
}

// Cleared reports whether no node holds a request of a group any longer.
type Cleared func(g *state.Group) bool

// Proposals returns the changes that follow from what instances have reported:
// released instances become free, and releasing groups without requests dissolve.
func Proposals(v *statelog.View, get func(state.InstanceID) (evidence.TimedReport, bool), cleared Cleared) []state.Op {
	var ops []state.Op
	for _, a := range v.Assignments {
		e, ok := get(a.Instance)
		if ok && Released(a, e.Report) {
			ops = append(ops, state.Op{FreeInstance: &state.FreeInstance{Instance: a.Instance, Epoch: a.Epoch}})
		}
	}
	for _, g := range v.Groups {
		if g.Releasing && cleared(g) {
			ops = append(ops, state.Op{DissolveGroup: &state.DissolveGroup{Group: g.Name, Epoch: g.Epoch}})
		}
	}
	return ops
}
