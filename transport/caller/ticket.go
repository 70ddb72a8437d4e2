package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/troutmast/troutmast/coordination/admission"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/ticket"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/core"
)

// Codes of tickets.
const (
	CodeTicketBad   Code = "ticket-not-valid"
	CodeTicketGone  Code = "ticket-node-gone"
	CodeTicketLimit Code = "ticket-limit"
	CodeStopping    Code = "node-stopping"
)

// ticketRequest is the body of a request for a ticket.
type ticketRequest struct {
	Service state.ServiceName `json:"service"`
}

// ticketAnswer is the answer to a request for a ticket.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
	// ExpiresIn is in seconds.
	ExpiresIn int `json:"expires_in_s"`
}

// mint gives out a ticket that only this node, in this life, may spend.
func (s *Server) mint(ctx context.Context, w http.ResponseWriter, _ *http.Request, q *request) *Failure {
	var t ticketRequest
	if err := json.Unmarshal(q.body, &t); err != nil {
		return notRun(http.StatusBadRequest, CodeBadRequest, "the body is no JSON object that names a service: %v", err)
	}
	if s.c.Follower.View().Services[t.Service] == nil {
		return notRun(http.StatusNotFound, CodeNotFound, "no service %q", t.Service)
	}
	if s.c.Stopping.Load() {
		return notRun(http.StatusServiceUnavailable, CodeStopping, "the node is stopping")
	}
	here, f := s.route(ctx, w, q, core.ServicePool(t.Service))
	if !here {
		return f
	}
	text, err := s.c.Tickets.Issue(q.team.Name, t.Service)
	if err != nil {
		return notRun(http.StatusServiceUnavailable, CodeTicketLimit, "the node remembers as many tickets as it may")
	}
	body, err := json.Marshal(ticketAnswer{Ticket: text, ExpiresIn: int(ticket.TTL.Seconds())})
	if err != nil {
		return notRun(http.StatusServiceUnavailable, CodeTicketLimit, "the ticket could not be written: %v", err)
	}
	writeAnswer(w, q.id, &target.Response{Status: http.StatusCreated, ContentType: "application/json"}, body)
	return nil
}

// ticketHere reports whether a ticket was issued by this node; if not, the request
// is passed on to the node that did, or is of unknown outcome when that is gone.
func (s *Server) ticketHere(ctx context.Context, w http.ResponseWriter, q *request) (here bool, f *Failure) {
	node, incarnation, err := ticket.Parse(q.key)
	if err != nil {
		return false, notRun(http.StatusBadRequest, CodeTicketBad, "this is no ticket")
	}
	self := s.c.Directory.Self()
	if node == self.Name && incarnation == self.Incarnation {
		return true, nil
	}
	gone := unknown(http.StatusConflict, CodeTicketGone, "the node that gave the ticket out cannot be reached; the call may have run")
	gone.RetryAfter = admission.Jitter(time.Second)
	if q.forwarded {
		return false, gone
	}
	for _, n := range s.c.Directory.Peers() {
		if n.Name != node || n.Incarnation != incarnation {
			continue
		}
		s.note(q, "passed on to %s, which gave the ticket out", n.Name)
		if _, err := s.forwardTo(ctx, w, q, n); err != nil {
			s.note(q, "%s failed: %v", n.Name, err)
			return false, gone
		}
		return false, nil
	}
	return false, gone
}

// ticketed runs a call that a ticket stands for.
func (s *Server) ticketed(ctx context.Context, w http.ResponseWriter, q *request, svc *state.Service, pool string) *Failure {
	result, err := s.c.Tickets.Redeem(q.key, q.team.Name, svc.Name, q.digest())
	switch {
	case errors.Is(err, ticket.ErrConflict):
		return notRun(http.StatusUnprocessableEntity, CodeKeyConflict, "the ticket belongs to another call")
	case errors.Is(err, ticket.ErrResultUnknown):
		return unknown(http.StatusConflict, CodeKeyUnknown, "an earlier attempt with this ticket may have run, or it has expired")
	case err != nil:
		return notRun(http.StatusBadRequest, CodeTicketBad, "%v", err)
	case result != nil:
		return s.repeated(w, q, result)
	}
	ctx, cancel := s.detached(ctx, q)
	defer cancel()
	return s.once(ctx, w, q, pool, &spentTicket{s.c.Tickets, q.key})
}

// spentTicket is a ticket that the request has spent.
type spentTicket struct {
	book *ticket.Store
	text string
}

// settle implements settler.
func (t *spentTicket) settle(o retry.Outcome, result *state.ClaimResult) {
	switch o {
	case retry.NotRun:
		t.book.Release(t.text)
	case retry.Completed:
		t.book.RecordResult(t.text, result)
	}
}
