package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/event"
)

// Catalogs gives the configuration in force and tells how old the knowledge of it may be.
type Catalogs interface {
	// Catalog returns the configuration, or nil while none is known.
	Catalog() *catalog.Catalog
	// KeysFresh reports whether keys can still be trusted.
	KeysFresh() bool
}

// Health takes in what requests show of instances.
type Health interface {
	// Heard tells that an instance answered a request sent at a time.
	Heard(id state.InstanceID, at time.Time)
	// Failed tells that an instance did not answer a request sent at a time.
	Failed(id state.InstanceID, at time.Time)
	// Replaced tells that another process answers at the instance's address.
	Replaced(id state.InstanceID)
	// Suspect asks that the members of a group be checked; moved is when its answers last moved on.
	Suspect(c *dispatch.Candidate)
}

// Quarantine holds back requests that end the instances that run them.
type Quarantine interface {
	// HeldUntil returns until when a request is held back, and whether it is.
	HeldUntil(f quarantine.Fingerprint) (time.Time, bool)
	// Suspected reports whether instances ended under a request, if not yet enough to hold it back.
	Suspected(f quarantine.Fingerprint) bool
	// Broken records that an attempt of a request that began at a time got no whole answer, since
	// one of some instances may have ended.
	Broken(f quarantine.Fingerprint, instances []fleet.Instance, began time.Time)
	// Answered records that a request got a whole answer.
	Answered(f quarantine.Fingerprint)
	// Refused records that nothing listens at the address of an instance.
	Refused(c *dispatch.Candidate)
}

// Backpressure keeps what instances ask of this node beside their answers: not to be called
// for a while, or no longer.
type Backpressure interface {
	// Told records what an instance said in the answer to a request, which was sent at a time.
	Told(in *fleet.Instance, n fleet.Notice, request string, sent time.Time)
	// CoolingDown returns until when an instance wants nothing of this node, and whether it does so now.
	CoolingDown(in *fleet.Instance) (until time.Time, cooling bool)
	// Leaving reports whether an instance is known to leave.
	Leaving(in *fleet.Instance) bool
	// RateLimit returns how many requests a second an instance takes from all nodes together,
	// and whether it has such a limit.
	RateLimit(in *fleet.Instance) (perSecond float64, limited bool)
	// Open reports whether a request may be sent to an instance, as far as its rate limit goes.
	Open(in *fleet.Instance) bool
	// Send counts a request that leaves for an instance now; if it reports false, the
	// instance's rate limit keeps it back.
	Send(in *fleet.Instance) bool
}

// Recorder counts and logs decisions that touch requests.
type Recorder interface {
	Count(name string)
	// Time adds a duration to a histogram.
	Time(name string, d time.Duration)
	Decide(d event.Decision)
}

// Options are what a Gateway is made of.
type Options struct {
	Clock    clockwork.Clock
	Dialect  Dialect
	Catalogs Catalogs
	Table    *dispatch.Table
	Health   Health
	Recorder Recorder
	// Quarantine holds back requests under which instances end.
	Quarantine   Quarantine
	Backpressure Backpressure
	Pool         *direct.Pool
	Demand       *demand.Meter
	Policy       Policy
	// Retry bounds the repeats that all nodes send to one service.
	Retry retry.Bounds
}

// Gateway is the handler for callers.
type Gateway struct {
	Options
	Watch    *Watch
	stopping atomic.Bool
	refusing atomic.Bool
	arrived  atomic.Int64

	mu      sync.Mutex
	budgets map[state.ServiceName]*retry.SharedBudget
	nodes   int
}

// New returns a Gateway.
func New(o Options) *Gateway {
	return &Gateway{
		Options: o,
		Watch:   newWatch(o.Clock, o.Health, &o.Policy),
		budgets: map[state.ServiceName]*retry.SharedBudget{},
	}
}

// Stop has every answer tell its caller that the connection ends.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Refuse has every new request refused.
func (g *Gateway) Refuse() { g.refusing.Store(true) }

// Arrived returns the number of requests so far.
func (g *Gateway) Arrived() int64 { return g.arrived.Load() }

// SetNodes sets the number of nodes that share the retry budgets.
func (g *Gateway) SetNodes(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes = n
	for _, b := range g.budgets {
		b.SetNodes(n)
	}
}

// SetRetry changes the bounds of the repeats.
func (g *Gateway) SetRetry(b retry.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b == g.Retry {
		return
	}
	g.Retry = b
	clear(g.budgets)
}

// budget returns this node's part of a service's retry budget.
func (g *Gateway) budget(service state.ServiceName) *retry.SharedBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewSharedBudget(g.Retry, g.nodes)
		g.budgets[service] = b
	}
	return b
}

// call is one request on its way.
type call struct {
	*Gateway
	w       http.ResponseWriter
	r       *http.Request
	claims  Claims
	catalog *catalog.Catalog
	route   *catalog.Route
	team    *catalog.Team
	service state.ServiceName
	model   string
	body    []byte
	// fingerprint names the request alike for all its attempts.
	fingerprint quarantine.Fingerprint
	ctx         context.Context
	arrived     time.Time
	// deadline is when the caller or the operator gives the request up.
	deadline time.Time
	budget   *retry.SharedBudget

	// runs counts the instances that may have run the request, sends all that it was sent to.
	runs  int
	sends int
	tried []state.InstanceID
	// hold is the attempt under way, as the target's load counts it.
	hold *dispatch.Hold
	// loadWhenPicked is the number of requests that the last target was known to hold when it was chosen.
	loadWhenPicked int64
	// last is the newest failure that an instance answered.
	last *plain
	stream
}

