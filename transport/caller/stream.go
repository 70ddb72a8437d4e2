package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// streamEnd is the data of the event that ends a whole stream.
var streamEnd = []byte("[DONE]")

// sink is the caller's side of a stream; it outlives the attempts.
type sink struct {
	w       http.ResponseWriter
	id      string
	started bool
	// tokens is the number of events let out so far.
	tokens int
}

// event lets one event out.
func (k *sink) event(data []byte) error {
	if !k.started {
		k.started = true
		h := k.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(HeaderRequestID, k.id)
		h.Set(HeaderOutcome, string(retry.Completed))
		k.w.WriteHeader(http.StatusOK)
	}
	if _, err := k.w.Write(data); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return http.NewResponseController(k.w).Flush()
}

// errCallerGone means the caller no longer takes its stream.
var errCallerGone = errors.New("caller: the caller has gone")

// fail ends a started stream with an explicit error event, without the closing event.
func (k *sink) fail(f *Failure) {
	data := append([]byte("event: error\ndata: "), f.body(k.id)...)
	_ = k.event(append(data, '\n', '\n'))
}

// streamed serves a stream, resumed on another group when the first one fails.
func (s *Server) streamed(ctx context.Context, w http.ResponseWriter, q *request) *Failure {
	out := &sink{w: w, id: q.id}
	var avoid state.GroupName
	var last *Failure
	worst := retry.NotRun
	for {
		d := s.pick(q, q.model, avoid)
		if d == nil {
			return s.endStream(out, q, s.noGroup(q.model, last))
		}
		outcome, err := s.streamOnce(ctx, q, d, out)
		d.End()
		s.learn(q, outcome, err)
		if err == nil || errors.Is(err, errCallerGone) {
			return nil
		}
		worst = worse(worst, outcome)
		f := s.failed(ctx, worst, outcome, err)
		if !s.again(ctx, q, outcome, f, true) {
			return s.endStream(out, q, f)
		}
		avoid, last = d.Candidate().Name, f
	}
}

// endStream tells the caller of a failure: as the whole answer, or inside the stream once it has begun.
func (s *Server) endStream(out *sink, q *request, f *Failure) *Failure {
	if !out.started {
		return f
	}
	s.c.Count("stream-broken." + string(f.Code))
	s.note(q, "stream ended with an error after %d events: %s", out.tokens, f)
	out.fail(f)
	return nil
}

// streamOnce is one attempt: it lets events out while the group is whole.
func (s *Server) streamOnce(ctx context.Context, q *request, d *routing.Dispatch, out *sink) (retry.Outcome, error) {
	ctx, stop := s.watch(ctx, d)
	defer stop()
	call, err := s.call(q, d)
	if err != nil {
		return retry.NotRun, err
	}
	call.ResumeTokens = out.tokens
	ans, outcome, err := s.send(ctx, q, d, call)
	if err != nil {
		return outcome, err
	}
	defer func() { _ = ans.Body.Close() }()
	if ans.Status != http.StatusOK {
		return s.passWhole(ctx, q, d, ans, out)
	}
	if err := s.copyEvents(ctx, d, ans, out); err != nil {
		return retry.Unknown, cause(ctx, err)
	}
	return retry.Completed, nil
}

// passWhole lets out an answer that is no stream, such as a refusal of the engine.
func (s *Server) passWhole(ctx context.Context, q *request, d *routing.Dispatch, ans *target.Response, out *sink) (retry.Outcome, error) {
	body, err := readWhole(ans)
	if err != nil {
		return retry.Unknown, err
	}
	if err := s.gate(ctx, d); err != nil {
		return retry.Unknown, err
	}
	if out.started {
		return retry.Unknown, fmt.Errorf("%w: %d on resuming", errTargetStatus, ans.Status)
	}
	writeAnswer(out.w, q.id, ans, body)
	return retry.Completed, nil
}

// copyEvents lets the events of an answer out, one by one, each only while the group is whole.
func (s *Server) copyEvents(ctx context.Context, d *routing.Dispatch, ans *target.Response, out *sink) error {
	events := newEventScanner(ans.Body)
	for events.Scan() {
		if isEnd(events.Bytes()) {
			if err := s.gate(ctx, d); err != nil {
				return err
			}
			return out.event(events.Bytes())
		}
		if !d.IsValid(s.c.Clock.Now()) {
			return errGroupLost
		}
		if err := out.event(events.Bytes()); err != nil {
			return err
		}
		out.tokens++
	}
	if err := events.Err(); err != nil {
		return fmt.Errorf("%w: %w", errTruncated, err)
	}
	return fmt.Errorf("%w: %w", errTruncated, io.ErrUnexpectedEOF)
}

// newEventScanner returns a scanner that yields one event at a time.
func newEventScanner(r io.Reader) *bufio.Scanner {
	events := bufio.NewScanner(r)
	events.Buffer(make([]byte, 0, 4096), maxEventBytes)
	events.Split(splitEvents)
	return events
}

// isLast reports whether a relayed stream ends with an event, as a whole or with an error.
func isLast(event []byte) bool {
	return isEnd(event) || bytes.HasPrefix(event, []byte("event: error\n"))
}

// isEnd reports whether an event ends a whole stream.
func isEnd(event []byte) bool {
	data, ok := bytes.CutPrefix(event, []byte("data:"))
	return ok && bytes.Equal(bytes.TrimSpace(data), streamEnd)
}

// splitEvents is a bufio.SplitFunc for events with the blank line that ends each; an unfinished one is dropped.
func splitEvents(data []byte, _ bool) (advance int, token []byte, err error) {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2, data[:i+2], nil
	}
	return 0, nil, nil
}
