// Package repair plans what to do about replica groups that miss a member:
// wait for its restart, put a spare in its seat, or break up a lesser group for
// its members. The planner is a pure function.
package repair

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Action is what the planner decides for one broken group.
type Action string

// The actions.
const (
	// ActionWait leaves the group as it is.
	ActionWait Action = "wait"
	// ActionSpare puts spares in the seats of the missing members.
	ActionSpare Action = "spare"
	// ActionDrain stops new requests to a lesser group that is to be broken up.
	ActionDrain Action = "drain"
	// ActionBreakUp vacates seats of a lesser group, whose members then become spares.
	ActionBreakUp Action = "break-up"
	// ActionReturn gives a drained group its requests back: its members are no longer needed.
	ActionReturn Action = "return"
)

// Seat is one member of a group that is missing, or a vacant seat.
type Seat struct {
	Rank     int
	Instance state.InstanceID
	// Missing is for how long the member has not been there.
	Missing time.Duration
}

// Group is a group as the planner sees it.
type Group struct {
	*state.Group
	// Seats are those whose members are missing; none when the group is whole.
	Seats []Seat
	// Weight multiplies the cost of the group's downtime.
	Weight float64
	// Idle tells that no node holds a request of the group, so that breaking it up cuts none.
	Idle bool
}

// alive returns the number of members that are there.
func (g *Group) alive() int { return len(g.Members) - len(g.Seats) }

// missing reports whether the member of a rank is missing.
func (g *Group) missing(rank int) bool {
	return slices.ContainsFunc(g.Seats, func(s Seat) bool { return s.Rank == rank })
}

// Input is all that a plan depends on.
type Input struct {
	Policy state.Policy
	// Broken are groups with missing seats, Whole those without.
	Broken []Group
	Whole  []Group
	// Spares are free instances with fresh evidence, not leaving.
	Spares []state.Place
	// Loading is the number of groups loading now, MaxLoads how many the weight store carries at once.
	Loading  int
	MaxLoads int
}

// Decision is what is to be done about one group, and why.
type Decision struct {
	Group  state.GroupName
	Action Action
	// WaitCost and ActCost are what waiting and acting are expected to cost, in the policy's unit.
	WaitCost float64
	ActCost  float64
	Reason   string
	Ops      []state.Op
}

// Plan returns a decision for every broken group, the costliest for each
// missing seat first, and for every group that is drained for another in vain.
func Plan(in Input) []Decision {
	p := newPlan(in)
	decisions := p.returns()
	for i := range p.order {
		b := &p.order[i]
		if !p.used[b.Name] {
			decisions = append(decisions, p.decide(b, p.order[i+1:]))
		}
	}
	return decisions
}

// plan is the state of one run of the planner.
type plan struct {
	in     Input
	order  []Group
	spares []state.Place
	loads  int
	// used are the groups that have been chosen as donors.
	used map[state.GroupName]bool
	// donors are the groups drained for another, by the group that needs them.
	donors map[state.GroupName]*Group
}

// newPlan puts the broken groups in the order in which they are decided.
func newPlan(in Input) *plan {
	p := &plan{
		in:     in,
		order:  slices.Clone(in.Broken),
		spares: slices.Clone(in.Spares),
		loads:  in.MaxLoads - in.Loading,
		used:   map[state.GroupName]bool{},
		donors: map[state.GroupName]*Group{},
	}
	slices.SortFunc(p.order, func(a, b Group) int {
		return cmp.Or(cmp.Compare(p.density(&b), p.density(&a)), cmp.Compare(a.Name, b.Name))
	})
	for i := range in.Whole {
		if g := &in.Whole[i]; g.DrainedFor != "" {
			p.donors[g.DrainedFor] = g
		}
	}
	return p
}

// density is what a second of a group's downtime costs for each seat that must be filled to end it.
func (p *plan) density(g *Group) float64 { return p.rate(g, len(g.Members)) / float64(len(g.Seats)) }

// returns gives back the donors whose broken group is whole again, or gone.
func (p *plan) returns() []Decision {
	var decisions []Decision
	for i := range p.in.Whole {
		g := &p.in.Whole[i]
		if g.DrainedFor == "" || slices.ContainsFunc(p.order, func(b Group) bool { return b.Name == g.DrainedFor }) {
			continue
		}
		decisions = append(decisions, Decision{
			Group:  g.Name,
			Action: ActionReturn,
			Reason: string(g.DrainedFor) + " no longer needs its members",
			Ops:    []state.Op{undrain(g)},
		})
	}
	return decisions
}

// undrain is the change that gives a group its requests back.
func undrain(g *Group) state.Op {
	return state.Op{DrainGroup: &state.DrainGroup{Group: g.Name, Off: true}}
}

// decide weighs the ways for one group; later ones in the order may be broken up for it.
func (p *plan) decide(b *Group, later []Group) Decision {
	d := Decision{Group: b.Name, Action: ActionWait}
	d.WaitCost = p.cost(b, p.wait(b)+p.in.Policy.Load, len(b.Members))
	d.ActCost = p.cost(b, p.in.Policy.Load, len(b.Members))
	found := p.domainSpares(b)
	switch {
	case d.ActCost >= d.WaitCost:
		d.Reason = "waiting for the restart costs no more"
	case p.loads <= 0:
		d.Reason = "the weight store is at its limit"
	case len(found) >= len(b.Seats):
		p.fill(b, found, &d)
	default:
		p.breakUp(b, later, len(b.Seats)-len(found), &d)
	}
	return d
}

