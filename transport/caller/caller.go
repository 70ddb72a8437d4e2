// Package caller serves the callers: completions of models, whole or streamed,
// the list of models, and calls of plain services.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/admission"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/core"
)

// Server answers callers.
type Server struct {
	c       *core.Core
	forward *exchange.Client
}

// NewServer returns a Server; forward carries requests to nodes of other halls.
func NewServer(c *core.Core, forward *exchange.Client) *Server {
	return &Server{c: c, forward: forward}
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serve(false, s.completion))
	mux.HandleFunc("POST /v1/completions", s.serve(false, s.completion))
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST /v1/tickets", s.serve(false, s.mint))
	mux.HandleFunc("/svc/{service}/", s.serve(false, s.service))
	return mux
}

// ForwardHandler returns the routes for requests that another node has passed on.
func (s *Server) ForwardHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serve(true, s.completion))
	mux.HandleFunc("POST /v1/completions", s.serve(true, s.completion))
	mux.HandleFunc("POST /v1/tickets", s.serve(true, s.mint))
	mux.HandleFunc("/svc/{service}/", s.serve(true, s.service))
	return mux
}

// handler answers one request, or returns why it has no answer.
type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) *Failure

// serve wraps a handler with what every request needs.
func (s *Server) serve(forwarded bool, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.c.Held.Add(1)
		defer s.c.Held.Add(-1)
		s.c.Arrived.Add(1)
		start := s.c.Clock.Now()
		s.c.Count("requests")
		q, f := s.begin(w, r, forwarded)
		defer s.boundWrites(w, q)()
		if f == nil {
			f = s.quarantined(q)
		}
		if f == nil {
			ctx, cancel := context.WithTimeout(r.Context(), s.c.Clock.Until(q.deadline))
			f = h(ctx, w, r, q)
			cancel()
		}
		s.finish(w, q, f, start)
	}
}

// writeGrace is how long after a request's time its answer may still be written.
const writeGrace = 2 * time.Second

// boundWrites keeps a caller that does not read from holding its place for
// longer than its own time; the returned function lifts the bound for the
// connection's next request.
func (s *Server) boundWrites(w http.ResponseWriter, q *request) (lift func()) {
	rc := http.NewResponseController(w)
	left := time.Duration(0)
	if !q.deadline.IsZero() {
		left = s.c.Clock.Until(q.deadline)
	}
	if err := rc.SetWriteDeadline(time.Now().Add(left + writeGrace)); err != nil {
		return func() {}
	}
	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}

// finish counts and logs the end of a request and sends its failure, if any.
func (s *Server) finish(w http.ResponseWriter, q *request, f *Failure, start time.Time) {
	took := s.c.Clock.Since(start)
	entry := log.WithFields(log.Fields{"request": q.id, "path": q.path, "ms": took.Milliseconds()})
	metrics.GetOrRegisterTimer("request.time", s.c.Metrics).Update(took)
	if f == nil {
		s.c.Count("requests.run")
		entry.Debug("request answered")
		return
	}
	s.c.Count("refused." + string(f.Code))
	s.c.Count("outcome." + string(f.Outcome))
	s.note(q, "final answer: %s", f)
	entry.WithField("outcome", f.Outcome).WithField("reason", f.Code).Info("request refused")
	f.write(w, q.id)
}

// note remembers a step of a request for why.
func (s *Server) note(q *request, format string, args ...any) {
	s.c.Decisions.Add(q.id, s.c.Clock.Now(), format, args...)
}

