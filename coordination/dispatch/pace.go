package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"
)

// pacer bounds how fast this node sends prompts to one group: a token bucket that
// counts in seconds of the group's reading. A group reads prompts one after another,
// so those that all nodes send in one moment wait for each other. Safe for concurrent use.
type pacer struct {
	mu sync.Mutex
	// level is what may be sent now, in seconds of reading; it goes below 0 by at most one prompt.
	level float64
	at    time.Time
}

// pace is the rate of a pacer in seconds of reading per second, and the span over
// which a rest is made up for.
type pace struct {
	rate  float64
	burst time.Duration
}

// refill brings the level up to date. A new pacer begins at a random level below 0,
// so that the nodes do not send their first prompts to a new group together.
func (p *pacer) refill(now time.Time, by pace) {
	full := by.rate * by.burst.Seconds()
	if p.at.IsZero() {
		p.level = -rand.Float64() * 2 * full
	} else if past := now.Sub(p.at); past > 0 {
		p.level = min(p.level+by.rate*past.Seconds(), full)
	}
	p.at = now
}

// ready reports whether a prompt may be sent now.
func (p *pacer) ready(now time.Time, by pace) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now, by)
	return p.level >= 0
}

// spend takes the reading of a prompt off the level.
func (p *pacer) spend(now time.Time, by pace, reading time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now, by)
	p.level -= reading.Seconds()
}
