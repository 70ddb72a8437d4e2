package upgrade

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// Report is what a run showed.
type Report struct {
	Seed uint64
	Mode Mode
	// Violations are the rules that were broken.
	Violations []string
	// Calls is the number of calls, Served the part that was served in the whole run, Before until the
	// first node is replaced, During until the last one has been, Calm in the calm time at its end.
	Calls                        int
	Served, Before, During, Calm float64
	// Disagreed is the longest time from a change of the configuration until all nodes that were ready served by it.
	Disagreed time.Duration
	// Abandoned is the number of requests whose callers left before the node had read them, Unread the number of those whose node
	// reset the connection before it had read them.
	Abandoned, Unread int
	// Resent is the number of requests that ran at a worker which had turned them away before, since they were meant for the one
	// that had its address.
	Resent int
	// Replaced is the number of replaced models whose service was judged.
	Replaced int
	// Changes are what the run did, Seen how often workers saw something.
	Changes []string
	Seen    map[standin.Kind]int
	// Evacuations is the number of evacuations, Watched for how long nodes had to enforce them past the bound, added up;
	// Cold is the most requests at a cold worker in one second.
	Evacuations, Cold int
	Watched           time.Duration
}

// Bounds of the judge: those of the platform's pages, and what is on its way.
const (
	drainBound     = 2 * time.Second
	afterAnswer    = 500 * time.Millisecond
	mostInRest     = 2
	deadlyEndings  = 3
	mostAfterThird = 3
	contact        = 3 * time.Second
	limitSpan      = 4 * time.Second
	configBound    = 2 * time.Second
	revokeBound    = 5 * time.Second
	storeMargin    = 3 * time.Second
	// leastServed and leastCalm are the parts of all calls that must be served, in the whole run
	// and once all is calm.
	leastServed = 0.7
	leastCalm   = 0.97
)

// judge judges what callers and workers saw.
func (r *run) judge() *Report {
	r.mu.Lock()
	changes := slices.Clone(r.changes)
	r.mu.Unlock()
	j := &judge{run: r, changes: changes, events: r.workers.Events(), attempts: r.callers.all(), report: &Report{Seed: r.Seed, Mode: r.plan.mode}}
	for _, c := range changes {
		what := string(c.trouble) + " (" + c.what + ")"
		if c.node != nil {
			what += " at " + c.node.machine.Name
		}
		j.report.Changes = append(j.report.Changes, fmt.Sprintf("%.1f to %.1f s: %s", j.since(c.at), j.since(c.until), what))
	}
	j.report.Seen = map[standin.Kind]int{}
	for _, e := range j.events {
		j.report.Seen[e.Kind]++
	}
	j.processes()
	j.answers()
	j.resets()
	j.plannedStops()
	j.drains()
	j.rests()
	j.deadlyRequests()
	j.limits()
	j.evacuations()
	j.readmissions()
	j.coldWorkers()
	j.configuration()
	j.service()
	j.modelsServed()
	j.countResent()
	return j.report
}

// judge is one judgement under way.
type judge struct {
	run      *run
	changes  []change
	events   []standin.Event
	attempts []attempt
	report   *Report
}

// broken records that a rule was broken.
func (j *judge) broken(format string, args ...any) {
	const most = 12
	if len(j.report.Violations) < most {
		j.report.Violations = append(j.report.Violations, fmt.Sprintf(format, args...))
	}
}

// since returns a time as seconds of the run.
func (j *judge) since(at time.Time) float64 { return at.Sub(j.run.began).Seconds() }

// within reports whether a change of one of some troubles, or a planned stop if none is named, was
// under way between two times; of a node, or of any.
func (j *judge) within(from, to time.Time, n *node, kinds ...trouble) bool {
	return slices.ContainsFunc(j.changes, func(c change) bool {
		if n != nil && c.node != nil && c.node != n || c.until.Before(from) || c.at.After(to) {
			return false
		}
		return c.planned && len(kinds) == 0 || slices.Contains(kinds, c.trouble) && c.trouble != ""
	})
}

