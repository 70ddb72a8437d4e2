package entry

import (
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/state"
)

// retryLogInterval is the minimum time between two log lines on the retry budget of a service.
const retryLogInterval = time.Second

// loggedBudget is the state of a retry budget that was logged last.
type loggedBudget struct {
	usage retry.Usage
	at    time.Time
}

// logRetryBudgets logs the retry budgets that are in use, and updates their gauges. The sum over the lines of all nodes
// is what a service receives beyond the first attempt of each request.
func (n *Node) logRetryBudgets(b *loggedState) {
	now := n.clock.Now()
	for service, u := range n.gateway.RetryBudgets(now) {
		n.updateBudgetGauges(service, u)
		last := b.budgets[service]
		if u.Retries == last.usage.Retries || now.Sub(last.at) < retryLogInterval {
			continue
		}
		b.budgets[service] = loggedBudget{usage: u, at: now}
		n.log.WithFields(log.Fields{
			"service": service, "attempts": u.Attempts, "retries": u.Retries, "granted": u.Granted, "share": u.Share, "up_ms": now.Sub(n.started).Milliseconds(),
		}).Info("retry budget")
	}
}

// updateBudgetGauges sets the gauges of a service's retry budget.
func (n *Node) updateBudgetGauges(service state.ServiceName, u retry.Usage) {
	prefix := "retry-budget." + string(service)
	metrics.GetOrRegisterGauge(prefix+".attempts", n.metrics).Update(int64(u.Attempts))
	metrics.GetOrRegisterGauge(prefix+".retries", n.metrics).Update(int64(u.Retries))
	metrics.GetOrRegisterGaugeFloat64(prefix+".share", n.metrics).Update(u.Share)
}

// processRetryUse is what a process last reported of its retry budgets, and when.
type processRetryUse struct {
	process int64
	use     map[state.ServiceName]RetryUse
	at      time.Time
	// countsSince is since when it counted all retries of its node; zero if for a whole window.
	countsSince time.Time
}

// nodeRetryUse is what the current process of a node and the one before it last reported.
type nodeRetryUse struct{ current, previous processRetryUse }

// addRetryUse adds to a status report what this process has used of its retry budgets, and what it asks for.
func (p *peers) addRetryUse(w *StatusReport, now time.Time) {
	g := p.n.gateway
	w.Process = p.n.process
	for service, u := range g.RetryBudgets(now) {
		if u.Retries == 0 {
			continue
		}
		if w.RetryUse == nil {
			w.RetryUse = map[state.ServiceName]RetryUse{}
		}
		w.RetryUse[service] = RetryUse{Attempts: u.Attempts, Retries: u.Retries}
	}
	w.AwaitsRetries = g.AwaitsInheritance(now)
	w.CountsForMS = g.RetriesCountedFor(now).Milliseconds()
	w.WantedRetries = g.WantedRetries(now)
}

// recordRetryUse records what a process has used of its retry budgets. p.mu is held.
func (p *peers) recordRetryUse(w *StatusReport, now time.Time) {
	u := p.retryUse[w.From.Name]
	if u == nil {
		u = &nodeRetryUse{}
		p.retryUse[w.From.Name] = u
	}
	if w.Process == u.previous.process && w.Process != 0 {
		return // a late report
	}
	if u.current.process != w.Process {
		u.previous = u.current
	}
	u.current = processRetryUse{process: w.Process, use: w.RetryUse, at: now}
	if w.CountsForMS > 0 {
		u.current.countsSince = now.Add(-millis.Duration(w.CountsForMS))
	}
}

// addPredecessor adds to an answer what the process before the sender's had used of its retry budgets. Only a leader to
// which that process reported within the last window knows it: it may have reported to another one since.
func (p *peers) addPredecessor(a *StatusAnswer, w *StatusReport, now time.Time) {
	if !w.AwaitsRetries {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.retryUse[w.From.Name]
	if u == nil || u.previous.process == 0 || !p.isLeader || u.previous.at.Before(p.leaderSince) {
		return
	}
	age := now.Sub(u.previous.at)
	if age >= p.n.gateway.RetryBounds().Window {
		return
	}
	a.Predecessor = &PredecessorReport{RetryUse: u.previous.use, AgeMS: age.Milliseconds()}
	if since := u.previous.countsSince; !since.IsZero() {
		a.Predecessor.CountsForMS = max(now.Sub(since).Milliseconds(), 1)
	}
	p.n.Count("retry-use.told")
}

// inheritRetries continues the count of the retry budgets that the previous process of this node had reported. What one
// before that had used still counts, so that the new count is complete only since the previous one was.
func (n *Node) inheritRetries(r *PredecessorReport) {
	now := n.clock.Now()
	if r == nil || !n.gateway.AwaitsInheritance(now) {
		return
	}
	var countsSince time.Time
	if r.CountsForMS > 0 {
		countsSince = now.Add(-millis.Duration(r.CountsForMS))
	}
	used := make(map[state.ServiceName]retry.Usage, len(r.RetryUse))
	for service, u := range r.RetryUse {
		used[service] = retry.Usage{Attempts: u.Attempts, Retries: u.Retries}
	}
	n.gateway.InheritRetries(used, countsSince, now.Add(-millis.Duration(r.AgeMS)), now)
	n.log.WithFields(log.Fields{"used": r.RetryUse, "age_ms": r.AgeMS, "counts_for_ms": r.CountsForMS}).Info("retry budgets inherited")
}

// grantRetries adds to an answer the retries that the leader grants the sender of a status report.
func (p *peers) grantRetries(a *StatusAnswer, w *StatusReport, now time.Time) {
	if len(w.WantedRetries) == 0 {
		return
	}
	p.mu.Lock()
	grants := p.retryGrants
	reporting := 1
	for _, h := range p.statusReports {
		if now.Sub(h.receivedAt) < p.n.policy.NodeTimeout {
			reporting++
		}
	}
	p.mu.Unlock()
	if grants == nil {
		return
	}
	fraction := min(float64(reporting)/float64(p.possibleNodes(now)), 1)
	bounds := p.n.gateway.RetryBounds()
	for service, want := range w.WantedRetries {
		budget := bounds.Slack*fraction + bounds.Ratio*p.requestRate(service)*bounds.Window.Seconds()
		n := grants.Deal(service, want, budget, bounds.Window, now)
		if n == 0 {
			p.n.Count("retry-grants.none-left")
			continue
		}
		if a.GrantedRetries == nil {
			a.GrantedRetries = map[state.ServiceName]int{}
		}
		a.GrantedRetries[service] = n
		p.n.Count("retry-grants.dealt")
	}
}

// requestRate returns the requests per second for a service at all nodes that report to the leader.
func (p *peers) requestRate(service state.ServiceName) float64 {
	_, flows := p.totals()
	var rate float64
	for i := range flows {
		if flows[i].Service == service {
			rate += flows[i].Requests
		}
	}
	return rate
}
