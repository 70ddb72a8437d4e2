// Package roster tracks the target instances known to a node: their entries in the
// platform's instance list, their own reports, and which of them no longer answer.
package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Config holds the settings of a Roster.
type Config struct {
	// HeartbeatInterval is the interval at which an instance writes its entry into the list.
	HeartbeatInterval time.Duration
	// StallTimeout is how long a group with a dead member stalls before it reports that it is broken.
	StallTimeout time.Duration
	// MaxReportLag is how far the state in a report may lag behind the probe that asked for it.
	MaxReportLag time.Duration
	// IndirectProbes is set if instances that this node does not reach are probed by other nodes
	// before the planner treats them as lost.
	IndirectProbes bool
	Policy         Policy
}

// entry is the state of one instance.
type entry struct {
	policy     *Policy
	listed     fleet.Instance
	inList     bool
	unlistedAt time.Time
	firstSeen  time.Time
	// heartbeatAt is when the last heartbeat in the list was seen; listChangedAt is when the
	// membership, the model or the staged models in the list last changed.
	heartbeatAt   time.Time
	listChangedAt time.Time
	cold          coldState
	// restored is set if the entry was read from a backup of the list and no entry
	// written since is known.
	restored bool
	// freshEntryAt is when a freshly written entry was last read.
	freshEntryAt time.Time
	// changeVersion is the roster's version at the last change that other nodes need to know.
	changeVersion uint64
	// reportProbedAt is when the probe behind the newest report was sent.
	reportProbedAt time.Time
	// latest holds the newest known membership, model, loaded model and staged models.
	latest fleet.Instance
	// membershipBeforeOrder is the membership from before the last order. A report or list entry
	// that shows it again shortly after the order is stale.
	membershipBeforeOrder fleet.Membership
	// orders is the number of orders accepted; ordersKnown is whether it is known.
	orders      int64
	ordersKnown bool
	// answeredAt is the send time of the last probe or request that the instance answered.
	answeredAt    time.Time
	failures      int
	lastFailureAt time.Time
	// firstFailureAt is when the first of the consecutive failed probes was sent.
	firstFailureAt time.Time
	// refused reports whether one of these was refused a connection.
	refused bool
	// unconnectedSince is when the first of the consecutive probes was sent that could not connect; zero if the last one could.
	unconnectedSince time.Time
	// retry schedules the probes while the instance is unreachable.
	retry retry
	// indirect is the result of the last indirect probes.
	indirect indirectProbe
	// leaving is set if this incarnation announced its shutdown in an answer to this node
	// or another one. Only a later incarnation clears it; a list entry does not.
	leaving bool
	// gone is set if the process counts as ended; replaced is set if that is certain, since
	// another process answers at its address.
	gone         bool
	goneAt       time.Time
	replaced     bool
	orderPending bool
	orderedAt    time.Time
	// incarnation numbers the incarnations seen; it is 0 for the first.
	incarnation IncarnationNumber
	// superseded is the formation of the last order that the instance refused as superseded.
	superseded fleet.GroupKey
}

// updateMembership updates the membership and the models from the list or a report, as of the
// given time, and reports whether that changed anything. A membership that may predate the
// last order is ignored.
func (e *entry) updateMembership(m fleet.Membership, model string, staged []string, asOf time.Time) bool {
	if asOf.Sub(e.orderedAt) < e.policy.StaleReportWindow && m == e.membershipBeforeOrder && m != e.latest.Membership {
		return false
	}
	loaded := model
	if model == "" {
		model = e.latest.Model // joining a group of its last model is still fast
	}
	if m == e.latest.Membership && model == e.latest.Model && loaded == e.latest.Loaded && slices.Equal(staged, e.latest.Staged) {
		return false
	}
	e.latest.Membership, e.latest.Model, e.latest.Loaded, e.latest.Staged = m, model, loaded, staged
	return true
}

// Roster holds the state of all known instances. It is safe for concurrent use.
type Roster struct {
	cfg     Config
	mu      sync.Mutex
	entries map[state.InstanceID]*entry
	// sortedIDs holds the ids of all entries in ascending order, or nil after a change of the set.
	sortedIDs []state.InstanceID
	version   uint64
	// listAsOf is when the request was sent that last read the list up to its end.
	listAsOf time.Time
	// relayedAsOf is the time up to which another node has relayed all changes of the list.
	relayedAsOf time.Time
	// unreachable holds the instances that have become unreachable. Those that answer again are removed by the next
	// scan. It keeps the cost of DueRetries independent of the number of instances that answer.
	unreachable map[state.InstanceID]struct{}
	// coldStarts holds how long the instances of each service are cold after a start.
	coldStarts map[state.ServiceName]time.Duration
	// hallRetriedAt is when an unreachable instance of a data hall was last returned by DueRetries.
	hallRetriedAt map[state.HallName]time.Time
}