// fresh reports whether a node was started, killed or frozen between two times.
func (j *judge) fresh(name string, from, to time.Time) bool {
	return slices.ContainsFunc(j.changes, func(c change) bool {
		return c.node != nil && c.node.machine.Name == name && !c.at.After(to) && !c.until.Add(contact).Before(from)
	})
}

// nodeOf returns the name of the node that a request went to.
func nodeOf(request string) string {
	name, _, _ := strings.Cut(request, ".")
	return name
}

// processes judges processes that ended by themselves.
func (j *judge) processes() {
	for _, n := range j.run.nodes {
		for _, c := range n.crashed() {
			j.broken("%.2f s: the process of %s ended by itself: %s", j.since(c.at), n.machine.Name, c.state)
		}
	}
}

// answers judges answers that look whole, and what workers themselves found wrong.
func (j *judge) answers() {
	for _, a := range j.attempts {
		switch a.outcome {
		case left:
			j.report.Abandoned++
		case unread:
			j.report.Unread++
		}
		if a.wrong != "" {
			j.broken("%.2f s: %s at %s: %s", j.since(a.began), a.id, a.path, a.wrong)
		}
	}
	for _, e := range j.events {
		if e.Kind == standin.Violated {
			j.broken("%.2f s: %s: %s %s", j.since(e.At), e.Worker, e.Text, e.Request)
		}
	}
}

// arrived returns the requests that reached a worker, deadly ones apart.
func (j *judge) arrived() map[string]bool {
	arrived := map[string]bool{}
	for _, e := range j.events {
		arrived[e.Request] = arrived[e.Request] || e.Kind == standin.Arrived && !e.Deadly
	}
	return arrived
}

// resets judges connections that a node reset although it had read the request: a caller takes a reset for a request that was not
// read, and repeats it.
func (j *judge) resets() {
	arrived := j.arrived()
	for _, a := range j.attempts {
		if a.outcome == unread && arrived[a.id] {
			j.broken("%.2f s: the connection of %s was reset after the request had reached a worker", j.since(a.began), a.id)
		}
	}
}

// plannedStops judges requests that a planned stop cut off after they had reached a worker.
func (j *judge) plannedStops() {
	arrived := j.arrived()
	for _, a := range j.attempts {
		if a.outcome != cut && a.outcome != unread || !arrived[a.id] || a.took >= callTime {
			continue
		}
		end := a.began.Add(a.took)
		disturbed := j.within(a.began.Add(-contact), end, nil, slices.Concat(workerLinks, []trouble{crashWorker, leaving, deadly, storeRestore})...) || j.within(a.began.Add(-contact), end, a.node, killNode, freezeNode)
		if j.within(a.began, end, a.node) && !disturbed {
			j.broken("%.2f s: %s was cut by a planned stop after %s", j.since(a.began), a.id, a.took)
		}
	}
}

// drains judges requests that reached a worker long after it had told the node that it leaves.
func (j *judge) drains() {
	told := map[[2]string]time.Time{}
	for _, e := range j.events {
		key := [2]string{e.Worker, nodeOf(e.Request)}
		if e.Kind == standin.Left && told[key].IsZero() && e.Request != "" {
			told[key] = e.At
		}
	}
	for _, e := range j.events {
		at := told[[2]string{e.Worker, nodeOf(e.Request)}]
		if e.Kind != standin.Arrived || at.IsZero() || e.At.Sub(at) <= drainBound+afterAnswer || j.fresh(nodeOf(e.Request), at, e.At) || j.harmed(e.Worker, at, e.At) {
			continue
		}
		j.broken("%.2f s: %s reached %s %s after it said that it leaves", j.since(e.At), e.Request, e.Worker, e.At.Sub(at))
	}
}

