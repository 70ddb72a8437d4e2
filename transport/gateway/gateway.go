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

	"github.com/troutmast/troutmast/coordination/buffering"
	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/internal/tcpstate"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/event"
)

// CatalogSource provides the current configuration and reports whether its keys are fresh.
type CatalogSource interface {
	// Catalog returns the current configuration, or nil if none has been read yet.
	Catalog() *catalog.Catalog
	// KeysFresh reports whether the keys are recent enough to be trusted.
	KeysFresh() bool
}

// FailureDetector records the evidence that requests give about the health of instances.
type FailureDetector interface {
	// RecordResponse records that an instance responded to a request sent at a time.
	RecordResponse(id state.InstanceID, at time.Time)
	// RecordFailure records that an instance did not respond to a request sent at a time.
	RecordFailure(id state.InstanceID, at time.Time)
	// RecordReplaced records that another process responds at the instance's address.
	RecordReplaced(id state.InstanceID)
	// ProbeGroup requests a probe of all members of a group.
	ProbeGroup(c *dispatch.Candidate)
}

// Quarantine refuses requests that repeatedly end the instances that run them.
type Quarantine interface {
	// Admit returns until when a request that has arrived is held back, and whether it is.
	Admit(r quarantine.Request) (time.Time, bool)
	// QuarantinedUntil returns until when a request is quarantined, and whether it is.
	QuarantinedUntil(r quarantine.Request) (time.Time, bool)
	// IsSuspected reports whether instances ended while running a request, even if too few to
	// quarantine it.
	IsSuspected(r quarantine.Request) bool
	// RecordInterruption records that an attempt that began at a time got no complete response. One of the
	// instances may have ended.
	RecordInterruption(r quarantine.Request, instances []fleet.Instance, began time.Time)
	// RecordComplete records that a request got a complete response.
	RecordComplete(r quarantine.Request)
	// RecordUnconfirmed records that a request, sent at began, got a response that ended with its connection.
	RecordUnconfirmed(r quarantine.Request, instance fleet.Instance, began time.Time)
	// RecordAlive records that an instance responded to an attempt sent at a time.
	RecordAlive(instance fleet.Instance, sentAt time.Time)
	// RecordConnectionRefused records that an instance's address refused a connection.
	RecordConnectionRefused(c *dispatch.Candidate)
}

// Backpressure tracks the cooldowns, rate limits and leaving notices that instances send with
// their responses.
type Backpressure interface {
	// RecordNotice records the notice in an instance's response to a request that was sent at a time.
	RecordNotice(in *fleet.Instance, n fleet.Notice, request string, sent time.Time)
	// CooldownUntil returns until when an instance has asked this node for a cooldown, and whether
	// the cooldown is active.
	CooldownUntil(in *fleet.Instance) (until time.Time, cooling bool)
	// IsLeaving reports whether an instance has announced that it is leaving.
	IsLeaving(in *fleet.Instance) bool
	// RateLimit returns how many requests a second an instance accepts from all nodes together,
	// and whether it has a limit.
	RateLimit(in *fleet.Instance) (perSecond float64, limited bool)
	// CanSend reports whether the rate limit of an instance allows this node to send a request now.
	CanSend(in *fleet.Instance) bool
	// TrySend counts a request that is sent to an instance now. It reports false, without counting,
	// if the instance's rate limit forbids the request.
	TrySend(in *fleet.Instance) bool
}

// Breakers keep requests away from instances that send invalid responses.
type Breakers interface {
	// SuspectInvalidResponse records that an instance has probably sent an invalid response, which is known after a time.
	SuspectInvalidResponse(in *fleet.Instance, after time.Duration)
	// RecordInvalidResponse records that an instance sent an invalid response to a request sent at a time.
	RecordInvalidResponse(in *fleet.Instance, sent time.Time)
	// RecordValidResponse records that an instance sent a valid response to a request sent at a time.
	RecordValidResponse(in *fleet.Instance, sent time.Time)
	// HasOpenBreakers reports whether any breaker may be open.
	HasOpenBreakers() bool
	// IsBreakerOpen reports whether the breaker of an instance is open.
	IsBreakerOpen(in *fleet.Instance) bool
	// TryTrial reports whether a request is to be sent to an instance whose breaker is open, to find out whether it has
	// recovered. The request must be sent then.
	TryTrial(in *fleet.Instance, isRepeatable bool) bool
}

