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
	level     float64
	updatedAt time.Time
}

// paceLimit is the rate of a pacer, in seconds of prefill time per second, and the span
// of unused rate that the bucket accumulates.
type paceLimit struct {
	rate  float64
	burst time.Duration
}

// refill updates the level. A new pacer starts with a full bucket; otherwise a node
// would refuse its first requests.
func (p *pacer) refill(now time.Time, limit paceLimit) {
	capacity := limit.rate * limit.burst.Seconds()
	if p.updatedAt.IsZero() {
		p.level = capacity
	} else if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		p.level = min(p.level+limit.rate*elapsed.Seconds(), capacity)
	}
	p.updatedAt = now
}

// canSend reports whether a prompt may be sent now.
func (p *pacer) canSend(now time.Time, limit paceLimit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now, limit)
	return p.level >= 0
}

// spend subtracts the prefill time of a prompt from the level.
func (p *pacer) spend(now time.Time, limit paceLimit, prefill time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now, limit)
	p.level -= prefill.Seconds()
}

// modelDemand is the demand for one model and the share of it that arrives at this node.
type modelDemand struct {
	// rate is the request rate at all nodes, in requests per second.
	rate float64
	// share is the fraction of the requests that arrives at this node, from minShare to 1.
	share float64
	// meanPrompt is the mean prompt length at all nodes, in tokens.
	meanPrompt float64
}

// RequestRate returns the request rate for a model at all nodes, in requests per second.
func (t *Table) RequestRate(service state.ServiceName, model string) float64 {
	return (*t.demand.Load())[Pool{service, model}].rate
}

// minShare is the minimum share of the requests that a node assumes for itself, so
// that a node that has just started to receive requests can send some.
const minShare = 0.01

// newModelDemand returns the demand of a flow at all nodes with this node's share of it.
func newModelDemand(total demand.Flow, own []demand.Flow) modelDemand {
	p := modelDemand{rate: total.Requests, share: minShare}
	if total.Requests <= 0 {
		return p
	}
	p.meanPrompt = total.PromptTokens / total.Requests
	for _, o := range own {
		if o.Service == total.Service && o.Model == total.Model {
			p.share = min(max(o.Requests/total.Requests, minShare), 1)
		}
	}
	return p
}

// pacedSpan is the span in which a node's share of a group's prefill time must cover
// a mean prompt for pacing to apply. If many nodes share the demand, each sends a group
// a prompt only occasionally, and pacing would only leave groups idle.
const pacedSpan = time.Second

// paceLimit returns the rate at which this node may send prompts to the group, and whether a
// limit applies.
func (c *Candidate) paceLimit(now time.Time) (paceLimit, bool) {
	p, known := (*c.table.demand.Load())[Pool{c.Service, c.Model}]
	if !known {
		p.share = 1
	}
	if plan := c.table.hallPlan(Pool{c.Service, c.Model}, now); plan != nil {
		p.share = shareInHall(p.share, plan, c.Hall)
	}
	limit := paceLimit{rate: p.share * c.table.policy.ReadLimit, burst: c.table.policy.PaceBurst}
	meanPrefill := p.meanPrompt * c.prefillTimePerToken / float64(time.Second)
	return limit, c.prefillTimePerToken > 0 && limit.rate > 0 && limit.rate*pacedSpan.Seconds() >= meanPrefill
}
