package overload_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// model is a model of a simulated deployment: its groups, the rate that they can serve, in requests per second, the mean
// prompt in tokens, and the goal for the first event.
type model struct {
	name   string
	groups int
	fit    float64
	prompt float64
	goal   time.Duration
}

// deployment is a simulated deployment: its engines, the models that they serve, and its nodes.
type deployment struct {
	engine catalog.Engine
	models []model
	nodes  int
}

var (
	deploymentA = deployment{catalog.Engine{
		BatchSlots: 48, PrefillTokensPerSecond: 56_100, StepTime: 6450 * time.Microsecond, StepTimePerRequest: 97 * time.Microsecond,
		StepsPerPass: 5, PromptTokensPerPass: 2048, MeanResponseTokens: 150,
	}, []model{{"large", 5, 62, 1400, 400 * time.Millisecond}, {"small", 17, 320, 700, 300 * time.Millisecond}}, 87}
	deploymentB = deployment{catalog.Engine{
		BatchSlots: 34, PrefillTokensPerSecond: 46_000, StepTime: 6070 * time.Microsecond, StepTimePerRequest: 241 * time.Microsecond,
		StepsPerPass: 5, PromptTokensPerPass: 2048, MeanResponseTokens: 150,
	}, []model{{"large", 6, 66, 1400, 500 * time.Millisecond}, {"small", 28, 390, 700, 250 * time.Millisecond}}, 86}
)

const (
	routeTimeout = 9 * time.Second
	engineQueue  = 68
	reportEvery  = 250 * time.Millisecond
	wavePeriod   = 13 * time.Second
)

// variant is a way to decide on admission.
type variant struct {
	name     string
	enabled  bool
	byClass  bool
	adjustBy func(*dispatch.Policy)
}

var variants = []variant{{"limit on slots", false, false, nil}, {"room", true, false, nil}, {"room by class", true, true, nil}}

// request is one request of the simulation, with its attempts.
type request struct {
	model       *model
	class       demand.Class
	isImpatient bool
	prompt, due int // prompt tokens and events that are left
	length      int // prompt tokens
	arrivedAt   time.Time
	deadline    time.Time
	firstAt     time.Time
	refusals    int
	sends       []state.InstanceID
	hold        *dispatch.InFlightRequest
	node        *node
}

// group simulates a group: in each pass, it processes a limited number of prompt tokens and makes one event of each
// request in its batch.
type group struct {
	waiting, batch []*request
	busyUntil      time.Time
}

func (g *group) runPass(e *catalog.Engine, now time.Time) {
	for len(g.waiting) > 0 && len(g.batch) < e.BatchSlots {
		g.batch, g.waiting = append(g.batch, g.waiting[0]), g.waiting[1:]
	}
	left, ready := e.PromptTokensPerPass, 0
	for _, r := range g.batch {
		n := min(r.prompt, left)
		r.prompt -= n
		left -= n
		if r.prompt == 0 {
			ready++
		}
	}
	took := time.Duration(float64(e.PromptTokensPerPass-left) / e.PrefillTokensPerSecond * float64(time.Second))
	if ready > 0 {
		took += time.Duration(e.StepsPerPass) * (e.StepTime + time.Duration(ready)*e.StepTimePerRequest)
	}
	g.busyUntil = now.Add(max(took, time.Millisecond))
	g.batch = slices.DeleteFunc(g.batch, func(r *request) bool {
		if r.prompt > 0 {
			return false
		}
		if r.firstAt.IsZero() {
			r.firstAt = g.busyUntil
			r.hold.RecordFirstEvent()
		}
		if r.due--; r.due == 0 {
			r.hold.RecordComplete(g.busyUntil)
			r.hold.End()
		}
		return r.due == 0
	})
}

// node is a simulated node with its last report.
type node struct {
	table    *dispatch.Table
	meter    *demand.Meter
	inFlight map[state.InstanceID]int
	flows    []demand.Flow
}

