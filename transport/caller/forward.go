package caller

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/protocol/target"
)

// headerTeam names the team of a request that a node passes on.
const headerTeam = "Troutmast-Team"

// ForwardPath begins the path of a request that a node passes on.
const ForwardPath = "/forward"

// errNoAnswer means a peer broke off before the head of its answer.
var errNoAnswer = errors.New("caller: the peer did not answer")

// passOn sends a request to another node that can serve it.
func (s *Server) passOn(ctx context.Context, w http.ResponseWriter, q *request, pool string, allowedHere bool) *Failure {
	nodes := s.helpers(q, pool)
	if len(nodes) == 0 {
		return s.unroutable(q, pool, allowedHere)
	}
	repeatable := q.model != "" || q.path == "/v1/tickets" || q.method == http.MethodGet || q.method == http.MethodHead
	worst := retry.NotRun
	for i, n := range nodes {
		s.note(q, "passed on to %s in %s", n.Name, n.Hall)
		outcome, err := s.forwardTo(ctx, w, q, n)
		if err == nil {
			s.c.Count("forwarded")
			return nil
		}
		s.note(q, "%s failed: %v", n.Name, err)
		if ctx.Err() == nil && !errors.Is(err, errCallerLeft) {
			s.c.Directory.MarkSuspected(n.Name, s.c.Clock.Now())
		}
		worst = worse(worst, outcome)
		f := withOutcome(worst, CodePeerFailed, "the node that the request was passed on to failed")
		if errors.Is(err, errCallerLeft) {
			f = attemptFailure(worst, err)
		}
		if i+1 == len(nodes) || !s.again(ctx, q, outcome, f, repeatable) {
			return f
		}
	}
	return s.unroutable(q, pool, allowedHere)
}

// helpers returns the nodes that can serve the pool in data halls that the team may use, the least loaded first. Those of
// this hall can serve what this node can't only if it is partitioned from the instances; they come before the others then.
func (s *Server) helpers(q *request, pool string) []membership.Node {
	own := s.c.Directory.Self().Hall
	isPartitioned := s.c.IsPartitioned()
	nodes := s.c.Directory.LivePeers("", s.c.Clock.Now())
	nodes = slices.DeleteFunc(nodes, func(n membership.Node) bool {
		isUseless := n.Hall == own && !isPartitioned
		return isUseless || !n.Ready || n.Stopping || q.team.Halls[n.Hall].Places == 0 || !slices.Contains(n.Models, pool)
	})
	distance := func(n membership.Node) int {
		if n.Hall == own {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(nodes, func(a, b membership.Node) int {
		return cmp.Or(distance(a)-distance(b), a.InFlight-b.InFlight)
	})
	return nodes
}

// peerScheme returns the scheme by which other nodes are called.
func (s *Server) peerScheme() string {
	if s.c.Settings.CertFile != "" {
		return "https://"
	}
	return "http://"
}

// forwardTo passes a request on to one node and its answer back.
func (s *Server) forwardTo(ctx context.Context, w http.ResponseWriter, q *request, n membership.Node) (retry.Outcome, error) {
	req, err := http.NewRequestWithContext(ctx, q.method, s.peerScheme()+n.Address.String()+ForwardPath+q.path, bytes.NewReader(q.body))
	if err != nil {
		return retry.NotRun, err
	}
	h := req.Header
	h.Set("Authorization", peer.BearerHeader(s.c.Settings.PeerSecret))
	h.Set(headerTeam, string(q.team.Name))
	h.Set(HeaderRequestID, q.id)
	h.Set(HeaderTimeout, s.c.Clock.Until(q.deadline).String())
	h.Set("Content-Type", q.kind)
	if q.key != "" {
		h.Set("Idempotency-Key", q.key)
	}
	resp, sent, err := s.forward.DoIf(req, q.checkCaller)
	switch {
	case errors.Is(err, errCallerLeft):
		return retry.NotRun, err
	case err != nil && sent:
		return retry.Unknown, fmt.Errorf("%w: %w", errNoAnswer, err)
	case err != nil:
		return retry.NotRun, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderRequestID) != q.id {
		return retry.Unknown, target.ErrRequestIDMismatch
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		s.relayStream(w, q, resp)
		return retry.Completed, nil
	}
	return s.relayWhole(w, resp)
}

// relayHeaders are the headers of a peer's answer that the caller gets.
var relayHeaders = []string{"Content-Type", HeaderRequestID, HeaderOutcome, HeaderReason, "Retry-After"}

// relayWhole passes a whole answer back once all of it is there.
func (s *Server) relayWhole(w http.ResponseWriter, resp *http.Response) (retry.Outcome, error) {
	ans := &target.Response{IsDelimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, Body: resp.Body}
	body, err := readWhole(ans)
	if err != nil {
		return retry.Unknown, err
	}
	for _, name := range relayHeaders {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
	return retry.Completed, nil
}

// relayStream passes a stream back event by event; a break is told to the caller.
func (s *Server) relayStream(w http.ResponseWriter, q *request, resp *http.Response) {
	out := &sink{w: w, id: q.id}
	events := newEventScanner(resp.Body)
	for events.Scan() {
		if out.event(events.Bytes()) != nil || isLast(events.Bytes()) {
			return
		}
		out.tokens++
	}
	f := unknown(http.StatusBadGateway, CodePeerFailed, "the node that served the stream broke off")
	if f = s.endStream(out, q, f); f != nil {
		f.write(w, q.id)
	}
}
