package admission

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/state"
)

// teamShards is the number of independently locked parts of Teams.
const teamShards = 16

// Teams counts the places that each team holds at this node, in shards under their own locks.
type Teams struct {
	shards [teamShards]struct {
		mu   sync.Mutex
		held map[state.TeamName]int
	}
}

// Acquire takes a place of a team, or reports that its limit at this node is reached.
func (t *Teams) Acquire(team state.TeamName, limit int) bool {
	s := &t.shards[xxhash.Sum64String(string(team))%teamShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = map[state.TeamName]int{}
	}
	if s.held[team] >= limit {
		return false
	}
	s.held[team]++
	return true
}

// Release gives a place of a team back.
func (t *Teams) Release(team state.TeamName) {
	s := &t.shards[xxhash.Sum64String(string(team))%teamShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[team]--
}

// Held returns the places that a team holds at this node.
func (t *Teams) Held(team state.TeamName) int {
	s := &t.shards[xxhash.Sum64String(string(team))%teamShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[team]
}
