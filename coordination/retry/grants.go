package retry

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/internal/window"
	"github.com/troutmast/troutmast/state"
)

const (
	// grantFraction is the fraction of a budget that a leader deals to processes whose part is withheld.
	grantFraction = 0.1
	// GrantTTL is how long after a process has asked for them granted retries may be used.
	GrantTTL = 2 * time.Second
	// maxWanted is the maximum number of retries that a process asks for at once.
	maxWanted = 3
	// wantSpan is how long after a retry a process that has none left asks for more.
	wantSpan = time.Second
)

// Grants deals a part of the retry budgets to processes that have just started and are withheld their own part.
// It is safe for concurrent use.
type Grants struct {
	// since is when the node that deals became leader. What another leader dealt before may still be in use.
	since time.Time

	mu    sync.Mutex
	dealt map[state.ServiceName]*window.Counter
}

// NewGrants returns the Grants of a node that leads since a time.
func NewGrants(since time.Time) *Grants {
	return &Grants{since: since, dealt: map[state.ServiceName]*window.Counter{}}
}

// Deal returns how many of the wanted retries to a service are granted. budget is what all nodes that report to the
// leader may send in a window: other nodes may follow another leader, which deals the rest.
func (g *Grants) Deal(service state.ServiceName, want int, budget float64, length time.Duration, now time.Time) int {
	span := length + GrantTTL
	if now.Sub(g.since) < span {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.dealt[service]
	if c == nil {
		c = &window.Counter{}
		g.dealt[service] = c
	}
	left := int(grantFraction*budget) - c.Within(now, span)
	n := max(min(want, maxWanted, left), 0)
	for range n {
		c.Add(now, span)
	}
	return n
}

// grantedRetries are the retries that the leader granted to a process.
type grantedRetries struct {
	left  int
	until time.Time
	// taken counts those that were used.
	taken window.Counter
	// denied counts the retries denied since the process last asked, wantedAt is when it last had none left.
	denied   int
	wantedAt time.Time
}

// take uses a granted retry. It reports false if there is none.
func (g *grantedRetries) take(now time.Time, length time.Duration) bool {
	g.wantedAt = now
	if g.left == 0 || !now.Before(g.until) {
		g.denied++
		return false
	}
	g.left--
	g.taken.Add(now, length)
	return true
}

// Wanted returns how many retries to ask the leader for: none once the node has its part, or while it has some left.
func (s *SharedBudget) Wanted(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.granted
	if !s.isWithheld(now) || now.Sub(g.wantedAt) >= wantSpan || g.left > 0 && now.Before(g.until) {
		return 0
	}
	n := min(1+g.denied, maxWanted)
	g.denied = 0
	return n
}

// Grant sets the retries that the leader granted to a process that asked for them at a time.
func (s *SharedBudget) Grant(n int, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted.left, s.granted.until = n, askedAt.Add(GrantTTL)
}
