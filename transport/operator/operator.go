// Package operator carries out the statements of the operators' language.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/protocol/lang"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/protocol/rpc/rpcconnect"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/core"
)

// Verdicts on a command.
const (
	VerdictAccepted = "accepted"
	VerdictRefused  = "refused"
	VerdictUnknown  = "unknown"
)

// Reasons for which a command is refused before anything is appended.
const (
	ReasonSyntax       = "syntax"
	ReasonNotResolved  = "not-resolved"
	ReasonNotAppended  = "platform-unavailable"
	ReasonNotSettled   = "not-read-back"
	ReasonFoldStopped  = "fold-stopped"
	ReasonOneStatement = "one-statement"
)

const (
	// settleTimeout bounds the wait for a command to be read back.
	settleTimeout = 10 * time.Second
	// forceTimeout bounds the wait for a command to be in force on all live nodes.
	forceTimeout = 3 * time.Second
	// forceStep is the pause between two looks at the nodes.
	forceStep = 50 * time.Millisecond
)

// Server implements rpcconnect.OperatorHandler.
type Server struct {
	c *core.Core
}

// NewServer returns a Server.
func NewServer(c *core.Core) *Server { return &Server{c: c} }

// Handler returns the routes for operators, all of which need the operators' secret.
func (s *Server) Handler() http.Handler {
	path, h := rpcconnect.NewOperatorHandler(s, connect.WithReadMaxBytes(2*lang.MaxTextBytes))
	mux := http.NewServeMux()
	mux.Handle(path, h)
	return s.c.RequireSecret("operator-secret", s.c.Settings.OperatorSecret, mux)
}

// Execute implements rpcconnect.OperatorHandler.
func (s *Server) Execute(ctx context.Context, req *connect.Request[rpc.ExecuteRequest]) (*connect.Response[rpc.ExecuteResponse], error) {
	script, err := lang.Parse(req.Msg.GetText())
	if err != nil {
		return connect.NewResponse(refused(ReasonSyntax, err)), nil
	}
	if len(script.Statements) != 1 {
		return connect.NewResponse(refused(ReasonOneStatement, fmt.Errorf("%d statements, one is carried out at a time", len(script.Statements)))), nil
	}
	st := script.Statements[0]
	if st.Show != nil || st.Why != nil {
		resp, err := s.question(ctx, st, req.Msg.GetText(), true)
		if err != nil {
			return connect.NewResponse(refused(ReasonNotResolved, err)), nil
		}
		return connect.NewResponse(resp), nil
	}
	commands := []*lang.Command{st.Command}
	if st.Batch != nil {
		commands = st.Batch.Commands
	}
	return connect.NewResponse(s.command(ctx, commands, req.Msg)), nil
}

// refused returns the answer to a command of which nothing was appended.
func refused(reason string, err error) *rpc.ExecuteResponse {
	return &rpc.ExecuteResponse{Verdict: VerdictRefused, Reason: reason, Detail: err.Error()}
}

// command appends a command and answers when it is settled.
func (s *Server) command(ctx context.Context, commands []*lang.Command, msg *rpc.ExecuteRequest) *rpc.ExecuteResponse {
	s.c.Count("commands")
	plan, err := lang.Compile(commands, s.c)
	if err != nil {
		return refused(ReasonNotResolved, err)
	}
	kind := state.KindCommand
	if plan.Void != "" {
		kind = state.KindVoid
	}
	r, err := state.NewRecord(kind, msg.GetOperator())
	if err != nil {
		return refused(ReasonNotResolved, err)
	}
	if msg.GetId() != "" {
		r.ID = msg.GetId()
	}
	r.Ops, r.Void, r.Text = plan.Ops, plan.Void, msg.GetText()
	resp := s.settle(ctx, r)
	s.c.Count("commands." + resp.GetVerdict())
	log.WithFields(log.Fields{
		"command": resp.GetId(), "operator": msg.GetOperator(), "offset": resp.GetOffset(),
		"verdict": resp.GetVerdict(), "reason": resp.GetReason(),
	}).Info("command settled")
	return resp
}

// settle waits for the outcome of a record, and then until it is in force.
func (s *Server) settle(ctx context.Context, r *state.Record) *rpc.ExecuteResponse {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	o, err := s.c.Follower.Do(ctx, r)
	resp := &rpc.ExecuteResponse{Id: r.ID, Offset: uint64(o.Offset)}
	switch {
	case errors.Is(err, statelog.ErrNotAppended):
		resp.Verdict, resp.Reason, resp.Detail = VerdictRefused, ReasonNotAppended, err.Error()
	case errors.Is(err, statelog.ErrStopped):
		resp.Verdict, resp.Reason, resp.Detail = VerdictRefused, ReasonFoldStopped, err.Error()
	case err != nil:
		resp.Verdict, resp.Reason = VerdictUnknown, ReasonNotSettled
		resp.Detail = fmt.Sprintf("ask again with: show command %q; or make sure that it never takes effect with: void %q", r.ID, r.ID)
	case !o.Accepted:
		resp.Verdict, resp.Reason, resp.Detail = VerdictRefused, string(o.Reason), o.Detail
	default:
		resp.Verdict = VerdictAccepted
		resp.InForce, resp.Behind = s.inForce(ctx, o.Offset)
	}
	return resp
}

// inForce waits a while for all live nodes to apply an offset; it names who has and who has not.
func (s *Server) inForce(ctx context.Context, at state.Offset) (inForce, behind []string) {
	end := s.c.Clock.Now().Add(forceTimeout)
	for {
		inForce, behind = s.appliedBy(at)
		if len(behind) == 0 || ctx.Err() != nil || s.c.Clock.Now().After(end) {
			return inForce, behind
		}
		s.c.Clock.Sleep(forceStep)
	}
}

// appliedBy splits the known nodes into those that have applied an offset and the others, with their state.
func (s *Server) appliedBy(at state.Offset) (inForce, behind []string) {
	now := s.c.Clock.Now()
	if s.c.InForce() >= at {
		inForce = append(inForce, s.c.Settings.Name)
	} else {
		behind = append(behind, s.c.Settings.Name)
	}
	for _, n := range s.c.Directory.Peers() {
		age := now.Sub(n.RequestedAt)
		switch {
		case n.Applied >= at:
			inForce = append(inForce, n.Name)
		case age < goneAfter:
			behind = append(behind, fmt.Sprintf("%s at %d, heard %s ago", n.Name, n.Applied, age.Round(time.Millisecond)))
		}
	}
	return inForce, behind
}

// goneAfter is how long a silent node is still counted among the nodes.
const goneAfter = time.Minute
