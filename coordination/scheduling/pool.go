package scheduling

import (
	"math"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// pool schedules the requests for one model.
type pool struct {
	policy *Policy
	groups map[state.InstanceID]*group
	// order holds the groups sorted by head, so that equal inputs give equal decisions.
	order []*group
	// hold is the mean time that a request occupies a slot.
	hold time.Duration
	// latency is the mean time to the first event without the expected wait.
	latency ewma
	goals   goals
	// sends counts the requests sent to groups, decaying over sendWindow, as of sendsAt.
	sends   float64
	sendsAt time.Time
	teams   teamUse
	// nextReturn is when the next refused caller may return.
	nextReturn time.Time
	// spreads counts the refused callers who could not be given a turn of their own.
	spreads int
	// meanPrompt is the mean prompt length, in tokens.
	meanPrompt ewma
	counts     counts
	// refusedAt is when a request was last refused because the wait was too long.
	refusedAt time.Time
}

// group is the state of one group.
type group struct {
	Group
	// load is the expected number of requests in progress.
	load float64
	// sent are the times of the requests sent to the group that the nodes may not have reported yet.
	sent []time.Time
	// readyAt is when the prompts sent to the group will have been processed.
	readyAt time.Time
	// delay is the mean time by which first events of the group come later than those of the pool. A slow
	// instance shows in it.
	delay ewma
}

// newPool returns a pool without groups.
func newPool(policy *Policy) *pool {
	return &pool{policy: policy, groups: map[state.InstanceID]*group{}, goals: goals{}, teams: teamUse{used: map[state.TeamName]float64{}}}
}

// delayRetention is the part of a group's delay that remains from one snapshot to the next. A group that
// gets no requests gives no samples, so its delay must fade for it to be tried again.
const delayRetention = 0.97

// update replaces what is known of the groups.
func (p *pool) update(s *Snapshot, now time.Time) {
	known := p.groups
	p.groups = make(map[state.InstanceID]*group, len(s.Groups))
	p.order = p.order[:0]
	inFlight := 0
	for _, in := range s.Groups {
		g := known[in.Head]
		if g == nil {
			g = &group{}
		}
		g.Group = in
		g.setLoad(now, s.ReportInterval)
		g.delay.value *= delayRetention
		p.groups[in.Head] = g
		p.order = append(p.order, g)
		inFlight += in.InFlight
	}
	slices.SortFunc(p.order, func(a, b *group) int {
		if a.Head < b.Head {
			return -1
		}
		return 1
	})
	p.decaySends(now)
	if rate := p.sends / sendWindow.Seconds(); rate >= minHoldRate && inFlight > 0 {
		p.setHold(time.Duration(float64(inFlight) / rate * float64(time.Second)))
	}
}

const (
	// sendWindow is the span over which the rate of requests sent to groups is measured.
	sendWindow = 2 * time.Second
	// minHoldRate is the rate, in requests per second, from which on the time in a slot is estimated.
	minHoldRate = 1
)

// decaySends decays the count of requests sent.
func (p *pool) decaySends(now time.Time) {
	if !p.sendsAt.IsZero() {
		p.sends *= math.Exp(-now.Sub(p.sendsAt).Seconds() / sendWindow.Seconds())
	}
	p.sendsAt = now
}

// Bounds of the mean time that a request occupies a slot, which is estimated from the requests in progress
// and their rate.
const (
	minHold = 50 * time.Millisecond
	maxHold = 20 * time.Second
	// holdWeight is the weight of a new estimate.
	holdWeight = 0.1
)

// setHold updates the mean time that a request occupies a slot.
func (p *pool) setHold(measured time.Duration) {
	measured = min(max(measured, minHold), maxHold)
	if p.hold == 0 {
		p.hold = measured
	}
	p.hold += time.Duration(holdWeight * float64(measured-p.hold))
}

// setLoad sets the load to the reported requests in progress plus those that have been sent to the group
// since. Reports are between 0 and interval old, so a request that was sent a part of the interval ago is
// included in that part of them.
func (g *group) setLoad(now time.Time, interval time.Duration) {
	g.load = float64(g.InFlight)
	i := 0
	for _, at := range g.sent {
		age := now.Sub(at)
		if age >= interval {
			continue
		}
		g.sent[i] = at
		i++
		g.load += 1 - float64(age)/float64(interval)
	}
	g.sent = g.sent[:i]
}

// wait returns the expected wait of a new request for the prompts and the slots of a group.
func (g *group) wait(now time.Time, hold time.Duration) time.Duration {
	wait := max(g.readyAt.Sub(now), 0)
	if missing := g.load + 1 - float64(g.Slots); missing > 0 && g.Slots > 0 {
		wait = max(wait, time.Duration(missing*float64(hold)/float64(g.Slots)))
	}
	return wait + time.Duration(max(g.delay.value, 0))
}

// schedule decides on a request.
func (p *pool) schedule(r *Request, now time.Time) Decision {
	if r.Goal > 0 {
		p.goals.record(r.Priority, r.Goal, now)
	}
	p.meanPrompt.add(float64(r.PromptTokens))
	best, wait := p.best(r, now)
	if best == nil {
		return Decision{}
	}
	overShare := p.teams.isAboveShare(r.Team, now)
	limit, reason := p.limit(r, overShare, now)
	if wait > limit && !r.Resuming {
		if reason == WaitTooLong {
			p.refusedAt = now
		}
		p.teams.demanded(r.Team, now)
		p.counts.refuse(r.Team, reason)
		return Decision{Refused: true, Reason: reason, RetryAfter: p.retryAfter(r, wait-limit, now)}
	}
	p.teams.admit(r.Team, now)
	p.counts.scheduled++
	p.sends++
	best.load++
	best.sent = append(best.sent, now)
	start := best.readyAt
	if start.Before(now) {
		start = now
	}
	best.readyAt = start.Add(best.prefillTime(r.PromptTokens, best.load))
	return Decision{Instance: best.Head, Wait: wait}
}

// best returns the group where the request waits least, and the wait. A group of the request's own hall is
// preferred up to Policy.LocalAdvantage.
func (p *pool) best(r *Request, now time.Time) (*group, time.Duration) {
	var best *group
	bestCost, bestWait := time.Duration(math.MaxInt64), time.Duration(0)
	for _, g := range p.order {
		if !r.allows(g) {
			continue
		}
		wait := g.wait(now, p.hold)
		cost := wait + g.crowding()
		if g.Hall != r.Hall {
			cost += p.policy.LocalAdvantage
		}
		if cost < bestCost {
			best, bestCost, bestWait = g, cost, wait
		}
	}
	return best, bestWait
}

// crowding returns the time that a request loses to the others in the batch of a group in one pass. It breaks
// ties between groups without a wait: decode steps are shorter in a smaller batch.
func (g *group) crowding() time.Duration {
	return time.Duration(float64(g.StepsPerPass) * g.load * float64(g.StepTimePerRequest))
}

// limit returns the wait up to which a request is admitted, and the reason of a refusal beyond it.
func (p *pool) limit(r *Request, aboveShare bool, now time.Time) (time.Duration, Reason) {
	goal, steps := p.goals.strictest(r.Priority, r.goal(), now)
	limit := float64(max(goal-time.Duration(p.latency.value), p.policy.MinWait))
	reason := WaitTooLong
	if steps > 0 {
		limit *= math.Pow(p.policy.PriorityFactor, float64(steps))
		reason = LowerPriority
	}
	if aboveShare && now.Sub(p.refusedAt) < shareWindow {
		limit *= p.policy.TeamFactor
		reason = AboveShare
	}
	if r.Returning {
		limit *= p.policy.ReturnFactor
	}
	return max(time.Duration(limit), p.policy.MinWait), reason
}

// retryAfter returns the Retry-After delay of a refused caller. Callers return one after another, at a part of the rate
// at which the groups process prompts, once the excess wait has passed. Callers who cannot wait for their turn are spread
// over the longest delay that they observe.
func (p *pool) retryAfter(r *Request, excess time.Duration, now time.Time) time.Duration {
	earliest := now.Add(max(excess, p.policy.MinRetryAfter))
	if p.nextReturn.Before(earliest) {
		p.nextReturn = earliest
	}
	longest := min(p.policy.MaxRetryAfter, time.Duration(p.policy.MaxRetryShare*float64(r.TimeLeft)))
	after := p.nextReturn.Sub(now)
	if after > longest {
		p.spreads++
		return max(spread(longest, p.spreads), p.policy.MinRetryAfter)
	}
	p.nextReturn = p.nextReturn.Add(p.returnInterval())
	return after
}

// goldenRatio is the fractional part of the golden ratio: its multiples are spread evenly between whole numbers.
const goldenRatio = 0.6180339887498949

// spread returns the n-th of a sequence of durations that are spread evenly between a half of longest and longest.
func spread(longest time.Duration, n int) time.Duration {
	_, part := math.Modf(float64(n) * goldenRatio)
	return longest/2 + time.Duration(part*float64(longest/2))
}

// returnInterval returns the time between two refused callers who return.
func (p *pool) returnInterval() time.Duration {
	rate := p.capacity() * p.policy.ReturnShare
	if rate <= 0 {
		return p.policy.MinRetryAfter
	}
	return time.Duration(float64(time.Second) / rate)
}

// capacity returns the number of requests per second that the groups can start.
func (p *pool) capacity() float64 {
	var rate float64
	for _, g := range p.order {
		perRequest := g.prefillTime(int(p.meanPrompt.value), float64(g.Slots)/2)
		if g.Slots > 0 {
			perRequest = max(perRequest, p.hold/time.Duration(g.Slots))
		}
		if perRequest > 0 {
			rate += float64(time.Second) / float64(perRequest)
		}
	}
	return rate
}

// record takes the latency of a request into account.
func (p *pool) record(s Sample) {
	g := p.groups[s.Instance]
	if g == nil {
		return
	}
	if p.latency.count > 0 {
		g.delay.add(float64(s.Latency) - p.latency.value)
	}
	p.latency.add(float64(s.Latency))
}
