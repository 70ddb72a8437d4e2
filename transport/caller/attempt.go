package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
)

// maxAnswerBytes bounds a whole answer, which is held until it may be let out.
const maxAnswerBytes = 32 << 20

// watchParts is how often in one evidence window a request's group is looked at.
const watchParts = 8

// watch ends ctx with errGroupLost as soon as the dispatch is no longer valid.
func (s *Server) watch(ctx context.Context, d *routing.Dispatch) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		tick := s.c.Clock.NewTicker(s.c.Settings.EvidenceWindow / watchParts)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.Chan():
				if !d.IsValid(s.c.Clock.Now()) {
					cancel(errGroupLost)
					return
				}
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// call returns the call for a request at the leader of its group, or at the instance of a plain service.
func (s *Server) call(q *request, d *routing.Dispatch) (target.Call, error) {
	g := d.Group()
	addr, ok := s.c.Places.Address(g.Members[0])
	if !ok {
		return target.Call{}, fmt.Errorf("%w: the address of %s is not known", target.ErrTarget, g.Members[0])
	}
	call := target.Call{Address: addr, Method: q.method, Path: q.path, ContentType: q.kind, Body: q.body, RequestID: q.id}
	if g.Epoch != 0 {
		call.Group, call.Epoch = g.Name, g.Epoch
	}
	return call, nil
}

// send sends a call if time is left and the group is still whole.
func (s *Server) send(ctx context.Context, q *request, d *routing.Dispatch, call target.Call) (*target.Response, retry.Outcome, error) {
	now := s.c.Clock.Now()
	if !now.Before(q.deadline) {
		return nil, retry.NotRun, context.DeadlineExceeded
	}
	if !d.IsValid(now) {
		return nil, retry.NotRun, errGroupLost
	}
	call = q.nextSend(call)
	call.BeforeSend = func() error { return s.mayLeave(q, d) }
	ans, outcome, err := s.c.Targets.Send(ctx, call)
	s.heed(q, d, ans, err)
	if err != nil {
		s.probeIfUnreachable(d, err)
		return nil, outcome, cause(ctx, err)
	}
	if ans.Status >= http.StatusInternalServerError {
		_ = ans.Body.Close()
		return nil, retry.Unknown, fmt.Errorf("%w: %d", errTargetStatus, ans.Status)
	}
	return ans, retry.Completed, nil
}

// probeIfUnreachable has the instance that a request did not reach probed at once: the node may be partitioned, while other
// nodes still report the instance as ready.
func (s *Server) probeIfUnreachable(d *routing.Dispatch, err error) {
	if !errors.Is(err, target.ErrUnreachable) {
		return
	}
	select {
	case s.c.Unreached <- d.Group().Members[0]:
	default:
	}
}

// cause puts the reason for which a context ended before the error that followed from it.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return fmt.Errorf("%w: %w", c, err)
	}
	return err
}

// whole is one attempt at a whole answer: nothing of it is let out before all of it is there.
func (s *Server) whole(ctx context.Context, q *request, d *routing.Dispatch) (*target.Response, []byte, retry.Outcome, error) {
	ctx, stop := s.watch(ctx, d)
	defer stop()
	call, err := s.call(q, d)
	if err != nil {
		return nil, nil, retry.NotRun, err
	}
	ans, body, outcome, err := s.fetch(ctx, q, d, call)
	if err != nil {
		return nil, nil, outcome, err
	}
	if err := s.gate(ctx, d); err != nil {
		return nil, nil, retry.Unknown, err
	}
	return ans, body, retry.Completed, nil
}

// fetch sends a call and reads the whole body of its answer.
func (s *Server) fetch(ctx context.Context, q *request, d *routing.Dispatch, call target.Call) (*target.Response, []byte, retry.Outcome, error) {
	ans, outcome, err := s.send(ctx, q, d, call)
	if err != nil {
		return nil, nil, outcome, err
	}
	defer func() { _ = ans.Body.Close() }()
	body, err := readWhole(ans)
	if err != nil {
		return nil, nil, retry.Unknown, cause(ctx, err)
	}
	return ans, body, retry.Completed, nil
}

// readWhole reads a body that shows that nothing of it is missing.
func readWhole(ans *target.Response) ([]byte, error) {
	if !ans.IsDelimited {
		return nil, fmt.Errorf("%w: its end cannot be told from a cut", errTruncated)
	}
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", errTruncated, maxAnswerBytes)
	}
	if strings.HasPrefix(ans.ContentType, "application/json") && !json.Valid(body) {
		return nil, fmt.Errorf("%w: the JSON is not complete", errTruncated)
	}
	return body, nil
}

// gate decides, after the last byte, whether an answer may be let out.
func (s *Server) gate(ctx context.Context, d *routing.Dispatch) error {
	if !d.IsValid(s.c.Clock.Now()) {
		return errGroupLost
	}
	if d.Group().Gate != state.GateStrict {
		return nil
	}
	return s.confirm(ctx, d)
}

// confirm asks every member again, now, and compares with the dispatch.
func (s *Server) confirm(ctx context.Context, d *routing.Dispatch) error {
	ctx, cancel := context.WithTimeout(ctx, s.c.Settings.EvidenceWindow)
	defer cancel()
	g := d.Group()
	asked := s.c.Clock.Now()
	failed := make(chan error, len(g.Members))
	for _, id := range g.Members {
		go func() { failed <- s.confirmMember(ctx, id, asked) }()
	}
	for range g.Members {
		if err := <-failed; err != nil {
			return fmt.Errorf("%w: %w", errGroupLost, err)
		}
	}
	s.c.JudgeGroup(d.Candidate())
	if !d.IsValid(s.c.Clock.Now()) {
		return errGroupLost
	}
	return nil
}

// confirmMember probes one member and takes its report in.
func (s *Server) confirmMember(ctx context.Context, id state.InstanceID, asked time.Time) error {
	addr, ok := s.c.Places.Address(id)
	if !ok {
		return fmt.Errorf("the address of %s is not known", id)
	}
	r, err := s.c.Targets.Probe(ctx, addr)
	if err != nil {
		return err
	}
	s.c.Evidence.Record(r, asked)
	return nil
}
