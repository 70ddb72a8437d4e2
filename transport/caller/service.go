package caller

import (
	"context"
	"net/http"

	"github.com/troutmast/troutmast/coordination/claim"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/coordination/ticket"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/core"
)

// maxResultBytes is the greatest body that is kept for repeats of a claimed call.
const maxResultBytes = 4096

// serviceTokens is the cost that routing counts for a call of a plain service.
const serviceTokens = 1

// service answers a call of a plain service.
func (s *Server) service(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) *Failure {
	name := state.ServiceName(r.PathValue("service"))
	svc := s.c.Follower.View().Services[name]
	if svc == nil {
		return notRun(http.StatusNotFound, CodeNotFound, "no service %s", name)
	}
	q.tokens = serviceTokens
	repeatable := q.method == http.MethodGet || q.method == http.MethodHead
	if !repeatable && q.key == "" {
		return notRun(http.StatusBadRequest, CodeKeyRequired, "a call that may not be repeated needs an Idempotency-Key (a UUIDv7 or a ticket)")
	}
	pool := core.ServicePool(name)
	byTicket := !repeatable && ticket.IsTicket(q.key)
	here, f := s.placeFor(ctx, w, q, pool, byTicket)
	if !here {
		return f
	}
	done, f := s.admit(ctx, q, pool)
	if f != nil {
		return f
	}
	defer done()
	s.c.Budget.RecordAttempt()
	switch {
	case repeatable:
		return s.answered(ctx, w, q, pool)
	case byTicket:
		return s.ticketed(ctx, w, q, svc, pool)
	case svc.Keys == state.KeysChecked:
		return s.once(ctx, w, q, pool, unsettled{})
	}
	return s.claimed(ctx, w, q, svc, pool)
}

// placeFor decides whether a call is served here: by the node that gave its
// ticket out, or by any node with an instance of the service.
func (s *Server) placeFor(ctx context.Context, w http.ResponseWriter, q *request, pool string, byTicket bool) (here bool, f *Failure) {
	if byTicket {
		return s.ticketHere(ctx, w, q)
	}
	return s.route(ctx, w, q, pool)
}

// claimed runs a call whose key must first be claimed in the log.
func (s *Server) claimed(ctx context.Context, w http.ResponseWriter, q *request, svc *state.Service, pool string) *Failure {
	key := state.ClaimKey{Team: q.team.Name, Service: svc.Name, Key: q.key}
	holder, result, err := s.c.Claims.Claim(ctx, key, q.digest())
	if err != nil {
		return fromClaim(err)
	}
	if result != nil {
		return s.repeated(w, q, result)
	}
	s.note(q, "holds the claim of key %s", q.key)
	ctx, cancel := s.detached(ctx, q)
	defer cancel()
	return s.once(ctx, w, q, pool, &held{claims: s.c.Claims, key: key, holder: holder})
}

// detached returns a context that ends with the request's time, but not when its
// caller leaves, which no longer matters to the request: a claim or ticket is spent,
// so a caller that leaves now must find the result when it repeats the call.
func (s *Server) detached(ctx context.Context, q *request) (context.Context, context.CancelFunc) {
	q.conn = nil
	return context.WithTimeout(context.WithoutCancel(ctx), s.c.Clock.Until(q.deadline))
}

// settler records how a call that may not be repeated ended; the result is set for retry.Completed.
type settler interface {
	settle(o retry.Outcome, result *state.ClaimResult)
}

// unsettled is the settler of a call whose target checks keys itself.
type unsettled struct{}

// settle implements settler.
func (unsettled) settle(retry.Outcome, *state.ClaimResult) {}

// held is a claim that the request holds.
type held struct {
	claims *claim.Manager
	key    state.ClaimKey
	holder string
}

// settle implements settler.
func (h *held) settle(o retry.Outcome, result *state.ClaimResult) {
	switch o {
	case retry.NotRun:
		h.claims.Release(h.key, h.holder)
	case retry.Completed:
		h.claims.RecordResult(h.key, h.holder, result)
	}
}

// resultOf returns what is kept of an answer.
func resultOf(ans *target.Response, body []byte) *state.ClaimResult {
	if len(body) > maxResultBytes {
		return &state.ClaimResult{Status: ans.Status, BodyDropped: true}
	}
	return &state.ClaimResult{Status: ans.Status, ContentType: ans.ContentType, Body: body}
}

// repeated answers from the recorded result of an earlier attempt.
func (s *Server) repeated(w http.ResponseWriter, q *request, result *state.ClaimResult) *Failure {
	s.note(q, "answered from the recorded result of key %s", q.key)
	s.c.Count("claims.repeated")
	if result.BodyDropped {
		f := notRun(http.StatusConflict, CodeResultDropped, "the call was run; its answer of status %d was too large to keep", result.Status)
		f.Outcome = retry.Completed
		return f
	}
	writeAnswer(w, q.id, &target.Response{Status: result.Status, ContentType: result.ContentType}, result.Body)
	return nil
}

// once sends a call that may not be repeated. Only an attempt that certainly was not run is tried elsewhere.
func (s *Server) once(ctx context.Context, w http.ResponseWriter, q *request, pool string, h settler) *Failure {
	var avoid state.GroupName
	var last *Failure
	for {
		d := s.pick(q, pool, avoid)
		if d == nil {
			h.settle(retry.NotRun, nil)
			return s.noGroup(pool, last)
		}
		ans, body, outcome, err := s.sendOnce(ctx, q, d)
		d.End()
		s.learn(q, outcome, err)
		if err == nil {
			h.settle(retry.Completed, resultOf(ans, body))
			writeAnswer(w, q.id, ans, body)
			return nil
		}
		f := s.failed(ctx, outcome, outcome, err)
		if !s.again(ctx, q, outcome, f, false) {
			h.settle(outcome, nil)
			return f
		}
		avoid, last = d.Candidate().Name, f
	}
}

// sendOnce is one attempt on a connection of its own.
//
// The answer of a target that has run the call is let out even if the target
// went missing meanwhile: the call took effect, and the caller must know.
func (s *Server) sendOnce(ctx context.Context, q *request, d *routing.Dispatch) (*target.Response, []byte, retry.Outcome, error) {
	call, err := s.call(q, d)
	if err != nil {
		return nil, nil, retry.NotRun, err
	}
	call.NewConnection, call.IdempotencyKey = true, q.key
	return s.fetch(ctx, q, d, call)
}