// totals are the sums of the last reports of all nodes at a time.
type totals struct {
	inFlight map[state.InstanceID]int
	flows    []demand.Flow
}

// simulation simulates callers, nodes and groups.
type simulation struct {
	deployment
	variant
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	nodes   []*node
	groups  map[state.InstanceID]*group
	heads   []state.InstanceID
	history []totals
	later   map[int64][]*request
	all     []*request
}

func newSimulation(d *deployment, v variant) *simulation {
	sim := &simulation{deployment: *d, variant: v, rng: rand.New(rand.NewPCG(1, 7)), start: time.Unix(1000, 0), groups: map[state.InstanceID]*group{}, later: map[int64][]*request{}}
	sim.now = sim.start
	var views []roster.View
	for _, m := range d.models {
		sim.engine.Models = append(sim.engine.Models, catalog.Model{Name: m.name, GroupSize: 1, TimeFactor: 1})
		for i := range m.groups {
			id := state.InstanceID(fmt.Sprint(m.name, i))
			views = append(views, roster.View{Instance: fleet.Instance{ID: id, Service: "lm", Model: m.name, Hall: "h", Membership: fleet.Membership{Group: state.GroupName(id), Epoch: 1, State: fleet.Open}}})
			sim.groups[id] = &group{}
			sim.heads = append(sim.heads, id)
		}
	}
	cat := catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: &sim.engine}}, nil, catalog.Limits{})
	policy := dispatch.DefaultPolicy()
	policy.Admission.Enabled = v.enabled
	if v.adjustBy != nil {
		v.adjustBy(&policy)
	}
	for range d.nodes {
		n := &node{table: dispatch.NewTable("h", policy), meter: demand.NewMeter(demand.DefaultPolicy())}
		n.table.SetRandom(sim.rng.Float64)
		n.table.Update(cat, views, func(fleet.GroupKey) bool { return false })
		sim.nodes = append(sim.nodes, n)
	}
	return sim
}

// run simulates a span in steps of a millisecond, with a load that is a multiple of what fits.
func (sim *simulation) run(d time.Duration, load func(time.Duration) float64) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(time.Millisecond) {
		ms := sim.now.Sub(sim.start).Milliseconds()
		for i := range sim.models {
			m := &sim.models[i]
			for due := load(sim.now.Sub(sim.start)) * m.fit / 1000; sim.rng.Float64() < due; due-- {
				r := sim.newRequest(m)
				sim.all = append(sim.all, r)
				sim.attempt(r)
			}
		}
		for _, r := range sim.later[ms] {
			sim.attempt(r)
		}
		delete(sim.later, ms)
		for _, id := range sim.heads {
			if g := sim.groups[id]; !sim.now.Before(g.busyUntil) {
				g.runPass(&sim.engine, sim.now)
			}
		}
		sim.report(ms)
	}
}

// newRequest returns a request of a team drawn with a skew: the largest team has a third of all requests. Three of ten
// have the higher priority, a fifth of the callers returns at once.
func (sim *simulation) newRequest(m *model) *request {
	team := 0
	for x := sim.rng.Float64() - 1.0/3; x > 0; x -= 2.0 / 3 * 2 / 23 / 24 * float64(24-team) {
		team = min(team+1, 23)
	}
	r := &request{model: m, arrivedAt: sim.now, deadline: sim.now.Add(routeTimeout), due: 1 + sim.rng.IntN(60)}
	r.class = demand.Class{Team: state.TeamName(fmt.Sprint("team", team))}
	if sim.rng.IntN(10) >= 3 {
		r.class.Priority = 1
	}
	r.isImpatient = sim.rng.IntN(5) == 0
	r.length = int(m.prompt * (0.3 + 0.7*sim.rng.ExpFloat64()))
	return r
}

