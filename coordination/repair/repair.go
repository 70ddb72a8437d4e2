// Package repair plans what to do about replica groups that miss a member:
// wait for its restart, put a spare in its seat, or break up another broken
// group for its members. The planner is a pure function.
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
	// ActionBreakUp vacates a seat of another broken group, whose member then becomes a spare.
	ActionBreakUp Action = "break-up"
)

// Seat is one member of a group that is missing, or a vacant seat.
type Seat struct {
	Rank     int
	Instance state.InstanceID
	// Missing is for how long the member has not been there.
	Missing time.Duration
}

// Broken is a group that is not whole because members are missing.
type Broken struct {
	Group *state.Group
	Seats []Seat
	// Weight multiplies the cost of the group's downtime.
	Weight float64
}

// alive returns the number of members that are there but hold no working group.
func (b *Broken) alive() int { return len(b.Group.Members) - len(b.Seats) }

// Input is all that a plan depends on.
type Input struct {
	Policy state.Policy
	Broken []Broken
	// Spares are free instances with fresh evidence, not leaving.
	Spares []state.Place
	// Loading is the number of groups loading now, MaxLoads how many the weight store carries at once.
	Loading  int
	MaxLoads int
}

// Decision is what is to be done about one broken group, and why.
type Decision struct {
	Group  state.GroupName
	Action Action
	// WaitCost and ActCost are what waiting and acting are expected to cost, in the policy's unit.
	WaitCost float64
	ActCost  float64
	Reason   string
	Ops      []state.Op
}

// Plan returns a decision for every broken group, the costliest to leave first.
func Plan(in Input) []Decision {
	p := &plan{in: in, spares: slices.Clone(in.Spares), loads: in.MaxLoads - in.Loading, broken: map[state.GroupName]*Broken{}}
	order := slices.Clone(in.Broken)
	slices.SortFunc(order, func(a, b Broken) int {
		return cmp.Or(
			cmp.Compare(len(a.Seats), len(b.Seats)),
			cmp.Compare(p.waitCost(&b), p.waitCost(&a)),
			cmp.Compare(a.Group.Name, b.Group.Name),
		)
	})
	for i := range order {
		p.broken[order[i].Group.Name] = &order[i]
	}
	decisions := make([]Decision, 0, len(order))
	for i := range order {
		if p.broken[order[i].Group.Name] == nil {
			continue
		}
		decisions = append(decisions, p.decide(&order[i], order[i+1:]))
	}
	return decisions
}

// plan is the state of one run of the planner.
type plan struct {
	in     Input
	spares []state.Place
	loads  int
	// broken are the groups that are not yet broken up for another.
	broken map[state.GroupName]*Broken
}

// decide weighs the ways for one group; later groups may be broken up for it.
func (p *plan) decide(b *Broken, later []Broken) Decision {
	d := Decision{Group: b.Group.Name, Action: ActionWait, WaitCost: p.waitCost(b), ActCost: p.spareCost(b)}
	switch {
	case d.ActCost >= d.WaitCost:
		d.Reason = "waiting for the restart costs less"
	case p.loads <= 0:
		d.Reason = "the weight store is at its limit"
	default:
		p.act(b, later, &d)
	}
	return d
}

// act takes spares, or breaks up another broken group when there are too few.
func (p *plan) act(b *Broken, later []Broken, d *Decision) {
	found := p.domainSpares(b)
	if len(found) >= len(b.Seats) {
		p.fill(b, found, d)
		return
	}
	donor := p.donor(b, later, len(b.Seats)-len(found))
	if donor == nil {
		d.Reason = "no spare and no lesser group in the fabric domain"
		return
	}
	p.vacate(donor, len(b.Seats)-len(found), d)
}

// domainSpares returns the spares in the group's hall and fabric domain.
func (p *plan) domainSpares(b *Broken) []state.Place {
	var found []state.Place
	for _, s := range p.spares {
		if s.Hall == b.Group.Hall && s.Domain == b.Group.Domain {
			found = append(found, s)
		}
	}
	return found
}

// fill puts spares in all missing seats.
func (p *plan) fill(b *Broken, found []state.Place, d *Decision) {
	d.Action, d.Reason = ActionSpare, "a spare costs less than waiting"
	p.loads--
	for i, seat := range b.Seats {
		d.Ops = append(d.Ops, state.Op{ReplaceMember: &state.ReplaceMember{
			Group: b.Group.Name, Epoch: epochFor(b, i), Rank: seat.Rank, Out: seat.Instance, In: found[i],
		}})
		p.spares = slices.DeleteFunc(p.spares, func(s state.Place) bool { return s.Instance == found[i].Instance })
	}
}

// epochFor returns the precondition of the i-th change to a group in one
// command: the first change gives the group a new epoch, which the later ones
// cannot know.
func epochFor(b *Broken, i int) state.Epoch {
	if i == 0 {
		return b.Group.Epoch
	}
	return 0
}

// donor returns the broken group that loses least by giving members to b: one
// in the same domain, of no greater weight, with more seats missing or last in order.
func (p *plan) donor(b *Broken, later []Broken, need int) *Broken {
	for i := len(later) - 1; i >= 0; i-- {
		o := &later[i]
		if p.broken[o.Group.Name] == nil || o.Group.Releasing || o.Weight > b.Weight {
			continue
		}
		if o.Group.Hall == b.Group.Hall && o.Group.Domain == b.Group.Domain && o.alive() >= need {
			return o
		}
	}
	return nil
}

// vacate takes members out of a donor; they become spares once they report their release.
func (p *plan) vacate(donor *Broken, need int, d *Decision) {
	d.Action, d.Reason = ActionBreakUp, "members of "+string(donor.Group.Name)+" cost less than waiting"
	delete(p.broken, donor.Group.Name)
	for rank, id := range donor.Group.Members {
		if need == 0 {
			return
		}
		if id == "" || slices.ContainsFunc(donor.Seats, func(s Seat) bool { return s.Rank == rank }) {
			continue
		}
		epoch := donor.Group.Epoch
		if len(d.Ops) > 0 {
			epoch = 0
		}
		d.Ops = append(d.Ops, state.Op{VacateMember: &state.VacateMember{Group: donor.Group.Name, Epoch: epoch, Rank: rank, Out: id}})
		need--
	}
}

// waitCost is the expected cost of leaving a group until its members are back.
func (p *plan) waitCost(b *Broken) float64 {
	var longest time.Duration
	for _, s := range b.Seats {
		longest = max(longest, p.remaining(s))
	}
	return p.cost(b, longest+p.in.Policy.Load, b.alive())
}

// spareCost is the expected cost of filling the missing seats now.
func (p *plan) spareCost(b *Broken) float64 {
	return p.cost(b, p.in.Policy.Load, len(b.Group.Members))
}

// cost is that of a group without work for a time, with a number of its instances stranded.
func (p *plan) cost(b *Broken, down time.Duration, stranded int) float64 {
	return down.Seconds() * (p.in.Policy.Downtime*b.Weight + p.in.Policy.Stranded*float64(stranded))
}

// remaining is the expected time until a missing member is back.
//
// Up to the usual restart time it is what is left of it. A member that has been
// away for longer is expected to stay away as long again, since restarts that
// take long are mostly failures that need a repair. A vacant seat is never filled by waiting.
func (p *plan) remaining(s Seat) time.Duration {
	if s.Instance == "" {
		return vacantWait
	}
	if s.Missing < p.in.Policy.Restart {
		return p.in.Policy.Restart - s.Missing
	}
	return s.Missing
}

// vacantWait stands for a seat that nothing but a repair fills.
const vacantWait = 24 * time.Hour