// domainSpares returns the spares in the group's hall and fabric domain.
func (p *plan) domainSpares(b *Group) []state.Place {
	var found []state.Place
	for _, s := range p.spares {
		if s.Hall == b.Hall && s.Domain == b.Domain {
			found = append(found, s)
		}
	}
	return found
}

// fill puts spares in all missing seats.
func (p *plan) fill(b *Group, found []state.Place, d *Decision) {
	d.Action, d.Reason = ActionSpare, "a spare costs less than waiting"
	p.loads--
	for i, seat := range b.Seats {
		d.Ops = append(d.Ops, state.Op{ReplaceMember: &state.ReplaceMember{
			Group: b.Name, Epoch: epochFor(b, i), Rank: seat.Rank, Out: seat.Instance, In: found[i],
		}})
		p.spares = slices.DeleteFunc(p.spares, func(s state.Place) bool { return s.Instance == found[i].Instance })
	}
}

// epochFor returns the precondition of the i-th change to a group in one
// command: the first change gives the group a new epoch, which the later ones
// cannot know.
func epochFor(g *Group, i int) state.Epoch {
	if i == 0 {
		return g.Epoch
	}
	return 0
}

// breakUp takes the members that are still needed from a lesser group, if that costs less than waiting.
func (p *plan) breakUp(b *Group, later []Group, need int, d *Decision) {
	donor := p.donors[b.Name]
	if donor == nil {
		var loss float64
		donor, loss = p.donor(b, later, need)
		if donor == nil {
			d.Reason = "no spare, and no lesser group that would cost less, in the fabric domain"
			return
		}
		d.ActCost += loss
	}
	p.used[donor.Name] = true
	switch {
	case len(donor.Seats) > 0 || (donor.DrainedFor == b.Name && donor.Idle):
		p.vacate(donor, need, d)
	case donor.DrainedFor == b.Name:
		d.Reason = "waiting for the last request of " + string(donor.Name)
	default:
		d.Action, d.Reason = ActionDrain, string(donor.Name)+" costs less than waiting"
		d.Ops = []state.Op{{DrainGroup: &state.DrainGroup{Group: donor.Name, For: b.Name}}}
	}
}

// lesser is how much more a second of a broken group must cost than one of a
// whole group that is broken up for it. Without it, groups of equal size were
// broken up in turn for each other.
const lesser = 1.5

// donor returns the group of the domain that loses least by giving members to b, and what it loses.
func (p *plan) donor(b *Group, later []Group, need int) (*Group, float64) {
	var best *Group
	var least float64
	gain := p.cost(b, p.wait(b), len(b.Members))
	consider := func(o *Group) {
		if p.used[o.Name] || o.Releasing || o.Drained != 0 || o.Hall != b.Hall || o.Domain != b.Domain || o.alive() < need {
			return
		}
		if loss := p.loss(o, b, need); loss < gain && (best == nil || loss < least) {
			best, least = o, loss
		}
	}
	for i := range later {
		consider(&later[i])
	}
	for i := range p.in.Whole {
		if o := &p.in.Whole[i]; p.rate(b, len(b.Members)) >= lesser*p.rate(o, len(o.Members)) {
			consider(o)
		}
	}
	return best, least
}

// loss is what it costs a donor to give members to b.
//
// The donor gets the missing members of b in exchange when they return, so it
// waits for them and, if it is broken itself, for its own. Meanwhile the members
// that it gave are not stranded.
func (p *plan) loss(donor, b *Group, need int) float64 {
	var before float64
	if len(donor.Seats) > 0 {
		before = p.cost(donor, p.wait(donor)+p.in.Policy.Load, donor.alive())
	}
	after := max(p.wait(donor), p.wait(b)) + p.in.Policy.Load
	return p.cost(donor, after, donor.alive()-need) - before
}

// vacate takes members out of a donor; they become spares once they report their release.
func (p *plan) vacate(donor *Group, need int, d *Decision) {
	d.Action, d.Reason = ActionBreakUp, "members of "+string(donor.Name)+" cost less than waiting"
	for rank, id := range donor.Members {
		if need == 0 {
			break
		}
		if id == "" || donor.missing(rank) {
			continue
		}
		op := &state.VacateMember{Group: donor.Name, Epoch: epochFor(donor, len(d.Ops)), Rank: rank, Out: id}
		d.Ops = append(d.Ops, state.Op{VacateMember: op})
		need--
	}
	if donor.DrainedFor != "" {
		d.Ops = append(d.Ops, undrain(donor))
	}
}

// wait is the expected time until the last missing member of a group is back; 0 for a whole group.
func (p *plan) wait(g *Group) time.Duration {
	var longest time.Duration
	for _, s := range g.Seats {
		longest = max(longest, p.remaining(s))
	}
	return longest
}

// cost is that of a group without work for a time, with a number of its instances stranded.
func (p *plan) cost(g *Group, down time.Duration, stranded int) float64 {
	return down.Seconds() * p.rate(g, stranded)
}

// rate is the cost of one second of a group's downtime.
//
// A spare is as stranded before it is put into a group as it is while that
// group loads, so both ways count all the group's seats.
func (p *plan) rate(g *Group, stranded int) float64 {
	return p.in.Policy.Downtime*g.Weight + p.in.Policy.Stranded*float64(stranded)
}

// remaining is the expected time until a missing member is back.
//
// Up to the usual restart time it is what is left of it. A member that has been
// away for longer is expected to stay away as long again, since restarts that
// take long are mostly failures that need a repair. A vacant seat is filled by
// whatever returns next.
func (p *plan) remaining(s Seat) time.Duration {
	if s.Missing < p.in.Policy.Restart {
		return p.in.Policy.Restart - s.Missing
	}
	return s.Missing
}