// attempt lets a node decide on a request as the gateway does.
func (sim *simulation) attempt(r *request) {
	r.node, r.arrivedAt, r.sends, r.prompt = sim.nodes[sim.rng.IntN(len(sim.nodes))], sim.now, nil, r.length
	t, pool := r.node.table, dispatch.Pool{Service: "lm", Model: r.model.name}
	r.class.Returning = t.IsReturning(routeTimeout, r.deadline.Sub(sim.now))
	class := r.class
	if !sim.byClass {
		class = demand.Class{}
	}
	r.node.meter.Add("lm", r.model.name, r.length, 0, sim.now)
	if sim.enabled {
		r.node.meter.AddClass("lm", r.model.name, class, sim.now)
	}
	for range 4 {
		target := t.Pick("lm", r.model.name, sim.now, func(c *dispatch.Candidate) bool { return slices.Contains(r.sends, c.ID) })
		first := len(r.sends) == 0
		switch {
		case first && !t.IsPlanned(pool) && target.IsFull(sim.now):
			sim.refuse(r, 700*time.Millisecond+time.Duration(sim.rng.Int64N(int64(350*time.Millisecond))))
			return
		case first && t.IsPlanned(pool) && (!t.Admit(pool, class) || !target.HasRoom()),
			!first && t.IsOverloaded(pool) && target.IsFull(sim.now):
			after := t.RetryDelay(pool, class.Priority, r.deadline.Sub(sim.now))
			r.node.meter.AddReturn("lm", r.model.name, sim.now, after)
			sim.refuse(r, after)
			return
		}
		r.sends = append(r.sends, target.ID)
		if g := sim.groups[target.ID]; len(g.waiting) < engineQueue {
			r.hold = target.BeginRequest(r.prompt, sim.now)
			g.waiting = append(g.waiting, r)
			return
		}
	}
	sim.refuse(r, 300*time.Millisecond)
}

// refuse lets the caller of a refused request return: once after the delay, or up to four times at once.
func (sim *simulation) refuse(r *request, after time.Duration) {
	r.refusals++
	if r.isImpatient {
		after = 20 * time.Millisecond
	}
	if r.refusals == 1 || r.isImpatient && r.refusals < 5 {
		at := sim.now.Add(after).Sub(sim.start).Milliseconds() + 1
		sim.later[at] = append(sim.later[at], r)
	}
}

// report lets the nodes whose turn it is report, and gives them the totals of 250 ms ago.
func (sim *simulation) report(ms int64) {
	every := reportEvery.Milliseconds()
	if ms%50 == 0 {
		sum := totals{inFlight: map[state.InstanceID]int{}}
		var flows [][]demand.Flow
		for _, n := range sim.nodes {
			for id, k := range n.inFlight {
				sum.inFlight[id] += k
			}
			flows = append(flows, n.flows)
		}
		sum.flows = demand.Sum(flows...)
		sim.nodes[0].table.TrimClasses(sum.flows) // the leader
		sim.history = append(sim.history, sum)
	}
	for i, n := range sim.nodes {
		if (ms+int64(i)*every/int64(len(sim.nodes)))%every != 0 {
			continue
		}
		own := n.table.InFlight()
		old := sim.history[max(len(sim.history)-5, 0)]
		others := maps.Clone(old.inFlight)
		for id, k := range own {
			others[id] = max(others[id]-k, 0)
		}
		n.inFlight, n.flows = own, n.meter.Flows(sim.now)
		n.table.UpdateLoad(others, old.flows, n.flows)
	}
}

// tally counts requests by outcome.
type tally struct{ all, onTime, late, refused, refusedOnce, refusedTwice int }

func (c *tally) add(r *request) {
	c.all++
	switch {
	case r.firstAt.IsZero():
		c.refused++
	case r.firstAt.Sub(r.arrivedAt) <= r.model.goal:
		c.onTime++
	default:
		c.late++
	}
	switch {
	case r.refusals == 1:
		c.refusedOnce++
	case r.refusals > 1:
		c.refusedTwice++
	}
}

