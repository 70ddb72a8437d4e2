package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// loggedState is the state of dependencies and instances as the node last logged it.
type loggedState struct {
	budgets            map[state.ServiceName]loggedBudget
	store, keys, ready bool
	instances          map[state.InstanceID]loggedInstance
	// rosterVersion and timedStates identify the state of the roster at the last comparison.
	rosterVersion, timedStates uint64
}

// loggedInstance is the state of one instance as the node last logged it.
type loggedInstance struct {
	unreachable, draining, unlisted bool
	membership                      fleet.Membership
}

// logStateChanges logs each loss and recovery of a dependency, and each change in the observed state of
// instances, quarantined requests and cooldowns.
func (n *Node) logStateChanges(ctx context.Context) {
	b := &loggedState{instances: map[state.InstanceID]loggedInstance{}, budgets: map[state.ServiceName]loggedBudget{}}
	quarantined := map[quarantine.Fingerprint]time.Time{}
	for n.sleep(ctx, n.policy.LogInterval) {
		n.logDependency("store", &b.store, n.storeAge() < n.policy.StoreLostAfter, n.storeAge())
		age, _ := n.configState.Age()
		n.logDependency("fresh keys", &b.keys, n.configState.KeysFresh(), age)
		n.logDependency("readiness", &b.ready, n.isReady(), 0)
		n.logInstances(b, n.clock.Now())
		n.logQuarantine(quarantined)
		n.logCooldowns()
		n.logRetryBudgets(b)
		n.sweepLimits()
		n.sweepBreakers()
		n.reportEvacuations()
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

// Bounds of the log lines on instances and candidates, so that the loss of a hall does not flood the log. What is
// left out is counted.
const (
	// maxInstanceLines is the maximum number of lines on instances in one check.
	maxInstanceLines = 50
	// maxNamedCandidates is the maximum number of candidates that one line names.
	maxNamedCandidates = 8
)

// logInstances logs, on the leader, the instances whose state changed and those that the roster has dropped. The
// leader decides on groups from these states; the other nodes log which candidates they send requests to.
func (n *Node) logInstances(b *loggedState, now time.Time) {
	if leading, _ := n.peers.leadership(); !leading {
		return
	}
	version, timedStates := n.roster.Version(), n.roster.TimedStates(now)
	if version == b.rosterVersion && timedStates == b.timedStates {
		return
	}
	b.rosterVersion, b.timedStates = version, timedStates
	views := n.roster.All(now)
	seen := make(map[state.InstanceID]bool, len(views))
	lines := 0
	for i := range views {
		v := &views[i]
		seen[v.ID] = true
		if b.update(v) {
			if lines++; lines <= maxInstanceLines {
				n.logInstance(v)
			}
		}
	}
	for id := range b.instances {
		if seen[id] {
			continue
		}
		delete(b.instances, id)
		if lines++; lines <= maxInstanceLines {
			n.log.WithField("instance", id).Info("instance removed from the roster")
		}
	}
	if lines > maxInstanceLines {
		n.log.WithField("count", lines-maxInstanceLines).Info("changes of further instances not logged")
	}
}

// update records the state of an instance and reports whether it differs from what was last logged.
func (b *loggedState) update(v *roster.View) bool {
	current := loggedInstance{unreachable: v.Unreachable, draining: v.Draining, unlisted: v.Unlisted, membership: v.Membership}
	previous, known := b.instances[v.ID]
	if known && previous == current {
		return false
	}
	b.instances[v.ID] = current
	return known || current != (loggedInstance{})
}

// logInstance logs the state of one instance.
func (n *Node) logInstance(v *roster.View) {
	n.log.WithFields(log.Fields{
		"instance": v.ID, "unlisted": v.Unlisted, "lost": v.Unreachable, "draining": v.Draining, "group": v.Membership.Group, "epoch": v.Membership.Epoch,
		"rank": v.Membership.Rank, "state": v.Membership.State, "position": v.Position, "address": v.Address.String(),
	}).Info("instance")
}

// logRouting logs which candidates were added and removed, with the version of the roster that they come from. The
// number of those that this node does not reach, and of those that the leader excludes, tells why they are few.
func (n *Node) logRouting(d dispatch.Difference, rosterVersion uint64) {
	if len(d.Added)+len(d.Removed) == 0 {
		return
	}
	n.log.WithFields(log.Fields{
		"version": rosterVersion, "added": describeCandidates(d.Added), "added_count": len(d.Added), "removed": describeCandidates(d.Removed), "removed_count": len(d.Removed),
		"count": d.Candidates, "unreachable": d.Unreachable, "excluded": d.Excluded,
	}).Info("candidates changed")
}

// describeCandidates returns the instances and groups of the first candidates of a list.
func describeCandidates(list []dispatch.CandidateKey) []string {
	var names []string
	for _, c := range list[:min(len(list), maxNamedCandidates)] {
		name := string(c.Instance)
		if c.Group.Group != "" {
			name = fmt.Sprintf("%s %s/%d", name, c.Group.Group, c.Group.Epoch)
		}
		names = append(names, name)
	}
	return names
}
