// Package roster keeps what a node knows of the target instances: what the
// platform's list says, what each instance reported itself, and which of them
// no longer answer.
package roster

import (
	"slices"
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Config bounds what a Roster concludes from silence.
type Config struct {
	// Beat is the time between two entries that an instance writes into the list.
	Beat time.Duration
	// Stall is how long a group with a dead member stands still before it says that it is broken.
	Stall time.Duration
	// ReportLag is how much older than the question what a report tells may be.
	ReportLag time.Duration
	// Indirect tells that other nodes are asked about an instance that this one does not reach,
	// before a planner takes it for lost.
	Indirect bool
	Policy   Policy
}

// entry is what is known of one instance.
type entry struct {
	policy   *Policy
	listed   fleet.Instance
	inList   bool
	unlisted time.Time
	seen     time.Time
	// beat is when the list last showed a sign of life, changed when its word on the membership last changed.
	beat    time.Time
	changed time.Time
	// restored tells that the entry was read from an older copy of the list, and that the
	// instance is not known to have written since.
	restored bool
	// vouched is when an entry was read that had just been written.
	vouched time.Time
	// stamp is the roster's version at the newest change of what others need to know.
	stamp uint64
	// reported is when the newest report was asked for.
	reported time.Time
	// belief is the newest word on the membership, the model and the staged models.
	belief fleet.Instance
	// before is the membership that the last order ended.
	before fleet.Membership
	// orders is the number of orders taken; counted tells that it is known.
	orders  int64
	counted bool
	// heard is the last time at which the instance itself is known to have answered.
	heard     time.Time
	failures  int
	suspected time.Time
	// failing is when the first of these failures was asked.
	failing time.Time
	// elsewhere is what other nodes last answered about it.
	elsewhere elsewhere
	// leaving tells that this life of the instance said in an answer that it will end soon,
	// or told another node so. No entry of the list takes that back, only a later life.
	leaving bool
	// gone tells that its process counts as ended, replaced that this is certain.
	gone     bool
	goneAt   time.Time
	replaced bool
	pending  bool
	ordered  time.Time
	// life numbers the lives of the process that were known.
	life Life
	// superseded is the formation that the instance last refused to join for a later one.
	superseded fleet.GroupKey
}

// believe takes in what the list or a report says of the membership, as it
// stood at a time. Word that may be older than the last order is passed over.
func (e *entry) believe(m fleet.Membership, model string, staged []string, now time.Time) bool {
	if now.Sub(e.ordered) < e.policy.OrderEcho && m == e.before && m != e.belief.Membership {
		return false
	}
	loaded := model
	if model == "" {
		model = e.belief.Model // it is still quick to join a group of its last model
	}
	if m == e.belief.Membership && model == e.belief.Model && loaded == e.belief.Loaded && slices.Equal(staged, e.belief.Staged) {
		return false
	}
	e.belief.Membership, e.belief.Model, e.belief.Loaded, e.belief.Staged = m, model, loaded, staged
	return true
}

// Roster is safe for concurrent use.
type Roster struct {
	cfg     Config
	mu      sync.Mutex
	m       map[state.InstanceID]*entry
	version uint64
	// listAsOf is when the question was asked that the list was last read whole with.
	listAsOf time.Time
	// fedAsOf is as of when another node last told what the list shows.
	fedAsOf time.Time
}

// New returns an empty Roster.
func New(cfg Config) *Roster { return &Roster{cfg: cfg, m: map[state.InstanceID]*entry{}} }

// Version changes with everything that can change a routing decision.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// touch notes that something changed of an instance. r.mu is held.
func (r *Roster) touch(e *entry) {
	r.version++
	e.stamp = r.version
}

// known reports whether an instance's membership is known as of a moment ago and
// after since: by the list, if the instance itself has lately written its entry, or by a report.
func (r *Roster) known(e *entry, since, now time.Time) bool {
	lately := now.Sub(e.vouched) < r.cfg.Beat+r.cfg.Beat/2
	if e.inList && lately && r.listAsOf.After(since) && now.Sub(r.listAsOf) < r.cfg.Policy.KnownAge {
		return true
	}
	stood := e.reported.Add(-r.cfg.ReportLag)
	return stood.After(since) && now.Sub(stood) < r.cfg.Policy.KnownAge
}

// Reported takes in what an instance answered to a question asked at rep.Asked.
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

// takeReport updates what is known of an instance by its report. r.mu is held.
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

// hear records a sign of life that is as old as the question; one that is older than
// the life known may be of an earlier one.
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

// Heard takes in that an instance answered a request sent at a time.
func (r *Roster) Heard(id state.InstanceID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		e.hear(at, r)
	}
}

