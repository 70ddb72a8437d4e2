package upgrade

import (
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// Times of pauses. A worker that is well may pause for a second or so.
const (
	pauseLeast  = time.Second
	pauseSpread = 300 * time.Millisecond
	// pauseAfter and pauseAfterSpread are how long after the start of a planned stop workers pause: while the node still has
	// requests.
	pauseAfter       = 100 * time.Millisecond
	pauseAfterSpread = 400 * time.Millisecond
)

// hasPauses reports whether workers pause beside the planned stops of a run.
func (o *Options) hasPauses() bool { return o.Pauses || o.Soak && o.Seed%3 == 1 }

// pauseBeside has workers pause and the configuration change beside a planned stop that begins now.
func (r *run) pauseBeside() {
	after := pauseAfter + time.Duration(r.pauses.Int64N(int64(pauseAfterSpread)))
	d := pauseLeast + time.Duration(r.pauses.Int64N(int64(pauseSpread)))
	timeout := standin.DefaultTimeout - time.Duration(r.pauses.IntN(500))*time.Millisecond
	share := []float64{0.6, 1}[r.pauses.IntN(2)]
	var paused []*standin.Worker
	for _, w := range r.workers.Workers(standin.EngineName) {
		if r.pauses.Float64() < share {
			paused = append(paused, w)
		}
	}
	if err := r.configure(func(c *standin.Configuration) { c.Timeout = timeout }); err != nil {
		r.note(change{what: err.Error()})
	}
	time.AfterFunc(after, func() {
		for _, w := range paused {
			w.Pause(d)
		}
	})
	begun := time.Now().Add(after)
	r.note(change{at: begun, until: begun.Add(d), what: "workers", trouble: pausing})
}
