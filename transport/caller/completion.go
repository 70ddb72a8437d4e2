package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/troutmast/troutmast/coordination/admission"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
)

// completion answers a completion; it has no lasting effect and so may be repeated.
func (s *Server) completion(ctx context.Context, w http.ResponseWriter, _ *http.Request, q *request) *Failure {
	if f := q.readCompletion(); f != nil {
		return f
	}
	if f := s.quarantined(q); f != nil {
		return f
	}
	here, f := s.route(ctx, w, q, q.model)
	if !here {
		return f
	}
	done, f := s.admit(ctx, q, q.model)
	if f != nil {
		return f
	}
	defer done()
	s.c.Budget.RecordAttempt()
	if q.stream {
		return s.streamed(ctx, w, q)
	}
	return s.answered(ctx, w, q, q.model)
}

// answered serves a whole answer from one group after the other until one succeeds.
func (s *Server) answered(ctx context.Context, w http.ResponseWriter, q *request, pool string) *Failure {
	var avoid state.GroupName
	var last *Failure
	worst := retry.NotRun
	for {
		d := s.pick(q, pool, avoid)
		if d == nil {
			return s.noGroup(q.model, last)
		}
		ans, body, outcome, err := s.whole(ctx, q, d)
		d.End()
		s.learn(q, outcome, err)
		if err == nil {
			writeAnswer(w, q.id, ans, body)
			return nil
		}
		worst = worse(worst, outcome)
		f := s.failed(ctx, worst, outcome, err)
		if !s.again(ctx, q, outcome, f, true) {
			return f
		}
		avoid, last = d.Candidate().Name, f
	}
}

// noGroup is the failure when no candidate is open: that of the last attempt, if there was one.
func (s *Server) noGroup(pool string, last *Failure) *Failure {
	if last == nil {
		last = withOutcome(retry.NotRun, Code(admission.CodeNoWholeGroup), "no whole group is left for the request")
	}
	if last.Outcome != retry.NotRun {
		return last
	}
	return s.comeBack(last, pool)
}

// worse returns the less certain of two outcomes: a request of which one attempt may have run may have run.
func worse(a, b retry.Outcome) retry.Outcome {
	if a == retry.NotRun {
		return b
	}
	return a
}

// failed turns the error of an attempt into what the caller is told of the whole request.
func (s *Server) failed(ctx context.Context, worst, outcome retry.Outcome, err error) *Failure {
	f := attemptFailure(outcome, err)
	if ctx.Err() != nil {
		f = withOutcome(outcome, CodeDeadline, "the time of the request ran out")
		f.Status = http.StatusGatewayTimeout
	}
	f.Outcome = worst
	return f
}

// writeAnswer lets a whole answer out.
func writeAnswer(w http.ResponseWriter, id string, ans *target.Response, body []byte) {
	h := w.Header()
	h.Set("Content-Type", ans.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(retry.Completed))
	h.Set(HeaderRequestID, id)
	w.WriteHeader(ans.Status)
	_, _ = w.Write(body)
}
