package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// RateLimit implements gateway.Backpressure.
func (n *Node) RateLimit(in *fleet.Instance) (perSecond float64, limited bool) {
	l, limited := n.limits.LimitOf(in.Incarnation(), n.clock.Now())
	return l.PerSecond, limited
}

// CanSend implements gateway.Backpressure.
func (n *Node) CanSend(i *fleet.Instance) bool { return n.limits.Allow(i.Incarnation(), n.clock.Now()) }

// TrySend implements gateway.Backpressure.
func (n *Node) TrySend(i *fleet.Instance) bool {
	now := n.clock.Now()
	if n.limits.Take(i.Incarnation(), now) {
		return true
	}
	if l, _ := n.limits.LimitOf(i.Incarnation(), now); l.Cause == ratelimit.CauseCold {
		n.Count("cold.held-back")
	}
	return false
}

// probeRequest describes this node as the sender of a probe to an instance.
func (n *Node) probeRequest(id state.InstanceID) ratelimit.ProbeRequest {
	leading, _ := n.peers.leadership()
	return ratelimit.ProbeRequest{IsLeader: leading, LastProbeFailed: n.roster.ConsecutiveFailures(id) > 0}
}

// recordLimit records the rate limit in an instance's answer to a request, probe or order sent at a time.
func (n *Node) recordLimit(in *fleet.Instance, limit fleet.RateLimit, request string, sent time.Time) {
	if limit.Fault != nil {
		n.Count("rate-limit.unreadable")
		if _, known := n.loggedOnce.LoadOrStore(unreadableLimitKey(in.Incarnation()), true); !known {
			n.log.WithError(limit.Fault).WithField("instance", in.ID).Warn("rate limit not read")
		}
	}
	if limit.Limited {
		n.Count("rate-limit.named")
	}
	change := n.limits.Observe(in.Incarnation(), limit, sent, n.clock.Now())
	n.logLimitChange(change, in, limit.PerSecond, log.Fields{"request": request})
	if change == ratelimit.LimitBegan {
		n.requestStatusReport()
	}
}

// unreadableLimitKey is the key in Node.loggedOnce for an incarnation whose rate limit cannot be read.
type unreadableLimitKey fleet.Incarnation

// mergeLimits merges the rate limits that another node reported.
func (n *Node) mergeLimits(list []LimitReport, reportedBy string, now time.Time) {
	for i := range list {
		r := &list[i]
		change := n.limits.Merge(r.limit(now), now)
		if change == ratelimit.LimitUnchanged {
			continue
		}
		in := n.instance(r.Instance.ID)
		n.logLimitChange(change, &in, r.PerSecond, log.Fields{"told_by": reportedBy})
	}
}

// logLimitChange logs and counts a change of an instance's rate limit. source holds log fields that name
// the origin of the change.
func (n *Node) logLimitChange(change ratelimit.Change, in *fleet.Instance, perSecond float64, source log.Fields) {
	if change == ratelimit.LimitUnchanged {
		return
	}
	n.Count("rate-limit." + string(change))
	fields := log.Fields{"instance": in.ID, "service": in.Service, "group": in.Membership.Group}
	if change != ratelimit.LimitEnded {
		fields["per_second"] = perSecond
	}
	n.log.WithFields(fields).WithFields(source).Info("rate limit " + string(change))
}

// limitReports converts limits to the form sent to other nodes, with ages in place of times.
func limitReports(list []ratelimit.Limit, now time.Time) []LimitReport {
	var out []LimitReport
	for _, l := range list {
		out = append(out, LimitReport{
			Instance: l.Instance, PerSecond: l.PerSecond, Ended: l.Ended, RequestAgeMS: ceilMS(now.Sub(l.SentAt)), AnswerAgeMS: ceilMS(now.Sub(l.AnsweredAt)),
		})
	}
	return out
}

// limit converts a report to a limit with times by the receiver's clock, where now is the time of receipt.
func (r *LimitReport) limit(now time.Time) ratelimit.Limit {
	at := func(ageMS int64) time.Time { return now.Add(-millis.Duration(max(ageMS, 0))) }
	return ratelimit.Limit{Instance: r.Instance, PerSecond: r.PerSecond, Ended: r.Ended, SentAt: at(r.RequestAgeMS), AnsweredAt: at(r.AnswerAgeMS)}
}

// addLimits adds to a status report the limits and usage from which the leader allocates rates.
func (p *peers) addLimits(w *StatusReport, now time.Time) {
	n := p.n
	w.Limits = limitReports(n.limits.RecentlyObserved(now), now)
	n.addBinding(w, now)
	w.Usage = n.limits.Usage(now)
	w.UsesGrants = n.limits.HasActive()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.LimitsVersion = p.leaderLimitsVersion
}

