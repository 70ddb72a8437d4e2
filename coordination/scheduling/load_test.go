package scheduling_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// start is the time at which the simulated load begins.
var start = time.Unix(1000, 0)

// Delays between nodes and groups.
const (
	// reportInterval is the time between two status reports of a node.
	reportInterval = 250 * time.Millisecond
	// decisionDelay is the time until a node has the scheduler's decision.
	decisionDelay = 6 * time.Millisecond
	// firstEventTime is the time from the end of the pass that processes a prompt to the first event at the caller.
	firstEventTime = 100 * time.Millisecond
)

// kind is a kind of request.
type kind struct {
	share    float64
	prompt   int // mean prompt length, in tokens
	events   int // mean number of events
	goal     time.Duration
	priority int
}

// load is what callers ask of the groups of one model.
type load struct {
	name          string
	nodes, groups int
	slots         int
	engine        scheduling.Engine
	kinds         []kind
	// rate is the mean request rate per second, swing that of the wave, burst the factor during a burst of 4 s.
	rate, swing, burst float64
}

// request is one attempt of a caller.
type request struct {
	kind      *kind
	team      int
	prompt    int
	events    int
	arrivedAt time.Time
	firstAt   time.Time
	end       func()
	returning bool
}

// simGroup processes the prompts that wait in passes, and makes one event of each request of its batch per pass.
type simGroup struct {
	waiting, batch []*request
	busyUntil      time.Time
}

// runPass starts the next pass of a group.
func (g *simGroup) runPass(l *load, now time.Time) {
	tokens := 0
	for len(g.waiting) > 0 && len(g.batch) < l.slots && tokens < l.engine.TokensPerPass {
		r := g.waiting[0]
		g.waiting, g.batch = g.waiting[1:], append(g.batch, r)
		tokens += r.prompt
	}
	took := time.Duration(tokens) * l.engine.PrefillTimePerToken
	if n := len(g.batch); n > 0 {
		took += time.Duration(l.engine.StepsPerPass) * (l.engine.StepTime + time.Duration(n)*l.engine.StepTimePerRequest)
	}
	g.busyUntil = now.Add(max(took, time.Millisecond))
	g.batch = slices.DeleteFunc(g.batch, func(r *request) bool {
		if r.firstAt.IsZero() {
			r.firstAt = g.busyUntil.Add(firstEventTime)
		}
		r.events--
		if r.events <= 0 {
			r.end()
		}
		return r.events <= 0
	})
}

// router is a way of choosing groups. route returns the group for a request, or the delay after which its caller may return.
type router interface {
	route(sim *simulation, node int, r *request) (to *simGroup, retryAfter time.Duration)
	// tick is called every millisecond.
	tick(sim *simulation)
}

// simulation plays a load against a router.
type simulation struct {
	load
	router
	rng    *rand.Rand
	now    time.Time
	groups map[state.InstanceID]*simGroup
	heads  []state.InstanceID
	// returns are the refused callers by the time at which they return.
	returns map[time.Time][]*request
	done    []*request
	outcome outcome
}

// outcome counts the requests by what their callers got.
type outcome struct {
	onTime, late, returned, refused, all int
	byKind, byTeam                       map[int][2]int
}

func newSimulation(seed uint64, l load, r router) *simulation {
	sim := &simulation{load: l, router: r, rng: rand.New(rand.NewPCG(seed, 1)), now: start, groups: map[state.InstanceID]*simGroup{}, returns: map[time.Time][]*request{}}
	for i := range l.groups {
		id := state.InstanceID(fmt.Sprintf("g%02d", i))
		sim.heads = append(sim.heads, id)
		sim.groups[id] = &simGroup{}
	}
	return sim
}

// run plays the load for a time.
func (sim *simulation) run(d time.Duration) {
	for end := start.Add(d); sim.now.Before(end); sim.now = sim.now.Add(time.Millisecond) {
		sim.tick(sim)
		for due := sim.currentRate() / 1000; sim.rng.Float64() < due; due-- {
			sim.arrive(sim.newRequest())
		}
		for _, r := range sim.returns[sim.now] {
			sim.arrive(r)
		}
		for _, id := range sim.heads {
			if g := sim.groups[id]; !sim.now.Before(g.busyUntil) {
				g.runPass(&sim.load, sim.now)
			}
		}
	}
	sim.count()
}

