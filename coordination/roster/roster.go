// Package roster keeps what a node knows of the target instances: what the
// platform's list says, what each instance reported itself, and which of them
// no longer answer.
package roster

import (
	"slices"
	"strings"
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
}

// Bounds of the conclusions.
const (
	// lostFailures is how many questions in a row must fail for an instance to count as lost.
	lostFailures = 2
	// distinct is the least time between two questions that count as two.
	distinct = 20 * time.Millisecond
	// knownAge is the age up to which a membership counts as known.
	knownAge = 1500 * time.Millisecond
	// unlistedGrace is how long an instance that the list has dropped goes on
	// taking requests: after an outage of the store, entries come back with the next beat.
	unlistedGrace = 300 * time.Millisecond
	// unlisted is how long an instance may be missing in the list before it must answer questions.
	unlisted = time.Second
	// goneMargin is added to the stall time before a silent process counts as ended.
	goneMargin = 1500 * time.Millisecond
	// orderEcho is for how long after an order the state before it may still be told.
	orderEcho = 600 * time.Millisecond
	// forgetAfter is how long an ended instance is remembered.
	forgetAfter = 20 * time.Second
)

// entry is what is known of one instance.
type entry struct {
	listed   fleet.Instance
	inList   bool
	unlisted time.Time
	seen     time.Time
	// beat is when the list last showed a sign of life, changed when its word on the membership last changed.
	beat    time.Time
	changed time.Time
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
	gone      bool
	goneAt    time.Time
	pending   bool
	ordered   time.Time
	// superseded is the formation that the instance last refused to join for a later one.
	superseded fleet.GroupKey
}

