package entry

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// loggedState is the state of dependencies and instances as the node last logged it.
type loggedState struct {
	store, keys, ready bool
	instances          map[state.InstanceID]loggedInstance
}

// loggedInstance is the state of one instance as the node last logged it.
type loggedInstance struct {
	unreachable, draining, unlisted bool
	membership                      fleet.Membership
}

// logStateChanges logs each loss and recovery of a dependency, and each change in the observed state of
// instances, quarantined requests and cooldowns.
func (n *Node) logStateChanges(ctx context.Context) {
	b := &loggedState{instances: map[state.InstanceID]loggedInstance{}}
	quarantined := map[quarantine.Fingerprint]time.Time{}
	for n.sleep(ctx, n.policy.LogInterval) {
		n.logDependency("store", &b.store, n.storeAge() < n.policy.StoreLostAfter, n.storeAge())
		age, _ := n.configState.Age()
		n.logDependency("fresh keys", &b.keys, n.configState.KeysFresh(), age)
		n.logDependency("readiness", &b.ready, n.isReady(), 0)
		n.logInstances(b, n.roster.All(n.clock.Now()))
		n.logQuarantine(quarantined)
		n.logCooldowns()
		n.sweepLimits()
	}
}

// logDependency logs a change of whether a dependency is available.
func (n *Node) logDependency(name string, wasAvailable *bool, isAvailable bool, age time.Duration) {
	if *wasAvailable == isAvailable {
		return
	}
	*wasAvailable = isAvailable
	event := "dependency lost"
	if isAvailable {
		event = "dependency regained"
	}
	n.Count("dependency." + name + "." + map[bool]string{true: "regained", false: "lost"}[isAvailable])
	n.log.WithFields(log.Fields{"dependency": name, "age_ms": age.Milliseconds()}).Info(event)
}

// logInstances logs the instances whose state changed and those that the roster has dropped.
func (n *Node) logInstances(b *loggedState, views []roster.View) {
	seen := make(map[state.InstanceID]bool, len(views))
	for i := range views {
		v := &views[i]
		seen[v.ID] = true
		current := loggedInstance{unreachable: v.Unreachable, draining: v.Draining, unlisted: v.Unlisted, membership: v.Membership}
		previous, known := b.instances[v.ID]
		if known && previous == current {
			continue
		}
		b.instances[v.ID] = current
		if !known && current == (loggedInstance{}) {
			continue
		}
		n.log.WithFields(log.Fields{
			"instance": v.ID, "unlisted": v.Unlisted, "lost": current.unreachable, "draining": current.draining, "group": current.membership.Group, "epoch": current.membership.Epoch,
			"rank": current.membership.Rank, "state": current.membership.State, "position": v.Position, "address": v.Address.String(),
		}).Info("instance")
	}
	for id := range b.instances {
		if !seen[id] {
			delete(b.instances, id)
			n.log.WithField("instance", id).Info("instance removed from the roster")
		}
	}
}
