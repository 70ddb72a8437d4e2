package scheduling

import (
	"math"
	"time"

	"github.com/troutmast/troutmast/state"
)

// ewma is an exponentially weighted moving average that starts with the plain mean of the first values.
type ewma struct {
	value float64
	count float64
}

// ewmaSamples is the number of values over which an ewma averages.
const ewmaSamples = 20

// add adds a value.
func (e *ewma) add(v float64) {
	e.count = min(e.count+1, ewmaSamples)
	e.value += (v - e.value) / e.count
}

// goals holds when requests of each priority and goal last arrived.
type goals map[goalKey]time.Time

// goalKey is a priority and a goal for the time to the first event.
type goalKey struct {
	priority int
	goal     time.Duration
}

// Limits of goals. A priority counts while its requests arrive.
const (
	goalTTL  = 5 * time.Second
	maxGoals = 64
)

// record records that a request arrived.
func (g goals) record(priority int, goal time.Duration, now time.Time) {
	key := goalKey{priority, goal}
	if _, known := g[key]; !known && len(g) >= maxGoals {
		for k, at := range g {
			if now.Sub(at) > goalTTL {
				delete(g, k)
			}
		}
		if len(g) >= maxGoals {
			return
		}
	}
	g[key] = now
}

// strictest returns the shortest goal of the requests that arrive with at least the given priority, and the number
// of more urgent priorities among them. A request with a long goal may not queue for so long that a more urgent one
// with a short goal is late.
func (g goals) strictest(priority int, goal time.Duration, now time.Time) (shortest time.Duration, steps int) {
	shortest = goal
	var counted [maxPriority + 1]bool
	for key, at := range g {
		if key.priority > priority || now.Sub(at) > goalTTL {
			continue
		}
		shortest = min(shortest, key.goal)
		if key.priority < priority && key.priority >= 0 && key.priority <= maxPriority && !counted[key.priority] {
			counted[key.priority] = true
			steps++
		}
	}
	return shortest, steps
}

// maxPriority is the largest value of a priority, the least urgent one.
const maxPriority = 9

// teamUse tracks how many requests of each team a pool admits, as decaying counts.
type teamUse struct {
	used map[state.TeamName]float64
	// wanted counts the requests of each team, also those that were refused.
	wanted    map[state.TeamName]float64
	updatedAt time.Time
	// level is the fair share, computed at the last decay.
	level float64
}

const (
	// shareWindow is the span over which the use of teams is compared.
	shareWindow = 2 * time.Second
	// shareInterval is the time between two computations of the fair share.
	shareInterval = 100 * time.Millisecond
	// minUse is the count below which a team is forgotten.
	minUse = 0.05
)

// admit counts an admitted request.
func (t *teamUse) admit(team state.TeamName, now time.Time) {
	t.demanded(team, now)
	t.used[team]++
}

// demanded counts a request.
func (t *teamUse) demanded(team state.TeamName, now time.Time) {
	t.decay(now)
	t.wanted[team]++
}

// decay decays the counts, and computes the fair share from them, at most once in shareInterval.
func (t *teamUse) decay(now time.Time) {
	if t.wanted == nil {
		t.wanted, t.updatedAt = map[state.TeamName]float64{}, now
	}
	elapsed := now.Sub(t.updatedAt)
	if elapsed < shareInterval {
		return
	}
	t.updatedAt = now
	factor := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
	total := 0.0
	for team := range t.wanted {
		t.wanted[team] *= factor
		t.used[team] *= factor
		total += t.used[team]
		if t.wanted[team] < minUse {
			delete(t.wanted, team)
			delete(t.used, team)
		}
	}
	t.level = fairShare(t.wanted, total)
}

// isAboveShare reports whether a team has been admitted more often than its max-min fair share.
func (t *teamUse) isAboveShare(team state.TeamName, now time.Time) bool {
	t.decay(now)
	return t.level > 0 && t.used[team] > t.level
}

// fairShare returns the max-min fair level: if each team gets what it wants up to the level, the teams
// together get total. It is +Inf if all teams get what they want.
func fairShare(wanted map[state.TeamName]float64, total float64) float64 {
	sum, highest := 0.0, 0.0
	for _, w := range wanted {
		sum += w
		highest = max(highest, w)
	}
	if sum <= total+minUse {
		return math.Inf(1)
	}
	low, high := 0.0, highest
	for range shareSteps {
		level := (low + high) / 2
		got := 0.0
		for _, w := range wanted {
			got += min(w, level)
		}
		if got < total {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// shareSteps is the number of bisection steps of fairShare, which find the level to a millionth.
const shareSteps = 20