// addLimitsToAnswer adds to the answer to a status report the limits that the sender does not have yet, and
// the sender's grants.
func (p *peers) addLimitsToAnswer(a *StatusAnswer, w *StatusReport, now time.Time) {
	n := p.n
	after := w.LimitsVersion
	if w.Feed != n.incarnationNumber.Load() {
		after = 0
	}
	list, version := n.limits.ChangedSince(after)
	a.Limits, a.LimitsVersion = limitReports(list, now), version
	if nodes := p.possibleNodes(now); nodes != w.NodeCount {
		a.PossibleNodes = nodes
	}
	if w.Protocol < protocolRateLimits {
		n.hideLimited(a)
	}
	if n.hidesCold(w) {
		n.hideCold(a, now)
	}
	leading, _ := p.leadership()
	if leading && n.settings.Cold.Enabled() {
		a.Stamp = n.leaderStamp(now)
	}
	if leading && w.UsesGrants {
		a.AllocatesRates = true
		a.Grants = n.rateAllocator.Collect(w.From.Name, a.Stamp, now)
	}
}

// mergeLimits records the limits and grants in the leader's answer to a status report sent at a time.
func (p *peers) mergeLimits(a *StatusAnswer, sentAt time.Time) {
	n := p.n
	n.mergeLimits(a.Limits, "leader", n.clock.Now())
	n.limits.ReceiveGrants(a.Grants, sentAt, n.clock.Now())
	n.cold.leaderHidesCold.Store(n.settings.Cold.Enabled() && a.Protocol < protocolColdInstances)
	if a.Stamp > 0 {
		n.cold.binding.Follow(a.Feed, a.Stamp, n.clock.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaderLimitsVersion, p.leaderNodeCount, p.nodesKnown = a.LimitsVersion, a.PossibleNodes, true
	if a.AllocatesRates {
		p.allocatedAt = sentAt
	}
}

// allocateRates allocates the rates of limited instances. A leader allocates to all nodes that report to
// it. Another node allocates only to itself, and only while no leader allocates to it: there is no
// leader, or the leader is of an earlier version. Either allocates no more than the share that the
// nodes it allocates for have of all nodes.
func (n *Node) allocateRates(now time.Time) {
	if !n.limits.HasActive() {
		return
	}
	r := ratelimit.AllocationInput{Limits: n.limitsToAllocate(now)}
	r.Pool = func(l *ratelimit.Limit) string {
		m := n.servedModel(l.Instance.ID)
		return string(m.service) + "/" + m.model
	}
	knownNodes, countedNodes, countedCold := n.peers.possibleNodes(now), 1, 0
	leading, _ := n.peers.leadership()
	switch {
	case !n.peers.hasAllNodes():
		return
	case leading:
		countedNodes, countedCold = n.peers.addReportingNodes(&r, now)
		r.ColdShare = min(float64(countedCold)/float64(knownNodes), 1)
	case n.peers.hasAllocation(now):
		return
	default:
		r.Nodes = []ratelimit.NodeUsage{n.ownUsage(now)}
		r.ColdShare = n.coldShareAlone(r.Limits, knownNodes, now)
		r.Weight = func(string, *ratelimit.Limit) float64 { return 1 }
	}
	r.Share = min(float64(countedNodes)/float64(knownNodes), 1)
	n.rateAllocator.Allocate(r, now)
	n.limits.ReceiveGrants(n.rateAllocator.Collect(n.settings.Name, 0, now), now, now)
}

// ownUsage returns this node's use of the rates that it allocates.
func (n *Node) ownUsage(now time.Time) ratelimit.NodeUsage {
	return ratelimit.NodeUsage{Name: n.settings.Name, Usage: n.limits.Usage(now), Echo: ratelimit.EchoOwn, Process: n.process, UsesCold: true}
}

// hasAllocation reports whether a leader allocated rates for this node within NodePolicy.NodeTimeout.
func (p *peers) hasAllocation(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.allocatedAt.IsZero() && now.Sub(p.allocatedAt) < p.n.policy.NodeTimeout
}

// minWeight is the weight of a node without recent requests, in requests per second.
const minWeight = 0.01

// addReportingNodes adds to an allocation round the nodes that send by grants: this one and those that
// report to it, each with its demand. It returns the number of nodes whose share of the rate may be
// allocated, and those whose share of the limits of cold instances may be. Nodes of earlier builds count too,
// since they are kept away from limited instances.
func (p *peers) addReportingNodes(r *ratelimit.AllocationInput, now time.Time) (counted, countedCold int) {
	n := p.n
	requestRates := map[string]map[servedModel]float64{n.settings.Name: byModel(n.demand.Flows(now))}
	r.Nodes = []ratelimit.NodeUsage{n.ownUsage(now)}
	counted = 1
	if n.isSettled(now) {
		countedCold = 1
	}
	p.mu.Lock()
	for name, h := range p.statusReports {
		if now.Sub(h.receivedAt) >= n.policy.NodeTimeout || h.report.Protocol >= protocolRateLimits && !h.report.UsesGrants {
			continue
		}
		counted++
		if n.isCounted(&h.report, now) {
			countedCold++
		}
		if h.report.Protocol < protocolRateLimits {
			continue
		}
		r.Nodes = append(r.Nodes, ratelimit.NodeUsage{
			Name: name, Usage: h.report.Usage, Echo: n.echoOf(&h.report), Process: h.report.Process, UsesCold: h.report.Binding != nil,
		})
		requestRates[name] = byModel(h.report.Demand)
	}
	p.mu.Unlock()
	slices.SortFunc(r.Nodes, func(a, b ratelimit.NodeUsage) int { return strings.Compare(a.Name, b.Name) })
	models := map[state.InstanceID]servedModel{}
	for i := range r.Limits {
		id := r.Limits[i].Instance.ID
		models[id] = n.servedModel(id)
	}
	r.Weight = func(node string, l *ratelimit.Limit) float64 {
		return requestRates[node][models[l.Instance.ID]] + minWeight
	}
	return counted, countedCold
}

// servedModel identifies a model of a service. The model of a service without an engine is empty.
type servedModel struct {
	service state.ServiceName
	model   string
}

// servedModel returns the service and model under which requests for an instance are counted.
func (n *Node) servedModel(id state.InstanceID) servedModel {
	in := n.instance(id)
	if c := n.configState.Catalog(); c != nil && c.Services[in.Service] != nil && c.Services[in.Service].Engine != nil {
		return servedModel{in.Service, in.Model}
	}
	return servedModel{in.Service, ""}
}

// byModel returns the requests per second for each model.
func byModel(flows []demand.Flow) map[servedModel]float64 {
	requestRates := make(map[servedModel]float64, len(flows))
	for _, f := range flows {
		requestRates[servedModel{f.Service, f.Model}] = f.Requests
	}
	return requestRates
}

// sweepLimits removes rate limits that are no longer needed and updates the gauge of those in force.
func (n *Node) sweepLimits() {
	now := n.clock.Now()
	n.limits.Sweep(now, func(in fleet.Incarnation) bool {
		v, known := n.roster.Get(in.ID, now)
		return known && !v.Incarnation().StartedAfter(in)
	})
	n.logCold(now)
	metrics.GetOrRegisterGauge("rate-limit.active", n.metrics).Update(int64(len(n.limits.Active())))
}

// limitState is a rate limit in the response to an operator.
type limitState struct {
	Instance  state.InstanceID `json:"instance"`
	PerSecond float64          `json:"per_second"`
	// Cause is why the instance is limited. WarmInMS is how long it remains cold.
	Cause    ratelimit.Cause `json:"cause"`
	WarmInMS int64           `json:"warm_in_ms,omitempty"`
	SinceMS  int64           `json:"since_ms"`
	// AnsweredMS is how long ago the instance last announced the limit to this node or, when the limit last
	// changed, to another node.
	AnsweredMS int64 `json:"said_ms"`
	// Usage is this node's usage of the limit.
	Usage ratelimit.Usage `json:"usage"`
}

// serveLimits lists the instances with a rate limit in force.
func (n *Node) serveLimits(w http.ResponseWriter, _ *http.Request) {
	now := n.clock.Now()
	usage := n.limits.Usage(now)
	list := []limitState{}
	for _, l := range n.limits.InForce(now) {
		s := limitState{
			Instance: l.Instance.ID, PerSecond: l.PerSecond, Cause: l.Cause, SinceMS: now.Sub(l.KnownSince).Milliseconds(), Usage: usage[l.Instance.ID],
		}
		if l.Cause == ratelimit.CauseAnnounced {
			s.AnsweredMS = now.Sub(l.AnsweredAt).Milliseconds()
		}
		if l.MaxInSecond > 0 {
			s.WarmInMS = l.ColdUntil.Sub(now).Milliseconds()
		}
		list = append(list, s)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.log.WithError(err).Info("failed to write rate limit response")
	}
}
