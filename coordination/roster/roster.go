// Package roster tracks the target instances known to a node: their entries in the
// platform's instance list, their own reports, and which of them no longer answer.
package roster

import (
	"slices"
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Config holds the settings of a Roster.
type Config struct {
	// Beat is the interval at which an instance writes its entry into the list.
	Beat time.Duration
	// Stall is how long a group with a dead member stalls before it reports that it is broken.
	Stall time.Duration
	// ReportLag is how far the state in a report may lag behind the probe that asked for it.
	ReportLag time.Duration
	// Indirect is set if instances that this node does not reach are probed by other nodes
	// before the planner treats them as lost.
	Indirect bool
	Policy   Policy
}

// entry is the state of one instance.
type entry struct {
	policy   *Policy
	listed   fleet.Instance
	inList   bool
	unlisted time.Time
	seen     time.Time
	// beat is when the last heartbeat in the list was seen; changed is when the membership, the
	// model or the staged models in the list last changed.
	beat    time.Time
	changed time.Time
	// restored is set if the entry was read from a backup of the list and no entry
	// written since is known.
	restored bool
	// vouched is when a freshly written entry was last read.
	vouched time.Time
	// stamp is the roster's version at the last change that other nodes need to know.
	stamp uint64
	// reported is when the probe behind the newest report was sent.
	reported time.Time
	// belief holds the newest known membership, model, loaded model and staged models.
	belief fleet.Instance
	// before is the membership from before the last order.
	before fleet.Membership
	// orders is the number of orders accepted; counted is whether it is known.
	orders  int64
	counted bool
	// heard is the send time of the last probe or request that the instance answered.
	heard     time.Time
	failures  int
	suspected time.Time
	// failing is when the first of the consecutive failed probes was sent.
	failing time.Time
	// elsewhere is the result of the last indirect probes.
	elsewhere elsewhere
	// leaving is set if this incarnation announced its shutdown in an answer to this node
	// or another one. Only a later incarnation clears it; a list entry does not.
	leaving bool
	// gone is set if the process counts as ended; replaced is set if that is certain, since
	// another process answers at its address.
	gone     bool
	goneAt   time.Time
	replaced bool
	pending  bool
	ordered  time.Time
	// life is the number of the current incarnation.
	life Life
	// superseded is the formation of the last order that the instance refused as superseded.
	superseded fleet.GroupKey
}

// believe updates the membership and the models from the list or a report, as of the given
// time, and reports whether that changed anything. A membership that may predate the last
// order is ignored.
func (e *entry) believe(m fleet.Membership, model string, staged []string, now time.Time) bool {
	if now.Sub(e.ordered) < e.policy.OrderEcho && m == e.before && m != e.belief.Membership {
		return false
	}
	loaded := model
	if model == "" {
		model = e.belief.Model // joining a group of its last model is still fast
	}
	if m == e.belief.Membership && model == e.belief.Model && loaded == e.belief.Loaded && slices.Equal(staged, e.belief.Staged) {
		return false
	}
	e.belief.Membership, e.belief.Model, e.belief.Loaded, e.belief.Staged = m, model, loaded, staged
	return true
}

// Roster holds the state of all known instances. It is safe for concurrent use.
type Roster struct {
	cfg     Config
	mu      sync.Mutex
	m       map[state.InstanceID]*entry
	version uint64
	// listAsOf is when the request was sent that last read the list up to its end.
	listAsOf time.Time
	// fedAsOf is the time up to which another node has relayed all changes of the list.
	fedAsOf time.Time
}

// New returns an empty Roster.
func New(cfg Config) *Roster { return &Roster{cfg: cfg, m: map[state.InstanceID]*entry{}} }

// Version returns a number that grows with every change that can affect a routing decision.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// touch records a change of an instance. r.mu must be held.
func (r *Roster) touch(e *entry) {
	r.version++
	e.stamp = r.version
}

// known reports whether an instance's membership is known as of a recent time after since,
// either from a freshly written list entry or from a report.
func (r *Roster) known(e *entry, since, now time.Time) bool {
	lately := now.Sub(e.vouched) < r.cfg.Beat+r.cfg.Beat/2
	if e.inList && lately && r.listAsOf.After(since) && now.Sub(r.listAsOf) < r.cfg.Policy.KnownAge {
		return true
	}
	stood := e.reported.Add(-r.cfg.ReportLag)
	return stood.After(since) && now.Sub(stood) < r.cfg.Policy.KnownAge
}

// Reported records an instance's answer to a probe sent at rep.Asked.
func (r *Roster) Reported(id state.InstanceID, rep fleet.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil {
		return
	}
	switch {
	case e.outlived(rep.Born):
		return
	case e.reborn(rep.Born):
		in := e.listed
		in.Born, in.Membership, in.Model, in.Staged = rep.Born, rep.Membership, rep.Model, rep.Staged
		r.begin(e, in, rep.Asked)
	}
	e.hear(rep.Asked, r)
	r.takeReport(e, rep)
}

// takeReport updates the state of an instance from its report. r.mu must be held.
func (r *Roster) takeReport(e *entry, rep fleet.Report) {
	stood := rep.Asked.Add(-r.cfg.ReportLag)
	if rep.Asked.After(e.reported) {
		e.reported = rep.Asked
	}
	if stood.After(e.changed) && e.believe(rep.Membership, rep.Model, rep.Staged, stood) {
		r.touch(e)
	}
	if rep.Membership.Key() == e.belief.Membership.Key() && stood.After(e.ordered) {
		e.orders, e.counted = rep.Orders, true
	}
}

// hear records that the instance answered something sent at the given time. An answer to
// something sent before the current incarnation was seen is ignored: an earlier one may
// have given it.
func (e *entry) hear(at time.Time, r *Roster) {
	if e.life > 0 && at.Before(e.seen) {
		return
	}
	if at.After(e.heard) {
		e.heard = at
	}
	if e.failures > 0 && at.After(e.suspected) {
		if e.failures >= e.policy.LostFailures {
			r.version++
		}
		e.failures = 0
	}
}

// Heard records that an instance answered a request sent at the given time.
func (r *Roster) Heard(id state.InstanceID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		e.hear(at, r)
	}
}

