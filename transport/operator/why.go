package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/protocol/lang"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/state"
)

// why answers from recorded decisions and evidence.
func (s *Server) why(ctx context.Context, q *lang.Why, text string, everywhere bool) (*rpc.ExecuteResponse, error) {
	t := &table{columns: []string{"about", "what"}}
	var err error
	switch q.What {
	case "group":
		return s.whyGroup(ctx, t, state.GroupName(q.Name), text, everywhere)
	case "instance":
		err = s.whyInstance(t, state.InstanceID(q.Name))
	case "command":
		s.whyCommand(t, q.Name)
	case "request":
		return s.whyRequest(ctx, t, q.Name, text, everywhere)
	}
	if err != nil {
		return nil, err
	}
	return t.message(), nil
}

// whyGroup says why a group is or is not whole; a node of the group's hall is asked if need be.
func (s *Server) whyGroup(ctx context.Context, t *table, name state.GroupName, text string, everywhere bool) (*rpc.ExecuteResponse, error) {
	g := s.c.Follower.View().GroupsByName[name]
	if g == nil {
		return nil, fmt.Errorf("no group %s", name)
	}
	if g.Hall != s.c.Settings.Hall && everywhere {
		return s.askHall(ctx, g.Hall, text)
	}
	now := s.c.Clock.Now()
	t.add(name, fmt.Sprintf("assigned at offset %d, %d members in %s/%s", g.Epoch, len(g.Members), g.Hall, g.Domain))
	w := s.c.Evidence.CheckGroup(g, now, s.c.Settings.EvidenceWindow)
	for _, f := range w.Mismatches {
		t.add(name, "not whole: "+f.Error())
	}
	if len(w.Mismatches) == 0 {
		t.add(name, fmt.Sprintf("whole, by reports that count for another %s", w.Expires.Sub(now).Round(time.Millisecond)))
	}
	if w.Leaving {
		t.add(name, "takes no new request: a member is leaving")
	}
	if g.Drained != 0 {
		t.add(name, fmt.Sprintf("takes no new request: drained at offset %d", g.Drained))
	}
	if d, ok := s.c.Repairs.Get(name); ok && len(w.Mismatches) > 0 {
		t.add(name, fmt.Sprintf("repair %s, decided %s ago: %s (waiting costs %.0f, acting %.0f)",
			d.Action, now.Sub(d.At).Round(time.Millisecond), d.Reason, d.WaitCost, d.ActCost))
	}
	return t.message(), nil
}

// askHall passes a question on to a live node of a hall.
func (s *Server) askHall(ctx context.Context, hall state.HallName, text string) (*rpc.ExecuteResponse, error) {
	for _, n := range s.c.Directory.LivePeers(hall, s.c.Clock.Now()) {
		resp, err := s.c.Peers.ClientFor(n.Address).Ask(ctx, connect.NewRequest(&rpc.ExecuteRequest{Text: text}))
		if err == nil {
			return resp.Msg, nil
		}
	}
	return nil, fmt.Errorf("no node of %s can be reached, and only they hold its evidence", hall)
}

// whyInstance says what an instance is ordered to be and what it last reported.
func (s *Server) whyInstance(t *table, id state.InstanceID) error {
	p, ok := s.c.Places.Get(id)
	if !ok {
		return fmt.Errorf("the platform's list has no instance %s", id)
	}
	now := s.c.Clock.Now()
	t.add(id, fmt.Sprintf("listed in %s/%s at %s, checks fences: %t", p.Hall, p.Domain, p.Address, p.ChecksFences))
	switch a := s.c.Follower.View().Assignments[id]; {
	case a == nil:
		t.add(id, "free: no group holds it")
	case a.Group == "":
		t.add(id, fmt.Sprintf("ordered at offset %d to release, not yet reported", a.Epoch))
	default:
		t.add(id, fmt.Sprintf("rank %d of group %s since offset %d", a.Rank, a.Group, a.Epoch))
	}
	if s.c.Evidence.IsLeaving(id) {
		t.add(id, "leaving")
	}
	e, ok := s.c.Evidence.Get(id)
	if !ok {
		t.add(id, "has never reported to a node of this hall")
		return nil
	}
	t.add(id, fmt.Sprintf("reported %s ago: group %q epoch %d rank %d, %s, incarnation %s",
		now.Sub(e.ProbedAt).Round(time.Millisecond), e.Group, e.Epoch, e.Rank, e.Phase, e.Incarnation))
	return nil
}

// whyCommand says what became of a command.
func (s *Server) whyCommand(t *table, id string) {
	s.c.Follower.Read(func(st *state.State) {
		o, ok := st.Outcome(id)
		switch {
		case !ok:
			t.add(id, s.notSeen())
		case o.Accepted:
			t.add(id, fmt.Sprintf("accepted at offset %d, by %s: %s", o.Offset, o.By, o.Text))
		default:
			t.add(id, fmt.Sprintf("refused at offset %d, by %s: %s: %s", o.Offset, o.By, o.Reason, o.Detail))
		}
	})
}

// errNoRequest means that no node remembers a request.
var errNoRequest = errors.New("no node that can be reached remembers this request")

// whyRequest shows the steps of a request, from whichever nodes remember it.
func (s *Server) whyRequest(ctx context.Context, t *table, id, text string, everywhere bool) (*rpc.ExecuteResponse, error) {
	for _, d := range s.c.Decisions.Get(id) {
		t.add(s.c.Settings.Name, d.At.UTC().Format(time.RFC3339Nano)+" "+d.Text)
	}
	resp := t.message()
	if everywhere {
		for _, n := range s.c.Directory.LivePeers("", s.c.Clock.Now()) {
			more, err := s.c.Peers.ClientFor(n.Address).Ask(ctx, connect.NewRequest(&rpc.ExecuteRequest{Text: text}))
			if err == nil {
				resp.Table.Rows = append(resp.Table.Rows, more.Msg.GetTable().GetRows()...)
			}
		}
		if len(resp.Table.Rows) == 0 {
			return nil, errNoRequest
		}
	}
	return resp, nil
}
