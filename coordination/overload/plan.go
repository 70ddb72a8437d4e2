package overload

import (
	"cmp"
	"math"
	"slices"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state"
)

// Plan says which fraction of the requests of each class is admitted. It is immutable.
type Plan struct {
	// Room and Demand are the requests per second that fit and that arrive.
	Room, Demand float64
	// Overloaded reports whether more requests arrive than fit, beyond the slack. Otherwise all are admitted.
	Overloaded bool
	fractions  map[demand.Class]float64
	// isUniform is set if the classes of the demand are unknown, so that all have the same fraction.
	isUniform bool
	// cut is the first rank of which not all requests are admitted.
	cut rank
	// demandBefore is the demand of all priorities before each one, per second.
	demandBefore [demand.Priorities + 1]float64
}

// rank is the place of requests in the order of admission. Lower ranks go first.
type rank int

// rankOf returns the rank of a class: by priority, and within one the requests that return before new ones.
func rankOf(c demand.Class) rank {
	r := 2 * rank(min(max(c.Priority, 0), demand.Priorities-1))
	if !c.Returning {
		r++
	}
	return r
}

// Plan returns the plan for a pool with room for a number of requests per second and a number of requests in progress per
// slot. Room goes to classes in the order of
// their ranks. Within a rank that does not fit as a whole, it is divided by max-min fairness: among the teams of a
// priority, what a team got for requests that return counts toward its part.
func (o *Policy) Plan(room, inUse float64, flows []demand.ClassFlow) *Plan {
	p := &Plan{Room: room, cut: 2 * demand.Priorities}
	for i := range flows {
		p.Demand += flows[i].Requests
	}
	p.Overloaded = inUse >= o.MinInUse && p.Demand > room+o.Slack*math.Sqrt(p.Demand)
	p.setDemandBefore(flows)
	if !p.Overloaded {
		return p
	}
	sorted := slices.Clone(flows)
	slices.SortStableFunc(sorted, func(a, b demand.ClassFlow) int { return cmp.Compare(rankOf(a.Class), rankOf(b.Class)) })
	p.fractions = make(map[demand.Class]float64, len(sorted))
	given, priority := map[demand.Class]float64{}, rank(0)
	left := room
	for len(sorted) > 0 && p.cut == 2*demand.Priorities {
		r := rankOf(sorted[0].Class)
		n := 1
		for n < len(sorted) && rankOf(sorted[n].Class) == r {
			n++
		}
		if r/2 != priority {
			clear(given)
			priority = r / 2
		}
		left = p.divide(left, sorted[:n], given)
		sorted = sorted[n:]
	}
	return p
}

// UniformPlan returns the plan for demand of unknown classes, of which a leader of an earlier build tells the sum only.
func (o *Policy) UniformPlan(room, inUse, requests float64) *Plan {
	p := o.Plan(room, inUse, []demand.ClassFlow{{Requests: requests}})
	p.isUniform = true
	return p
}

// setDemandBefore sums up the demand by priority.
func (p *Plan) setDemandBefore(flows []demand.ClassFlow) {
	for i := range flows {
		p.demandBefore[rankOf(flows[i].Class)/2+1] += flows[i].Requests
	}
	for i := range demand.Priorities {
		p.demandBefore[i+1] += p.demandBefore[i]
	}
}

// divide divides room among the flows of one rank and returns what is left. It adds to given what each team got.
func (p *Plan) divide(room float64, flows []demand.ClassFlow, given map[demand.Class]float64) float64 {
	parts := make([]part, len(flows))
	total, highest := 0.0, 0.0
	for i := range flows {
		f := &flows[i]
		parts[i] = part{wanted: f.Requests, given: given[teamKey(f.Class)], teams: f.TeamCount()}
		total += f.Requests
		highest = max(highest, (f.Requests+parts[i].given)/parts[i].teams)
	}
	level := highest
	if total > room {
		p.cut = rankOf(flows[0].Class)
		level = fairLevel(room, highest, parts)
	}
	for i := range flows {
		f := &flows[i]
		got := parts[i].at(level)
		if f.Requests > 0 {
			p.fractions[f.Class] = got / f.Requests
		}
		given[teamKey(f.Class)] += got
		room -= got
	}
	return max(room, 0)
}

// teamKey identifies a team within a priority.
func teamKey(c demand.Class) demand.Class { return demand.Class{Team: c.Team} }

// part is what a flow wants of the room and what its teams were given before, in requests per second.
type part struct{ wanted, given, teams float64 }

// at returns the requests per second that the flow gets if each team gets up to level of its priority's room.
func (p *part) at(level float64) float64 { return min(max(level*p.teams-p.given, 0), p.wanted) }

// levelSteps is the number of bisection steps of fairLevel, by which it is exact to a millionth of the largest team.
const levelSteps = 30

// fairLevel returns the highest level, up to highest, at which the parts fit into the room.
func fairLevel(room, highest float64, parts []part) float64 {
	low, high := 0.0, highest
	for range levelSteps {
		level := (low + high) / 2
		sum := 0.0
		for i := range parts {
			sum += parts[i].at(level)
		}
		if sum > room {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// Fraction returns the fraction of the requests of a class that is admitted. A team that the totals do not name gets the
// fraction of the unnamed ones. If there are none, it has hardly any requests and is within its part, whatever that is.
func (p *Plan) Fraction(c demand.Class) float64 {
	r := rankOf(c)
	switch {
	case !p.Overloaded:
		return 1
	case p.isUniform:
		return p.AdmittedFraction()
	case r < p.cut:
		return 1
	case r > p.cut:
		return 0
	}
	if f, named := p.fractions[c]; named {
		return f
	}
	c.Team = ""
	if f, others := p.fractions[c]; others {
		return f
	}
	return 1
}

// AdmittedFraction returns the fraction of all requests that is admitted.
func (p *Plan) AdmittedFraction() float64 {
	if !p.Overloaded {
		return 1
	}
	return p.Room / p.Demand
}

// Cut returns the priority of which not all requests are admitted, and whether those that return are already cut. It must
// be called only if the plan is overloaded.
func (p *Plan) Cut() (priority int, returning bool) { return int(p.cut / 2), p.cut%2 == 0 }

// AboveShare returns the teams that have more requests of the cut rank than their part of the room, with the fractions
// that are admitted, in order of the fractions.
func (p *Plan) AboveShare() []TeamFraction {
	var list []TeamFraction
	for c, f := range p.fractions {
		if rankOf(c) == p.cut && c.Team != "" && f < 1 {
			list = append(list, TeamFraction{c.Team, f})
		}
	}
	slices.SortFunc(list, func(a, b TeamFraction) int {
		return cmp.Or(cmp.Compare(a.Fraction, b.Fraction), cmp.Compare(a.Team, b.Team))
	})
	return list
}

// TeamFraction is the fraction of a team's requests that is admitted.
type TeamFraction struct {
	Team     state.TeamName
	Fraction float64
}

// minRateFraction is the least fraction of the room that the rate for requests that return counts as.
const minRateFraction = 0.05

// RateFor returns the rate, in requests per second, at which room becomes free for requests of a priority.
func (p *Plan) RateFor(priority int) float64 {
	before := p.demandBefore[min(max(priority, 0), demand.Priorities-1)]
	return max(p.Room-before, minRateFraction*p.Room)
}