// Failed records that an instance did not answer a probe or request sent at the given time.
func (r *Roster) Failed(id state.InstanceID, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil || asked.Before(e.heard) || e.life > 0 && asked.Before(e.seen) || asked.Sub(e.suspected) < r.cfg.Policy.MinProbeSpacing && e.failures > 0 {
		return
	}
	if e.failures == 0 {
		e.failing = asked
	}
	e.failures++
	e.suspected = asked
	if e.failures == e.policy.LostFailures {
		r.version++
	}
}

// Failures returns the number of consecutive failures of an instance.
func (r *Roster) Failures(id state.InstanceID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		return e.failures
	}
	return 0
}

// Replaced records that another process answers at an instance's address.
func (r *Roster) Replaced(id state.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil {
		return
	}
	e.replaced = true
	if !e.gone {
		e.gone, e.goneAt = true, now
		r.version++
	}
}

// revive clears the gone mark of an instance that wrote a new entry after a long silence,
// for example behind a network partition.
func (r *Roster) revive(e *entry) {
	if e.gone && !e.replaced {
		e.gone, e.failures = false, 0
		r.touch(e)
	}
}

// Ordering records that an order to an instance is in flight, and returns the
// incarnation that the order is for.
func (r *Roster) Ordering(id state.InstanceID) Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil {
		return 0
	}
	e.pending = true
	return e.life
}

// Life numbers the incarnations of an instance that a Roster has seen.
type Life int

// outlived reports whether data of a process that started at the given time belongs to an
// earlier incarnation than the current one. Data without a start time counts as current.
func (e *entry) outlived(born time.Time) bool {
	return !born.IsZero() && born.Before(e.listed.Born)
}

// reborn reports whether data of a process that started at the given time belongs to a later
// incarnation than the current one.
func (e *entry) reborn(born time.Time) bool {
	return !e.listed.Born.IsZero() && born.After(e.listed.Born)
}

// begin resets an entry for a later incarnation, which has no membership, order count or
// failures of the earlier one. By the incarnation number and the time seen, late replies,
// answers and failures of the earlier incarnation are ignored. r.mu must be held.
func (r *Roster) begin(e *entry, in fleet.Instance, now time.Time) {
	listed := e.listed
	listed.Born, listed.Draining = in.Born, false
	*e = entry{policy: e.policy, listed: listed, inList: e.inList, unlisted: e.unlisted, seen: now, changed: now, belief: in, life: e.life + 1}
	r.touch(e)
}

