package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/scheduling"
	_ "github.com/troutmast/troutmast/internal/fixedseed"
	"github.com/troutmast/troutmast/state"
)

// snapshotOf returns a snapshot of idle groups in two halls, the first half of them in hall "a".
func snapshotOf(n int) scheduling.Snapshot {
	s := scheduling.Snapshot{Pool: poolM, ReportInterval: reportInterval}
	for i := range n {
		hall := state.HallName("a")
		if i >= n/2 {
			hall = "b"
		}
		s.Groups = append(s.Groups, scheduling.Group{Head: state.InstanceID(fmt.Sprintf("g%02d", i)), Hall: hall, Slots: 48, Engine: engineA(1)})
	}
	return s
}

// newScheduler returns a scheduler that knows n idle groups.
func newScheduler(n int) *scheduling.Scheduler {
	s := scheduling.NewScheduler(scheduling.DefaultPolicy())
	s.Update([]scheduling.Snapshot{snapshotOf(n)}, start)
	return s
}

// requestOf returns a request with a prompt of some tokens and a goal of 400 ms.
func requestOf(tokens int) *scheduling.Request {
	return &scheduling.Request{Pool: poolM, Hall: "a", Team: "t", PromptTokens: tokens, Goal: 400 * time.Millisecond, TimeLeft: 6 * time.Second}
}

// Guards against requests that queue behind each other at one group while others are idle.
func TestRequestsOfAMomentSpreadOverGroups(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(4)
	seen := map[state.InstanceID]int{}
	for range 8 {
		d, ok := s.Schedule(requestOf(1500), nil, start)
		g.Expect(ok).To(BeTrue())
		seen[d.Instance]++
	}
	g.Expect(seen).To(HaveLen(4))
	for _, n := range seen {
		g.Expect(n).To(Equal(2))
	}
}

// Guards against bytes between halls without need, and against a hall that keeps requests which wait longer there.
func TestOwnHallIsPreferredWhileTheWaitIsShort(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(2)
	halls := map[state.InstanceID]int{}
	for range 2 {
		d, _ := s.Schedule(requestOf(700), nil, start)
		halls[d.Instance]++
	}
	g.Expect(halls).To(Equal(map[state.InstanceID]int{"g00": 2}))
	for range 4 {
		d, _ := s.Schedule(requestOf(700), nil, start)
		halls[d.Instance]++
	}
	g.Expect(halls["g01"]).To(BeNumerically(">=", 2))
}

// Guards against a slow group that gets as many requests as the others.
func TestGroupWithLateFirstEventsGetsFewerRequests(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(2)
	counts := map[state.InstanceID]int{}
	now := start
	var samples []scheduling.Sample
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		s.Update([]scheduling.Snapshot{snapshotOf(2)}, now)
		r := requestOf(500)
		r.Hall = "other"
		d, ok := s.Schedule(r, samples, now)
		g.Expect(ok).To(BeTrue())
		counts[d.Instance]++
		latency := 150 * time.Millisecond
		if d.Instance == "g00" {
			latency = 900 * time.Millisecond
		}
		samples = []scheduling.Sample{{Instance: d.Instance, Latency: latency}}
	}
	g.Expect(counts["g00"]).To(BeNumerically("<", counts["g01"]/4))
	g.Expect(counts["g00"]).To(BeNumerically(">", 0), "a group that may be well again is tried")
}

// Guards against a stream that has begun and is given up under overload.
func TestResumingRequestsAreNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := newScheduler(rapid.IntRange(1, 8).Draw(t, "groups"))
		for range rapid.IntRange(0, 400).Draw(t, "requests") {
			s.Schedule(requestOf(rapid.IntRange(1, 6000).Draw(t, "tokens")), nil, start)
		}
		r := requestOf(1000)
		r.Resuming = true
		if d, ok := s.Schedule(r, nil, start.Add(time.Second)); ok {
			g.Expect(d.Refused).To(BeFalse())
		}
	})
}

// Guards against refusals although a group is idle, and against a group that is excluded and still gets the request.
func TestIdleGroupGetsRequestUnlessExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(1, 12).Draw(t, "groups")
		s := newScheduler(n)
		r := requestOf(rapid.IntRange(0, 8000).Draw(t, "tokens"))
		r.Priority = rapid.IntRange(0, 9).Draw(t, "priority")
		r.Goal = time.Duration(rapid.IntRange(1, 2000).Draw(t, "goal")) * time.Millisecond
		for i := range n {
			if rapid.Bool().Draw(t, "excluded") {
				r.Excluded = append(r.Excluded, state.InstanceID(fmt.Sprintf("g%02d", i)))
			}
		}
		d, ok := s.Schedule(r, nil, start)
		g.Expect(ok).To(Equal(len(r.Excluded) < n))
		if ok {
			g.Expect(d.Refused).To(BeFalse())
			g.Expect(r.Excluded).NotTo(ContainElement(d.Instance))
		}
	})
}

// Guards against a request that goes to a group outside the halls in which it may run because that one has a shorter wait.
func TestRequestGoesOnlyToTheHallsThatItNames(t *testing.T) {
	g := NewWithT(t)
	s := scheduling.NewScheduler(scheduling.DefaultPolicy())
	sn := snapshotOf(2)
	sn.Groups[0].Hall, sn.Groups[1].Hall = "home", "other"
	s.Update([]scheduling.Snapshot{sn}, start)
	r := requestOf(1000)
	r.Hall, r.Halls = "other", []state.HallName{"home"}
	for range 3 {
		d, ok := s.Schedule(r, nil, start)
		g.Expect(ok).To(BeTrue())
		g.Expect(d.Instance).NotTo(Equal(sn.Groups[1].Head))
	}
	r.Halls = []state.HallName{"unknown"}
	_, ok := s.Schedule(r, nil, start)
	g.Expect(ok).To(BeFalse())
}