// currentRate returns the request rate: a wave of 13 s, and a burst from 5 to 9 s.
func (sim *simulation) currentRate() float64 {
	t := sim.now.Sub(start).Seconds()
	rate := sim.rate * (1 + sim.swing*math.Sin(2*math.Pi*t/13))
	if sim.burst > 0 && t >= 5 && t < 9 {
		rate *= sim.burst
	}
	return rate
}

// teams is the number of teams. The first one sends a third of all requests.
const teams = 24

func (sim *simulation) newRequest() *request {
	k := &sim.kinds[len(sim.kinds)-1]
	for i, u := 0, sim.rng.Float64(); i < len(sim.kinds); i++ {
		if u -= sim.kinds[i].share; u < 0 {
			k = &sim.kinds[i]
			break
		}
	}
	const spread = 0.9 // of the logarithm of prompt lengths
	prompt := float64(k.prompt) * math.Exp(spread*sim.rng.NormFloat64()-spread*spread/2)
	team := 0
	if sim.rng.Float64() > 1.0/3 {
		team = 1 + sim.rng.IntN(teams-1)
	}
	return &request{kind: k, team: team, prompt: int(min(max(prompt, 40), 3*float64(k.prompt))), events: 1 + sim.rng.IntN(2*k.events), arrivedAt: sim.now}
}

func (sim *simulation) arrive(r *request) {
	g, after := sim.route(sim, sim.rng.IntN(sim.nodes), r)
	if g != nil {
		g.waiting = append(g.waiting, r)
		sim.done = append(sim.done, r)
		return
	}
	if r.returning {
		sim.done = append(sim.done, r)
		r.events = -1
		return
	}
	r.returning = true
	at := sim.now.Add(after).Truncate(time.Millisecond)
	sim.returns[at] = append(sim.returns[at], r)
}

// count counts the outcomes of the callers' requests.
func (sim *simulation) count() {
	o := outcome{byKind: map[int][2]int{}, byTeam: map[int][2]int{}}
	for _, r := range sim.done {
		o.all++
		onTime := 0
		switch {
		case r.events < 0:
			o.refused++
		case r.returning:
			o.returned++
		case !r.firstAt.IsZero() && r.firstAt.Sub(r.arrivedAt) <= r.kind.goal:
			o.onTime++
			onTime = 1
		default:
			o.late++
		}
		for i := range sim.kinds {
			if r.kind == &sim.kinds[i] {
				o.byKind[i] = [2]int{o.byKind[i][0] + onTime, o.byKind[i][1] + 1}
			}
		}
		o.byTeam[r.team] = [2]int{o.byTeam[r.team][0] + onTime, o.byTeam[r.team][1] + 1}
	}
	sim.outcome = o
}

// part returns a count as a fraction of all requests.
func (o *outcome) part(n int) float64 { return float64(n) / float64(max(o.all, 1)) }

// worst returns the smallest fraction on time of the kinds or teams in a map.
func worst(counts map[int][2]int) float64 {
	least := 1.0
	for _, c := range counts {
		least = min(least, float64(c[0])/float64(max(c[1], 1)))
	}
	return least
}

func (o *outcome) String() string {
	return fmt.Sprintf("on time %.3f, late %.3f, after a refusal %.3f, refused twice %.3f; worst kind %.3f, worst team %.3f", o.part(o.onTime), o.part(o.late), o.part(o.returned), o.part(o.refused), worst(o.byKind), worst(o.byTeam))
}

// byNodes is today's way: each node chooses a group by the load that it knows, and refuses a request if all look full.
type byNodes struct {
	tables  []*dispatch.Table
	reports []map[state.InstanceID]int
}