// New returns an empty Roster.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, entries: map[state.InstanceID]*entry{}, unreachable: map[state.InstanceID]struct{}{}, hallRetriedAt: map[state.HallName]time.Time{}}
}

// Version returns a number that grows with every change that can affect a routing decision.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// markChanged records a change of an instance. r.mu must be held.
func (r *Roster) markChanged(e *entry) {
	r.version++
	e.changeVersion = r.version
}

// addEntry adds the entry of a new instance. r.mu must be held.
func (r *Roster) addEntry(id state.InstanceID, e *entry) {
	r.entries[id] = e
	r.sortedIDs = nil
}

// removeEntry removes the entry of an instance. r.mu must be held.
func (r *Roster) removeEntry(id state.InstanceID) {
	delete(r.entries, id)
	r.sortedIDs = nil
}

// ids returns the ids of all entries in ascending order. The slice must not be modified. r.mu must be held.
func (r *Roster) ids() []state.InstanceID {
	if r.sortedIDs == nil {
		r.sortedIDs = slices.Sorted(maps.Keys(r.entries))
	}
	return r.sortedIDs
}

// membershipKnown reports whether an instance's membership is known as of a recent time after
// since, either from a freshly written list entry or from a report.
func (r *Roster) membershipKnown(e *entry, since, now time.Time) bool {
	freshlyWritten := now.Sub(e.freshEntryAt) < r.cfg.HeartbeatInterval+r.cfg.HeartbeatInterval/2
	if e.inList && freshlyWritten && r.listAsOf.After(since) && now.Sub(r.listAsOf) < r.cfg.Policy.MaxMembershipAge {
		return true
	}
	asOf := e.reportProbedAt.Add(-r.cfg.MaxReportLag)
	return asOf.After(since) && now.Sub(asOf) < r.cfg.Policy.MaxMembershipAge
}

// RecordReport records an instance's answer to a probe sent at rep.Asked.
func (r *Roster) RecordReport(id state.InstanceID, rep fleet.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return
	}
	switch {
	case e.isEarlierIncarnation(rep.Born):
		return
	case e.isLaterIncarnation(rep.Born):
		in := e.listed
		in.Born, in.Membership, in.Model, in.Staged = rep.Born, rep.Membership, rep.Model, rep.Staged
		r.startIncarnation(e, in, rep.Asked)
	}
	e.recordAnswer(rep.Asked, r)
	r.applyReport(e, rep)
}

// applyReport updates the state of an instance from its report. r.mu must be held.
func (r *Roster) applyReport(e *entry, rep fleet.Report) {
	asOf := rep.Asked.Add(-r.cfg.MaxReportLag)
	if rep.Asked.After(e.reportProbedAt) {
		e.reportProbedAt = rep.Asked
	}
	if asOf.After(e.listChangedAt) && e.updateMembership(rep.Membership, rep.Model, rep.Staged, asOf) {
		r.markChanged(e)
	}
	if rep.Membership.Key() == e.latest.Membership.Key() && asOf.After(e.orderedAt) {
		e.orders, e.ordersKnown = rep.Orders, true
	}
}

// recordAnswer records that the instance answered a probe or request sent at the given time. One
// that was sent before the current incarnation was seen is ignored: an earlier incarnation
// may have answered it.
func (e *entry) recordAnswer(sentAt time.Time, r *Roster) {
	if e.incarnation > 0 && sentAt.Before(e.firstSeen) {
		return
	}
	if sentAt.After(e.answeredAt) {
		e.answeredAt = sentAt
	}
	if e.failures > 0 && sentAt.After(e.lastFailureAt) {
		wasUnreachable := e.unreachable()
		e.failures, e.refused, e.unconnectedSince = 0, false, time.Time{}
		if wasUnreachable {
			r.version++
			r.retryHall(e.listed.Hall, sentAt)
		}
	}
}

// RecordResponse records that an instance answered a request sent at the given time.
func (r *Roster) RecordResponse(id state.InstanceID, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		e.recordAnswer(sentAt, r)
	}
}

