package repair_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/troutmast/troutmast/coordination/repair"
	"github.com/troutmast/troutmast/state"
)

// fleet describes a simulated data hall with random failures.
type fleet struct {
	domains, perDomain int
	// sizes are the sizes of the groups in each domain.
	sizes []int
	// meanTimeBetweenFailures is the mean time between failures of one instance.
	meanTimeBetweenFailures time.Duration
	// longFraction is the fraction of failures that take hours instead of a restart.
	longFraction float64
	loadTime     time.Duration
	seed         uint64
}

// fleets are the simulated fleets on which the planners are compared.
var fleets = []struct {
	name string
	fleet
	// bound is the maximum cost of the planner, as a fraction of the better baseline's cost.
	bound float64
}{
	{"51 workers, groups of 4, a spare a domain", fleet{domains: 3, perDomain: 17, sizes: []int{4, 4, 4, 4}, meanTimeBetweenFailures: 12 * time.Hour, longFraction: 0.12, loadTime: 2 * time.Minute}, 0.98},
	{"48 workers, groups of 4, no spare", fleet{domains: 3, perDomain: 16, sizes: []int{4, 4, 4, 4}, meanTimeBetweenFailures: 12 * time.Hour, longFraction: 0.12, loadTime: 2 * time.Minute}, 0.92},
	{"50 workers, groups of 16, 4 and 4, a spare a domain", fleet{domains: 2, perDomain: 25, sizes: []int{16, 4, 4}, meanTimeBetweenFailures: 12 * time.Hour, longFraction: 0.12, loadTime: 2 * time.Minute}, 0.80},
}

// step is the simulated time between two planning rounds.
const step = 5 * time.Second

// planner returns decisions for the broken groups.
type planner func(in repair.Input) []repair.Decision

// waitForRestart is a baseline that never moves an instance.
func waitForRestart(repair.Input) []repair.Decision { return nil }

// firstSpare is a baseline that replaces missing members with the first spares found, one group per round.
func firstSpare(in repair.Input) []repair.Decision {
	in.Policy.Restart, in.Policy.Load = 1000*time.Hour, time.Second
	var list []repair.Decision
	for _, b := range in.Incomplete {
		one := in
		one.Incomplete, one.Ready = []repair.Group{b}, nil
		for _, d := range repair.Plan(one) {
			if len(d.Ops) > 0 {
				return append(list, d)
			}
		}
	}
	return list
}

// history simulates one fleet with one planner.
type history struct {
	fleet
	st      *state.State
	now     time.Time
	rng     *rand.Rand
	places  map[state.InstanceID]state.Place
	order   []state.InstanceID
	upAt    map[state.InstanceID]time.Time
	failAt  map[state.InstanceID]time.Time
	readyAt map[state.GroupName]time.Time
	epochs  map[state.GroupName]state.Epoch
	// downtime is in group-seconds, stranded in instance-seconds.
	downtime, stranded float64
	actions            map[repair.Action]int
}

// newHistory returns a history in which every group is complete.
func newHistory(f fleet) *history {
	h := &history{
		fleet: f, st: state.New(), now: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC), rng: rand.New(rand.NewPCG(f.seed, 7)),
		places: map[state.InstanceID]state.Place{}, upAt: map[state.InstanceID]time.Time{}, failAt: map[state.InstanceID]time.Time{},
		readyAt: map[state.GroupName]time.Time{}, epochs: map[state.GroupName]state.Epoch{}, actions: map[repair.Action]int{},
	}
	for d := range f.domains {
		for i := range f.perDomain {
			id := state.InstanceID(fmt.Sprintf("i-%02d-%03d", d, i))
			h.places[id] = state.Place{Instance: id, Hall: "h", Domain: fmt.Sprintf("d%d", d)}
			h.order = append(h.order, id)
			h.failAt[id] = h.now.Add(h.draw(f.meanTimeBetweenFailures))
		}
		next := d * f.perDomain
		for n, size := range f.sizes {
			c := &state.CreateGroup{Name: state.GroupName(fmt.Sprintf("g-%02d-%02d", d, n)), Model: state.Model{Name: "m"}, Gate: state.GateWindow}
			for range size {
				c.Members = append(c.Members, h.places[h.order[next]])
				next++
			}
			h.apply([]state.Op{{CreateGroup: c}})
		}
	}
	for _, g := range h.st.Groups() {
		h.epochs[g.Name] = g.Epoch
	}
	return h
}