func (b *byNodes) route(sim *simulation, node int, r *request) (*simGroup, time.Duration) {
	if b.tables == nil {
		b.init(sim)
	}
	target := b.tables[node].Pick("lm", "m", sim.now, func(*dispatch.Candidate) bool { return false })
	if target.IsFull(sim.now) {
		return nil, 700*time.Millisecond + time.Duration(sim.rng.Int64N(int64(350*time.Millisecond)))
	}
	r.end = target.BeginRequest(r.prompt, sim.now).End
	return sim.groups[target.ID], 0
}

func (b *byNodes) init(sim *simulation) {
	engine := &catalog.Engine{
		BatchSlots: sim.slots, PrefillTokensPerSecond: float64(time.Second) / float64(sim.engine.PrefillTimePerToken), StepsPerPass: sim.engine.StepsPerPass,
		Models: []catalog.Model{{Name: "m", GroupSize: 1, TimeFactor: 1}},
	}
	c := catalog.New(1, nil, []catalog.Service{{Name: "lm", Engine: engine}}, nil, catalog.Limits{})
	var views []roster.View
	for _, id := range sim.heads {
		in := fleet.Instance{ID: id, Service: "lm", Hall: "h", Model: "m", Membership: fleet.Membership{Group: state.GroupName(id), Epoch: 1, State: fleet.Open}}
		views = append(views, roster.View{Instance: in})
	}
	for range sim.nodes {
		t := dispatch.NewTable("h", dispatch.DefaultPolicy())
		t.Update(c, views, func(fleet.GroupKey) bool { return false })
		b.tables = append(b.tables, t)
		b.reports = append(b.reports, nil)
	}
}

func (b *byNodes) tick(sim *simulation) {
	ms, interval := int(sim.now.Sub(start)/time.Millisecond), int(reportInterval/time.Millisecond)
	for i, t := range b.tables {
		if (ms+i*interval/len(b.tables))%interval != 0 {
			continue
		}
		b.reports[i] = t.InFlight()
		others := map[state.InstanceID]int{}
		for j, r := range b.reports {
			for id, n := range r {
				if j != i {
					others[id] += n
				}
			}
		}
		rate := sim.currentRate()
		own := []demand.Flow{{Service: "lm", Model: "m", Requests: rate / float64(len(b.tables))}}
		t.UpdateLoad(others, []demand.Flow{{Service: "lm", Model: "m", Requests: rate, PromptTokens: rate * float64(sim.kinds[0].prompt)}}, own)
	}
}

// byScheduler asks a scheduler for each request. The scheduler learns of ended requests from the status reports.
type byScheduler struct {
	*scheduling.Scheduler
	inFlight []map[state.InstanceID]int // by node
	reported []map[state.InstanceID]int
	samples  [][]scheduling.Sample
	waits    map[*request]time.Duration
}

func newByScheduler(p scheduling.Policy) *byScheduler {
	return &byScheduler{Scheduler: scheduling.NewScheduler(p), waits: map[*request]time.Duration{}}
}

var poolM = scheduling.Pool{Service: "lm", Model: "m"}

func (b *byScheduler) route(sim *simulation, node int, r *request) (*simGroup, time.Duration) {
	req := &scheduling.Request{
		Pool: poolM, Hall: "h", Team: state.TeamName(fmt.Sprint(r.team)), PromptTokens: r.prompt, Goal: r.kind.goal, TimeLeft: 6*time.Second - sim.now.Sub(r.arrivedAt),
		Priority: r.kind.priority, Returning: r.returning,
	}
	d, ok := b.Schedule(req, b.samples[node], sim.now)
	b.samples[node] = nil
	if !ok || d.Refused {
		return nil, d.RetryAfter
	}
	b.inFlight[node][d.Instance]++
	sentAt := sim.now
	r.end = func() {
		b.inFlight[node][d.Instance]--
		b.samples[node] = append(b.samples[node], scheduling.Sample{Instance: d.Instance, Latency: r.firstAt.Sub(sentAt) - d.Wait + decisionDelay})
	}
	return sim.groups[d.Instance], 0
}