// RecordFailure records that an instance did not answer a probe or request sent at the given time.
func (r *Roster) RecordFailure(id state.InstanceID, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordFailure(id, sentAt)
}

// RecordRefusal records that the address of an instance refused a connection for a probe or request sent at the given time.
// Unlike silence, that shows that the process has ended.
func (r *Roster) RecordRefusal(id state.InstanceID, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.recordFailure(id, sentAt); e != nil && !e.refused {
		e.refused = true
		r.version++
	}
}

// RecordUnconnected records that a probe sent at the given time could not connect to an instance in time. A process that pauses
// still accepts connections, unlike a machine that is gone.
func (r *Roster) RecordUnconnected(id state.InstanceID, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.recordFailure(id, sentAt); e != nil && e.unconnectedSince.IsZero() {
		e.unconnectedSince = sentAt
	}
}

// RecordUnanswered records that an instance accepted a connection, but did not answer a probe sent at the given time.
func (r *Roster) RecordUnanswered(id state.InstanceID, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.recordFailure(id, sentAt); e != nil {
		e.unconnectedSince = time.Time{}
	}
}

// recordFailure records a failure and returns the entry of the instance, or nil if the failure is out of date. r.mu must be
// held.
func (r *Roster) recordFailure(id state.InstanceID, sentAt time.Time) *entry {
	e := r.entries[id]
	if e == nil || sentAt.Before(e.answeredAt) || e.incarnation > 0 && sentAt.Before(e.firstSeen) {
		return nil
	}
	if e.failures > 0 && sentAt.Sub(e.lastFailureAt) < r.cfg.Policy.MinProbeSpacing {
		return e
	}
	if e.failures == 0 {
		e.firstFailureAt = sentAt
	}
	e.failures++
	e.lastFailureAt = sentAt
	if e.failures == e.policy.LostFailures {
		r.version++
		r.unreachable[id] = struct{}{}
		e.retry = retry{}
		e.retry.postpone(sentAt, e.policy)
	}
	return e
}

// ConsecutiveFailures returns the number of consecutive failures of an instance.
func (r *Roster) ConsecutiveFailures(id state.InstanceID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return e.failures
	}
	return 0
}

// RecordReplaced records that another process answers at an instance's address.
func (r *Roster) RecordReplaced(id state.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return
	}
	e.replaced = true
	if !e.gone {
		e.gone, e.goneAt = true, now
		r.version++
	}
}

// clearGone clears the gone mark of an instance that wrote a new entry after a long silence,
// for example behind a network partition.
func (r *Roster) clearGone(e *entry) {
	if e.gone && !e.replaced {
		e.gone, e.failures, e.refused, e.unconnectedSince = false, 0, false, time.Time{}
		r.markChanged(e)
	}
}

// BeginOrder records that an order to an instance is in flight, and returns the
// incarnation that the order is for.
func (r *Roster) BeginOrder(id state.InstanceID) IncarnationNumber {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return 0
	}
	e.orderPending = true
	return e.incarnation
}

// IncarnationNumber numbers the incarnations of an instance that a Roster has seen.
type IncarnationNumber int

// isEarlierIncarnation reports whether data of a process that started at the given time belongs
// to an earlier incarnation than the current one. Data without a start time counts as current.
func (e *entry) isEarlierIncarnation(born time.Time) bool {
	return !born.IsZero() && born.Before(e.listed.Born)
}

// isLaterIncarnation reports whether data of a process that started at the given time belongs to
// a later incarnation than the current one.
func (e *entry) isLaterIncarnation(born time.Time) bool {
	return !e.listed.Born.IsZero() && born.After(e.listed.Born)
}

// startIncarnation resets an entry for a later incarnation, which has no membership, order count or
// failures of the earlier one. By the incarnation number and the time seen, late replies,
// answers and failures of the earlier incarnation are ignored. r.mu must be held.
func (r *Roster) startIncarnation(e *entry, in fleet.Instance, now time.Time) {
	listed := e.listed
	listed.Born, listed.Draining = in.Born, false
	*e = entry{policy: e.policy, listed: listed, inList: e.inList, unlistedAt: e.unlistedAt, firstSeen: now, listChangedAt: now, latest: in, incarnation: e.incarnation + 1}
	r.assumeStarted(e, now)
	r.markChanged(e)
}

