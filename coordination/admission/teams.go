package admission

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/state"
)

// teamShards is the number of shards of Teams.
const teamShards = 16

// Teams counts the slots that each team holds at this node. Each shard has its own lock
// to reduce contention. The zero value is ready for use.
type Teams struct {
	shards [teamShards]struct {
		mu   sync.Mutex
		held map[state.TeamName]int
	}
}

// Acquire takes a slot for a team. It reports false if the team already holds limit slots at this node.
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

// Release returns a slot of a team.
func (t *Teams) Release(team state.TeamName) {
	s := &t.shards[xxhash.Sum64String(string(team))%teamShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[team]--
}

// InUse returns the number of slots that a team holds at this node.
func (t *Teams) InUse(team state.TeamName) int {
	s := &t.shards[xxhash.Sum64String(string(team))%teamShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[team]
}
