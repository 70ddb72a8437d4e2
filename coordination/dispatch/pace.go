package dispatch

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state"
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

// refill brings the level up to date. A new pacer is full: a node that has just begun
// to take requests would else refuse the first of them.
func (p *pacer) refill(now time.Time, by pace) {
	full := by.rate * by.burst.Seconds()
	if p.at.IsZero() {
		p.level = full
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

// part is what callers ask of one model, and a node's part of it.
type part struct {
	// rate is the number of requests a second at all nodes.
	rate float64
	// share is the node's part of the requests, from minShare to 1.
	share float64
	// prompt is the mean number of tokens of a prompt at all nodes.
	prompt float64
}

// Asked returns how many requests a second callers ask of all nodes for a model.
func (t *Table) Asked(service state.ServiceName, model string) float64 {
	return (*t.asked.Load())[key{service, model}].rate
}

// minShare is the least part of the requests that a node counts as its own, so that
// one that has just begun to take requests may send some.
const minShare = 0.01

// partOf returns the part of a flow that a node's own flows are.
func partOf(all demand.Flow, own []demand.Flow) part {
	p := part{rate: all.Requests, share: minShare}
	if all.Requests <= 0 {
		return p
	}
	p.prompt = all.Prompt / all.Requests
	for _, o := range own {
		if o.Service == all.Service && o.Model == all.Model {
			p.share = min(max(o.Requests/all.Requests, minShare), 1)
		}
	}
	return p
}

// pacedSpan is the span in which a node's part of a group's reading must hold a prompt
// for the node to pace what it sends there. Where many nodes share the demand, a node
// sends a group a prompt now and then; its waiting would only keep groups idle.
const pacedSpan = time.Second

// pace returns how fast this node may send prompts to the group, and whether it is bounded at all.
func (c *Candidate) pace() (pace, bool) {
	p, known := (*c.table.asked.Load())[key{c.Service, c.Model}]
	if !known {
		p.share = 1
	}
	by := pace{rate: p.share * c.table.policy.ReadLimit, burst: c.table.policy.PaceBurst}
	prompt := p.prompt * c.readTime / float64(time.Second)
	return by, c.readTime > 0 && by.rate > 0 && by.rate*pacedSpan.Seconds() >= prompt
}
