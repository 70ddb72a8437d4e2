package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Priorities is the number of priorities, from 0, the highest.
const Priorities = 10

// Class is a set of requests for a model that admission treats alike.
type Class struct {
	Priority int `json:"p,omitempty"`
	// Returning is set for requests that return after a refusal and for resumed streams.
	Returning bool `json:"b,omitempty"`
	// Team is empty for requests without a team and for those of the teams that are not named.
	Team state.TeamName `json:"t,omitempty"`
}

// ClassFlow is the rate of the requests of a class.
type ClassFlow struct {
	Class
	// Requests is the rate of requests per second.
	Requests float64 `json:"r"`
	// Teams is the number of teams that the flow stands for, if there are several.
	Teams int `json:"n,omitempty"`
}

// TeamCount returns the number of teams that the flow stands for, at least 1.
func (f *ClassFlow) TeamCount() float64 { return float64(max(f.Teams, 1)) }

// Bounds on the teams that a message names for each model. Others are summed up by priority.
const (
	maxReportedTeams = 16
	maxTotalTeams    = 32
)

// boundClasses returns the flows with at most maxTeams teams named, those with the most requests. The flows of each other
// team are added to that of the unnamed teams of its class. The result is sorted.
func boundClasses(flows []ClassFlow, maxTeams int) []ClassFlow {
	if len(flows) == 0 {
		return nil
	}
	byTeam := map[state.TeamName]float64{}
	for i := range flows {
		if flows[i].Team != "" {
			byTeam[flows[i].Team] += flows[i].Requests
		}
	}
	if len(byTeam) > maxTeams {
		teams := slices.SortedFunc(maps.Keys(byTeam), func(a, b state.TeamName) int {
			return cmp.Or(cmp.Compare(byTeam[b], byTeam[a]), cmp.Compare(a, b))
		})
		for _, t := range teams[maxTeams:] {
			delete(byTeam, t)
		}
	}
	sums := map[Class]ClassFlow{}
	for _, f := range flows {
		f.Teams = max(f.Teams, 1)
		if _, named := byTeam[f.Team]; !named {
			f.Team = ""
		}
		sum := sums[f.Class]
		sum.Class, sum.Requests, sum.Teams = f.Class, sum.Requests+f.Requests, sum.Teams+f.Teams
		sums[f.Class] = sum
	}
	list := make([]ClassFlow, 0, len(sums))
	for _, f := range sums {
		if f.Teams == 1 {
			f.Teams = 0
		}
		f.Requests = roundRate(f.Requests)
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b ClassFlow) int { return compareClasses(&a.Class, &b.Class) })
	return list
}

// roundRate rounds a rate to a hundredth, which keeps it short in messages.
func roundRate(rate float64) float64 { return math.Round(rate*100) / 100 }

// compareClasses orders classes by priority, returning requests before new ones, and by team.
func compareClasses(a, b *Class) int {
	if c := cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team)); c != 0 || a.Returning == b.Returning {
		return c
	}
	if a.Returning {
		return -1
	}
	return 1
}

// classTotals sums up the flows of several nodes by class.
type classTotals map[Class]ClassFlow

// unstated is the class of the flows of nodes that report no classes, until the lowest priority present is known.
var unstated = Class{Priority: Priorities}

// add adds the classes of a flow. Without any, all of its requests count as new requests of no team with the lowest
// priority present. The unnamed teams of two nodes may be the same, so that the larger number of them counts.
func (t classTotals) add(f *Flow) {
	classes := f.Classes
	if len(classes) == 0 && f.Requests > 0 {
		classes = []ClassFlow{{Class: unstated, Requests: f.Requests}}
	}
	for _, c := range classes {
		sum := t[c.Class]
		sum.Class, sum.Requests, sum.Teams = c.Class, sum.Requests+c.Requests, max(sum.Teams, c.Teams)
		t[c.Class] = sum
	}
}

// bounded returns the sums, with a bounded number of teams named. It returns none if no node reported classes.
func (t classTotals) bounded() []ClassFlow {
	rest, exists := t[unstated]
	delete(t, unstated)
	if len(t) == 0 {
		return nil
	}
	if exists {
		lowest := 0
		for c := range t {
			lowest = max(lowest, c.Priority)
		}
		class := Class{Priority: lowest}
		sum := t[class]
		sum.Class, sum.Requests = class, sum.Requests+rest.Requests
		t[class] = sum
	}
	return boundClasses(slices.Collect(maps.Values(t)), maxTotalTeams)
}

