package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/state"
)

// Parameters of the simulated engine. A decode step takes baseStep, plus stepPerRequest
// for each request in the batch, plus stepPerToken for each token of context. Each prompt
// token that is not cached adds prefillPerToken to the step that admits the prompt.
const (
	baseStep        = 15 * time.Millisecond
	stepPerRequest  = 500 * time.Microsecond
	stepPerToken    = 150 * time.Nanosecond
	prefillPerToken = 40 * time.Microsecond
	engineSlots     = 48
	cachedFamilies  = 6
	reportEvery     = 250 * time.Millisecond
)

// job is one request in the simulation.
type job struct {
	arrive    time.Duration
	prompt    int
	answer    int
	family    int
	shared    int
	first     time.Duration
	last      time.Duration
	generated int
	dispatch  *routing.Dispatch
}

// engine simulates a replica group with continuous batching and a small prefix cache.
type engine struct {
	next    time.Duration
	queue   []*job
	running []*job
	cache   []int
}

// cached reports whether the engine has cached the prefix of a family, and makes it the most
// recently used.
func (e *engine) cached(family int) bool {
	i := slices.Index(e.cache, family)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, family)
	if len(e.cache) > cachedFamilies {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

// tokens returns the number of context tokens of the running jobs.
func (e *engine) tokens() int {
	n := 0
	for _, j := range e.running {
		n += j.prompt + j.generated
	}
	return n
}

// step runs one decode step that starts at now, and calls gap with the times between tokens.
func (e *engine) step(now time.Duration, recordGap func(time.Duration)) {
	duration := baseStep
	if len(e.queue) > 0 && len(e.running) < engineSlots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		uncached := j.prompt
		if e.cached(j.family) {
			uncached -= j.shared
		}
		duration += time.Duration(uncached) * prefillPerToken
		e.running = append(e.running, j)
	}
	duration += time.Duration(len(e.running))*stepPerRequest + time.Duration(e.tokens())*stepPerToken
	e.next = now + duration
	kept := e.running[:0]
	for _, j := range e.running {
		if j.generated == 0 {
			j.first = e.next
		} else {
			recordGap(e.next - j.last)
		}
		j.last = e.next
		j.generated++
		if j.generated >= j.answer {
			j.dispatch.End()
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
}

// generateTraffic generates random requests: a fifth have long prompts, and three fifths share a prefix
// with their family.
func generateTraffic(seed uint64, perSecond float64, span time.Duration) []*job {
	rng := rand.New(rand.NewPCG(seed, 3))
	var jobs []*job
	for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
		j := &job{arrive: at, prompt: 200 + rng.IntN(800), answer: 1 + int(rng.ExpFloat64()*150), family: -1 - len(jobs)}
		if rng.IntN(5) == 0 {
			j.prompt = 4000 + rng.IntN(6000)
		}
		if rng.IntN(5) < 3 {
			j.family = int(rng.ExpFloat64() * 8)
			j.shared = 1024
			j.prompt = max(j.prompt, j.shared+100)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// prefixOf returns the block hashes of a job's prompt.
func prefixOf(j *job) []uint64 {
	var hashes []uint64
	for i := range j.prompt / routing.PrefixBlock {
		h := uint64(j.family+1_000_000)*2654435761 + uint64(i)*11400714819323198485
		if i*routing.PrefixBlock >= j.shared {
			h += uint64(j.arrive)
		}
		hashes = append(hashes, h)
	}
	return hashes
}

// latencies are the latencies that callers observe.
type latencies struct {
	firstToken, betweenTokens time.Duration
}

// simulation is a data hall of engines behind several nodes. Each node has its own delayed view of the load.
type simulation struct {
	engines []*engine
	tables  []*routing.Table
}

// newSimulation returns engines and nodes without load. All groups are ready.
func newSimulation(engines, nodes int) *simulation {
	sim := &simulation{}
	var groups []*state.Group
	for n := range engines {
		sim.engines = append(sim.engines, &engine{})
		groups = append(groups, &state.Group{Name: state.GroupName(fmt.Sprintf("g%02d", n)), Epoch: 1, Model: state.Model{Name: "m"}, Members: []state.InstanceID{"i"}})
	}
	for range nodes {
		t := routing.NewTable()
		t.Update(groups)
		for _, c := range t.Candidates("m") {
			c.UpdateEvidence(func(*state.Group) evidence.GroupEvidence { return evidence.GroupEvidence{Expires: time.Unix(1<<32, 0)} })
		}
		sim.tables = append(sim.tables, t)
	}
	return sim
}

// reportLoads records the load of every engine at every node.
func (sim *simulation) reportLoads() {
	for _, t := range sim.tables {
		for n, c := range t.Candidates("m") {
			e := sim.engines[n]
			c.RecordLoad(evidence.Load{InFlight: len(e.running) + len(e.queue), Tokens: int64(e.tokens())})
		}
	}
}

// run sends jobs through the nodes in turn and returns the latencies that callers observe.
func (sim *simulation) run(jobs []*job, pick routing.Picker) latencies {
	var gaps []time.Duration
	recordGap := func(d time.Duration) { gaps = append(gaps, d) }
	nextReport := reportEvery
	advance := func(to time.Duration) {
		for {
			n := sim.earliestEngine()
			if sim.engines[n].next > to {
				return
			}
			sim.engines[n].step(sim.engines[n].next, recordGap)
		}
	}
	for i, j := range jobs {
		for nextReport < j.arrive {
			advance(nextReport)
			sim.reportLoads()
			nextReport += reportEvery
		}
		advance(j.arrive)
		r := routing.Request{Tokens: int64(j.prompt + j.answer), Prompt: int64(j.prompt), Prefix: prefixOf(j)}
		table := sim.tables[i%len(sim.tables)]
		c := pick.Pick(table.Candidates("m"), r, time.Unix(0, 0))
		c.RecordPrefix(r.Prefix)
		j.dispatch = c.BeginRequest(r)
		e := sim.engines[slices.Index(table.Candidates("m"), c)]
		e.queue = append(e.queue, j)
	}
	advance(jobs[len(jobs)-1].arrive + time.Minute)
	var firsts []time.Duration
	for _, j := range jobs {
		firsts = append(firsts, j.first-j.arrive)
	}
	return latencies{firstToken: p95(firsts), betweenTokens: p95(gaps)}
}

// earliestEngine returns the index of the engine with the earliest next step.
func (sim *simulation) earliestEngine() int {
	best := 0
	for n, e := range sim.engines {
		if e.next < sim.engines[best].next {
			best = n
		}
	}
	return best
}

// p95 returns the 95th percentile. It sorts the list.
func p95(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)*95/100]
}

// pickers are the compared pickers. The first is the baseline, the last has the default
// weights.
var pickers = []struct {
	name string
	pick func() routing.Picker
}{
	{"round robin", func() routing.Picker { return &routing.RoundRobin{} }},
	{"two choices, held", func() routing.Picker { return &routing.TwoChoices{Weights: routing.Weights{InFlight: 1}} }},
	{"two choices, held 2048, tokens, prefix", func() routing.Picker {
		return &routing.TwoChoices{Weights: routing.Weights{InFlight: 2048, TokensInFlight: 1, Prefix: 1}}
	}},
	{"held only", leastCost(1, 0, 0, 0)},
	{"tokens only", leastCost(0, 1, 0, 0)},
	{"held 512, tokens", leastCost(512, 1, 0, 0)},
	{"held 8192, tokens", leastCost(8192, 1, 0, 0)},
	{"held 180000, tokens", leastCost(180_000, 1, 0, 0)},
	{"held 1000000, tokens", leastCost(1_000_000, 1, 0, 0)},
	{"held 512, tokens, recent 4", leastCost(512, 1, 4, 0)},
	{"held 512, tokens, recent 16", leastCost(512, 1, 16, 0)},
	{"held 512, tokens, recent 4, prefix 4", leastCost(512, 1, 4, 4)},
	{"held 512, tokens, recent 4, prefix 16", leastCost(512, 1, 4, 16)},
	{"held 512, recent 4, prefix 32", leastCost(512, 0, 4, 32)},
	{"recent 4, prefix 32", leastCost(0, 0, 4, 32)},
	{defaultWeights, leastCost(512, 1, 4, 32)},
}

// defaultWeights is the name of the picker with the default weights of the settings.
const defaultWeights = "held 512, tokens, recent 4, prefix 32"

// averageLatencies runs one picker with several seeds and returns the mean latencies.
func averageLatencies(load float64, seeds uint64, pick func() routing.Picker) latencies {
	var sum latencies
	for seed := range seeds {
		f := newSimulation(17, 3).run(generateTraffic(seed, load, 60*time.Second), pick())
		sum.firstToken += f.firstToken / time.Duration(seeds)
		sum.betweenTokens += f.betweenTokens / time.Duration(seeds)
	}
	return sum
}

// leastCost returns a constructor of a LeastCost with the given weights.
func leastCost(held, tokens, recent, prefix float64) func() routing.Picker {
	return func() routing.Picker {
		return &routing.LeastCost{Weights: routing.Weights{InFlight: held, TokensInFlight: tokens, PromptSinceReport: recent, Prefix: prefix}}
	}
}

// loads are request rates for 17 engines, in requests per second, from light load to near capacity.
var loads = []float64{30, 50, 65}

// BenchmarkSweep prints the p95 time to the first token and between tokens for every picker.
func BenchmarkSweep(b *testing.B) {
	for b.Loop() {
		var table strings.Builder
		for _, load := range loads {
			for _, c := range pickers {
				f := averageLatencies(load, 3, c.pick)
				_, _ = fmt.Fprintf(&table, "%3.0f/s | %-40s | p95 first %7.0f ms | p95 between %5.1f ms\n", load, c.name, float64(f.firstToken)/1e6, float64(f.betweenTokens)/1e6)
			}
		}
		fmt.Printf("\n%s", table.String())
	}
}

// TestDefaultWeightsBeatRoundRobin compares the default weights with round robin in the
// same run: less time between tokens, and little more time to the first token.
func TestDefaultWeightsBeatRoundRobin(t *testing.T) {
	base := averageLatencies(50, 2, pickers[0].pick)
	best := averageLatencies(50, 2, pickers[len(pickers)-1].pick)
	between := float64(best.betweenTokens) / float64(base.betweenTokens)
	first := float64(best.firstToken) / float64(base.firstToken)
	t.Logf("time between tokens is %.2f, time to first token %.2f of round robin's", between, first)
	if between > 0.8 || first > 1.25 {
		t.Errorf("time between tokens is %.2f of round robin's, want at most 0.80; time to first token is %.2f, want at most 1.25", between, first)
	}
}
