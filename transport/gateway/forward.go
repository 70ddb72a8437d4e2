package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/transport/event"
)

// Peers chooses the nodes that serve requests which this node cannot send to an instance.
type Peers interface {
	// IsPartitioned reports whether this node reaches no instance of a service.
	IsPartitioned(service state.ServiceName) bool
	// AcquirePeer returns a node that can serve requests of a pool and for which isAllowed returns true, and counts a
	// request in flight to it until ReleasePeer. It returns forwarding.ErrNoPeer or forwarding.ErrLimit if there is none.
	AcquirePeer(pool dispatch.Pool, isAllowed func(forwarding.Peer) bool) (forwarding.Peer, error)
	// ReleasePeer ends a request of a pool that AcquirePeer counted.
	ReleasePeer(p forwarding.Peer, pool dispatch.Pool, o forwarding.Outcome)
}

// Receiver bounds the requests that this node serves for other nodes.
type Receiver interface {
	// TryAcquire counts a request until Release. It reports false if the node can serve no further one.
	TryAcquire() bool
	Release()
}

// ForwardPath begins the URI of a forwarded request. The URI of the caller follows.
const ForwardPath = "/troutmast.Entry/Forward"

// The headers of forwarded requests and of the responses to them, both with JSON values.
const (
	headerForward       = "Troutmast-Forward"
	headerForwardResult = "Troutmast-Forward-Result"
)

// maxPeerDials is the number of nodes that are tried until one can be reached. A request moves to only
// one: no byte of it is sent to the others.
const maxPeerDials = 2

// maxForwardedAttempts bounds the attempts that a message between nodes states.
const maxForwardedAttempts = 1 << 10

// forwardInfo is what the node that received a request has decided about it. The node that it is
// forwarded to follows these decisions even if it has another version of the configuration, so that a caller
// never sees the configuration go back.
type forwardInfo struct {
	// Origin is the name of the node that received the request.
	Origin    string            `json:"origin"`
	Service   state.ServiceName `json:"service"`
	Model     string            `json:"model,omitempty"`
	Team      state.TeamName    `json:"team,omitempty"`
	Route     string            `json:"route"`
	Kind      catalog.RouteKind `json:"kind"`
	Resumable bool              `json:"resumable,omitempty"`
	Public    bool              `json:"public,omitempty"`
	// Priority is that of the request. Earlier builds name none.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of instances that may still run the request.
	Attempts   int   `json:"attempts"`
	GoalMS     int64 `json:"goal,omitempty"`
	GapGoalMS  int64 `json:"gap,omitempty"`
	TimeLeftMS int64 `json:"left"`
	// LastEventID is the ID of the last event of a stream that the caller has received.
	LastEventID string `json:"event,omitempty"`
	// Homes are the regions in which the request may run; empty if it may run everywhere. Builds before
	// protocolHomeRegions ignore them, so that no request with home regions is forwarded to their nodes.
	Homes []state.RegionName `json:"homes,omitempty"`
}

// forwardResult states what the response to a forwarded request is: that of an instance if Code is
// empty, otherwise a refusal with a retry delay.
type forwardResult struct {
	Code    Code  `json:"code,omitempty"`
	AfterMS int64 `json:"after,omitempty"`
	// Arrivals counts the sends that reached an instance. Earlier builds do not report it.
	Arrivals int `json:"arrivals,omitempty"`
}

// forwardState is the part of a call that concerns forwarding.
type forwardState struct {
	// origin is the name of the node that forwarded the request to this one, or empty.
	origin string
	// peer is the address of the node that this one forwarded the request to, or empty. A request is
	// forwarded once at most.
	peer string
	// peerDials counts the nodes that were tried, including those that could not be reached.
	peerDials int
	// peerRefusal is the refusal of that node, which guarantees that the request has not run there.
	peerRefusal *refusal
}