// refusal is an answer that the product itself gives.
type refusal struct {
	code  Code
	after time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.arrived.Add(1)
	c := &call{Gateway: g, w: w, r: r, arrived: g.Clock.Now()}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	no := c.admit()
	if no == nil {
		ctx, cancel := context.WithTimeout(r.Context(), c.deadline.Sub(g.Clock.Now()))
		defer cancel()
		c.ctx = ctx
		no = c.serve()
	}
	if no != nil {
		c.refuse(no)
	}
}

// refusedAt returns a refusal with a jittered time to come back.
func refusedAt(code Code, after time.Duration) *refusal {
	return &refusal{code: code, after: after + rand.N(after/2+1)}
}

// admit checks a request and reads its body.
func (c *call) admit() *refusal {
	claims, err := c.Dialect.Parse(c.r.Header)
	c.claims = claims
	if err != nil {
		return &refusal{code: CodeBadRequest}
	}
	if c.refusing.Load() {
		return refusedAt(CodeStopping, c.Policy.RetryAfter)
	}
	c.catalog = c.Catalogs.Catalog()
	if c.catalog == nil {
		return refusedAt(CodeNoConfig, c.Policy.RetryAfter)
	}
	if c.route = c.catalog.Route(hostOnly(c.r.Host), pathOf(c.r.RequestURI)); c.route == nil {
		return &refusal{code: CodeNoRoute}
	}
	if no := c.authenticate(); no != nil {
		return no
	}
	if no := c.readBody(); no != nil {
		return no
	}
	c.fingerprint = c.contentFingerprint()
	if until, held := c.Quarantine.HeldUntil(c.fingerprint); held {
		return &refusal{code: CodeQuarantined, after: until.Sub(c.arrived)}
	}
	patience := claims.Patience
	if patience <= 0 {
		patience = c.Policy.DefaultTimeout
	}
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(patience)
	c.service = c.route.Pick()
	if s := c.catalog.Services[c.service]; s != nil && s.Engine != nil {
		c.model = claims.Model
	}
	c.budget = c.Gateway.budget(c.service)
	c.budget.Attempt(c.arrived)
	c.Demand.Add(c.service, c.model, claims.Prompt, claims.Answer, c.arrived)
	return nil
}

// authenticate finds the team that holds the request's key.
func (c *call) authenticate() *refusal {
	if !c.catalog.Keyed || c.route.Public {
		return nil
	}
	if !c.keyHolds() {
		return refusedAt(CodeStale, c.Policy.RetryAfter)
	}
	if c.team = c.catalog.Team(c.claims.Key); c.team == nil {
		return &refusal{code: CodeBadKey}
	}
	return nil
}

// keyHolds reports whether the request's key can still be trusted, if it needs one. It is
// asked again right before the request leaves: a body may take seconds to arrive, and the
// machine may be suspended between any two steps.
func (c *call) keyHolds() bool {
	return !c.catalog.Keyed || c.route.Public || c.Catalogs.KeysFresh()
}

// contentFingerprint returns the fingerprint of the request, whose body has been read.
func (c *call) contentFingerprint() quarantine.Fingerprint {
	content := quarantine.Content{Method: c.r.Method, Host: strings.ToLower(hostOnly(c.r.Host)), Target: c.r.RequestURI, Body: c.body}
	if c.team != nil {
		content.Caller = string(c.team.Name)
	}
	return quarantine.NewFingerprint(content)
}

// bodyTime bounds the reading of a request's body.
const bodyTime = 10 * time.Second

// readBody reads the whole body, within the limit.
func (c *call) readBody() *refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.catalog.Limits.BodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return &refusal{code: CodeTooLarge}
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTime))
	var in io.Reader = c.r.Body
	if limit > 0 {
		in = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	var err error
	c.body, err = io.ReadAll(in)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{code: CodeTooLarge}
	case err != nil:
		return &refusal{code: CodeBadRequest}
	}
	return nil
}

// refuse writes an answer of the product's own, or cuts an answer that has begun.
func (c *call) refuse(no *refusal) {
	c.Recorder.Count("refused." + string(no.code))
	c.Recorder.Decide(&event.RequestEnded{Request: c.named(), Progress: c.progress(), Code: string(no.code), Tried: c.tried, Begun: c.begun})
	if c.begun {
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	if c.claims.ID != "" {
		c.Dialect.Echo(h, c.claims.ID)
	}
	if no.after > 0 {
		c.Dialect.RetryAfter(h, no.after)
	}
	h.Set("Content-Type", "text/plain")
	c.w.WriteHeader(c.Dialect.Status(no.code))
	_, _ = io.WriteString(c.w, string(no.code)+"\n")
}

// named returns what names the request in the log.
func (c *call) named() event.Request {
	return event.Request{ID: c.claims.ID, Fingerprint: c.fingerprint}
}

// progress returns how far the request has come, for the log.
func (c *call) progress() event.Progress {
	return event.Progress{Route: c.routeName(), Model: c.model, Sends: c.sends, Runs: c.runs, Timeout: c.claims.Patience, Took: c.Clock.Since(c.arrived)}
}

// routeName returns the name of the request's route, if it has one.
func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}