// MergeClasses replaces the classes by one with all of their requests, of the lowest priority present.
func (f *Flow) MergeClasses() {
	if len(f.Classes) == 0 {
		return
	}
	merged := ClassFlow{}
	for _, c := range f.Classes {
		merged.Requests += c.Requests
		merged.Priority = max(merged.Priority, c.Priority)
	}
	merged.Requests = roundRate(merged.Requests)
	f.Classes = []ClassFlow{merged}
}

// Scaled returns a flow with all rates and counts multiplied.
func (f *Flow) Scaled(factor float64) Flow {
	scaled := *f
	scaled.Requests *= factor
	scaled.PromptTokens *= factor
	scaled.OutputTokens *= factor
	scaled.Waiting *= factor
	scaled.Classes = slices.Clone(f.Classes)
	for i := range scaled.Classes {
		scaled.Classes[i].Requests *= factor
	}
	return scaled
}

// classSum is an exponentially decaying number of requests.
type classSum struct {
	requests  float64
	updatedAt time.Time
}

// decayTo decays the sum up to now.
func (c *classSum) decayTo(now time.Time, decay time.Duration) {
	if elapsed := now.Sub(c.updatedAt); elapsed > 0 {
		c.requests *= math.Exp(-elapsed.Seconds() / decay.Seconds())
		c.updatedAt = now
	}
}

// AddClass counts one request by its class.
func (m *Meter) AddClass(service state.ServiceName, model string, class Class, now time.Time) {
	k := flowKey{service, model}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.classes[k] == nil {
		m.classes[k] = map[Class]*classSum{}
	}
	c := m.classes[k][class]
	if c == nil {
		c = &classSum{updatedAt: now}
		m.classes[k][class] = c
	}
	c.decayTo(now, m.policy.ClassDecay)
	c.requests++
}

// minClassRate is the rate, in requests per second, below which a class is not reported. It is lower than a fiftieth of
// what a single request counts as.
const minClassRate = 0.03

// classFlows returns the rates of a flow by class, and forgets classes without recent requests. m.mu must be held.
func (m *Meter) classFlows(k flowKey, now time.Time) []ClassFlow {
	var list []ClassFlow
	for class, c := range m.classes[k] {
		c.decayTo(now, m.policy.ClassDecay)
		rate := c.requests / m.policy.ClassDecay.Seconds()
		if rate < minClassRate {
			delete(m.classes[k], class)
			continue
		}
		list = append(list, ClassFlow{Class: class, Requests: rate})
	}
	return boundClasses(list, maxReportedTeams)
}

// Buckets of the callers told to return, by the time at which they are due.
const (
	returnInterval = 100 * time.Millisecond
	returnBuckets  = 256
)

// returnCount counts the callers that were told to return. Those due later than the span of its buckets count as due at
// its end.
type returnCount struct {
	due   [returnBuckets]uint16
	total int
	// first is the bucket of the earliest time that has not passed, firstAt the start of that bucket.
	first   int
	firstAt time.Time
}

// advance removes the callers that are due before now.
func (r *returnCount) advance(now time.Time) {
	if r.total == 0 {
		r.firstAt = now
		return
	}
	for r.total > 0 && now.Sub(r.firstAt) >= returnInterval {
		r.total -= int(r.due[r.first])
		r.due[r.first] = 0
		r.first = (r.first + 1) % returnBuckets
		r.firstAt = r.firstAt.Add(returnInterval)
	}
}

// AddReturn counts a caller that was told now to return after a delay.
func (m *Meter) AddReturn(service state.ServiceName, model string, now time.Time, after time.Duration) {
	k := flowKey{service, model}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.returns[k]
	if r == nil {
		r = &returnCount{firstAt: now}
		m.returns[k] = r
	}
	r.advance(now)
	n := min(int((now.Sub(r.firstAt)+after)/returnInterval), returnBuckets-1)
	if at := (r.first + n) % returnBuckets; r.due[at] < math.MaxUint16 {
		r.due[at]++
		r.total++
	}
}

// waiting returns the number of callers told to return that are not due yet. m.mu must be held.
func (m *Meter) waiting(k flowKey, now time.Time) float64 {
	r := m.returns[k]
	if r == nil {
		return 0
	}
	r.advance(now)
	return float64(r.total)
}