// shouldForward reports whether the request should be forwarded rather than sent to the target that was picked, which
// may be nil. Instances that only this node fails to reach may have room for it.
func (c *call) shouldForward(target *dispatch.Candidate) bool {
	if c.origin != "" || c.peer != "" || c.currentHomes().IsEmpty() {
		return false
	}
	if _, held := c.Quarantine.QuarantinedUntil(c.identity); c.sends > 0 && held {
		return false
	}
	if c.Peers.IsPartitioned(c.service) {
		return true
	}
	isUnserved := target == nil || c.sends > 0 || target.IsFull(c.Clock.Now())
	return isUnserved && c.Table.Unreachable(c.service, c.model) > 0
}

// forward forwards the request to another node. It reports whether the request has ended, and returns the refusal
// if there is one. If it has not, the request has not run at the other node.
func (c *call) forward() (refused *refusal, ended bool) {
	pool := dispatch.Pool{Service: c.service, Model: c.model}
	for c.peerDials < maxPeerDials {
		peer, err := c.Peers.AcquirePeer(pool, c.canReceiveBody)
		if errors.Is(err, forwarding.ErrLimit) {
			c.Recorder.Count("forward.limit")
			c.peerRefusal = refusalWithRetryAfter(CodeForwardLimit, c.Policy.OverloadRetryAfter)
		}
		if err != nil {
			return nil, false
		}
		takenAt, arrivals := c.Clock.Now(), c.arrivals
		if arrivals > 0 && !c.budget.TryTake(takenAt) {
			c.Recorder.Count("retry.no-budget")
			c.Peers.ReleasePeer(peer, pool, forwarding.Reached)
			return nil, false
		}
		c.peerDials++
		res, err := c.forwardTo(peer)
		if arrivals > 0 && res == resultNotRun && c.arrivals == arrivals {
			c.budget.Return(takenAt)
		}
		c.Peers.ReleasePeer(peer, pool, c.peerOutcome(res, err))
		c.Recorder.Count("forward." + string(res))
		c.isGone = res == resultCallerGone
		switch {
		case errors.Is(err, errHeldBack):
			return nil, false
		case res == resultNotRun && c.peer == "":
			continue
		case res == resultNotRun:
			return c.peerRefusal, c.Peers.IsPartitioned(c.service) && c.runs == 0
		case res == resultAnswered:
			c.recordAnswer(nil)
			return nil, true
		case res == resultCallerGone || res == resultSuperseded:
			return nil, true
		}
		c.runs = c.route.MaxAttempts
		return c.giveUp(CodeResponseLost), true
	}
	return nil, false
}

// noTargetCodes are the refusals of a peer that would refuse other requests of the pool, too. CodeKeysStale is none of them:
// it may concern a single key of which the two nodes know different versions.
var noTargetCodes = []Code{CodeNoTarget, CodeTargetsUnreachable, CodeNoConfig, CodeStopping, CodeEvacuated}

// peerOutcome returns what the result of forwardTo shows of the peer.
func (c *call) peerOutcome(res attemptResult, err error) forwarding.Outcome {
	switch {
	case errors.Is(err, errHeldBack) || res == resultCallerGone:
		return forwarding.Reached
	case errors.Is(err, direct.ErrNotSent):
		return forwarding.Unreachable
	case res == resultNotRun && slices.Contains(noTargetCodes, c.peerRefusal.code):
		return forwarding.NoTarget
	}
	return forwarding.Reached
}

// forwardTo sends the request to a peer and relays its response. The error is that of the connection.
func (c *call) forwardTo(peer forwarding.Peer) (attemptResult, error) {
	info := c.forwardInfo()
	c.Recorder.LogDecision(&event.RequestForwarded{
		Request: c.eventRequest(), Peer: peer.Address, Unreachable: c.Table.Unreachable(c.service, c.model), Partitioned: c.Peers.IsPartitioned(c.service),
		Attempts: info.Attempts, Left: c.deadline.Sub(c.Clock.Now()),
	})
	req, err := c.newForwardRequest(peer, info)
	if err != nil {
		return resultNotRun, fmt.Errorf("%w: %w", direct.ErrNotSent, err)
	}
	resp, err := c.PeerPool.Do(c.ctx, peer.Address, req)
	switch {
	case err != nil && c.isSuperseded():
		return resultSuperseded, nil
	case errors.Is(err, errCallerGone):
		return c.leaveBeforeSend(), err
	case err != nil && c.r.Context().Err() != nil:
		return resultCallerGone, err
	case errors.Is(err, direct.ErrNotSent):
		return resultNotRun, err
	}
	c.peer = peer.Address.String()
	defer c.countForwarded(peer, resp)()
	if err != nil {
		return resultUnknown, err
	}
	defer resp.Close()
	return c.handleForwardResponse(resp), nil
}

