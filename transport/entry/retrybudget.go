package entry

import (
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/retry"
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
	for service, want := range w.WantedRetries {
		n := grants.Deal(service, want, p.n.gateway.RetryBounds(), fraction, now)
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
