// Package repair plans how to restore replica groups with missing members: wait for
// their restart, replace them with spares, or break up a group with a lower downtime
// cost and use its members. The planner is a pure function.
package repair

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Action is the planner's decision for one group.
type Action string

// The actions.
const (
	// ActionWait leaves the group as it is.
	ActionWait Action = "wait"
	// ActionSpare replaces the missing members with spares.
	ActionSpare Action = "spare"
	// ActionDrain stops new requests to a donor group before it is broken up.
	ActionDrain Action = "drain"
	// ActionBreakUp releases members of a donor group, which then become spares.
	ActionBreakUp Action = "break-up"
	// ActionReturn ends the drain of a donor group whose members are no longer needed.
	ActionReturn Action = "return"
)

// Seat is a rank of a group whose member is missing, or that has no member.
type Seat struct {
	Rank     int
	Instance state.InstanceID
	// Missing is the time for which the member has been missing.
	Missing time.Duration
}

// Group is the planner's view of a group.
type Group struct {
	*state.Group
	// Seats are the ranks without a present member. It is empty for a complete group.
	Seats []Seat
	// Weight multiplies the cost of the group's downtime.
	Weight float64
	// Idle is true if no node has a request in flight at the group, so that breaking it up
	// interrupts none.
	Idle bool
}

// alive returns the number of members that are present.
func (g *Group) alive() int { return len(g.Members) - len(g.Seats) }

// missing reports whether the member at a rank is missing.
func (g *Group) missing(rank int) bool {
	return slices.ContainsFunc(g.Seats, func(s Seat) bool { return s.Rank == rank })
}

// Input holds everything that a plan depends on.
type Input struct {
	Policy state.Policy
	// Broken are the groups with missing members, Whole the ready groups without.
	Broken []Group
	Whole  []Group
	// Spares are free instances with recent evidence that are not leaving.
	Spares []state.Place
	// Loading is the number of groups that are loading. MaxLoads is the number of concurrent
	// loads that the weight store supports.
	Loading  int
	MaxLoads int
}

// Decision is the action for one group and its reason.
type Decision struct {
	Group  state.GroupName
	Action Action
	// WaitCost and ActCost are the expected costs of waiting and of acting, in the policy's unit.
	WaitCost float64
	ActCost  float64
	Reason   string
	Ops      []state.Op
}

// Plan returns a decision for every group whose drain is no longer needed, and then for
// the broken groups that do not serve as donors, in descending order of downtime cost
// per missing member.
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
	// used are the groups that have been selected as donors.
	used map[state.GroupName]bool
	// donors are the drained groups by the name of the broken group that needs their members.
	donors map[state.GroupName]*Group
}

// newPlan sorts the broken groups in the order in which they are decided.
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

// density returns the cost of one second of a group's downtime per missing member.
func (p *plan) density(g *Group) float64 { return p.rate(g, len(g.Members)) / float64(len(g.Seats)) }

// returns ends the drain of donors whose broken group is complete again or no longer exists.
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

// undrain returns the operation that ends the drain of a group.
func undrain(g *Group) state.Op {
	return state.Op{DrainGroup: &state.DrainGroup{Group: g.Name, Off: true}}
}

// decide compares the costs of waiting and of acting for one group. Groups in later may be broken
// up for it.
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

// domainSpares returns the spares in the group's data hall and fabric domain.
func (p *plan) domainSpares(b *Group) []state.Place {
	var found []state.Place
	for _, s := range p.spares {
		if s.Hall == b.Hall && s.Domain == b.Domain {
			found = append(found, s)
		}
	}
	return found
}

// fill replaces all missing members with spares.
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

// epochFor returns the expected epoch for the i-th change to a group in one command.
// The first change gives the group a new epoch that is not known in advance, so later
// changes use 0, which means no precondition.
func epochFor(g *Group, i int) state.Epoch {
	if i == 0 {
		return g.Epoch
	}
	return 0
}

// breakUp takes the members that are still needed from a donor group, if that costs less than waiting.
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

// lesser is the minimum ratio of the downtime cost of a broken group to that of a
// complete group that is broken up for it. Without it, groups of equal size are broken
// up for each other in turn.
const lesser = 1.5

// donor returns the group of the domain with the lowest loss from giving members to b, and that
// loss. It returns nil if no group loses less than b gains.
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

// loss returns the cost to a donor of giving members to b.
//
// The donor gets the missing members of b in exchange when they return. It waits for
// them and, if it is broken itself, for its own missing members. The members that it
// gave away are not stranded during that time.
func (p *plan) loss(donor, b *Group, need int) float64 {
	var before float64
	if len(donor.Seats) > 0 {
		before = p.cost(donor, p.wait(donor)+p.in.Policy.Load, donor.alive())
	}
	after := max(p.wait(donor), p.wait(b)) + p.in.Policy.Load
	return p.cost(donor, after, donor.alive()-need) - before
}

// vacate releases members of a donor. They become spares when they report their release.
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

// wait returns the expected time until the last missing member of a group returns. It is 0 for a
// complete group.
func (p *plan) wait(g *Group) time.Duration {
	var longest time.Duration
	for _, s := range g.Seats {
		longest = max(longest, p.remaining(s))
	}
	return longest
}

// cost returns the cost of a group's downtime with a number of stranded instances.
func (p *plan) cost(g *Group, down time.Duration, stranded int) float64 {
	return down.Seconds() * p.rate(g, stranded)
}

// rate returns the cost of one second of a group's downtime.
//
// A spare is stranded both before it joins a group and while that group loads, so the
// costs of waiting and of replacing both count all ranks of the group.
func (p *plan) rate(g *Group, stranded int) float64 {
	return p.in.Policy.Downtime*g.Weight + p.in.Policy.Stranded*float64(stranded)
}

// remaining returns the expected time until a missing member returns.
//
// Within the usual restart time, it is the rest of that time. A member that has been
// missing for longer is expected to be missing for the same time again, because most
// long restarts are failures that need a repair. A rank without a member is filled by
// the next instance that returns.
func (p *plan) remaining(s Seat) time.Duration {
	if s.Missing < p.in.Policy.Restart {
		return p.in.Policy.Restart - s.Missing
	}
	return s.Missing
}