// Guards against a request that is refused while a less urgent one would be admitted at the same moment.
func TestMoreUrgentRequestIsAdmittedWheneverALessUrgentOneIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		groups, before := rapid.IntRange(1, 6).Draw(t, "groups"), rapid.IntRange(0, 200).Draw(t, "before")
		high := rapid.IntRange(0, 8).Draw(t, "high")
		low := rapid.IntRange(high+1, 9).Draw(t, "low")
		tokens := rapid.IntRange(100, 4000).Draw(t, "tokens")
		refused := func(priority int) bool {
			s := newScheduler(groups)
			for range before {
				s.Schedule(requestAt(high, tokens), nil, start)
				s.Schedule(requestAt(low, tokens), nil, start)
			}
			d, _ := s.Schedule(requestAt(priority, tokens), nil, start)
			return d.Refused
		}
		if refused(high) {
			g.Expect(refused(low)).To(BeTrue())
		}
	})
}

// requestAt returns a request with a priority, of a team of its own.
func requestAt(priority, tokens int) *scheduling.Request {
	r := requestOf(tokens)
	r.Priority, r.Team = priority, state.TeamName(fmt.Sprint(priority))
	return r
}

// Guards against callers who are all asked to return at the same moment, or later than they wait.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(2)
	policy := scheduling.DefaultPolicy()
	var delays []time.Duration
	for range 300 {
		r := requestOf(3000)
		if d, ok := s.Schedule(r, nil, start); ok && d.Refused {
			delays = append(delays, d.RetryAfter)
			g.Expect(d.RetryAfter).To(BeNumerically(">=", policy.MinRetryAfter))
			g.Expect(d.RetryAfter).To(BeNumerically("<=", r.TimeLeft/3))
		}
	}
	g.Expect(len(delays)).To(BeNumerically(">", 100))
	for i := 1; i < len(delays); i++ {
		g.Expect(delays[i]).NotTo(Equal(delays[i-1]))
	}
}

// Guards against a leader that schedules more requests than its processor can decide on: nodes pick groups for the rest.
func TestScheduledRequestsPerSecondAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		policy := scheduling.DefaultPolicy()
		policy.MaxRate = float64(rapid.IntRange(10, 400).Draw(t, "max"))
		s := scheduling.NewScheduler(policy)
		s.Update([]scheduling.Snapshot{snapshotOf(3)}, start)
		arrivals, decided := rapid.IntRange(1, 3000).Draw(t, "arrivals"), 0
		for i := range arrivals {
			if _, ok := s.Schedule(requestOf(100), nil, start.Add(time.Duration(i)*time.Second/time.Duration(arrivals))); ok {
				decided++
			}
		}
		g.Expect(float64(decided)).To(BeNumerically("<=", 1.2*policy.MaxRate+1))
		g.Expect(float64(decided)).To(BeNumerically(">=", min(float64(arrivals), 0.9*policy.MaxRate)-1))
	})
}

// Guards against a team that takes the places of others: under overload each team gets its share of what is admitted,
// and one with few requests gets all that it asks for.
func TestTeamsShareScarceGroups(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(2)
	admitted, asked := map[state.TeamName]int{}, map[state.TeamName]int{}
	now := start
	for i := range 6000 {
		now = now.Add(2 * time.Millisecond)
		if i%25 == 0 {
			s.Update([]scheduling.Snapshot{snapshotOf(2)}, now)
		}
		r := requestOf(1500)
		switch {
		case i%100 == 0:
			r.Team = "small"
		case i%4 == 0:
			r.Team = "middle"
		default:
			r.Team = "large"
		}
		d, ok := s.Schedule(r, nil, now)
		g.Expect(ok).To(BeTrue())
		if now.Sub(start) < 4*time.Second {
			continue
		}
		asked[r.Team]++
		if !d.Refused {
			admitted[r.Team]++
		}
	}
	part := func(team state.TeamName) float64 { return float64(admitted[team]) / float64(asked[team]) }
	t.Logf("small %.2f of %d, middle %.2f of %d, large %.2f of %d", part("small"), asked["small"], part("middle"), asked["middle"], part("large"), asked["large"])
	g.Expect(part("small")).To(BeNumerically(">", 0.9))
	g.Expect(part("middle")).To(BeNumerically(">", part("large")))
	g.Expect(admitted["large"]).To(BeNumerically("<", 1.5*float64(admitted["middle"])))
}

// Guards against operators who cannot see why requests are refused, and counts that grow without end.
func TestStatesCountRequestsSinceTheLastCall(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(2)
	refused := 0
	for range 100 {
		if d, _ := s.Schedule(requestOf(3000), nil, start); d.Refused {
			refused++
		}
	}
	states := s.TakeStates(start)
	g.Expect(states).To(HaveLen(1))
	g.Expect(states[0].Scheduled).To(Equal(100 - refused))
	total := 0
	for _, n := range states[0].Refused {
		total += n
	}
	g.Expect(total).To(Equal(refused))
	g.Expect(states[0].RefusedTeams).To(Equal([]state.TeamName{"t"}))
	g.Expect(states[0].ShortestWait).To(BeNumerically(">", 0))
	g.Expect(s.TakeStates(start)[0].Scheduled).To(BeZero())
}

// Guards against requests of routes without a goal, which would be refused as soon as any prompt is before them.
func TestRequestWithoutGoalMayWait(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(1)
	r := requestOf(1500)
	r.Goal = 0
	for range 10 {
		d, ok := s.Schedule(r, nil, start)
		g.Expect(ok).To(BeTrue())
		g.Expect(d.Refused).To(BeFalse())
	}
}