// draw returns an exponentially distributed duration.
func (h *history) draw(mean time.Duration) time.Duration {
	return time.Duration(h.rng.ExpFloat64() * float64(mean))
}

// apply applies operations as one command. It panics if the state rejects them, since the planner
// must only return valid operations.
func (h *history) apply(ops []state.Op) {
	var id uuid.UUID
	ms := h.now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	at := h.st.Offset() + 1
	id[6], id[7], id[8], id[15] = 0x70, byte(at>>8), 0x80, byte(at)
	r := &state.Record{Version: 1, ID: id.String(), Kind: state.KindCommand, By: "t", Ops: ops}
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	o, err := h.st.Apply(state.Entry{Offset: at, Time: h.now, Data: data})
	if err != nil || !o.Accepted {
		panic(fmt.Sprintf("%v %+v", err, o))
	}
}

// isUp reports whether an instance is running.
func (h *history) isUp(id state.InstanceID) bool { return !h.now.Before(h.upAt[id]) }

// failInstances makes instances fail. The failures depend on the seed and not on the planner's decisions.
func (h *history) failInstances() {
	for _, id := range h.order {
		if !h.isUp(id) || h.now.Before(h.failAt[id]) {
			continue
		}
		outage := time.Minute + time.Duration(h.rng.Int64N(int64(2*time.Minute)))
		if h.rng.Float64() < h.longFraction {
			outage = 2*time.Hour + time.Duration(h.rng.Int64N(int64(6*time.Hour)))
		}
		h.upAt[id] = h.now.Add(outage)
		h.failAt[id] = h.upAt[id].Add(h.draw(h.meanTimeBetweenFailures))
		if a := h.st.Assignment(id); a != nil && a.Group != "" {
			h.readyAt[a.Group] = h.upAt[id].Add(h.loadTime)
		}
	}
}

// addGroups adds the groups to the planner's input and accumulates downtime and stranded time.
func (h *history) addGroups(in *repair.Input, missing map[state.InstanceID]time.Time) {
	for _, g := range h.st.Groups() {
		if g.Epoch != h.epochs[g.Name] {
			h.epochs[g.Name] = g.Epoch
			h.readyAt[g.Name] = h.now.Add(h.loadTime)
		}
		group := repair.Group{Group: g, Vacant: h.seats(g, missing), Weight: 1, Idle: true}
		loaded := !h.now.Before(h.readyAt[g.Name])
		if len(group.Vacant) > 0 || !loaded || g.Drained != 0 {
			h.downtime += step.Seconds()
			h.stranded += step.Seconds() * float64(len(g.Members)-vacant(g))
		}
		switch {
		case len(group.Vacant) > 0:
			in.Incomplete = append(in.Incomplete, group)
		case loaded:
			in.Ready = append(in.Ready, group)
		default:
			in.LoadingGroups++
		}
	}
}

// seats returns the ranks of a group without a running member.
func (h *history) seats(g *state.Group, missing map[state.InstanceID]time.Time) []repair.Vacancy {
	var seats []repair.Vacancy
	for rank, id := range g.Members {
		if id != "" && h.isUp(id) {
			delete(missing, id)
			continue
		}
		if _, ok := missing[id]; !ok {
			missing[id] = h.now
		}
		seats = append(seats, repair.Vacancy{Rank: rank, Instance: id, MissingFor: h.now.Sub(missing[id])})
	}
	return seats
}

// vacant returns the number of ranks of a group that have no member.
func vacant(g *state.Group) int {
	n := 0
	for _, id := range g.Members {
		if id == "" {
			n++
		}
	}
	return n
}

// spares frees released instances and returns the free instances that are running.
func (h *history) spares() []state.Place {
	var free []state.Place
	for _, id := range h.order {
		a := h.st.Assignment(id)
		if a != nil && a.Group == "" && h.isUp(id) {
			h.apply([]state.Op{{FreeInstance: &state.FreeInstance{Instance: id, Epoch: a.Epoch}}})
			a = nil
		}
		if a != nil && a.Group != "" {
			continue
		}
		h.stranded += step.Seconds()
		if a == nil && h.isUp(id) {
			free = append(free, h.places[id])
		}
	}
	return free
}

// run runs the simulation for a duration.
func (h *history) run(duration time.Duration, policy state.Policy, plan planner) {
	missing := map[state.InstanceID]time.Time{}
	for end := h.now.Add(duration); h.now.Before(end); h.now = h.now.Add(step) {
		h.failInstances()
		in := repair.Input{Policy: policy, MaxConcurrentLoads: 4}
		h.addGroups(&in, missing)
		in.Spares = h.spares()
		for _, d := range plan(in) {
			h.actions[d.Action]++
			if len(d.Ops) > 0 {
				h.apply(d.Ops)
			}
		}
	}
}

