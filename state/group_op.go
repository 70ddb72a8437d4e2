package state

import (
	"fmt"
	"slices"
)

// Bounds on the number of members of a replica group.
const (
	MinGroupSize = 1
	MaxGroupSize = 32
)

// Place is the location of an instance according to the platform's list.
type Place struct {
	Instance InstanceID `json:"instance"`
	Hall     HallName   `json:"hall"`
	Domain   string     `json:"domain"`
}

// CreateGroup creates a group of free instances of one fabric domain.
type CreateGroup struct {
	Name    GroupName `json:"name"`
	Model   Model     `json:"model"`
	Gate    GateMode  `json:"gate"`
	Members []Place   `json:"members"`
}

// apply implements change.
func (c *CreateGroup) apply(s *State, t *tx, at Offset) *Refusal {
	if c.Name == "" || c.Model.Name == "" {
		return refuse(ReasonBadValue, "a group needs a name and a model")
	}
	if c.Gate != GateWindow && c.Gate != GateStrict {
		return refuse(ReasonBadValue, "gate %q is neither %s nor %s", c.Gate, GateWindow, GateStrict)
	}
	if s.groups[c.Name] != nil {
		return refuse(ReasonGroupExists, "group %s exists since %d", c.Name, s.groups[c.Name].Epoch)
	}
	if len(c.Members) < MinGroupSize || len(c.Members) > MaxGroupSize {
		return refuse(ReasonGroupSize, "%d members; a group has %d to %d", len(c.Members), MinGroupSize, MaxGroupSize)
	}
	g := &Group{Name: c.Name, Epoch: at, Hall: c.Members[0].Hall, Domain: c.Members[0].Domain, Model: c.Model, Gate: c.Gate}
	for rank, p := range c.Members {
		if r := s.checkFree(p, g.Hall, g.Domain); r != nil {
			return r
		}
		g.Members = append(g.Members, p.Instance)
		put(t, s.instances, p.Instance, &Assignment{Instance: p.Instance, Hall: p.Hall, Domain: p.Domain, Group: c.Name, Epoch: at, Rank: rank})
	}
	put(t, s.groups, c.Name, g)
	return nil
}

// checkFree refuses an instance that has an assignment, serves a plain service, or is not in the
// given hall and fabric domain.
func (s *State) checkFree(p Place, hall HallName, domain string) *Refusal {
	if p.Instance == "" || p.Hall == "" || p.Domain == "" {
		return refuse(ReasonBadValue, "a member needs an id, a hall and a domain")
	}
	if p.Hall != hall || p.Domain != domain {
		return refuse(ReasonDomainMismatch, "%s is in %s/%s, not in %s/%s", p.Instance, p.Hall, p.Domain, hall, domain)
	}
	if a := s.instances[p.Instance]; a != nil {
		return refuse(ReasonInstanceInUse, "%s", a.describe())
	}
	if svc := s.serviceOf(p.Instance); svc != "" {
		return refuse(ReasonInstanceInUse, "%s serves %s", p.Instance, svc)
	}
	return nil
}

// describe returns the assignment as the detail of a refusal.
func (a *Assignment) describe() string {
	if a.Group == "" {
		return fmt.Sprintf("%s has not yet reported the release ordered at %d", a.Instance, a.Epoch)
	}
	return fmt.Sprintf("%s is in group %s since %d", a.Instance, a.Group, a.Epoch)
}

// serviceOf returns the plain service that an instance serves, or "".
func (s *State) serviceOf(id InstanceID) ServiceName {
	for name, svc := range s.services {
		if slices.Contains(svc.Instances, id) {
			return name
		}
	}
	return ""
}

// groupAt returns a group if it is at the epoch that the author of the command saw. Epoch 0 matches
// any epoch.
func (s *State) groupAt(name GroupName, epoch Epoch) (*Group, *Refusal) {
	g := s.groups[name]
	if g == nil {
		return nil, refuse(ReasonNoGroup, "no group %s", name)
	}
	if epoch != 0 && g.Epoch != epoch {
		return nil, refuse(ReasonEpochChanged, "group %s is in epoch %d, not %d", name, g.Epoch, epoch)
	}
	return g, nil
}

// setEpoch sets the epoch of a group and of the assignments of all its members to at.
func (s *State) setEpoch(t *tx, g *Group, at Epoch) {
	g.Epoch = at
	for rank, id := range g.Members {
		if id == "" {
			continue
		}
		put(t, s.instances, id, &Assignment{Instance: id, Hall: g.Hall, Domain: g.Domain, Group: g.Name, Epoch: at, Rank: rank})
	}
	put(t, s.groups, g.Name, g)
}

// releaseInstance orders an instance to release its membership and its model.
func (s *State) releaseInstance(t *tx, id InstanceID, at Epoch) {
	a := *s.instances[id]
	a.Group, a.Epoch, a.Rank = "", at, 0
	put(t, s.instances, id, &a)
}

// BindModel changes the model of a group; its members load it in a new epoch.
type BindModel struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch,omitempty"`
	Model Model     `json:"model"`
}

// apply implements change.
func (c *BindModel) apply(s *State, t *tx, at Offset) *Refusal {
	old, r := s.groupAt(c.Group, c.Epoch)
	if r != nil {
		return r
	}
	if c.Model.Name == "" {
		return refuse(ReasonBadValue, "no model named")
	}
	g := *old
	g.Model = c.Model
	s.setEpoch(t, &g, at)
	return nil
}