// Recorder records metrics and logs decisions about requests.
type Recorder interface {
	// Count increments a counter.
	Count(name string)
	// ObserveDuration adds a duration to a histogram.
	ObserveDuration(name string, d time.Duration)
	// LogDecision logs a decision.
	LogDecision(d event.Decision)
}

// Options holds the dependencies and settings of a Gateway.
type Options struct {
	// Name is the name of the node.
	Name            string
	Clock           clockwork.Clock
	Codec           HeaderCodec
	Catalogs        CatalogSource
	Table           *dispatch.Table
	FailureDetector FailureDetector
	Recorder        Recorder
	Quarantine      Quarantine
	Backpressure    Backpressure
	Breakers        Breakers
	// Evacuations tells which halls are evacuated; nil if none ever is.
	Evacuations Evacuations
	Pool        *direct.Pool
	// Hall is the node's own data hall, Regions maps the halls to regions.
	Hall    state.HallName
	Regions Regions
	// HallTraffic records the traffic to other halls.
	HallTraffic HallTraffic
	// Peers chooses the nodes that requests are forwarded to, PeerPool holds the connections to them. Receiver
	// bounds the requests of other nodes.
	Peers    Peers
	PeerPool *direct.Pool
	Receiver Receiver
	Demand   *demand.Meter
	// Scheduler decides for all nodes which group gets a request; nil if every node does so itself.
	Scheduler Scheduler
	Policy    Policy
	// Retry bounds the retries that all nodes together send to one service. CountsSince is since when the gateway
	// counts all retries of its node: when the process started or the length of the window last changed, or zero if no other
	// process ran before.
	Retry       retry.SharedBudgetConfig
	CountsSince time.Time
	// Buffers counts the bytes that the node holds for its callers. If it is nil, these have no bound, and a response is read no
	// faster than its caller reads it.
	Buffers *buffering.Accounts
}

// Gateway is the HTTP handler for the requests of callers.
type Gateway struct {
	Options
	StallDetector *StallDetector
	shutdown      *shutdown
	requestCount  atomic.Int64

	mu      sync.Mutex
	budgets map[state.ServiceName]*retry.SharedBudget
	// hasInherited is set once the count of the previous process of the node is known.
	hasInherited bool
	nodes        int
}

// New returns a Gateway.
func New(o Options) *Gateway {
	if o.Evacuations == nil {
		o.Evacuations = noEvacuations{}
	}
	return &Gateway{
		Options:       o,
		StallDetector: newStallDetector(o.Clock, o.FailureDetector, &o.Policy),
		shutdown:      newShutdown(),
		budgets:       map[state.ServiceName]*retry.SharedBudget{},
	}
}

// RequestCount returns the number of requests received.
func (g *Gateway) RequestCount() int64 { return g.requestCount.Load() }

// call is the state of one request in progress.
type call struct {
	*Gateway
	w       http.ResponseWriter
	r       *http.Request
	claims  RequestInfo
	catalog *catalog.Catalog
	route   *catalog.Route
	team    *catalog.Team
	service state.ServiceName
	model   string
	body    []byte
	// identity identifies the content of the request and the parts of its prompt. It is the same for all attempts.
	identity  quarantine.Request
	ctx       context.Context
	arrivedAt time.Time
	// deadline is when the time-out of the caller or of the route expires.
	deadline time.Time
	budget   *retry.SharedBudget

	// runs counts the instances that may have run the request, sends all instances that it was
	// sent to.
	runs  int
	sends int
	tried []state.InstanceID
	// arrivals counts the sends that reached an instance, also those that it refused and those of another node. hasArrived
	// reports whether it includes the current attempt.
	arrivals   int
	hasArrived bool
	// handover is the handover that the call belongs to, or nil for a call that the gateway has received. handoverRefusal is
	// the refusal with which a handover of the call ended.
	handover        *handover
	handoverRefusal *refusal
	// demandRecorded reports whether the request counts in this node's demand.
	demandRecorded bool
	forwardState
	scheduleState
	homeState
	// hold counts the current attempt in the load of its target.
	hold *dispatch.InFlightRequest
	// trace describes the connection of the current attempt. Each attempt has its own, since a handover copies the call.
	trace *direct.Trace
	// loadAtPick is the known number of requests in progress at the last target when it was picked.
	loadAtPick int64
	// lastFailure is the most recent server error of an instance.
	lastFailure *bufferedResponse
	// hasResponded reports whether a complete response of an instance has been written to the caller.
	hasResponded bool
	streamProgress
	bufferState
	callerState
}

