package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/control"
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/repair"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
)

const (
	// proposeTimeout bounds the wait for one proposal to be settled.
	proposeTimeout = 5 * time.Second
	// goneAfter is how long a silent node blocks the dissolution of a group that it may still use.
	goneAfter = 30 * time.Second
	// missingWindows is how many evidence windows a member must be silent to count as missing.
	missingWindows = 2
)

// missingSince remembers since when members have been missing; only the control loop uses it.
type missingSince struct {
	m map[state.InstanceID]time.Time
}

// newMissingSince returns an empty missingSince.
func newMissingSince() *missingSince { return &missingSince{m: map[state.InstanceID]time.Time{}} }

// controlRound proposes what falls to this node.
func (n *Node) controlRound(ctx context.Context) {
	view := n.Follower.View()
	now := n.Clock.Now()
	if !n.LogFresh() {
		return
	}
	ops := control.Proposals(view, n.Evidence.Get, func(g *state.Group) bool { return n.cleared(g, now) })
	for _, op := range ops {
		if n.proposalMine(view, op, now) {
			n.propose(ctx, "control", []state.Op{op})
		}
	}
	n.repairRound(ctx, view, now)
}

// measureRound counts downtime and stranded instances of the hall.
func (n *Node) measureRound(context.Context) {
	view := n.Follower.View()
	now := n.Clock.Now()
	down, working := 0, map[state.InstanceID]bool{}
	for _, g := range view.Groups {
		if g.Hall != n.Settings.Hall {
			continue
		}
		c := n.Routing.Get(g.Name)
		if c == nil || !c.IsReady(now) {
			down++
			continue
		}
		for _, id := range g.Members {
			working[id] = true
		}
	}
	for _, svc := range view.Services {
		for _, id := range svc.Instances {
			working[id] = true
		}
	}
	stranded := 0
	for id := range n.hallInstances() {
		if !working[id] {
			stranded++
		}
	}
	n.Measures.Add(now, down, stranded)
}

// cleared reports whether no node, and not the group's leader either, holds a request of a group.
func (n *Node) cleared(g *state.Group, now time.Time) bool {
	if c := n.Routing.Get(g.Name); c != nil && c.InFlight() > 0 {
		return false
	}
	if n.InForce() < g.Drained || !n.Directory.IsDrained(g, now, goneAfter) {
		return false
	}
	e, ok := n.Evidence.Get(g.Members[0])
	fresh := ok && now.Sub(e.ProbedAt) < n.Settings.EvidenceWindow
	return !fresh || e.Group != g.Name || e.Load.InFlight == 0
}

// proposalMine reports whether a proposal falls to this node.
func (n *Node) proposalMine(view *statelog.View, op state.Op, now time.Time) bool {
	var hall state.HallName
	var key string
	switch {
	case op.FreeInstance != nil:
		hall, key = view.Assignments[op.FreeInstance.Instance].Hall, string(op.FreeInstance.Instance)
	case op.DissolveGroup != nil:
		hall, key = view.GroupsByName[op.DissolveGroup.Group].Hall, string(op.DissolveGroup.Group)
	}
	return hall == n.Settings.Hall && n.Directory.Owns("propose/"+key, now)
}

// propose appends operations as one command of the node itself.
func (n *Node) propose(ctx context.Context, what string, ops []state.Op) {
	r, err := state.NewRecord(state.KindCommand, n.Settings.Name)
	if err != nil {
		log.WithError(err).Error("proposal not made")
		return
	}
	r.Ops, r.Text = ops, what
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	o, err := n.Follower.Do(ctx, r)
	fields := log.Fields{"proposal": what, "id": r.ID, "offset": o.Offset}
	if err != nil {
		n.Count("proposals.unsettled")
		log.WithError(err).WithFields(fields).Warn("proposal not settled")
		return
	}
	n.Count("proposals." + verdict(o))
	log.WithFields(fields).WithField("reason", o.Reason).Info("proposal " + verdict(o))
}

// verdict names an outcome.
func verdict(o state.Outcome) string {
	if o.Accepted {
		return "accepted"
	}
	return "refused"
}

// repairRound plans the broken groups of every fabric domain that falls to this node.
func (n *Node) repairRound(ctx context.Context, view *statelog.View, now time.Time) {
	if !view.Policy.Automatic {
		return
	}
	in := n.repairInput(view, now)
	for _, d := range repair.Plan(in) {
		n.Repairs.Set(d, now)
		n.Count("repair." + string(d.Action))
		if len(d.Ops) > 0 {
			n.propose(ctx, "repair: "+string(d.Action)+" for "+string(d.Group), d.Ops)
		}
	}
}

// repairInput gathers what the planner looks at: the groups of the domains that fall to this node.
func (n *Node) repairInput(view *statelog.View, now time.Time) repair.Input {
	in := repair.Input{Policy: view.Policy, MaxConcurrentLoads: n.Settings.MaxLoads}
	seen := map[state.InstanceID]bool{}
	for _, g := range view.Groups {
		if g.Hall != n.Settings.Hall || g.Releasing {
			continue
		}
		one := repair.Group{Group: g, Vacant: n.missingSeats(g, now, seen), Weight: 1}
		c := n.Routing.Get(g.Name)
		mine := n.Directory.Owns("repair/"+g.Domain, now)
		switch whole := c != nil && c.IsReady(now); {
		case len(one.Vacant) > 0 && mine:
			in.Incomplete = append(in.Incomplete, one)
		case len(one.Vacant) == 0 && whole && mine:
			one.Idle = g.DrainedFor != "" && n.cleared(g, now)
			in.Ready = append(in.Ready, one)
		case len(one.Vacant) == 0 && !whole:
			in.LoadingGroups++
		}
	}
	n.missing.keep(seen)
	in.Spares = n.FreePlaces(view, n.Settings.Hall, now)
	return in
}

// missingSeats returns the vacant ranks of a group.
func (n *Node) missingSeats(g *state.Group, now time.Time, seen map[state.InstanceID]bool) []repair.Vacancy {
	var seats []repair.Vacancy
	for rank, id := range g.Members {
		if id == "" {
			seats = append(seats, repair.Vacancy{Rank: rank})
			continue
		}
		if n.isMissing(g, id, now) {
			seen[id] = true
			seats = append(seats, repair.Vacancy{Rank: rank, Instance: id, MissingFor: n.missing.since(id, now)})
		}
	}
	return seats
}

// isMissing reports whether a member is silent, or leaving while nothing is left at its group.
func (n *Node) isMissing(g *state.Group, id state.InstanceID, now time.Time) bool {
	if n.Evidence.IsLeaving(id) {
		return n.cleared(g, now)
	}
	e, ok := n.Evidence.Get(id)
	return !ok || e.Phase == evidence.PhaseDown || now.Sub(e.ProbedAt) > missingWindows*n.Settings.EvidenceWindow
}

// since returns for how long a member has been missing.
func (m *missingSince) since(id state.InstanceID, now time.Time) time.Duration {
	first, ok := m.m[id]
	if !ok {
		m.m[id] = now
		return 0
	}
	return now.Sub(first)
}

// keep forgets the members that are no longer missing.
func (m *missingSince) keep(seen map[state.InstanceID]bool) {
	for id := range m.m {
		if !seen[id] {
			delete(m.m, id)
		}
	}
}