// ReplaceMember assigns a free instance to a rank of a group; the member that it replaces is released.
type ReplaceMember struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch,omitempty"`
	Rank  int       `json:"rank"`
	// Out is the member that the author saw at the rank; empty for a vacant rank.
	Out InstanceID `json:"out,omitempty"`
	In  Place      `json:"in"`
}

// apply implements change.
func (c *ReplaceMember) apply(s *State, t *tx, at Offset) *Refusal {
	g, r := s.copyForMemberChange(c.Group, c.Epoch, c.Rank, c.Out)
	if r != nil {
		return r
	}
	if r := s.checkFree(c.In, g.Hall, g.Domain); r != nil {
		return r
	}
	if c.Out != "" {
		s.releaseInstance(t, c.Out, at)
	}
	g.Members[c.Rank] = c.In.Instance
	s.setEpoch(t, g, at)
	return nil
}

// copyForMemberChange returns a copy of a group that is not being released and has the instance out
// at rank.
func (s *State) copyForMemberChange(name GroupName, epoch Epoch, rank int, out InstanceID) (*Group, *Refusal) {
	old, r := s.groupAt(name, epoch)
	if r != nil {
		return nil, r
	}
	if old.Releasing {
		return nil, refuse(ReasonGroupDraining, "group %s is being released", name)
	}
	if rank < 0 || rank >= len(old.Members) || old.Members[rank] != out {
		return nil, refuse(ReasonNotMember, "%q is not rank %d of group %s", out, rank, name)
	}
	g := *old
	g.Members = slices.Clone(old.Members)
	return &g, nil
}

// VacateMember releases a member and leaves its rank vacant; the group is incomplete until the rank
// is filled.
type VacateMember struct {
	Group GroupName  `json:"group"`
	Epoch Epoch      `json:"epoch"`
	Rank  int        `json:"rank"`
	Out   InstanceID `json:"out"`
}

// apply implements change.
func (c *VacateMember) apply(s *State, t *tx, at Offset) *Refusal {
	g, r := s.copyForMemberChange(c.Group, c.Epoch, c.Rank, c.Out)
	if r != nil {
		return r
	}
	if c.Out == "" {
		return refuse(ReasonNotMember, "rank %d of group %s is vacant", c.Rank, c.Group)
	}
	s.releaseInstance(t, c.Out, at)
	g.Members[c.Rank] = ""
	s.setEpoch(t, g, at)
	return nil
}

// DrainGroup drains a group, or ends the drain if Off is set.
type DrainGroup struct {
	Group GroupName `json:"group"`
	Off   bool      `json:"off,omitempty"`
	// For names the group for which a repair needs members of this one.
	For GroupName `json:"for,omitempty"`
}

// apply implements change.
func (c *DrainGroup) apply(s *State, t *tx, at Offset) *Refusal {
	old, r := s.groupAt(c.Group, 0)
	if r != nil {
		return r
	}
	if old.Releasing {
		return refuse(ReasonGroupDraining, "group %s is being released", c.Group)
	}
	if c.For != "" && old.Drained != 0 {
		return refuse(ReasonGroupDraining, "group %s is drained since %d", c.Group, old.Drained)
	}
	g := *old
	g.Drained, g.DrainedFor = at, c.For
	if c.Off {
		g.Drained, g.DrainedFor = 0, ""
	}
	put(t, s.groups, g.Name, &g)
	return nil
}

// ReleaseGroup drains a group permanently; DissolveGroup follows when its last request has ended.
type ReleaseGroup struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch,omitempty"`
}

// apply implements change.
func (c *ReleaseGroup) apply(s *State, t *tx, at Offset) *Refusal {
	old, r := s.groupAt(c.Group, c.Epoch)
	if r != nil {
		return r
	}
	if old.Releasing {
		return refuse(ReasonGroupDraining, "group %s is being released", c.Group)
	}
	g := *old
	g.Drained = at
	g.Releasing = true
	put(t, s.groups, g.Name, &g)
	return nil
}

// DissolveGroup removes a group that is being released and orders its members to release.
type DissolveGroup struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch"`
}

// apply implements change.
func (c *DissolveGroup) apply(s *State, t *tx, at Offset) *Refusal {
	g, r := s.groupAt(c.Group, c.Epoch)
	if r != nil {
		return r
	}
	if !g.Releasing {
		return refuse(ReasonNotReleasing, "group %s is not being released", c.Group)
	}
	for _, id := range g.Members {
		if id != "" {
			s.releaseInstance(t, id, at)
		}
	}
	put(t, s.groups, g.Name, nil)
	return nil
}

// FreeInstance records that the instance itself has reported the release ordered at Epoch.
type FreeInstance struct {
	Instance InstanceID `json:"instance"`
	Epoch    Epoch      `json:"epoch"`
}

// apply implements change.
func (c *FreeInstance) apply(s *State, t *tx, _ Offset) *Refusal {
	a := s.instances[c.Instance]
	if a == nil || a.Group != "" || a.Epoch != c.Epoch {
		return refuse(ReasonNotReleasing, "%s has no release open at %d", c.Instance, c.Epoch)
	}
	put(t, s.instances, c.Instance, nil)
	return nil
}
