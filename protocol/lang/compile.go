package lang

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/state"
)

// ErrCompile means a command names something that cannot be resolved; nothing was appended.
var ErrCompile = errors.New("cannot be carried out")

// Resolver knows where instances are and what is in force now.
type Resolver interface {
	// Place returns where the platform's list has an instance.
	Place(id state.InstanceID) (state.Place, bool)
	// Spares returns n free, reachable instances of one fabric domain, or fewer.
	Spares(hall state.HallName, n int) []state.Place
	// Group returns a group of the state held, or nil.
	Group(name state.GroupName) *state.Group
	// HasHall reports whether the platform's list has an instance in a hall.
	HasHall(hall state.HallName) bool
}

// Plan is what a statement asks to be appended.
type Plan struct {
	Ops  []state.Op
	Void string
}

// Compile turns commands into operations, in their order.
func Compile(commands []*Command, r Resolver) (*Plan, error) {
	p := &Plan{}
	for _, c := range commands {
		if c.Void != nil {
			p.Void = *c.Void
			continue
		}
		op, err := compile(c, r)
		if err != nil {
			return nil, fmt.Errorf("%w: line %d, column %d: %w", ErrCompile, c.Pos.Line, c.Pos.Column, err)
		}
		p.Ops = append(p.Ops, op)
	}
	if p.Void != "" && len(commands) > 1 {
		return nil, fmt.Errorf("%w: void stands alone", ErrCompile)
	}
	return p, nil
}

// compile turns one command into an operation.
func compile(c *Command, r Resolver) (state.Op, error) {
	switch {
	case c.CreateGroup != nil:
		return compileCreateGroup(c.CreateGroup, r)
	case c.CreateTeam != nil:
		return compileCreateTeam(c.CreateTeam)
	case c.CreateService != nil:
		s := c.CreateService
		return state.Op{CreateService: &state.CreateService{Name: state.ServiceName(s.Name), Instances: ids(s.At), Keys: state.KeyMode(s.Keys)}}, nil
	case c.Bind != nil:
		return state.Op{BindModel: &state.BindModel{Group: state.GroupName(c.Bind.Group), Model: c.Bind.Binding.model()}}, nil
	case c.Unbind != nil:
		return compileUnbind(c.Unbind, r)
	case c.Allow != nil:
		return compileAllow(c.Allow), nil
	case c.Deny != nil:
		return state.Op{DenyTeam: &state.DenyTeam{Team: state.TeamName(c.Deny.Team), Hall: state.HallName(c.Deny.Hall)}}, nil
	case c.Drain != nil:
		return state.Op{DrainGroup: &state.DrainGroup{Group: state.GroupName(*c.Drain)}}, nil
	case c.Undrain != nil:
		return state.Op{DrainGroup: &state.DrainGroup{Group: state.GroupName(*c.Undrain), Off: true}}, nil
	case c.Release != nil:
		return state.Op{ReleaseGroup: &state.ReleaseGroup{Group: state.GroupName(*c.Release)}}, nil
	case c.Move != nil:
		return compileMove(c.Move, r)
	case c.Evacuate != nil:
		return compileEvacuate(state.HallName(*c.Evacuate), r)
	case c.Readmit != nil:
		return state.Op{EvacuateHall: &state.EvacuateHall{Hall: state.HallName(*c.Readmit), Off: true}}, nil
	default:
		return compilePolicy(c.SetPolicy), nil
	}
}

// model returns the model that a binding names.
func (b *Binding) model() state.Model {
	return state.Model{Name: b.Model, Version: b.Version, Adapters: b.Adapters}
}

// ids turns names into instance ids.
func ids(names []string) []state.InstanceID {
	list := make([]state.InstanceID, len(names))
	for i, n := range names {
		list[i] = state.InstanceID(n)
	}
	return list
}

func compileCreateGroup(c *CreateGroup, r Resolver) (state.Op, error) {
	op := &state.CreateGroup{Name: state.GroupName(c.Name), Model: c.Binding.model(), Gate: state.GateMode(c.Gate)}
	if c.Gate == "" {
		op.Gate = state.GateWindow
	}
	if len(c.With) == 0 {
		op.Members = r.Spares(state.HallName(c.Hall), c.Size)
		if len(op.Members) < c.Size {
			return state.Op{}, fmt.Errorf("%s has no fabric domain with %d free, reachable instances", c.Hall, c.Size)
		}
		return state.Op{CreateGroup: op}, nil
	}
	for _, id := range ids(c.With) {
		place, ok := r.Place(id)
		if !ok {
			return state.Op{}, fmt.Errorf("the platform's list has no instance %s", id)
		}
		op.Members = append(op.Members, place)
	}
	return state.Op{CreateGroup: op}, nil
}

func compileCreateTeam(c *CreateTeam) (state.Op, error) {
	for _, h := range c.Keys {
		if len(h) != 64 || strings.Trim(h, "0123456789abcdef") != "" {
			return state.Op{}, errors.New("a key is given as its SHA-256, 64 hexadecimal digits (troutctl hash-key)")
		}
	}
	return state.Op{CreateTeam: &state.CreateTeam{Name: state.TeamName(c.Name), KeyHashes: c.Keys}}, nil
}

func compileUnbind(c *Unbind, r Resolver) (state.Op, error) {
	g := r.Group(state.GroupName(c.Group))
	if g == nil {
		return state.Op{}, fmt.Errorf("no group %s", c.Group)
	}
	m := g.Model
	m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return slices.Contains(c.Adapters, a) })
	return state.Op{BindModel: &state.BindModel{Group: g.Name, Epoch: g.Epoch, Model: m}}, nil
}

func compileAllow(c *Allow) state.Op {
	priority := state.PriorityNormal
	switch c.Priority {
	case "alert":
		priority = state.PriorityAlert
	case "batch":
		priority = state.PriorityBatch
	}
	share := state.Share{Places: c.Places, Priority: priority}
	return state.Op{AllowTeam: &state.AllowTeam{Team: state.TeamName(c.Team), Hall: state.HallName(c.Hall), Share: share}}
}

func compileMove(c *Move, r Resolver) (state.Op, error) {
	g := r.Group(state.GroupName(c.Group))
	if g == nil {
		return state.Op{}, fmt.Errorf("no group %s", c.Group)
	}
	rank := slices.Index(g.Members, state.InstanceID(c.From))
	if rank < 0 {
		return state.Op{}, fmt.Errorf("%s is not in group %s", c.From, c.Group)
	}
	place, ok := r.Place(state.InstanceID(c.To))
	if !ok {
		return state.Op{}, fmt.Errorf("the platform's list has no instance %s", c.To)
	}
	return state.Op{ReplaceMember: &state.ReplaceMember{Group: g.Name, Epoch: g.Epoch, Rank: rank, Out: state.InstanceID(c.From), In: place}}, nil
}

func compileEvacuate(hall state.HallName, r Resolver) (state.Op, error) {
	if !r.HasHall(hall) {
		return state.Op{}, fmt.Errorf("the platform's list has no instance in hall %s", hall)
	}
	return state.Op{EvacuateHall: &state.EvacuateHall{Hall: hall}}, nil
}

func compilePolicy(c *SetPolicy) state.Op {
	return state.Op{SetPolicy: &state.SetPolicy{Policy: state.Policy{
		Downtime:  c.Downtime,
		Stranded:  c.Stranded,
		Restart:   time.Duration(c.Restart),
		Load:      time.Duration(c.Load),
		Automatic: c.Automatic != "off",
	}}}
}