// believe takes in what the list or a report says of the membership, as it
// stood at a time. Word that may be older than the last order is passed over.
func (e *entry) believe(m fleet.Membership, model string, staged []string, now time.Time) bool {
	if now.Sub(e.ordered) < orderEcho && m == e.before && m != e.belief.Membership {
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
}

// New returns an empty Roster.
func New(cfg Config) *Roster { return &Roster{cfg: cfg, m: map[state.InstanceID]*entry{}} }

// Version changes with everything that can change a routing decision.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Listed takes in the list's entry of an instance, read at a time.
func (r *Roster) Listed(in fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[in.ID]
	if e == nil {
		e = &entry{seen: now, changed: now, belief: in}
		r.m[in.ID] = e
		r.version++
	}
	if e.beat.IsZero() || in.Position > e.listed.Position {
		e.beat = now
	} else if e.inList {
		return
	}
	before := e.belief.Membership.Key()
	if in.Membership != e.listed.Membership || in.Model != e.listed.Model || !slices.Equal(in.Staged, e.listed.Staged) {
		e.changed = now
	}
	// Every entry says how the instance stands, also one that says the same again.
	if e.believe(in.Membership, in.Model, in.Staged, now) {
		r.version++
	}
	// The number of orders is worth nothing without the membership that it was told with.
	if e.belief.Membership.Key() != before {
		e.counted = false
	}
	if in.Draining != e.listed.Draining || !e.inList {
		r.version++
	}
	e.listed, e.inList = in, true
}

// Relayed takes in what another node knows of an instance, if that is newer than
// what this node has read itself. Of an entry that this node has read too, it
// counts only that the instance is leaving: word of another node brings none back.
func (r *Roster) Relayed(in fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[in.ID]
	if e == nil {
		e = &entry{seen: now, changed: now, belief: in}
		e.listed.Position = in.Position - 1
		r.m[in.ID] = e
	}
	if in.Position <= e.listed.Position {
		if in.Draining && in.Position == e.listed.Position {
			e.listed.Draining = true
			r.version++
		}
		return
	}
	e.beat = now
	e.listed, e.inList = in, true
	if e.believe(in.Membership, in.Model, in.Staged, now) {
		e.counted = false
	}
	r.version++
}

// Confirm takes in that the list was read up to its end by a question asked at a time.
func (r *Roster) Confirm(asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if asked.After(r.listAsOf) {
		r.listAsOf = asked
	}
}

// known tells whether an instance's membership is known as of a moment ago and
// after since: by the list, if the instance itself has lately written its entry, or by a report.
func (r *Roster) known(e *entry, since, now time.Time) bool {
	lately := now.Sub(e.beat) < r.cfg.Beat+r.cfg.Beat/2
	if e.inList && lately && r.listAsOf.After(since) && now.Sub(r.listAsOf) < knownAge {
		return true
	}
	stood := e.reported.Add(-r.cfg.ReportLag)
	return stood.After(since) && now.Sub(stood) < knownAge
}

// Unlisted takes in that the list no longer shows an instance.
func (r *Roster) Unlisted(id state.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil && e.inList {
		e.inList, e.unlisted = false, now
		r.version++
	}
}

// Retain takes in that the list shows exactly some instances.
func (r *Roster) Retain(ids map[state.InstanceID]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.m {
		if !ids[id] && e.inList {
			e.inList, e.unlisted = false, now
			r.version++
		}
	}
}

// Reported takes in what an instance answered to a question asked at rep.Asked.
func (r *Roster) Reported(id state.InstanceID, rep fleet.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil {
		return
	}
	e.hear(rep.Asked, r)
	stood := rep.Asked.Add(-r.cfg.ReportLag)
	if rep.Asked.After(e.reported) {
		e.reported = rep.Asked
	}
	if stood.After(e.changed) && e.believe(rep.Membership, rep.Model, rep.Staged, stood) {
		r.version++
	}
	if rep.Membership.Key() == e.belief.Membership.Key() && stood.After(e.ordered) {
		e.orders, e.counted = rep.Orders, true
	}
}

// hear notes a sign of life that is as old as the question.
func (e *entry) hear(at time.Time, r *Roster) {
	if at.After(e.heard) {
		e.heard = at
	}
	if e.failures > 0 && at.After(e.suspected) {
		if e.failures >= lostFailures {
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
	if e == nil || asked.Before(e.heard) || asked.Sub(e.suspected) < distinct && e.failures > 0 {
		return
	}
	e.failures++
	e.suspected = asked
	if e.failures == lostFailures {
		r.version++
	}
}

// Replaced takes in that another process answers at an instance's address.
func (r *Roster) Replaced(id state.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil && !e.gone {
		e.gone, e.goneAt = true, now
		r.version++
	}
}

// Ordering notes that an order to an instance is on its way.
func (r *Roster) Ordering(id state.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		e.pending = true
	}
}

// Ordered takes in what an instance said of an order. What an accepted order
// brings about is believed at once, since reports and the list tell it later.
func (r *Roster) Ordered(o placement.Order, reply placement.Reply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[o.Instance]
	if e == nil {
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
	r.version++
}

// lost tells whether an instance no longer answers, as far as is known.
func (e *entry) lost(now time.Time) bool {
	return e.gone || e.failures >= lostFailures || (!e.inList && now.Sub(e.unlisted) > unlisted && now.Sub(e.heard) > unlisted)
}

// silent tells whether nothing was heard of an instance for so long that its process must have ended.
func (r *Roster) silent(e *entry, now time.Time) bool {
	last := e.beat
	if e.heard.After(last) {
		last = e.heard
	}
	return e.failures >= lostFailures && now.Sub(last) > r.cfg.Stall+goneMargin
}

// current returns the newest word on an instance.
func (e *entry) current() fleet.Instance {
	in := e.listed
	in.Membership, in.Model, in.Loaded, in.Staged = e.belief.Membership, e.belief.Model, e.belief.Loaded, e.belief.Staged
	return in
}

// SetReportLag changes how much older than the question what a report tells may be.
func (r *Roster) SetReportLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.ReportLag = d
}

// Members returns the instances of a service, by id, as a planner sees them that has planned since a time.
func (r *Roster) Members(service state.ServiceName, since, now time.Time) []placement.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []placement.Member
	for id, e := range r.m {
		r.age(id, e, now)
		if e.listed.Service != service {
			continue
		}
		list = append(list, placement.Member{
			Instance:   e.current(),
			Orders:     e.orders,
			Counted:    e.counted,
			Known:      r.known(e, since, now),
			Lost:       e.lost(now),
			Gone:       e.gone,
			Pending:    e.pending,
			Superseded: e.superseded,
			Seen:       e.seen,
		})
	}
	slices.SortFunc(list, func(a, b placement.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// age draws the conclusions that come with time alone.
func (r *Roster) age(id state.InstanceID, e *entry, now time.Time) {
	if !e.gone && r.silent(e, now) {
		e.gone, e.goneAt = true, now
		r.version++
	}
	if e.gone && now.Sub(e.goneAt) > forgetAfter {
		delete(r.m, id)
		r.version++
	}
}

// Doubtful returns the instances that should be asked whether they still live:
// those whose entries have stopped, and those that failed to answer.
func (r *Roster) Doubtful(now time.Time) []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleet.Instance
	for _, e := range r.m {
		stopped := now.Sub(e.beat) > 2*r.cfg.Beat+r.cfg.Beat/4 || !e.inList
		if !e.gone && (e.failures > 0 || stopped && now.Sub(e.heard) > r.cfg.Beat) {
			list = append(list, e.listed)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// View is one instance as the request path sees it.
type View struct {
	fleet.Instance
	// Lost tells that it does not answer, Unlisted that the list no longer shows it.
	Lost     bool
	Unlisted bool
}

// All returns every instance that has not ended, by id.
func (r *Roster) All(now time.Time) []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]View, 0, len(r.m))
	for _, e := range r.m {
		if e.gone {
			continue
		}
		v := View{Instance: e.current(), Lost: e.lost(now), Unlisted: !e.inList}
		v.Draining = v.Draining || (v.Unlisted && now.Sub(e.unlisted) > unlistedGrace)
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b View) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Get returns what is known of one instance.
func (r *Roster) Get(id state.InstanceID, now time.Time) (View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil || e.gone {
		return View{}, false
	}
	return View{Instance: e.current(), Lost: e.lost(now)}, true
}
