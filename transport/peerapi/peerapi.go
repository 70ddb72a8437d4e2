// Package peerapi serves the other entry nodes.
package peerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/protocol/rpc/rpcconnect"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/caller"
	"github.com/troutmast/troutmast/transport/core"
	"github.com/troutmast/troutmast/transport/operator"
)

// maxMessageBytes bounds a message from a peer.
const maxMessageBytes = 4 << 20

// maxNodeAge is the age above which what another node said is not passed on.
const maxNodeAge = 30 * time.Second

// Server implements rpcconnect.PeerHandler.
type Server struct {
	c       *core.Core
	ask     *operator.Server
	forward http.Handler
}

// NewServer returns a Server; forward serves the requests that other nodes pass on.
func NewServer(c *core.Core, forward http.Handler) *Server {
	return &Server{c: c, ask: operator.NewServer(c), forward: forward}
}

// Handler returns the routes for peers, all of which need the peers' secret.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, h := rpcconnect.NewPeerHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
	mux.Handle(path, h)
	mux.Handle(caller.ForwardPath+"/", http.StripPrefix(caller.ForwardPath, s.forward))
	return s.c.RequireSecret("peer-secret", s.c.Settings.PeerSecret, mux)
}

// Exchange implements rpcconnect.PeerHandler.
func (s *Server) Exchange(_ context.Context, req *connect.Request[rpc.ExchangeRequest]) (*connect.Response[rpc.ExchangeResponse], error) {
	now := s.c.Clock.Now()
	if from, err := peer.DecodeNode(req.Msg.GetFrom(), now); err == nil {
		s.c.Directory.AddCaller(from)
	}
	seen, seenLedger := req.Msg.GetSeenVersion(), req.Msg.GetSeenLedger()
	if req.Msg.GetSeenIncarnation() != s.c.Directory.Self().Incarnation {
		seen, seenLedger = 0, 0
	}
	d := s.c.Feed.DeltaSince(seen)
	resp := &rpc.ExchangeResponse{Self: peer.EncodeNode(s.c.Self(), 0), Version: d.Version}
	if !d.OldestProbe.IsZero() {
		resp.ConfirmedAgeMs = peer.CeilMilliseconds(now.Sub(d.OldestProbe))
	}
	for _, e := range d.Changed {
		resp.Changed = append(resp.Changed, peer.EncodeReport(e.Report, now.Sub(e.ProbedAt)))
	}
	for _, id := range d.Expired {
		resp.Lost = append(resp.Lost, string(id))
	}
	for _, c := range s.c.Routing.All() {
		if c.InFlight() > 0 {
			resp.Held = append(resp.Held, &rpc.GroupHeld{Group: string(c.Name), Held: uint32(c.InFlight())})
		}
	}
	endings, version := s.c.Quarantine.ChangesSince(seenLedger, quarantine.StoreSource)
	peer.EncodeLedgerDelta(resp, endings, version, now)
	if req.Msg.GetWantNodes() {
		resp.Nodes = s.nodes(now)
	}
	return connect.NewResponse(resp), nil
}

// nodes returns what this node knows of the others.
func (s *Server) nodes(now time.Time) []*rpc.Node {
	var list []*rpc.Node
	for _, n := range s.c.Directory.Peers() {
		if age := now.Sub(n.RequestedAt); age < maxNodeAge {
			list = append(list, peer.EncodeNode(n, age))
		}
	}
	return list
}

// errNoState is the answer of a node that has not held the whole state yet.
func errNoState() error {
	return connect.NewError(connect.CodeFailedPrecondition, core.ErrNeverRead)
}

// Snapshot implements rpcconnect.PeerHandler.
func (s *Server) Snapshot(_ context.Context, req *connect.Request[rpc.SnapshotRequest]) (*connect.Response[rpc.SnapshotResponse], error) {
	if !s.c.HasState() {
		return nil, errNoState()
	}
	var snap *state.Snapshot
	var err error
	s.c.Follower.Read(func(st *state.State) {
		if st.Offset() <= state.Offset(req.Msg.GetNewerThan()) {
			err = connect.NewError(connect.CodeFailedPrecondition, errors.New("no newer state here"))
			return
		}
		snap, err = st.Snapshot()
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&rpc.SnapshotResponse{At: uint64(snap.At), Digest: snap.Digest, Data: snap.Data}), nil
}

// Instances implements rpcconnect.PeerHandler.
func (s *Server) Instances(context.Context, *connect.Request[rpc.InstancesRequest]) (*connect.Response[rpc.InstancesResponse], error) {
	asked, seen := s.c.Places.Asked()
	if !seen {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("no list has been seen here"))
	}
	list, err := json.Marshal(s.c.Places.List())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	age := s.c.Clock.Since(asked)
	return connect.NewResponse(&rpc.InstancesResponse{List: list, AgeMs: peer.CeilMilliseconds(age)}), nil
}

// Records implements rpcconnect.PeerHandler.
func (s *Server) Records(_ context.Context, req *connect.Request[rpc.RecordsRequest]) (*connect.Response[rpc.RecordsResponse], error) {
	if !s.c.HasState() {
		return nil, errNoState()
	}
	entries, held := s.c.Follower.RecentEntries(state.Offset(req.Msg.GetFrom()), int(req.Msg.GetMost()))
	if !held {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("these entries are not held here"))
	}
	resp := &rpc.RecordsResponse{}
	for _, e := range entries {
		resp.Entries = append(resp.Entries, &rpc.Entry{Offset: uint64(e.Offset), TimeUs: e.Time.UnixMicro(), Data: e.Data})
	}
	return connect.NewResponse(resp), nil
}

// Ask implements rpcconnect.PeerHandler.
func (s *Server) Ask(ctx context.Context, req *connect.Request[rpc.ExecuteRequest]) (*connect.Response[rpc.ExecuteResponse], error) {
	resp, err := s.ask.Answer(ctx, req.Msg.GetText())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(resp), nil
}
