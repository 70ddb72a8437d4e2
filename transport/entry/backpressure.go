package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// RecordNotice implements gateway.Backpressure. It records the notice in an instance's answer to a
// request, probe or order sent at a time.
func (n *Node) RecordNotice(in *fleet.Instance, notice fleet.Notice, request string, sent time.Time) {
	n.recordLimit(in, notice.RateLimit, request, sent)
	if notice.Leaving {
		n.recordLeaving(in.Incarnation(), "")
	}
	if notice.CooldownFault != nil {
		n.Count("cooldown.unreadable")
		if _, known := n.loggedOnce.LoadOrStore(unreadableCooldownKey(in.ID), true); !known {
			n.log.WithError(notice.CooldownFault).WithField("instance", in.ID).Warn("cooldown not read")
		}
	}
	if notice.Cooldown <= 0 {
		return
	}
	n.Count("cooldown.asked")
	now := n.clock.Now()
	until, began := n.cooldowns.Record(in.Incarnation(), notice.Cooldown, now)
	if !began {
		return
	}
	n.Count("cooldown.began")
	available := 0
	for _, c := range n.table.Candidates(in.Service, in.Model) {
		if _, cooling := n.CooldownUntil(&c.Instance); !cooling {
			available++
		}
	}
	n.log.WithFields(log.Fields{
		"instance": in.ID, "service": in.Service, "group": in.Membership.Group, "asked_ms": notice.Cooldown.Milliseconds(),
		"ms": until.Sub(now).Milliseconds(), "request": request, "left": available,
	}).Info("cooldown began")
}

// unreadableCooldownKey is the key in Node.loggedOnce for an instance whose cooldown cannot be read.
type unreadableCooldownKey state.InstanceID

// CooldownUntil implements gateway.Backpressure.
func (n *Node) CooldownUntil(in *fleet.Instance) (time.Time, bool) {
	return n.cooldowns.Until(in.Incarnation(), n.clock.Now())
}

// IsLeaving implements gateway.Backpressure.
func (n *Node) IsLeaving(in *fleet.Instance) bool { return n.roster.IsLeaving(in.Incarnation()) }

// recordLeaving records that an incarnation of an instance announced its shutdown, to this node or to the
// node reportedBy, and requests an immediate status report.
func (n *Node) recordLeaving(in fleet.Incarnation, reportedBy string) {
	if !n.roster.MarkLeaving(in) {
		return
	}
	n.Count("leaving.learned")
	n.log.WithFields(log.Fields{"instance": in.ID, "life": in.Life, "told_by": reportedBy}).Info("instance leaving")
	n.mu.Lock()
	n.leavingSince[in] = n.clock.Now()
	n.mu.Unlock()
	n.requestRebuild()
	n.placement.wakePlanner()
	n.requestStatusReport()
}

// recentlyLeaving returns the incarnations recorded as leaving within NodePolicy.LeavingTTL, for the
// status report to the leader, and removes older ones.
func (n *Node) recentlyLeaving(now time.Time) []fleet.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []fleet.Incarnation
	for in, at := range n.leavingSince {
		if now.Sub(at) > n.policy.LeavingTTL {
			delete(n.leavingSince, in)
			continue
		}
		list = append(list, in)
	}
	return list
}

// instance returns an instance from the roster, or one with only its ID set if it is unknown.
func (n *Node) instance(id state.InstanceID) fleet.Instance {
	v, known := n.roster.Get(id, n.clock.Now())
	if !known {
		return fleet.Instance{ID: id}
	}
	return v.Instance
}

// logCooldowns logs the cooldowns that have ended and updates the gauge of those in force.
func (n *Node) logCooldowns() {
	now := n.clock.Now()
	for _, c := range n.cooldowns.Sweep(now) {
		n.Count("cooldown.ended")
		n.log.WithFields(log.Fields{"instance": c.Instance.ID, "ms": c.Until.Sub(c.Since).Milliseconds()}).Info("cooldown ended")
	}
	metrics.GetOrRegisterGauge("cooldown.active", n.metrics).Update(int64(len(n.cooldowns.Active(now))))
}

// cooldownState is an instance that is cooling down in the response to an operator.
type cooldownState struct {
	Instance state.InstanceID `json:"instance"`
	SinceMS  int64            `json:"since_ms"`
	LeftMS   int64            `json:"left_ms"`
}

// serveCooldowns lists the instances that are cooling down.
func (n *Node) serveCooldowns(w http.ResponseWriter, _ *http.Request) {
	now := n.clock.Now()
	list := []cooldownState{}
	for _, c := range n.cooldowns.Active(now) {
		list = append(list, cooldownState{Instance: c.Instance.ID, SinceMS: now.Sub(c.Since).Milliseconds(), LeftMS: c.Until.Sub(now).Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.log.WithError(err).Info("failed to write cooldown response")
	}
}
