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
	// ActionEndDrain ends the drain of a donor group whose members are no longer needed.
	ActionEndDrain Action = "return"
)

// Vacancy is a rank of a group whose member is missing, or that has no member.
type Vacancy struct {
	Rank     int
	Instance state.InstanceID
	// MissingFor is the time for which the member has been missing.
	MissingFor time.Duration
}

// Group is the planner's view of a group.
type Group struct {
	*state.Group
	// Vacant are the ranks without a present member. It is empty for a complete group.
	Vacant []Vacancy
	// Weight multiplies the cost of the group's downtime.
	Weight float64
	// Idle is true if no node has a request in flight at the group, so that breaking it up
	// interrupts none.
	Idle bool
}

// presentMembers returns the number of members that are present.
func (g *Group) presentMembers() int { return len(g.Members) - len(g.Vacant) }

// isMissing reports whether the member at a rank is missing.
func (g *Group) isMissing(rank int) bool {
	return slices.ContainsFunc(g.Vacant, func(s Vacancy) bool { return s.Rank == rank })
}

// Input holds everything that a plan depends on.
type Input struct {
	Policy state.Policy
	// Incomplete are the groups with missing members, Ready the groups that are complete and ready.
	Incomplete []Group
	Ready      []Group
	// Spares are free instances with recent evidence that are not leaving.
	Spares []state.Place
	// LoadingGroups is the number of groups that are loading. MaxConcurrentLoads is the number of concurrent
	// loads that the weight store supports.
	LoadingGroups      int
	MaxConcurrentLoads int
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
	decisions := p.endDrains()
	for i := range p.broken {
		b := &p.broken[i]
		if !p.usedDonors[b.Name] {
			decisions = append(decisions, p.decide(b, p.broken[i+1:]))
		}
	}
	return decisions
}

// plan is the state of one run of the planner.
type plan struct {
	in             Input
	broken         []Group
	spares         []state.Place
	availableLoads int
	// usedDonors are the groups that have been selected as donors.
	usedDonors map[state.GroupName]bool
	// drainedDonors are the drained groups by the name of the broken group that needs their members.
	drainedDonors map[state.GroupName]*Group
}

// newPlan sorts the broken groups in the order in which they are decided.
func newPlan(in Input) *plan {
	p := &plan{
		in:             in,
		broken:         slices.Clone(in.Incomplete),
		spares:         slices.Clone(in.Spares),
		availableLoads: in.MaxConcurrentLoads - in.LoadingGroups,
		usedDonors:     map[state.GroupName]bool{},
		drainedDonors:  map[state.GroupName]*Group{},
	}
	slices.SortFunc(p.broken, func(a, b Group) int {
		return cmp.Or(cmp.Compare(p.density(&b), p.density(&a)), cmp.Compare(a.Name, b.Name))
	})
	for i := range in.Ready {
		if g := &in.Ready[i]; g.DrainedFor != "" {
			p.drainedDonors[g.DrainedFor] = g
		}
	}
	return p
}

// density returns the cost of one second of a group's downtime per missing member.
func (p *plan) density(g *Group) float64 { return p.rate(g, len(g.Members)) / float64(len(g.Vacant)) }

// endDrains ends the drain of donors whose broken group is complete again or no longer exists.
func (p *plan) endDrains() []Decision {
	var decisions []Decision
	for i := range p.in.Ready {
		g := &p.in.Ready[i]
		if g.DrainedFor == "" || slices.ContainsFunc(p.broken, func(b Group) bool { return b.Name == g.DrainedFor }) {
			continue
		}
		decisions = append(decisions, Decision{
			Group:  g.Name,
			Action: ActionEndDrain,
			Reason: string(g.DrainedFor) + " no longer needs its members",
			Ops:    []state.Op{undrainOp(g)},
		})
	}
	return decisions
}

// undrainOp returns the operation that ends the drain of a group.
func undrainOp(g *Group) state.Op {
	return state.Op{DrainGroup: &state.DrainGroup{Group: g.Name, Off: true}}
}

// decide compares the costs of waiting and of acting for one group. Groups in later may be broken
// up for it.
func (p *plan) decide(b *Group, later []Group) Decision {
	d := Decision{Group: b.Name, Action: ActionWait}
	d.WaitCost = p.cost(b, p.expectedWait(b)+p.in.Policy.Load, len(b.Members))
	d.ActCost = p.cost(b, p.in.Policy.Load, len(b.Members))
	spares := p.domainSpares(b)
	switch {
	case d.ActCost >= d.WaitCost:
		d.Reason = "waiting for the restart costs no more"
	case p.availableLoads <= 0:
		d.Reason = "the weight store is at its limit"
	case len(spares) >= len(b.Vacant):
		p.replaceMissing(b, spares, &d)
	default:
		p.breakUp(b, later, len(b.Vacant)-len(spares), &d)
	}
	return d
}

// domainSpares returns the spares in the group's data hall and fabric domain.
func (p *plan) domainSpares(b *Group) []state.Place {
	var spares []state.Place
	for _, s := range p.spares {
		if s.Hall == b.Hall && s.Domain == b.Domain {
			spares = append(spares, s)
		}
	}
	return spares
}