// fraction returns a number of requests as a fraction of all.
func (c *tally) fraction(n int) float64 { return float64(n) / float64(max(c.all, 1)) }

func (c *tally) String() string {
	return fmt.Sprintf("%5d: on time %.3f, late %.3f, not served %.3f; refused once %.3f, more often %.3f", c.all, c.fraction(c.onTime), c.fraction(c.late), c.fraction(c.refused), c.fraction(c.refusedOnce), c.fraction(c.refusedTwice))
}

// served returns the fraction of the requests that were served, on time or late.
func (c *tally) served() float64 { return 1 - c.fraction(c.refused) }

// wave is the load of a design wave: two peaks above what fits, of 5 and 4.5 s.
func wave(at time.Duration) float64 {
	switch s := (at % wavePeriod).Seconds(); {
	case s >= 1 && s < 6:
		return 1.5
	case s >= 7.5 && s < 12:
		return 2.2
	}
	return 0.7
}

// outcomes are the tallies of one run by what a caller may compare.
type outcomes struct {
	all, first, long, others, patient, impatient tally
	teams                                        map[state.TeamName]*tally
}

// outcomes returns the tallies of all requests. Those by prompt, patience and team are of the lower priority.
func (sim *simulation) outcomes() *outcomes {
	o := &outcomes{teams: map[state.TeamName]*tally{}}
	for _, r := range sim.all {
		o.all.add(r)
		if r.class.Priority == 0 {
			o.first.add(r)
			continue
		}
		kind, patience := &o.others, &o.patient
		if r.length > int(1.9*r.model.prompt) { // a tenth of the prompts
			kind = &o.long
		}
		if r.isImpatient {
			patience = &o.impatient
		}
		if o.teams[r.class.Team] == nil {
			o.teams[r.class.Team] = &tally{}
		}
		for _, c := range []*tally{kind, patience, o.teams[r.class.Team]} {
			c.add(r)
		}
	}
	return o
}

// worst returns the team with the least fraction served among those with at least 30 requests of the lower priority.
func (o *outcomes) worst() (state.TeamName, *tally) {
	teams := slices.DeleteFunc(slices.Sorted(maps.Keys(o.teams)), func(t state.TeamName) bool { return o.teams[t].all < 30 })
	name := slices.MinFunc(teams, func(a, b state.TeamName) int { return cmp.Compare(o.teams[a].served(), o.teams[b].served()) })
	return name, o.teams[name]
}

func (o *outcomes) log(t *testing.T) {
	name, worst := o.worst()
	for _, l := range []struct {
		name string
		*tally
	}{
		{"all", &o.all},
		{"higher priority", &o.first},
		{"longest prompts", &o.long},
		{"other prompts", &o.others},
		{"callers that wait", &o.patient},
		{"callers that don't", &o.impatient},
		{"largest team", o.teams["team0"]},
		{"worst, " + string(name), worst},
	} {
		t.Logf("%-18s %v", l.name, l.tally)
	}
}

// simulate simulates one design wave.
func simulate(d *deployment, v variant) *outcomes {
	sim := newSimulation(d, v)
	sim.run(wavePeriod, wave)
	sim.run(5*time.Second, func(time.Duration) float64 { return 0 })
	return sim.outcomes()
}

