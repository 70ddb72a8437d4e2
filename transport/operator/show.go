package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/troutmast/troutmast/protocol/lang"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/core"
)

// show builds the table of a question; perHall reports whether other halls know more about their own rows.
func (s *Server) show(q *lang.Show) (t *table, perHall bool, err error) {
	switch q.What {
	case "groups":
		return s.showGroups(""), true, nil
	case "instances":
		return s.showInstances(), true, nil
	case "teams":
		return s.showTeams(), false, nil
	case "services":
		return s.showServices(), false, nil
	case "nodes":
		return s.showNodes(), false, nil
	case "commands":
		return s.showCommands(""), false, nil
	case "limits":
		return s.showLimits(), false, nil
	case "policy":
		return s.showPolicy(), false, nil
	case "measures":
		return s.showMeasures(), true, nil
	case "halls":
		return s.showHalls(), false, nil
	}
	if q.One == "group" {
		t := s.showGroups(state.GroupName(q.Name))
		if len(t.rows) == 0 {
			return nil, false, fmt.Errorf("no group %s", q.Name)
		}
		return t, true, nil
	}
	return s.showCommand(q.Name)
}

// showCommand shows what became of one command.
func (s *Server) showCommand(id string) (*table, bool, error) {
	t := s.showCommands(id)
	if len(t.rows) == 0 {
		t.add(id, "", VerdictUnknown, "not-seen", s.notSeen(), "", "")
	}
	return t, false, nil
}

// notSeen says what it means that an id has no outcome here.
func (s *Server) notSeen() string {
	age, ok := s.c.Follower.HeadAge()
	if !ok {
		return "this node has never read the end of the log"
	}
	return fmt.Sprintf("no record with this id up to offset %d, the end of the log %s ago; it may still come, or be older than %s",
		s.c.Follower.AppliedOffset(), age.Round(time.Millisecond), state.IDHorizon)
}

func (s *Server) showGroups(only state.GroupName) *table {
	t := &table{columns: []string{"group", hallColumn, "domain", "epoch", "model", "version", "adapters", "gate", "state", "held", "members"}}
	for _, g := range s.c.Follower.View().Groups {
		if only != "" && g.Name != only {
			continue
		}
		members := make([]string, len(g.Members))
		for i, m := range g.Members {
			members[i] = string(m)
		}
		st, held := s.groupState(g)
		t.add(g.Name, g.Hall, g.Domain, g.Epoch, g.Model.Name, g.Model.Version, strings.Join(g.Model.Adapters, " "), g.Gate, st, held, strings.Join(members, " "))
	}
	return t
}

// groupState says how a group stands, as far as this node can know.
func (s *Server) groupState(g *state.Group) (st string, held int64) {
	c := s.c.Routing.Get(g.Name)
	if g.Hall != s.c.Settings.Hall || c == nil {
		return "not-known-here", 0
	}
	whole := c.IsReady(s.c.Clock.Now())
	switch {
	case g.Releasing:
		st = "releasing"
	case g.Drained != 0:
		st = "drained"
	case s.c.Follower.View().Evacuations[g.Hall] != nil:
		st = "evacuated"
	case whole && !c.CanAccept(s.c.Clock.Now()):
		st = "leaving"
	case whole:
		st = "whole"
	default:
		st = "not-whole"
	}
	return st, c.Load()
}

func (s *Server) showInstances() *table {
	t := &table{columns: []string{"instance", hallColumn, "domain", "address", "leaving", "ordered", "epoch", "reports", "phase", "age"}}
	view := s.c.Follower.View()
	now := s.c.Clock.Now()
	for id, p := range s.c.Places.All() {
		ordered, epoch := "free", state.Epoch(0)
		if a := view.Assignments[id]; a != nil {
			ordered, epoch = "release", a.Epoch
			if a.Group != "" {
				ordered = string(a.Group)
			}
		}
		reports, phase, age := "", "", "never"
		if e, ok := s.c.Evidence.Get(id); ok {
			reports, phase, age = string(e.Group), string(e.Phase), now.Sub(e.ProbedAt).Round(time.Millisecond).String()
		}
		t.add(id, p.Hall, p.Domain, p.Address, s.c.Evidence.IsLeaving(id), ordered, epoch, reports, phase, age)
	}
	t.sort()
	return t
}