// refusal is a response that the gateway generates itself. A positive after is the retry delay.
type refusal struct {
	code  Code
	after time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.requestCount.Add(1)
	c := g.newCall(w, r)
	if g.shutdown.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c.beginBuffering()
	defer c.endBuffering()
	c.run(c.admit())
}

// newCall returns the call of a request that has arrived.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{Gateway: g, w: w, r: r, arrivedAt: g.Clock.Now(), callerState: callerState{socket: tcpstate.FromContext(r.Context())}}
}

// run serves the request unless it was refused, and writes the refusal if there is one.
func (c *call) run(refused *refusal) {
	if refused == nil {
		outer, end := context.WithCancelCause(c.r.Context())
		defer end(nil)
		defer c.shutdown.endWith(end)()
		ctx, cancel := context.WithTimeout(outer, c.deadline.Sub(c.Clock.Now()))
		defer cancel()
		c.ctx = ctx
		refused = c.serve()
		if c.peer == "" {
			c.recordDemand()
		}
	}
	if refused != nil {
		c.refuse(refused)
		return
	}
	c.abortUnlessResponded()
}

// abortUnlessResponded closes the caller's connection unless a complete response was written. The HTTP server would end the response of a
// handler that returns: to a caller that has closed only its side and still reads, an empty or interrupted one would look complete.
func (c *call) abortUnlessResponded() {
	switch {
	case c.hasResponded:
		return
	case c.isGone:
		c.recordCallerLeft()
	default:
		c.Recorder.Count("response.missing")
		c.logEnd(CodeResponseLost)
	}
	panic(http.ErrAbortHandler)
}

// refusalWithRetryAfter returns a refusal with a retry delay. Jitter adds up to half of the delay.
func refusalWithRetryAfter(code Code, after time.Duration) *refusal {
	return &refusal{code: code, after: after + rand.N(after/2+1)}
}

