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
			"service": service, "attempts": u.Attempts, "retries": u.Retries, "share": u.Share, "up_ms": now.Sub(n.started).Milliseconds(),
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
