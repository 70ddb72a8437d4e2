package gateway

import (
	"time"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/state"
)

// SetNodes sets the number of nodes that share the retry budgets. 0 means unknown.
func (g *Gateway) SetNodes(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes = n
	for _, b := range g.budgets {
		b.SetNodes(n)
	}
}

// SetRetryBounds sets the bounds of retries. A window of another length resets all retry budgets.
func (g *Gateway) SetRetryBounds(b retry.SharedBudgetConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isSameWindow := b.Window == g.Retry.Window
	g.Retry = b
	if !isSameWindow {
		g.CountsSince, g.hasInherited = g.Clock.Now(), false
		clear(g.budgets)
		return
	}
	for _, budget := range g.budgets {
		budget.SetBounds(b)
	}
}

// budget returns this node's share of the retry budget of a service.
func (g *Gateway) budget(service state.ServiceName) *retry.SharedBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewSharedBudget(g.Retry, g.nodes, g.CountsSince)
		g.budgets[service] = b
	}
	return b
}

// RetryBounds returns the bounds of the retries that all nodes together send to one service.
func (g *Gateway) RetryBounds() retry.SharedBudgetConfig {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Retry
}

// WantedRetries returns how many retries to each service to ask the leader for.
func (g *Gateway) WantedRetries(now time.Time) map[state.ServiceName]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var wanted map[state.ServiceName]int
	for service, b := range g.budgets {
		n := b.Wanted(now)
		if n == 0 {
			continue
		}
		if wanted == nil {
			wanted = map[state.ServiceName]int{}
		}
		wanted[service] = n
	}
	return wanted
}

// GrantRetries records the retries that the leader granted this node, which asked for them at a time.
func (g *Gateway) GrantRetries(granted map[state.ServiceName]int, askedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, n := range granted {
		if b := g.budgets[service]; b != nil {
			b.Grant(n, askedAt)
		}
	}
}

// IsRetryWithheld reports whether this node's part of the retry budgets is withheld.
func (g *Gateway) IsRetryWithheld(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.CountsSince) < g.Retry.Window
}

// AwaitsInheritance reports whether this node's part of the retry budgets is withheld and nothing is known of the process
// before this one.
func (g *Gateway) AwaitsInheritance(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.hasInherited && now.Sub(g.CountsSince) < g.Retry.Window
}

// RetriesCountedFor returns for how long all retries of this node have been counted, a millisecond at least, or 0 if for a
// whole window.
func (g *Gateway) RetriesCountedFor(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := now.Sub(g.CountsSince); d < g.Retry.Window {
		return max(d, time.Millisecond)
	}
	return 0
}

// InheritRetries records what the process of this node before this one had used of its retry budgets at a time. That
// one had counted all retries since countsSince, or for a whole window if it is zero.
func (g *Gateway) InheritRetries(used map[state.ServiceName]retry.Usage, countsSince, at, now time.Time) {
	for service := range used {
		g.budget(service)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, b := range g.budgets {
		b.Inherit(used[service], countsSince, at, now)
	}
	g.CountsSince, g.hasInherited = countsSince, true
}

// RetryBudgets returns the state of this node's share of the retry budget of each service.
func (g *Gateway) RetryBudgets(now time.Time) map[state.ServiceName]retry.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage := make(map[state.ServiceName]retry.Usage, len(g.budgets))
	for service, b := range g.budgets {
		usage[service] = b.Usage(now)
	}
	return usage
}
