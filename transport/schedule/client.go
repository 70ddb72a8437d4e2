package schedule

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/protocol/peer"
)

// Recorder records metrics of a node.
type Recorder interface {
	Count(name string)
	ObserveDuration(name string, d time.Duration)
}

// Client asks the leader which group gets a request. It is safe for concurrent use.
type Client struct {
	policy   scheduling.Policy
	clock    clockwork.Clock
	recorder Recorder
	log      *log.Logger
	hc       *http.Client

	mu sync.Mutex
	// retryAt is when the leader is asked again after it has not answered.
	retryAt time.Time
	// samples are the latencies that go with the next request for a pool.
	samples map[scheduling.Pool][]scheduling.Sample
	// connected is the client for the leader at connectedTo.
	connected   *connect.Client[Request, Answer]
	connectedTo string
}

const (
	// maxSamples is the maximum number of latencies kept for a pool until the next request for it.
	maxSamples = 8
	// maxIdleConns is the maximum number of idle connections to the leader. Requests arrive in bursts.
	maxIdleConns = 4
	// idleConnTimeout is how long a connection stays open without requests.
	idleConnTimeout = 30 * time.Second
)

// NewClient returns a client that has not asked any leader yet.
func NewClient(p scheduling.Policy, dialer direct.Dialer, clock clockwork.Clock, r Recorder, logger *log.Logger) *Client {
	return &Client{policy: p, clock: clock, recorder: r, log: logger, hc: dialer.HTTPClient(maxIdleConns, idleConnTimeout), samples: map[scheduling.Pool][]scheduling.Sample{}}
}

// Ask asks the node that leads for a decision. It reports false if this node must pick a group itself: for lack of a
// leader, if the leader has not answered in time or recently, or if it does not decide on the request.
func (c *Client) Ask(ctx context.Context, leader string, r *scheduling.Request) (scheduling.Decision, bool) {
	if leader == "" || c.inBackoff() {
		c.recorder.Count("schedule.no-leader")
		return scheduling.Decision{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, c.policy.Timeout)
	defer cancel()
	began := c.clock.Now()
	resp, err := c.client(leader).CallUnary(ctx, connect.NewRequest(newRequest(r, c.TakeSamples(r.Pool))))
	if err != nil {
		c.startBackoff(ctx, leader, err)
		return scheduling.Decision{}, false
	}
	c.recorder.ObserveDuration("schedule.ask", c.clock.Since(began))
	return resp.Msg.decision(), resp.Msg.Decided
}

// client returns the client for the node that leads.
func (c *Client) client(leader string) *connect.Client[Request, Answer] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connectedTo != leader {
		c.connected = connect.NewClient[Request, Answer](c.hc, "http://"+leader+Procedure, connect.WithCodec(peer.JSONCodec{}), connect.WithReadMaxBytes(maxMessageBytes))
		c.connectedTo = leader
	}
	return c.connected
}

// startBackoff starts the time in which the leader is not asked, unless the caller has disconnected.
func (c *Client) startBackoff(ctx context.Context, leader string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.recorder.Count("schedule.failed")
	now := c.clock.Now()
	c.mu.Lock()
	first := now.After(c.retryAt.Add(c.policy.Backoff))
	c.retryAt = now.Add(c.policy.Backoff)
	c.mu.Unlock()
	if first {
		c.log.WithError(err).WithField("leader", leader).Info("leader schedules no requests")
	}
}

// inBackoff reports whether the leader is not asked now because it has not answered recently.
func (c *Client) inBackoff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Before(c.retryAt)
}

// RecordLatency keeps the latency of a request for the next request for its pool.
func (c *Client) RecordLatency(pool scheduling.Pool, s scheduling.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.samples[pool]
	list = append(list, s)
	c.samples[pool] = list[max(len(list)-maxSamples, 0):]
}

// TakeSamples returns the latencies kept for a pool and removes them.
func (c *Client) TakeSamples(pool scheduling.Pool) []scheduling.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.samples[pool]
	delete(c.samples, pool)
	return list
}
