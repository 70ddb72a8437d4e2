package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// Scheduler decides for all nodes which replica group gets a request.
type Scheduler interface {
	// Schedules reports whether the requests for a service are scheduled.
	Schedules(service state.ServiceName) bool
	// Schedule decides on a request. It reports false if this node must pick a group itself: because
	// no decision came in time.
	Schedule(ctx context.Context, r *scheduling.Request) (scheduling.Decision, bool)
	// RecordLatency records the time to the first event of a scheduled request, without the expected wait.
	RecordLatency(pool scheduling.Pool, s scheduling.Sample)
}

// scheduleState is the part of a call that concerns scheduling.
type scheduleState struct {
	// decision is the decision on the current attempt, which was asked for at askedAt. Its instance is empty if this
	// node has picked the target itself.
	decision scheduling.Decision
	askedAt  time.Time
}

// choose returns the target of the next attempt. It is the one that the scheduler decides on, or else the one
// that this node picks, which may be nil. If the scheduler refuses the request, ended is true.
func (c *call) choose() (target *dispatch.Candidate, refused *refusal, ended bool) {
	c.scheduleState = scheduleState{}
	if t := c.pickTrial(); t != nil {
		return t, nil, false
	}
	if !c.isScheduled() {
		return c.pick(), nil, false
	}
	askedAt := c.Clock.Now()
	// The scheduler leaves out groups with a rate limit. A node uses its grants for them first, before they expire.
	if t := c.Table.PickRandom(c.service, c.model, askedAt, c.lacksGrant); t != nil {
		return t, nil, false
	}
	d, ok := c.Scheduler.Schedule(c.ctx, c.scheduleRequest(askedAt))
	if !ok {
		return c.pick(), nil, false
	}
	if d.Refused {
		c.Recorder.Count("schedule.refused." + string(d.Reason))
		c.Recorder.Count("refused.overloaded.p" + strconv.Itoa(min(max(c.priority(), 0), maxForwardedPriority)))
		return nil, c.refuseScheduled(d.RetryAfter), true
	}
	t := c.Table.Candidate(c.service, c.model, d.Instance)
	if t == nil || c.isUnavailable(t) || c.isBreakerOpen(t) {
		c.Recorder.Count("schedule.unusable")
		return c.pick(), nil, false
	}
	c.Recorder.Count("schedule.decided")
	c.decision, c.askedAt = d, askedAt
	return t, nil, false
}

// isScheduled reports whether the scheduler decides on the request. It knows neither which instances a partitioned node
// reaches, nor which of them a suspected request may go to. A request without instances in its home regions is refused.
func (c *call) isScheduled() bool {
	return c.Scheduler != nil && c.model != "" && c.Scheduler.Schedules(c.service) && !c.Peers.IsPartitioned(c.service) && !c.Quarantine.IsSuspected(c.identity) && !c.lacksHome()
}

// refuseScheduled ends a request that the scheduler refuses. It returns the refusal if there is one.
func (c *call) refuseScheduled(after time.Duration) *refusal {
	switch {
	case c.runs > 0 || c.lastFailure != nil || c.peerRefusal != nil:
		return c.giveUp(CodeRefusedByTargets)
	case c.sends > 0:
		return &refusal{code: CodeRefusedByTargets, after: after}
	}
	return &refusal{code: CodeOverloaded, after: after}
}

// isUnavailable reports whether a target cannot get the request now.
func (c *call) isUnavailable(t *dispatch.Candidate) bool {
	_, cooling := c.Backpressure.CooldownUntil(&t.Instance)
	return cooling || slices.Contains(c.tried, t.ID) || c.isEvacuated(t) || !c.isHome(t) || !c.Backpressure.CanSend(&t.Instance)
}

// lacksGrant reports whether a target has no rate limit, or cannot get the request now.
func (c *call) lacksGrant(t *dispatch.Candidate) bool {
	return !c.hasRateLimit(t) || c.isUnavailable(t)
}

// scheduleRequest returns the request as the scheduler must know it.
func (c *call) scheduleRequest(now time.Time) *scheduling.Request {
	r := &scheduling.Request{
		Pool: scheduling.Pool{Service: c.service, Model: c.model}, PromptTokens: c.claims.PromptTokens, Goal: c.route.Goal,
		TimeLeft: c.deadline.Sub(now), Priority: c.priority(), Returning: c.isReturning(),
		Resuming: c.headerWritten || c.lastEventID != "" || c.claims.LastEventID != "", Halls: c.homeHalls(), Excluded: c.tried,
	}
	if c.team != nil {
		r.Team = c.team.Name
	}
	return r
}

// homeHalls returns the halls in which the request may run, or nil if it may run in all.
func (c *call) homeHalls() []state.HallName {
	homes := c.currentHomes()
	if !homes.IsRestricted() {
		return nil
	}
	var halls []state.HallName
	for _, t := range c.Table.Candidates(c.service, c.model) {
		if !slices.Contains(halls, t.Hall) && homes.Allows(c.Regions.Region(t.Hall)) {
			halls = append(halls, t.Hall)
		}
	}
	return halls
}

// priority returns the priority of the request: that of its team if it has one, else that of its route.
func (c *call) priority() int {
	if c.team != nil && c.team.Priority != nil {
		return *c.team.Priority
	}
	return c.route.Priority
}

// maxForwardedPriority is the largest value of a priority that instances accept, the least urgent one.
const maxForwardedPriority = 9

// forwardedPriority returns the priority to forward to an instance, or -1 for none: if all requests for the service have
// the same, or the configuration states no distant halls, where requests are scheduled and refused by priority as well.
func (c *call) forwardedPriority() int {
	s := c.catalog.Services[c.service]
	if s == nil || !s.HasPriorities || s.Engine == nil || !s.Engine.HasDistantHalls() {
		return -1
	}
	return min(max(c.priority(), 0), maxForwardedPriority)
}

// isReturning reports whether the caller was probably refused before. Its time-out is then shorter than the
// route's by the time that it has waited.
func (c *call) isReturning() bool {
	return c.sends > 0 || c.route.Timeout > 0 && c.claims.Timeout > 0 && float64(c.claims.Timeout) < c.Policy.ReturningTimeout*float64(c.route.Timeout)
}

// recordFirstEvent records the time to the first event of a scheduled attempt.
func (c *call) recordFirstEvent(id state.InstanceID, now time.Time) {
	if c.decision.Instance != id || c.route.Kind != catalog.Stream {
		return
	}
	c.Scheduler.RecordLatency(scheduling.Pool{Service: c.service, Model: c.model}, scheduling.Sample{Instance: id, Latency: now.Sub(c.askedAt) - c.decision.Wait})
	c.decision = scheduling.Decision{}
}
