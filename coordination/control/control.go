// Package control derives orders for target instances and proposals for the log
// from the replicated state and the reports of instances. Its functions are pure:
// two nodes with the same input derive the same orders and proposals.
package control

import (
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
)

// Order assigns an instance to a group or releases it. Its epoch is a fencing token: a target
// that checks it refuses an order with a lower epoch than the last one it obeyed.
type Order struct {
	Instance state.InstanceID
	// Group is empty if the order releases the instance from any group.
	Group state.GroupName
	Epoch state.Epoch
	Rank  int
	Size  int
	Model state.Model
}

// NextOrder returns the order that brings an instance from the reported to the assigned state, or
// false if none is needed.
//
// A report with a later epoch than the view's offset means that this node lags behind the log,
// so it returns no order.
func NextOrder(v *statelog.View, r evidence.Report) (Order, bool) {
	if r.Epoch > v.Offset {
		return Order{}, false
	}
	a := v.Assignments[r.Instance]
	if a == nil {
		return releaseOrder(v, r)
	}
	if a.Group == "" {
		if IsReleased(a, r) {
			return Order{}, false
		}
		return Order{Instance: r.Instance, Epoch: a.Epoch}, true
	}
	g := v.GroupsByName[a.Group]
	if r.Group == a.Group && r.Epoch == a.Epoch && r.Rank == a.Rank && r.Phase != evidence.PhaseIdle {
		return Order{}, false
	}
	return Order{Instance: r.Instance, Group: a.Group, Epoch: a.Epoch, Rank: a.Rank, Size: len(g.Members), Model: g.Model}, true
}

// releaseOrder returns the order that releases an instance without an assignment from the group it reports.
func releaseOrder(v *statelog.View, r evidence.Report) (Order, bool) {
	if r.Group == "" {
		return Order{}, false
	}
	return Order{Instance: r.Instance, Epoch: v.Offset}, true
}

// IsReleased reports whether an instance has confirmed its release at the epoch of its assignment.
func IsReleased(a *state.Assignment, r evidence.Report) bool {
	return a.Group == "" && r.Group == "" && r.Phase == evidence.PhaseIdle && r.Epoch == a.Epoch
}

// DrainedFunc reports whether no request of a group is in flight on any node.
type DrainedFunc func(g *state.Group) bool

// Proposals returns the operations that follow from the reports of instances: it frees
// instances that confirmed their release, and dissolves releasing groups with no request in flight.
func Proposals(v *statelog.View, getReport func(state.InstanceID) (evidence.TimedReport, bool), isDrained DrainedFunc) []state.Op {
	var ops []state.Op
	for _, a := range v.Assignments {
		e, ok := getReport(a.Instance)
		if ok && IsReleased(a, e.Report) {
			ops = append(ops, state.Op{FreeInstance: &state.FreeInstance{Instance: a.Instance, Epoch: a.Epoch}})
		}
	}
	for _, g := range v.Groups {
		if g.Releasing && isDrained(g) {
			ops = append(ops, state.Op{DissolveGroup: &state.DissolveGroup{Group: g.Name, Epoch: g.Epoch}})
		}
	}
	return ops
}