// rests judges requests that reached a worker from a node that it had asked for rest.
func (j *judge) rests() {
	for _, s := range j.events {
		if s.Kind != standin.Shed {
			continue
		}
		end := s.At.Add(time.Duration(s.Value * float64(time.Second)))
		late := 0
		for _, e := range j.events {
			if e.Kind == standin.Arrived && e.Worker == s.Worker && nodeOf(e.Request) == nodeOf(s.Request) && e.At.Sub(s.At) > afterAnswer && e.At.Before(end) {
				late++
			}
		}
		if late > mostInRest && !j.fresh(nodeOf(s.Request), s.At, end) && !j.harmed(s.Worker, s.At, end) {
			j.broken("%.2f s: %s got %d requests of %s, which it had asked for rest", j.since(s.At), s.Worker, late, nodeOf(s.Request))
			return
		}
	}
}

// deadlyRequests judges how often a request reached workers after three had ended under it.
func (j *judge) deadlyRequests() {
	runs := map[string]bool{}
	var ended []time.Time
	for _, e := range j.events {
		if e.Kind == standin.Arrived && e.Deadly {
			runs[e.Worker] = true
		}
		if e.Kind == standin.Ended && runs[e.Worker] {
			ended = append(ended, e.At)
		}
	}
	if len(ended) < deadlyEndings {
		return
	}
	late := 0
	for _, e := range j.events {
		at := e.At
		if e.Kind == standin.Arrived && e.Deadly && at.Sub(ended[deadlyEndings-1]) > contact && !j.fresh(nodeOf(e.Request), ended[deadlyEndings-1], at) {
			late++
		}
	}
	if late > mostAfterThird {
		j.broken("a request under which %d workers ended reached workers %d times more, 3 s after the third", len(ended), late)
	}
}

// limits judges calls that reached workers with a rate limit, while all nodes kept to limits
// or were led by one that does: a node that keeps to them was there some time before.
func (j *judge) limits() {
	named := map[string]time.Time{}
	told := map[[2]string]time.Time{}
	arrivals := map[string][]standin.Event{}
	for _, e := range j.events {
		key := [2]string{e.Worker, nodeOf(e.Request)}
		switch e.Kind {
		case standin.Limited:
			if named[e.Worker].IsZero() {
				named[e.Worker] = e.At
			}
			if told[key].IsZero() {
				told[key] = e.At
			}
		case standin.Arrived, standin.Asked:
			arrivals[e.Worker] = append(arrivals[e.Worker], e)
		}
	}
	for worker, at := range named {
		j.limitOf(worker, at, arrivals[worker], told)
	}
}

// lifted returns when the limit of a worker that was first named at a time ended.
func (j *judge) lifted(worker string, named time.Time) time.Time {
	i := slices.IndexFunc(j.changes, func(c change) bool { return c.trouble == limiting && c.what == worker && c.until.After(named) })
	if i < 0 {
		return named.Add(2 * troubleTime)
	}
	return j.changes[i].until
}

// limitOf judges the calls that reached one worker with a rate limit, until it ended.
func (j *judge) limitOf(worker string, named time.Time, arrivals []standin.Event, told map[[2]string]time.Time) {
	most := 1.5*limitedRate*limitSpan.Seconds() + 5
	lifted := j.lifted(worker, named)
	for _, last := range arrivals {
		from := last.At.Add(-limitSpan)
		if last.At.Sub(named) < contact || last.At.After(lifted) || !j.keptToLimits(from, last.At) || j.leftNoOther(worker, from, last.At) || j.harmed(worker, from, last.At) {
			continue
		}
		count := 0
		for _, e := range arrivals {
			t := told[[2]string{worker, nodeOf(e.Request)}]
			if e.At.After(from) && !e.At.After(last.At) && !t.IsZero() && last.At.Sub(t) >= afterAnswer && !j.fresh(nodeOf(e.Request), from, last.At) {
				count++
			}
		}
		if float64(count) > most {
			j.broken("%.2f s: %s, which takes %g a second, got %d calls in 4 s, allowed %g", j.since(last.At), worker, limitedRate, count, most)
			return
		}
	}
}

// keptToLimits reports whether between two times some node of a build with limits was up
// throughout, and no node was replaced or fell out, which may change the leader.
func (j *judge) keptToLimits(from, to time.Time) bool {
	if j.within(from, to, nil, killNode, freezeNode) || j.within(from, to, nil) {
		return false
	}
	for _, n := range j.run.nodes {
		last := j.run.From
		for _, c := range j.changes {
			if c.planned && c.node == n && c.until.Before(from) {
				last = j.run.build(c)
			}
		}
		if last.Limits {
			return true
		}
	}
	return false
}

