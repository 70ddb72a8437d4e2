package upgrade

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// halls are the data halls of a run. Without evacuations all workers are in the first one.
var halls = []string{"hall-a", "hall-b"}

// evacuation is the planned evacuation of a hall; at is the time since the nodes were ready.
type evacuation struct {
	hall     string
	at, last time.Duration
}

// Bounds of evacuations and of cold workers, as the nodes' settings and the configuration name them.
const (
	evacuateBound = 5 * time.Second
	coldExcess    = 1.5
	coldSlack     = 5.0
	coldStart     = 3 * time.Second
	// coldPerSecond is so low that a model's requests exceed the bound where a single cold group serves them all.
	coldPerSecond = 4.0
)

// hasHalls reports whether halls are evacuated and workers start cold in the run: in soaks with odd seeds, of builds
// that know both.
func (o *Options) hasHalls() bool {
	return o.Soak && !o.Calm && o.From.Halls && o.To.Halls && o.Seed%2 == 1
}

// newEvacuations draws a series of evacuations. It draws from a source of its own, so that the plan of a seed stays.
func newEvacuations(seed uint64) []evacuation {
	const (
		shortOnes = 4
		shortest  = 500
		longest   = 3000
		pastBound = 4000
		gap       = 3000
	)
	rng := rand.New(rand.NewPCG(seed, 4))
	ms := func(n int) time.Duration { return time.Duration(rng.IntN(n)) * time.Millisecond }
	var list []evacuation
	for at := ms(gap); at < lastTrouble; at += ms(gap) {
		e := evacuation{hall: halls[rng.IntN(len(halls))], at: at, last: evacuateBound + shortest*time.Millisecond + ms(pastBound)}
		if rng.IntN(shortOnes) == 0 {
			e.last = shortest*time.Millisecond + ms(longest-shortest)
		}
		list = append(list, e)
		at += e.last
	}
	return list
}

// boundHalls has a node's settings name the bounds of evacuations and of cold workers.
func (r *run) boundHalls(m *standin.Machine) {
	if r.hasHalls() {
		m.EvacuateTime, m.ColdExcess, m.ColdSlack = evacuateBound, coldExcess, coldSlack
	}
}

// setHall chooses the hall of a new worker: that of its domain, or each in turn. A worker that starts under traffic is cold.
func (r *run) setHall(w *standin.Worker) {
	if !r.hasHalls() {
		return
	}
	if w.Domain == "d2" || w.Domain == "" && r.born.Load()%2 == 0 {
		w.Hall = halls[1]
	}
	if !r.began.IsZero() {
		w.Cold = coldStart
	}
}

// evacuateHalls evacuates and readmits halls as planned, and notes each evacuation as a change: from the acknowledgement of
// the record until its deletion begins. The workers of a hall whose evacuation reached its bound are cold
// when it is readmitted; before, they may still be in use.
func (r *run) evacuateHalls(ctx context.Context) {
	for _, e := range r.evacuations {
		sleep(ctx, time.Until(r.began.Add(calmBefore+e.at)))
		if ctx.Err() != nil {
			return
		}
		r.store.Evacuate(e.hall)
		done := change{at: time.Now(), what: e.hall, trouble: evacuating}
		sleep(ctx, e.last)
		if e.last > evacuateBound {
			r.workers.Cool(e.hall, coldStart)
		}
		done.until = time.Now()
		r.store.Readmit(e.hall)
		r.note(done)
	}
}

// disturbed reports whether a node may have had no contact with the store at some moment between two times: from the start of a
// fault on it or on its connections until the contact span after the end.
func (j *judge) disturbed(name string, from, to time.Time) bool {
	return slices.ContainsFunc(j.changes, func(c change) bool {
		if c.at.After(to) || c.until.Add(contact).Before(from) {
			return false
		}
		if c.node != nil {
			return c.node.machine.Name == name
		}
		return c.trouble == storeOutage || c.trouble == storeRestore || c.trouble == storeCut && c.what == name
	})
}

// delayed reports whether a worker may have got requests between two times that were sent some time before.
func (j *judge) delayed(worker string, from, to time.Time) bool {
	return slices.ContainsFunc(j.changes, func(c change) bool {
		return c.what == worker && (c.trouble == slowLink || c.trouble == oneWayLink) && !c.until.Before(from) && !c.at.After(to)
	})
}

// evacuated returns the evacuations that were made.
func (j *judge) evacuated() []change {
	return slices.DeleteFunc(slices.Clone(j.changes), func(c change) bool { return c.trouble != evacuating })
}

