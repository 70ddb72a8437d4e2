package schedule

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/protocol/peer"
)

// errNotLeading is the error of a node that is asked to schedule a request and does not lead.
var errNotLeading = errors.New("schedule: this node does not schedule requests")

// Leader decides on requests of other nodes' callers. It reports false for leads if this node is not the leader.
type Leader interface {
	Decide(r *scheduling.Request, samples []scheduling.Sample) (d scheduling.Decision, decided, leads bool)
}

// maxMessageBytes is the maximum size of a message, in bytes. Both messages take less than 1 KB.
const maxMessageBytes = 64 << 10

// NewHandler returns the handler of Procedure.
func NewHandler(l Leader) http.Handler {
	decide := func(_ context.Context, req *connect.Request[Request]) (*connect.Response[Answer], error) {
		d, decided, leads := l.Decide(req.Msg.request(), req.Msg.samples())
		if !leads {
			return nil, connect.NewError(connect.CodeUnavailable, errNotLeading)
		}
		return connect.NewResponse(newAnswer(d, decided)), nil
	}
	return connect.NewUnaryHandler(Procedure, decide, connect.WithCodec(peer.JSONCodec{}), connect.WithReadMaxBytes(maxMessageBytes))
}
