package gateway

import (
	"strconv"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state/catalog"
)

// computeClass returns how admission treats the request of a caller. The team and the route must be set.
func (c *call) computeClass() demand.Class {
	class := c.classOn(c.route)
	class.Returning = c.claims.LastEventID != "" || c.Table.IsReturning(c.route.Timeout, c.claims.Timeout)
	return class
}

// classOn returns the class of the request as a new one on a route: the priority is that of the team if it has one.
func (c *call) classOn(route *catalog.Route) demand.Class {
	class := demand.Class{Priority: route.Priority}
	if c.team != nil {
		class.Team = c.team.Name
		if c.team.Priority != nil {
			class.Priority = *c.team.Priority
		}
	}
	class.Priority = min(max(class.Priority, 0), demand.Priorities-1)
	return class
}

// forwardedClass returns how admission treats a forwarded request. Nodes of earlier builds don't state the
// priority, so that it is that of this node's configuration.
func (c *call) forwardedClass(info *forwardInfo) demand.Class {
	route := c.catalog.Route(stripPort(c.r.Host), uriPath(c.r.RequestURI))
	if route == nil {
		route = c.route
	}
	class := c.classOn(route)
	if info.Priority != nil {
		class.Priority = min(max(*info.Priority, 0), demand.Priorities-1)
	}
	class.Returning = info.Returning
	return class
}

// statedPriority returns the priority that instances are told, or -1 if all requests have the same one.
func (c *call) statedPriority() int {
	if !c.catalog.HasPriorities {
		return -1
	}
	return c.class.Priority
}

// pool returns the pool of the request.
func (c *call) pool() dispatch.Pool { return dispatch.Pool{Service: c.service, Model: c.model} }

// recordClass counts the request in this node's demand by class, on which admission depends.
func (c *call) recordClass() {
	if c.Table.Admits() {
		c.Demand.AddClass(c.service, c.model, c.class, c.arrivedAt)
	}
}

// checkRoom returns a refusal if the request must not be sent to a target for lack of room. A request that an instance
// rejected while demand exceeds the room is sent to another one only if that has room and there is time for a response
// within the goal.
func (c *call) checkRoom(target *dispatch.Candidate) *refusal {
	pool, now := c.pool(), c.Clock.Now()
	switch {
	case c.sends == 0 && !c.Table.IsPlanned(pool):
		if target.IsFull(now) {
			return refusalWithRetryAfter(CodeOverloaded, c.Policy.OverloadRetryAfter)
		}
	case c.sends == 0:
		if !c.admitted && !c.Table.Admit(pool, c.class) || !target.HasRoom() {
			return c.refuseOverloaded()
		}
		if !c.admitted {
			c.admitted = true
			c.Recorder.Count("admission.admitted")
		}
	case c.headerWritten || c.runs > 0 || !c.Table.IsOverloaded(pool):
		return nil
	case target.IsFull(now) || c.deadline.Sub(now) < c.route.Goal:
		return c.refuseOverloaded()
	}
	return nil
}

// refuseOverloaded returns the refusal of a request for which there is no room, and counts its caller among those that
// were told to return.
func (c *call) refuseOverloaded() *refusal {
	now := c.Clock.Now()
	after := c.Table.RetryDelay(c.pool(), c.class.Priority, c.deadline.Sub(now))
	c.Demand.AddReturn(c.service, c.model, now, after)
	return &refusal{code: CodeOverloaded, after: after}
}

// countOverloaded counts a refusal for lack of room by the priority of the request.
func (c *call) countOverloaded(refused *refusal) {
	if refused.code == CodeOverloaded && c.origin == "" {
		c.Recorder.Count("refused." + string(CodeOverloaded) + ".p" + strconv.Itoa(c.class.Priority))
	}
}
