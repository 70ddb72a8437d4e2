package upgrade

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// replacement is a change of the configuration that gives the model of the small groups another name.
type replacement struct {
	at time.Duration
	// name is the new name. If twice is set, a version with yet another name precedes it by twiceGap.
	name  string
	twice bool
}

// Times of replacements.
const (
	leastReplacementGap  = 5 * time.Second
	replacementGapSpread = 3 * time.Second
	// twiceGap is the time between two versions that follow one another at once.
	twiceGap = 300 * time.Millisecond
)

// hasReplacements reports whether models are replaced in the run.
func (o *Options) hasReplacements() bool { return o.Models || o.Soak && o.Seed%11 == 7 }

// newReplacements draws a series of replacements, which ends with the first name. It draws from a source of its own, so that the plan of
// a seed stays.
func newReplacements(seed uint64) []replacement {
	rng := rand.New(rand.NewPCG(seed, 7))
	var list []replacement
	for at := firstTrouble; at < lastTrouble; at += leastReplacementGap + time.Duration(rng.Int64N(int64(replacementGapSpread))) {
		list = append(list, replacement{at: at, name: fmt.Sprintf("%s-%d", standin.SmallModel, len(list)+1), twice: rng.IntN(2) == 0})
	}
	list[len(list)-1].name = standin.SmallModel
	return list
}

// replaceModels replaces the model of the small groups as planned. Callers ask for the newest one.
func (r *run) replaceModels(ctx context.Context) {
	for _, p := range r.replacements {
		sleep(ctx, time.Until(r.began.Add(calmBefore+p.at)))
		if ctx.Err() != nil {
			return
		}
		if p.twice {
			r.replaceModel(p.name + "-for-a-moment")
			sleep(ctx, twiceGap)
		}
		r.replaceModel(p.name)
	}
}

// replaceModel gives the model of the small groups another name.
func (r *run) replaceModel(name string) {
	if err := r.configure(func(c *standin.Configuration) { c.SmallModel = name }); err != nil {
		r.note(change{what: err.Error()})
		return
	}
	r.callers.setSmallModel(name)
	r.note(change{what: "model " + name, trouble: replaceModel})
}

// modelsServed checks that the model of the small groups is served some time after each replacement, and the others all the
// while.
func (j *judge) modelsServed() {
	for i, c := range j.changes {
		if c.trouble != replaceModel {
			continue
		}
		until := j.run.calmSince.Add(calmAfter)
		for _, next := range j.changes[i+1:] {
			if next.trouble == replaceModel {
				until = next.at
				break
			}
		}
		if until.Sub(c.at) < servedWithin+time.Second {
			continue
		}
		var small, other tally
		for _, a := range j.attempts {
			switch {
			case a.key != standin.Key || a.outcome == left || a.body == standin.DeadlyBody:
			case a.path == standin.SmallPath && a.began.After(c.at.Add(servedWithin)) && a.began.Before(until):
				small.add(a)
			case a.path == standin.SafePath && a.began.After(c.at) && a.began.Before(until):
				other.add(a)
			}
		}
		j.report.Replaced++
		if j.run.Calm && small.calls > 0 && small.part() < leastServed {
			j.broken("%.2f s: %.3f of the calls of the new model were served from %s after it was configured", j.since(c.at), small.part(), servedWithin)
		}
		if j.run.Calm && other.calls > 0 && other.part() < leastCalm {
			j.broken("%.2f s: %.3f of the calls of another service were served after a model was replaced", j.since(c.at), other.part())
		}
	}
}

// servedWithin is the time within which a new model is served after its configuration, beside stops of nodes: the groups of the former
// one end their requests, and a leader that takes over has to find out what they are.
const servedWithin = 4 * time.Second