// replaceMissing replaces all missing members with spares.
func (p *plan) replaceMissing(b *Group, spares []state.Place, d *Decision) {
	d.Action, d.Reason = ActionSpare, "a spare costs less than waiting"
	p.availableLoads--
	for i, seat := range b.Vacant {
		d.Ops = append(d.Ops, state.Op{ReplaceMember: &state.ReplaceMember{
			Group: b.Name, Epoch: epochFor(b, i), Rank: seat.Rank, Out: seat.Instance, In: spares[i],
		}})
		p.spares = slices.DeleteFunc(p.spares, func(s state.Place) bool { return s.Instance == spares[i].Instance })
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
	donor := p.drainedDonors[b.Name]
	if donor == nil {
		var loss float64
		donor, loss = p.cheapestDonor(b, later, need)
		if donor == nil {
			d.Reason = "no spare, and no lesser group that would cost less, in the fabric domain"
			return
		}
		d.ActCost += loss
	}
	p.usedDonors[donor.Name] = true
	switch {
	case len(donor.Vacant) > 0 || (donor.DrainedFor == b.Name && donor.Idle):
		p.releaseMembers(donor, need, d)
	case donor.DrainedFor == b.Name:
		d.Reason = "waiting for the last request of " + string(donor.Name)
	default:
		d.Action, d.Reason = ActionDrain, string(donor.Name)+" costs less than waiting"
		d.Ops = []state.Op{{DrainGroup: &state.DrainGroup{Group: donor.Name, For: b.Name}}}
	}
}

// minCostRatio is the minimum ratio of the downtime cost of a broken group to that of a
// complete group that is broken up for it. Without it, groups of equal size are broken
// up for each other in turn.
const minCostRatio = 1.5

// cheapestDonor returns the group of the domain with the lowest loss from giving members to
// b, and that loss. It returns nil if no group loses less than b gains.
func (p *plan) cheapestDonor(b *Group, later []Group, need int) (*Group, float64) {
	var best *Group
	var lowestLoss float64
	gain := p.cost(b, p.expectedWait(b), len(b.Members))
	consider := func(o *Group) {
		if p.usedDonors[o.Name] || o.Releasing || o.Drained != 0 || o.Hall != b.Hall || o.Domain != b.Domain || o.presentMembers() < need {
			return
		}
		if loss := p.loss(o, b, need); loss < gain && (best == nil || loss < lowestLoss) {
			best, lowestLoss = o, loss
		}
	}
	for i := range later {
		consider(&later[i])
	}
	for i := range p.in.Ready {
		if o := &p.in.Ready[i]; p.rate(b, len(b.Members)) >= minCostRatio*p.rate(o, len(o.Members)) {
			consider(o)
		}
	}
	return best, lowestLoss
}

// loss returns the cost to a donor of giving members to b.
//
// The donor gets the missing members of b in exchange when they return. It waits for
// them and, if it is broken itself, for its own missing members. The members that it
// gave away are not stranded during that time.
func (p *plan) loss(donor, b *Group, need int) float64 {
	var before float64
	if len(donor.Vacant) > 0 {
		before = p.cost(donor, p.expectedWait(donor)+p.in.Policy.Load, donor.presentMembers())
	}
	after := max(p.expectedWait(donor), p.expectedWait(b)) + p.in.Policy.Load
	return p.cost(donor, after, donor.presentMembers()-need) - before
}

// releaseMembers releases members of a donor. They become spares when they report their release.
func (p *plan) releaseMembers(donor *Group, need int, d *Decision) {
	d.Action, d.Reason = ActionBreakUp, "members of "+string(donor.Name)+" cost less than waiting"
	for rank, id := range donor.Members {
		if need == 0 {
			break
		}
		if id == "" || donor.isMissing(rank) {
			continue
		}
		op := &state.VacateMember{Group: donor.Name, Epoch: epochFor(donor, len(d.Ops)), Rank: rank, Out: id}
		d.Ops = append(d.Ops, state.Op{VacateMember: op})
		need--
	}
	if donor.DrainedFor != "" {
		d.Ops = append(d.Ops, undrainOp(donor))
	}
}

// expectedWait returns the expected time until the last missing member of a group returns.
// It is 0 for a complete group.
func (p *plan) expectedWait(g *Group) time.Duration {
	var longest time.Duration
	for _, s := range g.Vacant {
		longest = max(longest, p.expectedReturn(s))
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

// expectedReturn returns the expected time until a missing member returns.
//
// Within the usual restart time, it is the rest of that time. A member that has been
// missing for longer is expected to be missing for the same time again, because most
// long restarts are failures that need a repair. A rank without a member is filled by
// the next instance that returns.
func (p *plan) expectedReturn(s Vacancy) time.Duration {
	if s.MissingFor < p.in.Policy.Restart {
		return p.in.Policy.Restart - s.MissingFor
	}
	return s.MissingFor
}