// Ordered records an instance's reply to an order for one of its incarnations. The effect of
// an accepted order is applied at once, since reports and the list show it only later. A
// reply of an earlier incarnation is ignored.
func (r *Roster) Ordered(o placement.Order, life Life, reply placement.Reply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[o.Instance]
	if e == nil || e.life != life {
		return
	}
	e.pending = false
	switch reply {
	case placement.Superseded:
		e.superseded = o.Key
		return
	case placement.Refused, placement.Unanswered:
		e.counted = false
		e.ordered = now
		return
	case placement.Begun:
		e.orders++
	case placement.Done:
	}
	e.ordered, e.before = now, e.belief.Membership
	switch o.Action {
	case placement.Join:
		e.belief.Loaded = ""
		e.belief.Membership = fleet.Membership{
			Group: o.Key.Group, Epoch: o.Key.Epoch, Rank: slices.Index(o.Members, o.Instance), State: fleet.Joining,
		}
	case placement.Leave:
		if e.belief.Membership.Key() == o.Key {
			e.belief.Membership = fleet.Membership{}
			if reply == placement.Done {
				e.orders++
			}
		}
	}
	r.touch(e)
}

// lost reports whether an instance counts as no longer answering this node.
func (e *entry) lost(now time.Time) bool {
	return e.gone || e.unreachable() || e.dropped(now, e.heard)
}

// unreachable reports whether LostFailures consecutive probes of an instance failed.
func (e *entry) unreachable() bool { return e.failures >= e.policy.LostFailures }

// dropped reports whether an instance was removed from the list and has been silent for longer
// than UnlistedTimeout; heard is when it last answered.
func (e *entry) dropped(now, heard time.Time) bool {
	return !e.inList && now.Sub(e.unlisted) > e.policy.UnlistedTimeout && now.Sub(heard) > e.policy.UnlistedTimeout
}

// forgotten reports whether an instance has been unlisted and silent for so long that it can be removed.
func (e *entry) forgotten(now time.Time) bool {
	return !e.inList && now.Sub(e.unlisted) > e.forgetAfter() && now.Sub(e.heard) > e.forgetAfter()
}

// forgetAfter returns how long an ended instance is kept. A leaving one is kept longer, since
// the list may show the same incarnation again after a network partition.
func (e *entry) forgetAfter() time.Duration {
	if e.leaving {
		return max(e.policy.ForgetAfter, e.policy.ForgetLeavingAfter)
	}
	return e.policy.ForgetAfter
}

// lastBeat returns when the list last showed a heartbeat. A node that relays the list sends
// only changes, so an instance that it has not reported as unlisted counts as alive as of
// fedAsOf.
func (r *Roster) lastBeat(e *entry) time.Time {
	if e.inList && r.fedAsOf.After(e.beat) {
		return r.fedAsOf
	}
	return e.beat
}

// silent reports whether an unreachable instance has shown neither a heartbeat nor an answer for
// so long that its process must have ended.
func (r *Roster) silent(e *entry, now time.Time) bool {
	last := r.lastBeat(e)
	if heard := e.lastHeard(); heard.After(last) {
		last = heard
	}
	return e.unreachable() && now.Sub(last) > r.cfg.Stall+r.cfg.Policy.GoneMargin
}

// current returns the newest known state of an instance.
func (e *entry) current() fleet.Instance {
	in := e.listed
	in.Draining = in.Draining || e.leaving
	in.Membership, in.Model, in.Loaded, in.Staged = e.belief.Membership, e.belief.Model, e.belief.Loaded, e.belief.Staged
	return in
}

// SetReportLag sets Config.ReportLag.
func (r *Roster) SetReportLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.ReportLag = d
}

// age marks an instance as gone after a long silence and removes one that has been gone for
// longer than its retention time. r.mu must be held.
func (r *Roster) age(id state.InstanceID, e *entry, now time.Time) {
	if !e.gone && r.silent(e, now) {
		e.gone, e.goneAt = true, now
		r.version++
	}
	if e.gone && now.Sub(e.goneAt) > e.forgetAfter() {
		delete(r.m, id)
		r.version++
	}
}
