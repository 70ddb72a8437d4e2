package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/state"
)

// BenchmarkSchedule measures a decision and a snapshot for the groups of a model: 30 of a deployment of today, and 1,500 of
// 12,000 instances.
func BenchmarkSchedule(b *testing.B) {
	for _, groups := range []int{30, 1500} {
		policy := scheduling.DefaultPolicy()
		policy.MaxRate = 1e9
		b.Run(fmt.Sprintf("decision, %d groups", groups), func(b *testing.B) {
			s := scheduling.NewScheduler(policy)
			s.Update([]scheduling.Snapshot{snapshotOf(groups)}, start)
			r := requestOf(700)
			b.ReportAllocs()
			for i := range b.N {
				r.Team = teamNames[i%len(teamNames)]
				s.Schedule(r, nil, start.Add(time.Duration(i)*3*time.Millisecond))
			}
		})
		b.Run(fmt.Sprintf("snapshot, %d groups", groups), func(b *testing.B) {
			s := scheduling.NewScheduler(policy)
			snapshots := []scheduling.Snapshot{snapshotOf(groups)}
			b.ReportAllocs()
			for i := range b.N {
				s.Update(snapshots, start.Add(time.Duration(i)*50*time.Millisecond))
			}
		})
	}
}

// teamNames are the names of 1,000 teams.
var teamNames = func() (names []state.TeamName) {
	for i := range 1000 {
		names = append(names, state.TeamName(fmt.Sprint("team-", i)))
	}
	return names
}()