// forwardInfo returns what the node that the request is forwarded to must know of it.
func (c *call) forwardInfo() forwardInfo {
	info := forwardInfo{
		Origin: c.Name, Service: c.service, Model: c.model, Route: c.route.Name, Kind: c.route.Kind, Resumable: c.route.Resumable, Public: c.route.Public, Priority: c.priority(),
		Attempts: c.route.MaxAttempts - c.runs, GoalMS: c.route.Goal.Milliseconds(), GapGoalMS: c.route.GapGoal.Milliseconds(),
		TimeLeftMS: (c.deadline.Sub(c.Clock.Now()) - c.Policy.NetworkAllowance).Milliseconds(), LastEventID: c.lastEventID, Homes: c.currentHomes().Regions(),
	}
	if c.team != nil {
		info.Team = c.team.Name
	}
	return info
}

// newForwardRequest returns the request to send to a peer. It carries the caller's key: the peer checks it
// again, since a node that was suspended may forward a request with a key that is no longer valid.
func (c *call) newForwardRequest(peer forwarding.Peer, info forwardInfo) (*direct.Request, error) {
	raw, err := json.Marshal(info)
	if err != nil {
		return nil, err
	}
	h := endToEndHeaders(c.r.Header)
	h.Set(headerForward, string(raw))
	return &direct.Request{
		Method: c.r.Method, URI: ForwardPath + c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		HasBody: c.r.ContentLength != 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut,
		ID:      c.claims.ID,
		ResponseID: func(h http.Header) string {
			if h.Get(headerForwardResult) == "" {
				return ""
			}
			return c.Codec.ResponseID(h)
		},
		RequireFreshConn: !c.route.CanRetry(),
		WriteTimeout:     c.instanceWriteTimeout(),
		BeforeSend: func() error {
			if err := c.checkCaller(); err != nil {
				return err
			}
			if !c.keyTrusted() {
				return errKeysStale
			}
			return c.checkHomesBeforeForward(peer, info)
		},
	}, nil
}

// handleForwardResponse relays the response of a peer if it is that of an instance, and otherwise records the
// peer's refusal. A refusal that does not guarantee that the request has not run counts as a lost response.
func (c *call) handleForwardResponse(resp *direct.Response) attemptResult {
	var result forwardResult
	if err := json.Unmarshal([]byte(resp.Header.Get(headerForwardResult)), &result); err != nil {
		return resultUnknown
	}
	if result.Code != "" {
		drain(resp)
		if !slices.Contains(notRunCodes, result.Code) {
			return resultUnknown
		}
		c.Recorder.Count("forward.refused." + string(result.Code))
		c.arrivals += min(max(result.Arrivals, 0), maxForwardedAttempts)
		c.peerRefusal = &refusal{code: result.Code, after: millis.Duration(result.AfterMS)}
		return resultNotRun
	}
	if !c.route.CanRetry() && c.Codec.ParseReply(resp.Status, resp.Header).PromisesNotRun { // nodes of earlier builds relay what no instance has stated
		drain(resp)
		c.Recorder.Count("attempt.unproven-refusal")
		return resultUnknown
	}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && c.route.Kind == catalog.Stream {
		return c.relayStream(c.ctx, peerSource{c}, resp)
	}
	return c.relayBuffered(c.ctx, peerSource{c}, resp)
}

// setForwardResult sets the header that tells the node that forwarded the request what the response is.
func (c *call) setForwardResult(result forwardResult) {
	if c.origin == "" {
		return
	}
	raw, err := json.Marshal(result)
	if err != nil {
		return // the response then counts as lost
	}
	c.w.Header().Set(headerForwardResult, string(raw))
}