// misdirected returns the arrivals that were answered as misdirected: they have run nowhere and don't count.
func (j *judge) misdirected() map[standin.Event]bool {
	found := map[standin.Event]bool{}
	for _, e := range j.events {
		if e.Kind == standin.Misdirected {
			e.Kind = standin.Arrived
			found[e] = true
		}
	}
	return found
}

// evacuations judges requests that reached the workers of an evacuated hall after the bound, from nodes that were in
// contact with the store for as long. A request that was under way on a slow connection may arrive later.
func (j *judge) evacuations() {
	misdirected := j.misdirected()
	for _, v := range j.evacuated() {
		j.report.Evacuations++
		j.report.Watched += j.watched(v)
		var late []standin.Event
		for _, e := range j.events {
			if e.Kind != standin.Arrived || e.Hall != v.what || e.At.Sub(v.at) < evacuateBound || !e.At.Before(v.until) || misdirected[e] {
				continue
			}
			if j.mustEnforce(nodeOf(e.Request), e.At) && !j.delayed(e.Worker, e.At, e.At) {
				late = append(late, e)
			}
		}
		if len(late) > 0 {
			e := late[0]
			j.broken("%.2f s: %s reached %s in %s, evacuated for %s; %d such requests", j.since(e.At), e.Request, e.Worker, e.Hall, e.At.Sub(v.at), len(late))
		}
	}
}

// mustEnforce reports whether a node has been in contact with the store for the bound of an evacuation.
func (j *judge) mustEnforce(name string, at time.Time) bool {
	return !j.disturbed(name, at.Add(-evacuateBound), at)
}

// watched returns for how long the nodes had to enforce an evacuation, added up: with 0 the check says nothing.
func (j *judge) watched(v change) (sum time.Duration) {
	const step = 100 * time.Millisecond
	for at := v.at.Add(evacuateBound); at.Before(v.until); at = at.Add(step) {
		for _, n := range j.run.nodes {
			if j.mustEnforce(n.machine.Name, at) {
				sum += step
			}
		}
	}
	return sum
}

// readmitBound is how soon some node uses a hall again that was readmitted.
const readmitBound = 5 * time.Second

// readmissions judges whether a hall gets requests again: soon, if some node is in contact with the store, and at the
// latest once all is calm.
func (j *judge) readmissions() {
	made := j.evacuated()
	for i, v := range made {
		to := v.until.Add(readmitBound)
		again := slices.ContainsFunc(made[i+1:], func(o change) bool { return o.what == v.what && o.at.Before(to) })
		inContact := slices.ContainsFunc(j.run.nodes, func(n *node) bool { return !j.disturbed(n.machine.Name, v.until, to) })
		if !again && inContact && !j.reached(v.what, v.until, to) {
			j.broken("%.2f s: %s got no requests for %s after it was readmitted", j.since(to), v.what, readmitBound)
		}
		if !j.reached(v.what, j.run.calmSince, j.run.calmSince.Add(calmAfter)) {
			j.broken("%s, which was readmitted, got no requests once all was calm", v.what)
		}
	}
}

// reached reports whether a request reached a worker of a hall between two times.
func (j *judge) reached(hall string, from, to time.Time) bool {
	return slices.ContainsFunc(j.events, func(e standin.Event) bool {
		return e.Kind == standin.Arrived && e.Hall == hall && e.At.After(from) && e.At.Before(to)
	})
}

// coldWorkers judges how many requests reached a cold worker in any one second, from all nodes. Requests that a slow
// connection held up were not sent within that second.
func (j *judge) coldWorkers() {
	misdirected, recent, broken := j.misdirected(), map[string][]time.Time{}, map[string]bool{}
	events := slices.Clone(j.events)
	slices.SortStableFunc(events, func(a, b standin.Event) int { return a.At.Compare(b.At) })
	for _, e := range events {
		if e.Kind != standin.Arrived || !e.Cold || misdirected[e] {
			continue
		}
		list := slices.DeleteFunc(append(recent[e.Worker], e.At), func(at time.Time) bool { return e.At.Sub(at) >= time.Second })
		recent[e.Worker] = list
		if j.delayed(e.Worker, list[0], e.At) {
			continue
		}
		j.report.Cold = max(j.report.Cold, len(list))
		if most := coldPerSecond*coldExcess + coldSlack; float64(len(list)) > most && !broken[e.Worker] {
			broken[e.Worker] = true
			j.broken("%.2f s: %s, which was cold, got %d requests in a second, allowed %g", j.since(e.At), e.Worker, len(list), most)
		}
	}
}