// weighting is one user's weights for the two costs.
type weighting struct {
	name               string
	downtime, stranded float64
}

var weightings = []weighting{{"downtime 20 : stranded 1", 20, 1}, {"downtime 1 : stranded 5", 1, 5}}

// result is the cost of one planner, summed over seeds.
type result struct {
	downtime, stranded float64
	actions            map[repair.Action]int
}

// cost returns the total cost under a weighting.
func (r result) cost(w weighting) float64 { return w.downtime*r.downtime + w.stranded*r.stranded }

// runHistories runs n seeded histories with one planner and returns the summed result.
func runHistories(f fleet, n int, duration time.Duration, w weighting, plan planner) result {
	sum := result{actions: map[repair.Action]int{}}
	for seed := range n {
		f.seed = uint64(seed + 1)
		h := newHistory(f)
		policy := state.Policy{Downtime: w.downtime, Stranded: w.stranded, Restart: 2 * time.Minute, Load: f.loadTime, Automatic: true}
		h.run(duration, policy, plan)
		sum.downtime += h.downtime
		sum.stranded += h.stranded
		for a, n := range h.actions {
			sum.actions[a] += n
		}
	}
	return sum
}

// seeds is the number of histories summed in a test.
const seeds = 3

// planners are the planner under test and the baselines.
var planners = []struct {
	name string
	plan planner
}{{"planner", repair.Plan}, {"wait for restart", waitForRestart}, {"first spare", firstSpare}}

// TestPlannerBeatsBaselines checks that the planner's cost stays below a fraction of the better
// baseline's cost, in every fleet and for both weightings.
func TestPlannerBeatsBaselines(t *testing.T) {
	for _, f := range fleets {
		for _, w := range weightings {
			costs := map[string]float64{}
			for _, p := range planners {
				r := runHistories(f.fleet, seeds, 24*time.Hour, w, p.plan)
				costs[p.name] = r.cost(w)
				t.Logf("%s | %s | %s | downtime %.0f group-s | stranded %.0f instance-s | cost %.0f | %v",
					f.name, w.name, p.name, r.downtime, r.stranded, r.cost(w), r.actions)
			}
			best := min(costs["wait for restart"], costs["first spare"])
			if costs["planner"] > f.bound*best {
				t.Errorf("%s, %s: planner cost is %.0f, want at most %.2f of the better baseline's %.0f", f.name, w.name, costs["planner"], f.bound, best)
			}
		}
	}
}

// TestWeightsMatter checks, with groups of different sizes, that planning with a user's
// own weights costs that user no more than planning with the other user's weights.
func TestWeightsMatter(t *testing.T) {
	mixed := fleets[len(fleets)-1].fleet
	var results []result
	for _, w := range weightings {
		results = append(results, runHistories(mixed, 2*seeds, 24*time.Hour, w, repair.Plan))
	}
	for i, w := range weightings {
		own, other := results[i].cost(w), results[1-i].cost(w)
		t.Logf("%s | own weights %.0f | the other user's weights %.0f", w.name, own, other)
		if own > other {
			t.Errorf("%s: cost with own weights is %.0f, want at most %.0f, the cost with the other user's weights", w.name, own, other)
		}
	}
}

// BenchmarkPlan measures one planning round in a data hall with a tenth of its groups broken.
func BenchmarkPlan(b *testing.B) {
	for _, groups := range []int{3, 68} {
		in := repair.Input{Policy: state.DefaultPolicy(), MaxConcurrentLoads: 4}
		for n := range groups {
			g := &state.Group{Name: state.GroupName(fmt.Sprint(n)), Hall: "h", Domain: fmt.Sprint(n % 4)}
			for m := range 16 {
				g.Members = append(g.Members, state.InstanceID(fmt.Sprintf("%d-%d", n, m)))
			}
			one := repair.Group{Group: g, Weight: 1}
			if n%10 == 0 {
				one.Vacant = []repair.Vacancy{{Rank: 3, Instance: g.Members[3]}}
				in.Incomplete = append(in.Incomplete, one)
			} else {
				in.Ready = append(in.Ready, one)
			}
		}
		b.Run(fmt.Sprintf("%d_instances", 16*groups), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				repair.Plan(in)
			}
		})
	}
}