// admit validates and authenticates a request, reads its body and sets its deadline.
func (c *call) admit() *refusal {
	claims, err := c.Codec.ParseRequest(c.r.Header)
	c.claims = claims
	if err != nil {
		return &refusal{code: CodeBadRequest}
	}
	if c.shutdown.refusing.Load() {
		return refusalWithRetryAfter(CodeStopping, c.Policy.RetryAfter)
	}
	c.catalog = c.Catalogs.Catalog()
	if c.catalog == nil {
		return refusalWithRetryAfter(CodeNoConfig, c.Policy.RetryAfter)
	}
	if c.route = c.catalog.Route(stripPort(c.r.Host), uriPath(c.r.RequestURI)); c.route == nil {
		return &refusal{code: CodeNoRoute}
	}
	if refused := c.authenticate(); refused != nil {
		return refused
	}
	if c.currentHomes().IsEmpty() {
		return refusalWithRetryAfter(CodeNoHome, c.Policy.RepairRetryAfter)
	}
	if refused := c.readBody(); refused != nil {
		return refused
	}
	c.identity = c.computeIdentity()
	if until, held := c.Quarantine.Admit(c.identity); held {
		return &refusal{code: CodeQuarantined, after: until.Sub(c.arrivedAt)}
	}
	timeout := claims.Timeout
	if timeout <= 0 {
		timeout = c.Policy.DefaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.setDeadline(timeout)
	if refused := c.refuseOutliving(); refused != nil {
		return refused
	}
	c.service = c.route.PickService()
	if s := c.catalog.Services[c.service]; s != nil && s.Engine != nil {
		c.model = claims.Model
		if s.Engine.Model(c.model) == nil {
			return refusalWithRetryAfter(CodeNoModel, c.Policy.RepairRetryAfter)
		}
	}
	c.budget = c.Gateway.budget(c.service)
	c.budget.RecordAttempt(c.arrivedAt)
	return nil
}

// recordDemand counts the request once in this node's demand. A forwarded request counts at the node that
// sends it to an instance, whose share of the instances' rates follows from its demand.
func (c *call) recordDemand() {
	if !c.demandRecorded {
		c.demandRecorded = true
		c.Demand.Add(c.service, c.model, c.claims.PromptTokens, c.claims.ResponseTokens, c.arrivedAt)
	}
}

// authenticate sets the team that the request's key belongs to.
func (c *call) authenticate() *refusal {
	if !c.catalog.RequiresKeys || c.route.Public {
		return nil
	}
	if !c.keyTrusted() {
		return refusalWithRetryAfter(CodeKeysStale, c.Policy.RetryAfter)
	}
	if c.team = c.catalog.Team(c.claims.Key); c.team == nil {
		return &refusal{code: CodeBadKey}
	}
	return nil
}

// keyTrusted reports whether the request needs no key or the keys are fresh. It is called again
// right before the request is sent: a body may take seconds to arrive, and the machine may be
// suspended between any two steps.
func (c *call) keyTrusted() bool {
	return !c.catalog.RequiresKeys || c.route.Public || c.Catalogs.KeysFresh()
}

// computeIdentity returns the fingerprints of the request and of the parts of its prompt. The body must have been read.
func (c *call) computeIdentity() quarantine.Request {
	content := quarantine.Content{Method: c.r.Method, Host: strings.ToLower(stripPort(c.r.Host)), Target: c.r.RequestURI, Body: c.body}
	if c.team != nil {
		content.Caller = string(c.team.Name)
	}
	return quarantine.Request{Fingerprint: quarantine.NewFingerprint(content), Parts: quarantine.NewPartFingerprints(c.claims.PromptParts)}
}

const (
	// bodyReadTimeout is the time-out for reading a request body.
	bodyReadTimeout = 10 * time.Second
	// maxBodyBytes is the maximum size of a request body if the configuration states none.
	maxBodyBytes = 32 << 20
)

// readBody reads the request body, up to the size limit of the catalog.
func (c *call) readBody() *refusal {
	if c.account != nil && !c.account.TryAddRequest(0) {
		return c.memoryRefusal()
	}
	defer c.recordRead()
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if c.r.ContentLength > limit {
		return &refusal{code: CodeTooLarge}
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	var err error
	c.body, err = io.ReadAll(c.countedRequest(http.MaxBytesReader(c.w, c.r.Body, limit)))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemory):
		return c.memoryRefusal()
	case errors.As(err, &tooLarge):
		return &refusal{code: CodeTooLarge}
	case err != nil:
		return &refusal{code: CodeBadRequest}
	}
	return nil
}

// refuse writes a refusal to the caller, or aborts the connection if the response has begun.
func (c *call) refuse(refused *refusal) {
	counter := "refused."
	if c.origin != "" {
		counter = "forward.declined." // the node that received the request counts its refusal
	}
	c.Recorder.Count(counter + string(refused.code))
	c.logEnd(refused.code)
	if c.headerWritten {
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	if c.claims.ID != "" {
		c.Codec.SetRequestID(h, c.claims.ID)
	}
	if refused.after > 0 {
		c.Codec.SetRetryAfter(h, refused.after)
	}
	c.setForwardResult(forwardResult{Code: refused.code, AfterMS: refused.after.Milliseconds(), Arrivals: c.arrivals})
	h.Set("Content-Type", "text/plain")
	c.w.WriteHeader(c.Codec.StatusCode(refused.code))
	_, _ = io.WriteString(c.w, string(refused.code)+"\n")
}

// logEnd logs that the node itself ends the request.
func (c *call) logEnd(code Code) {
	c.Recorder.LogDecision(&event.RequestEnded{Request: c.eventRequest(), Progress: c.eventProgress(), Code: string(code), Tried: c.tried, Begun: c.headerWritten, Unreachable: c.Table.Unreachable(c.service, c.model)})
}

// eventRequest returns the identity of the request for the log.
func (c *call) eventRequest() event.Request {
	return event.Request{ID: c.claims.ID, Fingerprint: c.identity.Fingerprint, Parts: c.identity.Parts}
}

// eventProgress returns the progress of the request for the log.
func (c *call) eventProgress() event.Progress {
	return event.Progress{Origin: c.origin, Peer: c.peer, Route: c.routeName(), Model: c.model, Sends: c.sends, Runs: c.runs, Timeout: c.claims.Timeout, Took: c.Clock.Since(c.arrivedAt), Unread: c.unread}
}

// routeName returns the name of the request's route, or an empty string if no route matched.
func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}
