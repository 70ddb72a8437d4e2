package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// PoolState describes a pool for operators.
type PoolState struct {
	Pool
	Groups int
	// Load is the number of requests in progress, Slots that of all slots.
	Load, Slots float64
	// Hold is the mean time that a request occupies a slot, Latency the mean time to the first event without the
	// expected wait, and ShortestWait the wait at the least busy group.
	Hold, Latency, ShortestWait time.Duration
	// Capacity is the number of requests per second that the groups can start.
	Capacity float64
	// Scheduled and Refused are the numbers of requests since the last call of TakeStates, RefusedTeams the teams with the
	// most refused ones.
	Scheduled    int
	Refused      map[Reason]int
	RefusedTeams []state.TeamName
}

// counts are the requests of a pool since they were last taken.
type counts struct {
	scheduled int
	refused   map[Reason]int
	teams     map[state.TeamName]int
}

// maxCountedTeams bounds the number of teams whose refused requests are counted between two calls of TakeStates.
const maxCountedTeams = 1000

// refuse counts a refused request.
func (c *counts) refuse(team state.TeamName, reason Reason) {
	if c.refused == nil {
		c.refused, c.teams = map[Reason]int{}, map[state.TeamName]int{}
	}
	c.refused[reason]++
	if _, known := c.teams[team]; known || len(c.teams) < maxCountedTeams {
		c.teams[team]++
	}
}

// maxNamedTeams is the maximum number of teams that a PoolState names.
const maxNamedTeams = 5

// mostRefused returns the teams with the most refused requests, in descending order.
func (c *counts) mostRefused() []state.TeamName {
	teams := slices.SortedFunc(maps.Keys(c.teams), func(a, b state.TeamName) int {
		return cmp.Or(cmp.Compare(c.teams[b], c.teams[a]), cmp.Compare(a, b))
	})
	return teams[:min(len(teams), maxNamedTeams)]
}

// TakeStates returns the state of all pools, sorted by service and model, and starts new counts of their requests.
func (s *Scheduler) TakeStates(now time.Time) []PoolState {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]PoolState, 0, len(s.pools))
	for key, p := range s.pools {
		list = append(list, p.state(key, now))
		p.counts = counts{}
	}
	slices.SortFunc(list, func(a, b PoolState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// state returns the state of the pool.
func (p *pool) state(key Pool, now time.Time) PoolState {
	st := PoolState{
		Pool: key, Groups: len(p.order), Hold: p.hold, Latency: time.Duration(p.latency.value), Capacity: p.capacity(),
		Scheduled: p.counts.scheduled, Refused: p.counts.refused, RefusedTeams: p.counts.mostRefused(),
	}
	for i, g := range p.order {
		st.Load += g.load
		st.Slots += float64(g.Slots)
		if w := g.wait(now, p.hold); i == 0 || w < st.ShortestWait {
			st.ShortestWait = w
		}
	}
	return st
}