// leftNoOther reports whether nodes of a build without limits had no sound worker but limited
// ones between two times: a plain service whose others shed, or are limited too. They look for
// one that is not full, and send to a full one where there is no other.
func (j *judge) leftNoOther(worker string, from, to time.Time) bool {
	if j.run.From.Limits {
		return false
	}
	plain, troubled := map[string]bool{}, map[string]bool{}
	for _, w := range j.run.workers.Workers(standin.PlainName) {
		plain[w.ID] = true
	}
	for _, c := range j.changes {
		if plain[c.what] && (c.trouble == shedding || c.trouble == limiting) && !c.until.Before(from.Add(-contact)) && !c.at.After(to) {
			troubled[c.what] = true
		}
	}
	return plain[worker] && len(troubled) == len(plain)
}

// build returns the build that a replacement started.
func (r *run) build(c change) Build {
	if strings.HasSuffix(c.what, r.To.Commit) {
		return r.To
	}
	return r.From
}

// configuration judges when nodes served by a new configuration, and whether they went back.
func (j *judge) configuration() {
	i := slices.IndexFunc(j.changes, func(c change) bool { return c.trouble == reconfigure })
	if i < 0 {
		return
	}
	at := j.changes[i].at
	for _, a := range j.attempts {
		late := a.began.Sub(at)
		if a.path == standin.NewPath && a.status == 404 {
			j.report.Disagreed = max(j.report.Disagreed, late)
			if late > configBound+storeMargin && !j.within(at, a.began, nil, slices.Concat(storeLinks, []trouble{storeOutage, storeCut, storeRestore})...) {
				j.broken("%.2f s: %s knows no route that was written %s before", j.since(a.began), a.node.machine.Name, late)
			}
		}
	}
	for _, a := range j.attempts {
		revoked := strings.HasPrefix(a.id, a.node.machine.Name) && a.outcome == served && a.key == standin.RevokedKey
		if revoked && a.began.Sub(at) > revokeBound {
			j.broken("%.2f s: %s served a key that was taken away %s before", j.since(a.began), a.node.machine.Name, a.began.Sub(at))
		}
	}
}

// service judges how much was served.
func (j *judge) service() {
	first, last := j.replacing()
	calm := j.run.calmSince.Add(2 * time.Second)
	var all, before, during, after tally
	for _, a := range j.attempts {
		if a.began.Before(j.run.began) || a.outcome == left || a.key != standin.Key || a.path == standin.NewPath || a.body == standin.DeadlyBody {
			continue
		}
		all.add(a)
		switch {
		case a.began.Before(first):
			before.add(a)
		case a.began.Before(last):
			during.add(a)
		case a.began.After(calm):
			after.add(a)
		}
	}
	j.report.Calls = all.calls
	j.report.Served, j.report.Before, j.report.During, j.report.Calm = all.part(), before.part(), during.part(), after.part()
	if j.report.Served < leastServed {
		j.broken("%.3f of all calls were served", j.report.Served)
	}
	if j.report.Calm < leastCalm {
		j.broken("%.3f of the calls were served once all was calm", j.report.Calm)
	}
}

// replacing returns when the first node began to be replaced, and when the last one had been.
func (j *judge) replacing() (first, last time.Time) {
	for _, c := range j.changes {
		if !c.planned {
			continue
		}
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
		if c.until.After(last) {
			last = c.until
		}
	}
	return first, last
}

// tally counts calls, and those that were served.
type tally struct{ calls, served int }

// add counts a call.
func (t *tally) add(a attempt) {
	t.calls++
	if a.outcome == served {
		t.served++
	}
}

// part returns the part that was served, 1 of nothing.
func (t *tally) part() float64 {
	if t.calls == 0 {
		return 1
	}
	return float64(t.served) / float64(t.calls)
}
