package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/internal/steady"
)

// admissionLogInterval is the time between two log lines on admission for a pool.
const admissionLogInterval = time.Second

// maxLoggedTeams is the number of teams above their share that a log line names.
const maxLoggedTeams = 5

// assumeLoads lets this node decide by its own demand once it has had no totals for NodeTimeout. Until then, the last
// ones apply.
func (n *Node) assumeLoads(nodes int) {
	now := n.clock.Now()
	since := max(n.totalsAt.Load(), steady.Nanos(n.started))
	if !n.table.Admits() || steady.Nanos(now)-since < int64(n.policy.NodeTimeout) {
		return
	}
	n.Count("admission.assumed")
	n.table.AssumeLoad(n.demand.Flows(now), max(nodes, 1))
}

// showAdmission updates the gauges of admission, and logs each pool of which requests are refused.
func (n *Node) showAdmission(context.Context) {
	for _, p := range n.table.Plans() {
		name := string(p.Service)
		if p.Model != "" {
			name += "." + p.Model
		}
		metrics.GetOrRegisterGaugeFloat64("admission.fraction."+name, n.metrics).Update(p.AdmittedFraction())
		metrics.GetOrRegisterGaugeFloat64("admission.room."+name, n.metrics).Update(p.Room)
		if p.Overloaded {
			n.logOverload(&p)
		}
	}
}

// logOverload logs the plan of a pool with more demand than room.
func (n *Node) logOverload(p *dispatch.PoolPlan) {
	priority, returning := p.Cut()
	above := p.AboveShare()
	teams := make([]string, 0, maxLoggedTeams)
	for _, t := range above[:min(len(above), maxLoggedTeams)] {
		teams = append(teams, fmt.Sprintf("%s:%.2f", t.Team, t.Fraction))
	}
	n.log.WithFields(log.Fields{
		"service": p.Service, "model": p.Model, "room": int(p.Room), "demand": int(p.Demand), "fraction": fmt.Sprintf("%.2f", p.AdmittedFraction()),
		"cut_priority": priority, "cut_returning": returning, "above_share": len(above), "teams": strings.Join(teams, " "),
		"waiting": int(p.Waiting), "retry_ms": n.table.MeanRetryDelay(p.Pool, priority).Milliseconds(),
	}).Warn("demand exceeds room")
}