// ServeForwarded serves a request that another node forwarded to this one. It never forwards it again.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	c := g.newCall(w, r)
	c.origin = "unknown"
	g.Recorder.Count("forward.received")
	if !g.Receiver.TryAcquire() {
		c.claims.ID = c.requestID()
		c.refuse(refusalWithRetryAfter(CodeForwardLimit, g.Policy.OverloadRetryAfter))
		return
	}
	defer g.Receiver.Release()
	c.beginBuffering()
	defer c.endBuffering() // before Release, since a planned stop waits for it
	c.run(c.admitForwarded())
}

// requestID returns the ID of the request, or "" if its headers are invalid.
func (c *call) requestID() string {
	claims, err := c.Codec.ParseRequest(c.r.Header)
	if err != nil {
		return ""
	}
	return claims.ID
}

// admitForwarded validates a forwarded request, checks its key, reads its body and sets its deadline.
func (c *call) admitForwarded() *refusal {
	var info forwardInfo
	invalid := json.Unmarshal([]byte(c.r.Header.Get(headerForward)), &info)
	claims, err := c.Codec.ParseRequest(c.r.Header)
	c.claims = claims
	if err := errors.Join(err, invalid); err != nil || info.Origin == "" || info.Attempts < 1 || info.TimeLeftMS < 1 {
		return &refusal{code: CodeForwardRefused}
	}
	c.origin, c.lastEventID = info.Origin, info.LastEventID
	c.r.Header.Del(headerForward)
	c.r.RequestURI = strings.TrimPrefix(c.r.RequestURI, ForwardPath)
	if c.shutdown.refusing.Load() {
		return refusalWithRetryAfter(CodeStopping, c.Policy.RetryAfter)
	}
	if c.catalog = c.Catalogs.Catalog(); c.catalog == nil {
		return refusalWithRetryAfter(CodeNoConfig, c.Policy.RetryAfter)
	}
	info.Attempts = min(info.Attempts, maxForwardedAttempts)
	c.route = info.route()
	if !c.authenticateForwarded(info.Team) {
		return refusalWithRetryAfter(CodeKeysStale, c.Policy.RetryAfter)
	}
	c.carriedHomes = info.Homes
	if c.currentHomes().IsEmpty() {
		return refusalWithRetryAfter(CodeNoHome, c.Policy.RepairRetryAfter)
	}
	if refused := c.readBody(); refused != nil && refused.code != CodeForwardLimit {
		return &refusal{code: CodeForwardRefused}
	} else if refused != nil {
		return refused
	}
	c.identity = c.computeIdentity()
	if until, held := c.Quarantine.Admit(c.identity); held {
		return &refusal{code: CodeQuarantined, after: until.Sub(c.arrivedAt)}
	}
	c.setDeadline(millis.Duration(info.TimeLeftMS))
	if refused := c.refuseOutliving(); refused != nil {
		return refused
	}
	c.service, c.model = info.Service, info.Model
	c.budget = c.Gateway.budget(c.service) // the origin has recorded the first attempt
	return nil
}

// authenticateForwarded sets the team of a forwarded request. It reports false if this node's configuration does not
// confirm the team's key, or that the route needs none: one of the two nodes may have an older version.
func (c *call) authenticateForwarded(team state.TeamName) bool {
	if team == "" {
		route := c.catalog.Route(stripPort(c.r.Host), uriPath(c.r.RequestURI))
		return !c.catalog.RequiresKeys || route != nil && route.Public
	}
	if !c.keyTrusted() {
		return false
	}
	c.team = c.catalog.Team(c.claims.Key)
	return c.team != nil && c.team.Name == team
}

// route returns the route of the request as far as it matters for serving it.
func (f *forwardInfo) route() *catalog.Route {
	return &catalog.Route{
		Name: f.Route, Kind: f.Kind, Resumable: f.Resumable, Public: f.Public, Priority: f.Priority, MaxAttempts: f.Attempts,
		Goal: millis.Duration(f.GoalMS), GapGoal: millis.Duration(f.GapGoalMS),
	}
}
