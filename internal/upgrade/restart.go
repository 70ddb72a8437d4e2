package upgrade

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// restart is a crash of plain workers after which others are started at their addresses, while callers send requests that must
// run once.
type restart struct {
	at time.Duration
	// down is how long nothing listens at an address.
	down time.Duration
}

// Times and sizes of restarts.
const (
	// restartedWorkers is the number of plain workers in a run of restarts. With few of them, a request that a worker turned
	// away often goes to the next one at the same address.
	restartedWorkers = 3
	leastDown        = 2 * time.Millisecond
	downSpread       = 60 * time.Millisecond
	leastRestartGap  = 1000 * time.Millisecond
	restartGapSpread = 800 * time.Millisecond
	// restartListed is the time after which nodes know a restarted worker. Until a refusal they still know the one before it.
	restartListed = 250 * time.Millisecond
	restartCalls  = 64
)

// plainWorkers returns the number of plain workers of a run.
func (o *Options) plainWorkers() int {
	if o.Restarts {
		return restartedWorkers
	}
	return plainWorkers
}

// hasRestarts reports whether workers are started at the addresses of others, and send surplus answers, in the run.
func (o *Options) hasRestarts() bool { return o.Restarts || o.Soak && o.Seed%5 == 4 }

// newRestarts draws a series of restarts. It draws from a source of its own, so that the plan of a seed stays.
func newRestarts(seed uint64) []restart {
	rng := rand.New(rand.NewPCG(seed, 6))
	var list []restart
	for at := firstTrouble; at < lastTrouble; at += leastRestartGap + time.Duration(rng.Int64N(int64(restartGapSpread))) {
		list = append(list, restart{at: at, down: leastDown + time.Duration(rng.Int64N(int64(downSpread)))})
	}
	return list
}

// restartWorkers has workers crash and others start at their addresses as planned. Before each restart another writer leaves
// malformed entries among those of the workers.
func (r *run) restartWorkers(ctx context.Context) {
	for i, s := range r.restarts {
		sleep(ctx, time.Until(r.began.Add(calmBefore+s.at)))
		if ctx.Err() != nil {
			return
		}
		r.writeMalformedEntries(i)
		r.restartPlain(s)
	}
}

// writeMalformedEntries has another writer write the nth malformed entry under an ID of its own, and another one over an earlier entry.
func (r *run) writeMalformedEntries(n int) {
	r.workers.WriteEntry(fmt.Sprint("malformed-", n), standin.MalformedEntry(n, halls[0]))
	r.workers.WriteEntry(fmt.Sprint("malformed-", n/2), standin.MalformedEntry(n+1, halls[0]))
}

// restartPlain restarts all plain workers but one, restartedWorkers-1 at most, after which callers send requests.
func (r *run) restartPlain(s restart) {
	list := r.workers.Workers(standin.PlainName)
	list = list[:max(min(len(list), restartedWorkers)-1, 0)]
	var restarts sync.WaitGroup
	for _, w := range list {
		r.note(change{until: time.Now().Add(s.down + troubleTime), what: w.ID, trouble: crashWorker})
		id := fmt.Sprintf("i-%d", r.born.Add(1))
		r.links.inherit(w.ID, id)
		restarts.Go(func() {
			if err := r.workers.Restart(w, id, s.down); err != nil {
				r.note(change{what: err.Error()})
			}
		})
	}
	restarts.Wait()
	time.Sleep(restartListed)
	for i := range restartCalls {
		n := r.nodes[i%len(r.nodes)]
		r.callers.active.Go(func() { r.callers.try(n, standin.UnsafePath, "x", standin.Key) })
	}
}

// countResent counts the requests that ran at a worker which had turned them away before.
func (j *judge) countResent() {
	refused := map[string][]string{}
	for _, e := range j.events {
		if e.Kind == standin.TurnedAway {
			refused[e.Request] = append(refused[e.Request], e.Worker)
		}
	}
	for _, e := range j.events {
		if e.Kind == standin.Ran && slices.Contains(refused[e.Request], e.Worker) {
			j.report.Resent++
		}
	}
}
