package node

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/coordination/probe"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/core"
)

// Intervals of the loops that are not settings.
const (
	capacityInterval = 200 * time.Millisecond
	// doubtInterval bounds how late a second question to an instance is.
	doubtInterval    = 100 * time.Millisecond
	controlInterval  = 500 * time.Millisecond
	snapshotInterval = time.Second
)

// startLoops starts the node's loops; one that cannot go on reports to fatal.
func (n *Node) startLoops(ctx context.Context, fatal chan<- error) {
	n.loops.Go(func() {
		err := n.Follower.Run(ctx)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, statelog.ErrRestored):
			n.Count("log.restored")
			log.WithError(err).Error("commands and claims are refused until the nodes are started anew; groups serve on")
		default:
			fatal <- err
		}
	})
	n.loops.Go(func() { n.Claims.Run(ctx) })
	n.loops.Go(func() { n.prober.Run(ctx) })
	n.loops.Go(func() { n.routingLoop(ctx) })
	n.loops.Go(func() { n.doubtLoop(ctx) })
	n.every(ctx, n.Settings.ListInterval, n.readList)
	n.every(ctx, capacityInterval, n.updateCapacity)
	n.every(ctx, n.Settings.ExchangeInterval, n.exchangeRound)
	n.every(ctx, controlInterval, n.controlRound)
	n.every(ctx, controlInterval, n.measureRound)
	n.every(ctx, snapshotInterval, n.snapshotRound)
}

// every runs a function at an interval until ctx ends.
func (n *Node) every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	n.loops.Go(func() {
		tick := n.Clock.NewTicker(interval)
		defer tick.Stop()
		for {
			fn(ctx)
			select {
			case <-ctx.Done():
				return
			case <-tick.Chan():
			}
		}
	})
}

// routingLoop rebuilds the routing table whenever state or instance list change. Most records
// of the log are claims, which change neither: they only move the offset that is in force.
func (n *Node) routingLoop(ctx context.Context) {
	var built *statelog.View
	for {
		changed := n.Follower.Changed()
		applied, view := n.Follower.AppliedOffset(), n.Follower.View()
		if view != built {
			n.rebuild(view)
			built = view
		}
		n.Routed.Store(uint64(applied))
		n.look()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-n.refresh:
			built = nil
		}
	}
}

// doubtLoop probes instances at once that a request did not reach or on which requests broke off: the next
// probe in turn would let the same request end as many engines again before the first endings are proven.
func (n *Node) doubtLoop(ctx context.Context) {
	tick := n.Clock.NewTicker(doubtInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-n.Unreached:
			n.prober.ProbeInstance(ctx, id)
			continue
		case <-n.Doubted:
		case <-tick.Chan():
		}
		for _, in := range n.Quarantine.NextProbes(n.Clock.Now()) {
			n.prober.ProbeInstance(ctx, in.ID)
		}
	}
}

// rebuild makes the routing table hold the groups and service instances of this hall.
func (n *Node) rebuild(view *statelog.View) {
	n.Count("routing.rebuilds")
	hall := n.Directory.Self().Hall
	var groups []*state.Group
	for _, g := range view.Groups {
		if g.Hall == hall {
			groups = append(groups, g)
		}
	}
	for _, svc := range view.Services {
		for _, id := range svc.Instances {
			if place, ok := n.Places.Get(id); ok && place.Hall == hall {
				groups = append(groups, serviceGroup(svc.Name, id, hall))
			}
		}
	}
	n.Routing.SetEvacuated(func(hall state.HallName) bool { return view.Evacuations[hall] != nil })
	n.Routing.Update(groups)
	for _, c := range n.Routing.All() {
		n.JudgeGroup(c)
	}
}

// look ends the time after the start in which the node would refuse all requests, since it finds
// no group whole, once every instance of the hall has been asked what it is.
func (n *Node) look() {
	if _, listed := n.Places.Asked(); n.Looked.Load() || !listed || !n.HasState() || n.InForce() < n.Follower.AppliedOffset() {
		return
	}
	for id := range n.hallInstances() {
		if _, known := n.Evidence.Get(id); !known {
			return
		}
	}
	for _, c := range n.Routing.All() {
		n.JudgeGroup(c)
	}
	n.UpdateCapacity()
	n.Looked.Store(true)
}

// serviceGroup is how an instance of a plain service stands in the routing table: a group of one with epoch 0.
func serviceGroup(svc state.ServiceName, id state.InstanceID, hall state.HallName) *state.Group {
	pool := core.ServicePool(svc)
	return &state.Group{
		Name:    state.GroupName(pool + "/" + string(id)),
		Hall:    hall,
		Model:   state.Model{Name: pool},
		Members: []state.InstanceID{id},
	}
}

