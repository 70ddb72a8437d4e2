package dispatch

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state"
)

// pacer limits the rate at which this node sends prompts to one group. It is a token
// bucket in units of seconds of prefill time. A group processes prompts one after
// another, so prompts that all nodes send at the same time queue behind each other.
// It is safe for concurrent use.
type pacer struct {
	mu sync.Mutex
	// level is the prefill time that may be sent now, in seconds. It goes below 0 by at most one prompt.
	level float64
	at    time.Time
}

// pace is the rate of a pacer, in seconds of prefill time per second, and the span
// of unused rate that the bucket accumulates.
type pace struct {
	rate  float64
	burst time.Duration
}

// refill updates the level. A new pacer starts with a full bucket; otherwise a node
// would refuse its first requests.
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

// spend subtracts the prefill time of a prompt from the level.
func (p *pacer) spend(now time.Time, by pace, reading time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now, by)
	p.level -= reading.Seconds()
}

// part is the demand for one model and the share of it that arrives at this node.
type part struct {
	// rate is the request rate at all nodes, in requests per second.
	rate float64
	// share is the fraction of the requests that arrives at this node, from minShare to 1.
	share float64
	// prompt is the mean prompt length at all nodes, in tokens.
	prompt float64
}

// Asked returns the request rate for a model at all nodes, in requests per second.
func (t *Table) Asked(service state.ServiceName, model string) float64 {
	return (*t.asked.Load())[key{service, model}].rate
}

// minShare is the minimum share of the requests that a node assumes for itself, so
// that a node that has just started to receive requests can send some.
const minShare = 0.01

// partOf returns the demand of a flow at all nodes with this node's share of it.
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

// pacedSpan is the span in which a node's share of a group's prefill time must cover
// a mean prompt for pacing to apply. If many nodes share the demand, each sends a group
// a prompt only occasionally, and pacing would only leave groups idle.
const pacedSpan = time.Second

// pace returns the rate at which this node may send prompts to the group, and whether a
// limit applies.
func (c *Candidate) pace() (pace, bool) {
	p, known := (*c.table.asked.Load())[key{c.Service, c.Model}]
	if !known {
		p.share = 1
	}
	by := pace{rate: p.share * c.table.policy.ReadLimit, burst: c.table.policy.PaceBurst}
	prompt := p.prompt * c.readTime / float64(time.Second)
	return by, c.readTime > 0 && by.rate > 0 && by.rate*pacedSpan.Seconds() >= prompt
}
