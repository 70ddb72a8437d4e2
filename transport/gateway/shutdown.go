package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// errEnding means that the node ends before the request does.
var errEnding = errors.New("gateway: node is stopping")

// shutdown is the state of a planned stop.
type shutdown struct {
	// stopping is set once the node stops, refusing once it refuses every new request.
	stopping atomic.Bool
	refusing atomic.Bool

	mu sync.Mutex
	// refusesAt is when the node begins to refuse every new request, endsAt when it ends the requests that it still holds.
	refusesAt, endsAt time.Time

	ended context.Context
	end   context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// BeginStop makes every further response ask the caller to close its connection. From refusesAt on, RefuseNew is to be called, and from
// endsAt on EndRequests.
func (g *Gateway) BeginStop(refusesAt, endsAt time.Time) {
	g.shutdown.mu.Lock()
	g.shutdown.refusesAt, g.shutdown.endsAt = refusesAt, endsAt
	g.shutdown.mu.Unlock()
	g.shutdown.stopping.Store(true)
}

// RefuseNew makes the gateway refuse every new request.
func (g *Gateway) RefuseNew() { g.shutdown.refusing.Store(true) }

// EndRequests ends the requests in progress: each caller gets an answer, which is a refusal if its request has certainly not run. From a
// broken connection it would learn nothing.
func (g *Gateway) EndRequests() { g.shutdown.end() }

// endWith cancels a request with errEnding once its node ends. The caller must call stop.
func (s *shutdown) endWith(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(s.ended, func() { cancel(errEnding) })
}

// isEnding reports whether the node has ended the request.
func (c *call) isEnding() bool { return c.shutdown.ended.Err() != nil }

// refuseOutliving refuses a request that must not run twice if it may still be running when the node ends: its result would then be
// unknown, and another node can serve it. The caller is to return once new connections go to other nodes.
func (c *call) refuseOutliving() *refusal {
	if !c.shutdown.stopping.Load() || c.route.CanRetry() {
		return nil
	}
	c.shutdown.mu.Lock()
	refusesAt, endsAt := c.shutdown.refusesAt, c.shutdown.endsAt
	c.shutdown.mu.Unlock()
	if !c.deadline.After(endsAt) {
		return nil
	}
	return refusalWithRetryAfter(CodeStopping, max(refusesAt.Sub(c.arrivedAt), c.Policy.RetryAfter))
}