// Guards against groups that are flooded and left alone in turn, and against teams, priorities, long prompts and callers
// that wait being served less than others. The first two variants are run for comparison.
func TestLoadAboveRoom(t *testing.T) {
	large := deploymentA
	large.nodes = 300
	for _, d := range []struct {
		name string
		*deployment
		// onTime is the least fraction of all requests that must be on time, late the largest that may be late.
		onTime, late float64
	}{{"A", &deploymentA, 0.5, 0.18}, {"B", &deploymentB, 0.4, 0.18}, {"A with 300 nodes", &large, 0.5, 0.18}} {
		t.Run(d.name, func(t *testing.T) {
			g := NewWithT(t)
			runs := make([]*outcomes, len(variants))
			for i, v := range variants {
				t.Log(v.name)
				runs[i] = simulate(d.deployment, v)
				runs[i].log(t)
			}
			today, o := runs[0], runs[2]
			g.Expect(o.all.fraction(o.all.onTime)).To(BeNumerically(">=", max(d.onTime, 1.5*today.all.fraction(today.all.onTime))))
			g.Expect(o.all.fraction(o.all.late)).To(BeNumerically("<=", d.late))
			g.Expect(o.first.served()).To(BeNumerically(">=", 0.98))
			g.Expect(o.first.fraction(o.first.onTime)).To(BeNumerically(">=", 0.7))
			g.Expect(o.long.served()).To(BeNumerically(">=", o.others.served()/2))
			g.Expect(o.patient.served()).To(BeNumerically(">", o.impatient.served()))
			name, _ := o.worst()
			g.Expect(name).To(Equal(state.TeamName("team0")), "a team within its part is served less often than the largest one")
		})
	}
}

// fewGroups returns deployment A with one group of the model with long prompts and two of the other one.
func fewGroups() deployment {
	few := deploymentA
	few.models = []model{{"large", 1, 62.0 / 5, 1400, 400 * time.Millisecond}, {"small", 2, 320.0 / 17 * 2, 700, 300 * time.Millisecond}}
	return few
}

// Guards against few groups and long prompts being served worse than with the limit on slots when they are overloaded.
func TestFewGroupsAboveRoom(t *testing.T) {
	few := fewGroups()
	for _, load := range []float64{1, 1.2, 1.6} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			var onTime [2]map[string]float64
			for i, v := range []variant{variants[0], variants[2]} {
				sim := newSimulation(&few, v)
				sim.run(15*time.Second, func(time.Duration) float64 { return load })
				sim.run(4*time.Second, func(time.Duration) float64 { return 0 })
				onTime[i] = map[string]float64{}
				for _, m := range few.models {
					var c tally
					for _, r := range sim.all {
						if r.model.name == m.name {
							c.add(r)
						}
					}
					onTime[i][m.name] = c.fraction(c.onTime)
					t.Logf("%-14s %-6s %v", v.name, m.name, &c)
				}
			}
			for _, m := range few.models {
				NewWithT(t).Expect(onTime[1][m.name]).To(BeNumerically(">=", onTime[0][m.name]-0.02), m.name)
			}
		})
	}
}

// Guards against admission that refuses what would have been on time: few groups, long prompts and a load that nearly
// fits must be served as well as with the limit on slots, but for noise.
func TestLoadBelowRoom(t *testing.T) {
	few := fewGroups()
	for _, c := range []struct {
		name string
		*deployment
		load  float64
		noise float64
	}{
		{"A, half load", &deploymentA, 0.5, 0.005},
		{"A, nearly full", &deploymentA, 0.85, 0.015},
		{"B, half load", &deploymentB, 0.5, 0.005},
		{"B, nearly full", &deploymentB, 0.8, 0.015},
		{"few groups, half load", &few, 0.5, 0.005},
		{"few groups, nearly full", &few, 0.8, 0.015},
	} {
		t.Run(c.name, func(t *testing.T) {
			onTime := make([]float64, len(variants))
			for i, v := range variants {
				sim := newSimulation(c.deployment, v)
				sim.run(6*time.Second, func(time.Duration) float64 { return c.load })
				sim.run(2*time.Second, func(time.Duration) float64 { return 0 })
				all := &sim.outcomes().all
				t.Logf("%-14s %v", v.name, all)
				onTime[i] = all.fraction(all.onTime)
			}
			NewWithT(t).Expect(onTime[2]).To(BeNumerically(">=", onTime[0]-c.noise))
		})
	}
}