func (s *Server) showTeams() *table {
	t := &table{columns: []string{"team", hallColumn, "places", "priority", "keys"}}
	s.c.Follower.Read(func(st *state.State) {
		for _, team := range st.Teams() {
			if len(team.Halls) == 0 {
				t.add(team.Name, "", 0, "", len(team.KeyHashes))
			}
			for hall, share := range team.Halls {
				t.add(team.Name, hall, share.Places, priorityNames[share.Priority], len(team.KeyHashes))
			}
		}
	})
	t.sort()
	return t
}

// priorityNames are the words of the language for the priority classes.
var priorityNames = map[state.Priority]string{
	state.PriorityAlert:  "alert",
	state.PriorityNormal: "normal",
	state.PriorityBatch:  "batch",
}

func (s *Server) showServices() *table {
	t := &table{columns: []string{"service", "keys", "instances", "open-here"}}
	s.c.Follower.Read(func(st *state.State) {
		for _, svc := range st.Services() {
			open := 0
			for _, c := range s.c.Routing.Candidates(core.ServicePool(svc.Name)) {
				if c.CanAccept(s.c.Clock.Now()) {
					open++
				}
			}
			names := make([]string, len(svc.Instances))
			for i, id := range svc.Instances {
				names[i] = string(id)
			}
			t.add(svc.Name, svc.Keys, strings.Join(names, " "), open)
		}
	})
	return t
}

// showHalls shows the halls that the platform's list or an evacuation names.
func (s *Server) showHalls() *table {
	t := &table{columns: []string{hallColumn, "instances", "state", "since"}}
	view := s.c.Follower.View()
	instances := map[state.HallName]int{}
	for _, p := range s.c.Places.All() {
		instances[p.Hall]++
	}
	for hall := range view.Evacuations {
		instances[hall] += 0
	}
	for hall, n := range instances {
		if e := view.Evacuations[hall]; e != nil {
			t.add(hall, n, "evacuated", e.Since)
		} else {
			t.add(hall, n, "admitted", 0)
		}
	}
	t.sort()
	return t
}

func (s *Server) showNodes() *table {
	t := &table{columns: []string{"node", hallColumn, "address", "applied", "ready", "stopping", "held", "demand", "log-age", "heard"}}
	now := s.c.Clock.Now()
	self := s.c.Self()
	t.add(self.Name, self.Hall, self.Address, self.Applied, self.Ready, self.Stopping, self.InFlight, self.RequestRate, self.LogLag.Round(time.Millisecond), "self")
	for _, n := range s.c.Directory.Peers() {
		t.add(n.Name, n.Hall, n.Address, n.Applied, n.Ready, n.Stopping, n.InFlight, n.RequestRate, n.LogLag.Round(time.Millisecond), now.Sub(n.RequestedAt).Round(time.Millisecond))
	}
	t.sort()
	return t
}

// showCommands shows all remembered commands, or one.
func (s *Server) showCommands(only string) *table {
	t := &table{columns: []string{"command", "offset", "verdict", "reason", "detail", "by", "text"}}
	s.c.Follower.Read(func(st *state.State) {
		for _, o := range st.Outcomes() {
			if only != "" && o.ID != only {
				continue
			}
			verdict := VerdictRefused
			if o.Accepted {
				verdict = VerdictAccepted
			}
			t.add(o.ID, o.Offset, verdict, o.Reason, o.Detail, o.By, o.Text)
		}
	})
	return t
}

func (s *Server) showLimits() *table {
	t := &table{columns: []string{"what", "name", "limit-here", "held-here", "waiting-here"}}
	s.c.Follower.Read(func(st *state.State) {
		for _, team := range st.Teams() {
			share := team.Halls[s.c.Settings.Hall]
			t.add("team", team.Name, s.c.TeamLimit(share), s.c.Teams.InUse(team.Name), 0)
		}
	})
	for _, name := range s.c.Pools.Names() {
		p := s.c.Pools.Get(name)
		held, waiting := p.InUse()
		t.add("pool", name, p.Capacity(), held, waiting)
	}
	t.sort()
	return t
}

func (s *Server) showPolicy() *table {
	t := &table{columns: []string{"downtime", "stranded", "restart", "load", "automatic"}}
	p := s.c.Follower.View().Policy
	t.add(p.Downtime, p.Stranded, p.Restart, p.Load, p.Automatic)
	return t
}

func (s *Server) showMeasures() *table {
	t := &table{columns: []string{hallColumn, "node", "downtime-group-s", "stranded-instance-s"}}
	downtime, stranded := s.c.Measures.Totals()
	t.add(s.c.Settings.Hall, s.c.Settings.Name, fmt.Sprintf("%.1f", downtime.Seconds()), fmt.Sprintf("%.1f", stranded.Seconds()))
	return t
}