// sources returns what the prober works on.
func (n *Node) sources() probe.Hooks {
	return probe.Hooks{
		Instances: n.hallInstances,
		Owns: func(id state.InstanceID) bool {
			return n.Directory.Owns("probe/"+string(id), n.Clock.Now())
		},
		StateView:        n.Follower.View,
		MayOrder:         n.LogFresh,
		OnReport:         n.observed,
		IncrementCounter: n.Count,
	}
}

// hallInstances returns the addresses of the instances of this hall.
func (n *Node) hallInstances() map[state.InstanceID]netip.AddrPort {
	hall := n.Directory.Self().Hall
	m := map[state.InstanceID]netip.AddrPort{}
	for id, p := range n.Places.All() {
		if p.Hall == hall {
			m[id] = p.Address
		}
	}
	return m
}

// observed lets a new report of an instance have its effect on routing.
func (n *Node) observed(r evidence.Report) {
	defer n.look()
	n.judgeLives(r.Instance)
	view := n.Follower.View()
	name := r.Group
	if a := view.Assignments[r.Instance]; a != nil {
		name = a.Group
	} else if svc := serviceOf(view.Services, r.Instance); svc != "" {
		name = serviceGroup(svc, r.Instance, "").Name
	}
	c := n.Routing.Get(name)
	if c == nil {
		return
	}
	if c.Group().Members[0] == r.Instance {
		c.RecordLoad(r.Load)
	}
	was := c.CanAccept(n.Clock.Now())
	n.JudgeGroup(c)
	if c.CanAccept(n.Clock.Now()) != was {
		n.UpdateCapacity()
	}
}

// judgeLives concludes from the newest evidence of an instance which of its lives have ended, under
// which requests. A relayed report may be older than that: dated by the newer question, it would
// prove that a life which has ended is still there.
func (n *Node) judgeLives(id state.InstanceID) {
	e, ok := n.Evidence.Get(id)
	if !ok {
		return
	}
	now := n.Clock.Now()
	down := e.Phase == evidence.PhaseDown
	var requests []quarantine.Fingerprint
	if down {
		requests = n.Quarantine.RecordDown(id, now)
	} else {
		requests = n.Quarantine.RecordIncarnation(fleet.Incarnation{ID: id, Life: e.Incarnation}, e.ProbedAt, now)
	}
	if len(requests) > 0 {
		n.Count("quarantine.endings")
		log.WithFields(log.Fields{"instance": id, "down": down, "requests": requests}).Info("instance ended under requests")
	}
}

// serviceOf returns the plain service that an instance serves, or "".
func serviceOf(services map[state.ServiceName]*state.Service, id state.InstanceID) state.ServiceName {
	for name, svc := range services {
		for _, other := range svc.Instances {
			if other == id {
				return name
			}
		}
	}
	return ""
}

// readList reads the platform's instance list, or a peer's copy when the platform does not answer.
func (n *Node) readList(ctx context.Context) {
	asked := n.Clock.Now()
	list, err := n.Platform.Instances(ctx)
	if err != nil {
		n.Count("platform.list-failed")
		var age time.Duration
		if list, age, err = n.Peers.Instances(ctx); err != nil {
			return
		}
		asked = asked.Add(-age)
	}
	if !n.Places.Set(list, asked) {
		return
	}
	var leaving []state.InstanceID
	for _, i := range list {
		if i.Leaving {
			leaving = append(leaving, i.ID)
		}
	}
	n.Evidence.SetLeavingByList(leaving)
	n.prober.ProbeUnreported(ctx)
	select {
	case n.refresh <- struct{}{}:
	default:
	}
}

// updateCapacity measures demand and divides places anew.
func (n *Node) updateCapacity(context.Context) {
	const keep = 0.8
	arrived := float64(n.Arrived.Swap(0)) / capacityInterval.Seconds()
	n.Demand.Store(int64(keep*float64(n.Demand.Load()) + (1-keep)*arrived))
	n.UpdateCapacity()
	n.Claims.SetRate(n.Settings.AppendRate / float64(1+len(n.Directory.LivePeers("", n.Clock.Now()))))
}

// snapshotRound appends a snapshot when one is due and it falls to this node.
func (n *Node) snapshotRound(ctx context.Context) {
	due := n.Follower.SnapshotLag()
	if due == 0 || !n.LogFresh() {
		return
	}
	names := []string{n.Settings.Name}
	for _, p := range n.Directory.LivePeers("", n.Clock.Now()) {
		names = append(names, p.Name)
	}
	late := due > state.Offset(2*n.Settings.SnapshotEvery)
	if membership.Owner("snapshot", names) != n.Settings.Name && !late {
		return
	}
	if err := n.Follower.WriteSnapshot(ctx, n.Settings.Name); err != nil {
		log.WithError(err).Warn("snapshot not appended")
		return
	}
	n.Count("snapshots")
}
