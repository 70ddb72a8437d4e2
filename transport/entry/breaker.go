package entry

import (
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/breaker"
	"github.com/troutmast/troutmast/state/fleet"
)

// maxRelayedBreakers is the maximum number of open breakers that a message lists.
const maxRelayedBreakers = 256

// SuspectInvalidResponse implements gateway.Breakers.
func (n *Node) SuspectInvalidResponse(in *fleet.Instance, after time.Duration) {
	n.breakers.Suspect(in.Incarnation(), n.clock.Now().Add(after))
}

// RecordInvalidResponse implements gateway.Breakers.
func (n *Node) RecordInvalidResponse(in *fleet.Instance, sent time.Time) {
	if !n.breakers.RecordInvalid(in.Incarnation(), sent, n.clock.Now()) {
		return
	}
	n.Count("breaker.opened")
	n.log.WithFields(log.Fields{"instance": in.ID, "service": in.Service, "group": in.Membership.Group}).Warn("breaker opened: instance sends invalid responses")
	n.requestStatusReport()
}

// RecordValidResponse implements gateway.Breakers.
func (n *Node) RecordValidResponse(in *fleet.Instance, sent time.Time) {
	if !n.breakers.HasOpen() || !n.breakers.RecordValid(in.Incarnation(), sent) {
		return
	}
	n.Count("breaker.closed")
	n.log.WithFields(log.Fields{"instance": in.ID, "service": in.Service, "group": in.Membership.Group}).Info("breaker closed: instance has sent a valid response")
	n.requestStatusReport()
}

// HasOpenBreakers implements gateway.Breakers.
func (n *Node) HasOpenBreakers() bool { return n.breakers.HasOpen() }

// IsBreakerOpen implements gateway.Breakers.
func (n *Node) IsBreakerOpen(in *fleet.Instance) bool {
	return n.breakers.HasOpen() && n.breakers.IsOpen(in.Incarnation(), n.clock.Now())
}

// TryTrial implements gateway.Breakers.
func (n *Node) TryTrial(in *fleet.Instance, isRepeatable bool) bool {
	return n.breakers.TryTrial(in.Incarnation(), isRepeatable, n.clock.Now())
}

// openBreakers returns the incarnations whose breakers are open at this node, for the status report to the leader.
func (n *Node) openBreakers() []fleet.Incarnation {
	list := n.breakers.Open()
	return list[:min(len(list), maxRelayedBreakers)]
}

// minBreakerNodes is the number of nodes that must have opened the breaker of an instance before others learn of it.
const minBreakerNodes = 2

// commonBreakers returns the incarnations whose breakers are open at minBreakerNodes nodes that report to this one.
func (p *peers) commonBreakers(now time.Time) []fleet.Incarnation {
	lists := [][]fleet.Incarnation{p.n.openBreakers()}
	p.mu.Lock()
	for _, r := range p.statusReports {
		if len(r.report.OpenBreakers) > 0 && now.Sub(r.receivedAt) < p.n.policy.NodeTimeout {
			lists = append(lists, r.report.OpenBreakers)
		}
	}
	p.mu.Unlock()
	if len(lists) < minBreakerNodes {
		return nil
	}
	return breaker.Common(lists, minBreakerNodes, maxRelayedBreakers)
}

// setRelayedBreakers sets the incarnations whose breakers are open at other nodes, as in the last answer of the leader.
func (n *Node) setRelayedBreakers(list []fleet.Incarnation) {
	n.breakers.SetRelayed(list, n.clock.Now().Add(n.policy.NodeTimeout))
}

// sweepBreakers removes the breakers that are no longer needed and updates the gauge of the open ones.
func (n *Node) sweepBreakers() {
	now := n.clock.Now()
	n.breakers.Sweep(now, func(in fleet.Incarnation) bool {
		v, known := n.roster.Get(in.ID, now)
		return known && v.Incarnation() == in
	})
	metrics.GetOrRegisterGauge("breaker.open", n.metrics).Update(int64(len(n.breakers.Open())))
}