func (b *byScheduler) tick(sim *simulation) {
	if b.inFlight == nil {
		for range sim.nodes {
			b.inFlight = append(b.inFlight, map[state.InstanceID]int{})
			b.reported = append(b.reported, map[state.InstanceID]int{})
		}
		b.samples = make([][]scheduling.Sample, sim.nodes)
	}
	ms, interval := int(sim.now.Sub(start)/time.Millisecond), int(reportInterval/time.Millisecond)
	for i := range b.inFlight {
		if (ms+i*interval/sim.nodes)%interval == 0 {
			for _, id := range sim.heads {
				b.reported[i][id] = b.inFlight[i][id]
			}
		}
	}
	if ms%100 != 0 {
		return
	}
	s := scheduling.Snapshot{Pool: poolM, ReportInterval: reportInterval}
	for _, id := range sim.heads {
		g := scheduling.Group{Head: id, Hall: "h", Slots: sim.slots, Engine: sim.engine}
		for _, r := range b.reported {
			g.InFlight += r[id]
		}
		s.Groups = append(s.Groups, g)
	}
	b.Update([]scheduling.Snapshot{s}, sim.now)
}

// engineA and engineB are the engines of two deployments, with the pace of one of their models.
func engineA(pace float64) scheduling.Engine {
	return scheduling.Engine{
		PrefillTimePerToken: time.Duration(17.8 * pace * float64(time.Microsecond)), StepTime: time.Duration(6.45 * pace * float64(time.Millisecond)),
		StepTimePerRequest: time.Duration(0.0967 * pace * float64(time.Millisecond)), StepsPerPass: 5, TokensPerPass: 2048,
	}
}

func engineB(pace float64) scheduling.Engine {
	return scheduling.Engine{
		PrefillTimePerToken: time.Duration(21.7 * pace * float64(time.Microsecond)), StepTime: time.Duration(6.07 * pace * float64(time.Millisecond)),
		StepTimePerRequest: time.Duration(0.241 * pace * float64(time.Millisecond)), StepsPerPass: 5, TokensPerPass: 2048,
	}
}

var (
	largeA = []kind{{0.62, 1460, 30, 400 * time.Millisecond, 1}, {0.38, 2000, 5, 400 * time.Millisecond, 1}}
	smallA = []kind{{1, 714, 30, 300 * time.Millisecond, 1}}
	largeB = []kind{{0.62, 1460, 23, 500 * time.Millisecond, 1}, {0.38, 2000, 5, 1000 * time.Millisecond, 2}}
	smallB = []kind{{1, 714, 23, 250 * time.Millisecond, 0}}
)

var loads = []load{
	{"large model, calm", 87, 6, 48, engineA(1), largeA, 73, 0.2, 0},
	{"large model, wave", 87, 6, 48, engineA(1), largeA, 73, 0.55, 0},
	{"large model, groups lost", 87, 3, 48, engineA(1), largeA, 73, 0.55, 0},
	{"large model, burst", 87, 5, 48, engineA(1), largeA, 73, 0.55, 1.6},
	{"small model, wave", 87, 10, 48, engineA(0.6), smallA, 277, 0.55, 0},
	{"small model, burst", 87, 10, 48, engineA(0.6), smallA, 277, 0.55, 1.6},
	{"two priorities, burst", 86, 4, 34, engineB(1), largeB, 54, 0.2, 2.2},
	{"small model, short goal, burst", 86, 14, 34, engineB(0.6), smallB, 348, 0.2, 1.7},
}

// Guards against first events that are late at all groups in turn because each node chooses groups by what it knew of the
// other nodes' requests some hundred milliseconds ago.
func TestSchedulerLeavesFirstEventsOnTimeUnderLoad(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			g := NewWithT(t)
			today := newSimulation(1, l, &byNodes{})
			today.run(26 * time.Second)
			sim := newSimulation(1, l, newByScheduler(scheduling.DefaultPolicy()))
			sim.run(26 * time.Second)
			t.Logf("by nodes:     %s", &today.outcome)
			t.Logf("by scheduler: %s", &sim.outcome)
			g.Expect(sim.outcome.onTime).To(BeNumerically(">=", today.outcome.onTime))
		})
	}
}