// Failed takes in that an instance did not answer a question asked at a time.
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

// Failures returns how many questions in a row an instance has not answered.
func (r *Roster) Failures(id state.InstanceID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		return e.failures
	}
	return 0
}

// Replaced takes in that another process answers at an instance's address.
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

// revive takes back that an instance has ended: it was only silent for long, as
// behind a cut, and has written a new entry.
func (r *Roster) revive(e *entry) {
	if e.gone && !e.replaced {
		e.gone, e.failures = false, 0
		r.touch(e)
	}
}

// Ordering records that an order to an instance is on its way, and returns the
// life of its process that the order is for.
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

// Life numbers the lives of an instance's process that a Roster has known.
type Life int

// outlived reports whether what is told of a process that started at a time is of an
// earlier life than the one known. What tells no start is taken to be of the known one.
func (e *entry) outlived(born time.Time) bool {
	return !born.IsZero() && born.Before(e.listed.Born)
}

// reborn reports whether what is told of a process that started at a time is of a later
// life than the one known.
func (e *entry) reborn(born time.Time) bool {
	return !e.listed.Born.IsZero() && born.After(e.listed.Born)
}

// begin has an entry begin anew with what is told of a later life of its process, which
// holds and knows nothing of before: no membership, no count of orders, no failures. What
// is still on its way to or from the earlier life proves nothing of this one. r.mu is held.
func (r *Roster) begin(e *entry, in fleet.Instance, now time.Time) {
	listed := e.listed
	listed.Born, listed.Draining = in.Born, false
	*e = entry{policy: e.policy, listed: listed, inList: e.inList, unlisted: e.unlisted, seen: now, changed: now, belief: in, life: e.life + 1}
	r.touch(e)
}

// Ordered records what an instance said of an order to one of its lives. What an
// accepted order brings about is believed at once, since reports and the list tell it
// later. The answer of an earlier life proves nothing of the one known now.
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

// lost reports whether an instance no longer answers, as far as is known.
func (e *entry) lost(now time.Time) bool {
	return e.gone || e.unreachable() || e.dropped(now, e.heard)
}

// unreachable reports whether this node does not reach an instance.
func (e *entry) unreachable() bool { return e.failures >= e.policy.LostFailures }

// dropped reports whether the list has dropped an instance that was last heard at a time and has not
// answered since.
func (e *entry) dropped(now, heard time.Time) bool {
	return !e.inList && now.Sub(e.unlisted) > e.policy.UnlistedTimeout && now.Sub(heard) > e.policy.UnlistedTimeout
}

// forgotten reports whether an instance was in no list for so long, and silent, that it need not be remembered.
func (e *entry) forgotten(now time.Time) bool {
	return !e.inList && now.Sub(e.unlisted) > e.forgetAfter() && now.Sub(e.heard) > e.forgetAfter()
}

// forgetAfter returns for how long an instance that has ended is remembered: one that was
// leaving for longer, since the list may show the same life again after a cut.
func (e *entry) forgetAfter() time.Duration {
	if e.leaving {
		return max(e.policy.ForgetAfter, e.policy.ForgetLeavingAfter)
	}
	return e.policy.ForgetAfter
}

// lastBeat returns when the list last showed a sign of life. Another node that
// reads the list tells only what changes: what it has not dropped goes on beating.
func (r *Roster) lastBeat(e *entry) time.Time {
	if e.inList && r.fedAsOf.After(e.beat) {
		return r.fedAsOf
	}
	return e.beat
}

// silent reports whether an instance has shown no sign of life for so long that its process must have ended.
func (r *Roster) silent(e *entry, now time.Time) bool {
	last := r.lastBeat(e)
	if heard := e.lastHeard(); heard.After(last) {
		last = heard
	}
	return e.unreachable() && now.Sub(last) > r.cfg.Stall+r.cfg.Policy.GoneMargin
}

// current returns the newest word on an instance.
func (e *entry) current() fleet.Instance {
	in := e.listed
	in.Draining = in.Draining || e.leaving
	in.Membership, in.Model, in.Loaded, in.Staged = e.belief.Membership, e.belief.Model, e.belief.Loaded, e.belief.Staged
	return in
}

// SetReportLag changes how much older than the question what a report tells may be.
func (r *Roster) SetReportLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.ReportLag = d
}

// age draws the conclusions that come with time alone.
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