// RecordOrderReply records an instance's reply to an order for one of its incarnations. The effect of
// an accepted order is applied at once, since reports and the list show it only later. A
// reply of an earlier incarnation is ignored.
func (r *Roster) RecordOrderReply(o placement.Order, incarnation IncarnationNumber, reply placement.Reply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[o.Instance]
	if e == nil || e.incarnation != incarnation {
		return
	}
	e.orderPending = false
	switch reply {
	case placement.Superseded:
		e.superseded = o.Key
		return
	case placement.Refused, placement.Unanswered:
		e.ordersKnown = false
		e.orderedAt = now
		return
	case placement.Started:
		e.orders++
	case placement.Done:
	}
	e.orderedAt, e.membershipBeforeOrder = now, e.latest.Membership
	switch o.Action {
	case placement.Join:
		e.latest.Loaded = ""
		e.latest.Membership = fleet.Membership{
			Group: o.Key.Group, Epoch: o.Key.Epoch, Rank: slices.Index(o.Members, o.Instance), State: fleet.Joining,
		}
	case placement.Leave:
		if e.latest.Membership.Key() == o.Key {
			e.latest.Membership = fleet.Membership{}
			if reply == placement.Done {
				e.orders++
			}
		}
	}
	r.markChanged(e)
}

// lost reports whether an instance counts as no longer answering this node.
func (e *entry) lost(now time.Time) bool {
	return e.gone || e.unreachable() || e.unlistedAndSilent(now, e.answeredAt)
}

// unreachable reports whether LostFailures consecutive probes of an instance failed.
func (e *entry) unreachable() bool { return e.failures >= e.policy.LostFailures }

// unlistedAndSilent reports whether an instance was removed from the list and has been silent for
// longer than UnlistedTimeout; answeredAt is when it last answered.
func (e *entry) unlistedAndSilent(now, answeredAt time.Time) bool {
	return !e.inList && now.Sub(e.unlistedAt) > e.policy.UnlistedTimeout && now.Sub(answeredAt) > e.policy.UnlistedTimeout
}

// expired reports whether an instance has been unlisted and silent for so long that it can be removed.
func (e *entry) expired(now time.Time) bool {
	return !e.inList && now.Sub(e.unlistedAt) > e.retention() && now.Sub(e.answeredAt) > e.retention()
}

// retention returns how long an ended instance is kept. A leaving one is kept longer, since
// the list may show the same incarnation again after a network partition.
func (e *entry) retention() time.Duration {
	if e.leaving {
		return max(e.policy.ForgetAfter, e.policy.ForgetLeavingAfter)
	}
	return e.policy.ForgetAfter
}

// lastHeartbeat returns when the list last showed a heartbeat. A node that relays the list sends
// only changes, so an instance that it has not reported as unlisted counts as alive as of
// relayedAsOf.
func (r *Roster) lastHeartbeat(e *entry) time.Time {
	if e.inList && r.relayedAsOf.After(e.heartbeatAt) {
		return r.relayedAsOf
	}
	return e.heartbeatAt
}

// silentTooLong reports whether an unreachable instance has shown neither a heartbeat nor an answer
// for so long that its process must have ended.
func (r *Roster) silentTooLong(e *entry, now time.Time) bool {
	last := r.lastHeartbeat(e)
	if answered := e.lastAnswer(); answered.After(last) {
		last = answered
	}
	return e.unreachable() && now.Sub(last) > r.cfg.StallTimeout+r.cfg.Policy.GoneMargin
}

// current returns the newest known state of an instance.
func (e *entry) current() fleet.Instance {
	in := e.listed
	in.Draining = in.Draining || e.leaving
	in.Membership, in.Model, in.Loaded, in.Staged = e.latest.Membership, e.latest.Model, e.latest.Loaded, e.latest.Staged
	return in
}

// SetMaxReportLag sets Config.MaxReportLag.
func (r *Roster) SetMaxReportLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.MaxReportLag = d
}

// updateLiveness marks an instance as gone after a long silence and removes one that has been
// gone for longer than its retention time. r.mu must be held.
func (r *Roster) updateLiveness(id state.InstanceID, e *entry, now time.Time) {
	if !e.gone && r.silentTooLong(e, now) {
		e.gone, e.goneAt = true, now
		r.version++
	}
	if e.gone && now.Sub(e.goneAt) > e.retention() {
		r.removeEntry(id)
		r.version++
	}
}
