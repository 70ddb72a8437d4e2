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

// beliefs remembers what the node last logged of what it depends on and believes.
type beliefs struct {
	store, keys, ready bool
	instances          map[state.InstanceID]belief
}

// belief is what the node last logged of one instance.
type belief struct {
	lost, draining, unlisted bool
	membership               fleet.Membership
}

// watchBeliefs logs every dependency that is lost or regained, and every change of what is believed of instances.
func (n *Node) watchBeliefs(ctx context.Context) {
	b := &beliefs{instances: map[state.InstanceID]belief{}}
	held := map[quarantine.Fingerprint]time.Time{}
	for n.sleep(ctx, n.policy.LogInterval) {
		n.logDependency("store", &b.store, n.storeAge() < n.policy.StoreLostAfter, n.storeAge())
		age, _ := n.know.Age()
		n.logDependency("fresh keys", &b.keys, n.know.KeysFresh(), age)
		n.logDependency("readiness", &b.ready, n.isReady(), 0)
		n.logInstances(b, n.roster.All(n.clock.Now()))
		n.logQuarantine(held)
		n.logCooldowns()
		n.sweepLimits()
	}
}

// logDependency logs a change of whether something is there.
func (n *Node) logDependency(name string, was *bool, is bool, age time.Duration) {
	if *was == is {
		return
	}
	*was = is
	event := "dependency lost"
	if is {
		event = "dependency regained"
	}
	n.Count("dependency." + name + "." + map[bool]string{true: "regained", false: "lost"}[is])
	n.log.WithFields(log.Fields{"dependency": name, "age_ms": age.Milliseconds()}).Info(event)
}

// logInstances logs what changed of the instances.
func (n *Node) logInstances(b *beliefs, views []roster.View) {
	seen := make(map[state.InstanceID]bool, len(views))
	for i := range views {
		v := &views[i]
		seen[v.ID] = true
		is := belief{lost: v.Unreachable, draining: v.Draining, unlisted: v.Unlisted, membership: v.Membership}
		was, known := b.instances[v.ID]
		if known && was == is {
			continue
		}
		b.instances[v.ID] = is
		if !known && is == (belief{}) {
			continue
		}
		n.log.WithFields(log.Fields{
			"instance": v.ID, "unlisted": v.Unlisted, "lost": is.lost, "draining": is.draining, "group": is.membership.Group, "epoch": is.membership.Epoch,
			"rank": is.membership.Rank, "state": is.membership.State, "position": v.Position, "address": v.Address.String(),
		}).Info("instance")
	}
	for id := range b.instances {
		if !seen[id] {
			delete(b.instances, id)
			n.log.WithField("instance", id).Info("instance ended")
		}
	}
}