// models lists the models that can be used now, in this hall or another.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	q := &request{id: requestID(r)}
	if f := s.setTeam(q, r); f != nil {
		s.c.Count("refused." + string(f.Code))
		f.write(w, q.id)
		return
	}
	names := s.c.OpenModels()
	for _, n := range s.c.Directory.LivePeers("", s.c.Clock.Now()) {
		names = append(names, n.Models...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	names = slices.DeleteFunc(names, func(n string) bool { return strings.HasPrefix(n, core.ServicePool("")) })
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	type models struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	list := make([]model, 0, len(names))
	for _, n := range names {
		list = append(list, model{ID: n, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(models{Object: "list", Data: list})
}

// route decides whether a request is served here; otherwise it has been passed on, or failed.
func (s *Server) route(ctx context.Context, w http.ResponseWriter, q *request, pool string) (here bool, f *Failure) {
	allowedHere := q.share.Places > 0
	if allowedHere && s.openHere(pool) {
		return true, nil
	}
	if q.forwarded {
		return false, s.unroutable(q, pool, allowedHere)
	}
	return false, s.passOn(ctx, w, q, pool, allowedHere)
}

// openHere reports whether a pool has an open candidate in this hall that this node reaches.
func (s *Server) openHere(pool string) bool {
	if s.c.IsPartitioned() {
		return false
	}
	now := s.c.Clock.Now()
	return slices.ContainsFunc(s.c.Routing.Candidates(pool), func(c *routing.Candidate) bool { return s.c.Open(c, now) })
}

// unroutable says why a request cannot be served here or anywhere else.
func (s *Server) unroutable(q *request, pool string, allowed bool) *Failure {
	if !allowed && len(q.team.Halls) == 0 {
		return notRun(http.StatusForbidden, CodeTeamNotAllowed, "team %s may use no data hall", q.team.Name)
	}
	if !s.known(pool) {
		return notRun(http.StatusNotFound, CodeNotFound, "%s is not configured", pool)
	}
	f := notRun(http.StatusServiceUnavailable, Code(admission.CodeNoWholeGroup), "no hall that team %s may use has a whole group for %s", q.team.Name, pool)
	return s.comeBack(f, pool)
}

// known reports whether any group or service of that name is configured in any hall.
func (s *Server) known(pool string) bool {
	view := s.c.Follower.View()
	if name, ok := strings.CutPrefix(pool, core.ServicePool("")); ok {
		return view.Services[state.ServiceName(name)] != nil
	}
	return slices.ContainsFunc(view.Groups, func(g *state.Group) bool { return g.Model.Name == pool })
}

// admit takes a place of the team and one of the pool; done gives both back.
func (s *Server) admit(ctx context.Context, q *request, pool string) (done func(), f *Failure) {
	limit := s.c.TeamLimit(q.share)
	if !s.c.Teams.Acquire(q.team.Name, limit) {
		s.note(q, "team %s has all its %d places here in use", q.team.Name, limit)
		return nil, fromAdmission(&admission.Refusal{Code: admission.CodeTeamLimit, RetryAfter: admission.Jitter(time.Second)})
	}
	p := s.c.Pools.Get(pool)
	if err := p.Acquire(ctx, q.share.Priority, q.deadline); err != nil {
		s.c.Teams.Release(q.team.Name)
		return nil, fromAdmission(err)
	}
	return func() {
		p.Release()
		s.c.Teams.Release(q.team.Name)
	}, nil
}

// again reports whether a failed attempt may be repeated, and counts why or why not.
func (s *Server) again(ctx context.Context, q *request, o retry.Outcome, f *Failure, repeatable bool) bool {
	switch {
	case !retry.CanRetry(o, repeatable):
		s.c.Count("retry-denied.not-repeatable")
	case q.conn.HasPeerClosed():
		s.c.Count("retry-denied.caller-left")
	case ctx.Err() != nil || !s.c.Clock.Now().Before(q.deadline):
		s.c.Count("retry-denied.deadline")
	case s.quarantined(q) != nil:
		s.c.Count("retry-denied.quarantined")
	case !s.c.Budget.TryTake():
		s.c.Count("retry-denied.budget")
	default:
		s.c.Count("retry." + string(f.Code))
		s.note(q, "attempt failed, trying again: %s", f)
		return true
	}
	return false
}

// pick chooses a candidate of a pool and books the request there.
//
// The booking is made before the last look: a drain that comes in between
// either sees the booking or is seen by the look.
func (s *Server) pick(q *request, pool string, avoid state.GroupName) *routing.Dispatch {
	r := routing.Request{Tokens: q.tokens, Prompt: int64(len(q.body) / bytesPerToken), Prefix: q.prefix, ExcludedGroup: avoid}
	for {
		now := s.c.Clock.Now()
		c := s.c.Picker.Pick(s.c.Usable(pool, now), r, now)
		if c == nil {
			return nil
		}
		d := c.BeginRequest(r)
		if c.CanAccept(s.c.Clock.Now()) {
			c.RecordPrefix(q.prefix)
			q.lives, q.sentAt = s.lives(d), s.c.Clock.Now()
			s.note(q, "sent to %s, epoch %d, with %d requests there", c.Name, d.Group().Epoch, c.Load())
			return d
		}
		d.End()
	}
}

// Errors of an attempt.
var (
	errGroupLost    = errors.New("caller: the group is no longer whole")
	errTruncated    = errors.New("caller: the answer was cut short")
	errTargetStatus = errors.New("caller: the target answered with a failure")
)
