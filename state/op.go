package state

import (
	"fmt"
	"maps"
	"slices"
)

// Bounds of a replica group, from the brief.
const (
	MinGroupSize = 1
	MaxGroupSize = 32
)

// Op is one change inside a command; exactly one field is set.
type Op struct {
	CreateGroup   *CreateGroup   `json:"create_group,omitempty"`
	BindModel     *BindModel     `json:"bind_model,omitempty"`
	ReplaceMember *ReplaceMember `json:"replace_member,omitempty"`
	VacateMember  *VacateMember  `json:"vacate_member,omitempty"`
	DrainGroup    *DrainGroup    `json:"drain_group,omitempty"`
	ReleaseGroup  *ReleaseGroup  `json:"release_group,omitempty"`
	DissolveGroup *DissolveGroup `json:"dissolve_group,omitempty"`
	FreeInstance  *FreeInstance  `json:"free_instance,omitempty"`
	CreateTeam    *CreateTeam    `json:"create_team,omitempty"`
	AllowTeam     *AllowTeam     `json:"allow_team,omitempty"`
	DenyTeam      *DenyTeam      `json:"deny_team,omitempty"`
	CreateService *CreateService `json:"create_service,omitempty"`
	SetPolicy     *SetPolicy     `json:"set_policy,omitempty"`
}

// change is one kind of operation on the state.
type change interface {
	// apply checks the precondition and makes the change through tx.
	apply(s *State, tx *tx, at Offset) *Refusal
}

// change returns the one change that the Op holds, or an error when it holds none or several.
func (o *Op) change() (change, error) {
	var found []change
	add := func(c change, set bool) {
		if set {
			found = append(found, c)
		}
	}
	add(o.CreateGroup, o.CreateGroup != nil)
	add(o.BindModel, o.BindModel != nil)
	add(o.ReplaceMember, o.ReplaceMember != nil)
	add(o.VacateMember, o.VacateMember != nil)
	add(o.DrainGroup, o.DrainGroup != nil)
	add(o.ReleaseGroup, o.ReleaseGroup != nil)
	add(o.DissolveGroup, o.DissolveGroup != nil)
	add(o.FreeInstance, o.FreeInstance != nil)
	add(o.CreateTeam, o.CreateTeam != nil)
	add(o.AllowTeam, o.AllowTeam != nil)
	add(o.DenyTeam, o.DenyTeam != nil)
	add(o.CreateService, o.CreateService != nil)
	add(o.SetPolicy, o.SetPolicy != nil)
	if len(found) != 1 {
		return nil, fmt.Errorf("%w: an operation holds %d changes", ErrUnknownRecord, len(found))
	}
	return found[0], nil
}

// tx collects how to take back what a command has changed so far.
type tx struct {
	undo []func()
}

// rollback takes back every change, the last one first.
func (t *tx) rollback() {
	for _, f := range slices.Backward(t.undo) {
		f()
	}
}

// put stores a value in a map, or deletes the key when v is nil, and notes how to take it back.
func put[K comparable, V any](t *tx, m map[K]*V, k K, v *V) {
	old := m[k]
	t.undo = append(t.undo, func() { assign(m, k, old) })
	assign(m, k, v)
}

// assign stores a value in a map, or deletes the key when v is nil.
func assign[K comparable, V any](m map[K]*V, k K, v *V) {
	if v == nil {
		delete(m, k)
		return
	}
	m[k] = v
}

// Place is where the platform's list says an instance is.
type Place struct {
	Instance InstanceID `json:"instance"`
	Hall     HallName   `json:"hall"`
	Domain   string     `json:"domain"`
}

// CreateGroup forms a group from free instances of one fabric domain.
type CreateGroup struct {
	Name    GroupName `json:"name"`
	Model   Model     `json:"model"`
	Gate    GateMode  `json:"gate"`
	Members []Place   `json:"members"`
}

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
		return refuse(ReasonSize, "%d members; a group has %d to %d", len(c.Members), MinGroupSize, MaxGroupSize)
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

// checkFree refuses an instance that holds an assignment or lies in another fabric domain.
func (s *State) checkFree(p Place, hall HallName, domain string) *Refusal {
	if p.Instance == "" || p.Hall == "" || p.Domain == "" {
		return refuse(ReasonBadValue, "a member needs an id, a hall and a domain")
	}
	if p.Hall != hall || p.Domain != domain {
		return refuse(ReasonDomain, "%s is in %s/%s, not in %s/%s", p.Instance, p.Hall, p.Domain, hall, domain)
	}
	if a := s.instances[p.Instance]; a != nil {
		return refuse(ReasonInUse, "%s", a.describe())
	}
	if svc := s.serviceOf(p.Instance); svc != "" {
		return refuse(ReasonInUse, "%s serves %s", p.Instance, svc)
	}
	return nil
}

// describe says what an instance is ordered to be.
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

// groupAt returns a group after checking that it is still in the epoch the author saw.
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

// reassign gives a group and all its members the epoch at.
func (s *State) reassign(t *tx, g *Group, at Epoch) {
	g.Epoch = at
	for rank, id := range g.Members {
		if id == "" {
			continue
		}
		put(t, s.instances, id, &Assignment{Instance: id, Hall: g.Hall, Domain: g.Domain, Group: g.Name, Epoch: at, Rank: rank})
	}
	put(t, s.groups, g.Name, g)
}

// releaseInstance orders an instance to release what it holds.
func (s *State) releaseInstance(t *tx, id InstanceID, at Epoch) {
	a := *s.instances[id]
	a.Group, a.Epoch, a.Rank = "", at, 0
	put(t, s.instances, id, &a)
}

// BindModel changes what a group serves; its members load again in a new epoch.
type BindModel struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch,omitempty"`
	Model Model     `json:"model"`
}

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
	s.reassign(t, &g, at)
	return nil
}

// ReplaceMember puts a free instance in a seat of a group; the member it displaces is released.
type ReplaceMember struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch,omitempty"`
	Rank  int       `json:"rank"`
	// Out is the member that the author saw in the seat; empty for a vacant seat.
	Out InstanceID `json:"out,omitempty"`
	In  Place      `json:"in"`
}

func (c *ReplaceMember) apply(s *State, t *tx, at Offset) *Refusal {
	g, r := s.openSeat(c.Group, c.Epoch, c.Rank, c.Out)
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
	s.reassign(t, g, at)
	return nil
}

// openSeat returns a copy of a group whose seat holds what the author saw in it.
func (s *State) openSeat(name GroupName, epoch Epoch, rank int, out InstanceID) (*Group, *Refusal) {
	old, r := s.groupAt(name, epoch)
	if r != nil {
		return nil, r
	}
	if old.Releasing {
		return nil, refuse(ReasonDraining, "group %s is being released", name)
	}
	if rank < 0 || rank >= len(old.Members) || old.Members[rank] != out {
		return nil, refuse(ReasonNotMember, "%q is not rank %d of group %s", out, rank, name)
	}
	g := *old
	g.Members = slices.Clone(old.Members)
	return &g, nil
}

// VacateMember releases a member and leaves its seat vacant; the group is not whole until it is filled.
type VacateMember struct {
	Group GroupName  `json:"group"`
	Epoch Epoch      `json:"epoch"`
	Rank  int        `json:"rank"`
	Out   InstanceID `json:"out"`
}

func (c *VacateMember) apply(s *State, t *tx, at Offset) *Refusal {
	g, r := s.openSeat(c.Group, c.Epoch, c.Rank, c.Out)
	if r != nil {
		return r
	}
	if c.Out == "" {
		return refuse(ReasonNotMember, "rank %d of group %s is vacant", c.Rank, c.Group)
	}
	s.releaseInstance(t, c.Out, at)
	g.Members[c.Rank] = ""
	s.reassign(t, g, at)
	return nil
}

// DrainGroup stops or restarts new requests to a group.
type DrainGroup struct {
	Group GroupName `json:"group"`
	Off   bool      `json:"off,omitempty"`
	// For names the group for which a repair wants members of this one.
	For GroupName `json:"for,omitempty"`
}

func (c *DrainGroup) apply(s *State, t *tx, at Offset) *Refusal {
	old, r := s.groupAt(c.Group, 0)
	if r != nil {
		return r
	}
	if old.Releasing {
		return refuse(ReasonDraining, "group %s is being released", c.Group)
	}
	if c.For != "" && old.Drained != 0 {
		return refuse(ReasonDraining, "group %s is drained since %d", c.Group, old.Drained)
	}
	g := *old
	g.Drained, g.DrainedFor = at, c.For
	if c.Off {
		g.Drained, g.DrainedFor = 0, ""
	}
	put(t, s.groups, g.Name, &g)
	return nil
}

// ReleaseGroup drains a group for good; DissolveGroup follows when its last request has ended.
type ReleaseGroup struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch,omitempty"`
}

func (c *ReleaseGroup) apply(s *State, t *tx, at Offset) *Refusal {
	old, r := s.groupAt(c.Group, c.Epoch)
	if r != nil {
		return r
	}
	if old.Releasing {
		return refuse(ReasonDraining, "group %s is being released", c.Group)
	}
	g := *old
	g.Drained = at
	g.Releasing = true
	put(t, s.groups, g.Name, &g)
	return nil
}

// DissolveGroup removes a releasing group and orders its members to release.
type DissolveGroup struct {
	Group GroupName `json:"group"`
	Epoch Epoch     `json:"epoch"`
}

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

// FreeInstance records that an instance has itself reported the release ordered at Epoch.
type FreeInstance struct {
	Instance InstanceID `json:"instance"`
	Epoch    Epoch      `json:"epoch"`
}

func (c *FreeInstance) apply(s *State, t *tx, _ Offset) *Refusal {
	a := s.instances[c.Instance]
	if a == nil || a.Group != "" || a.Epoch != c.Epoch {
		return refuse(ReasonNotReleasing, "%s has no release open at %d", c.Instance, c.Epoch)
	}
	put(t, s.instances, c.Instance, nil)
	return nil
}

// CreateTeam adds a team; its keys are stored as SHA-256 in hexadecimal.
type CreateTeam struct {
	Name      TeamName `json:"name"`
	KeyHashes []string `json:"key_hashes"`
}

func (c *CreateTeam) apply(s *State, t *tx, _ Offset) *Refusal {
	if c.Name == "" || len(c.KeyHashes) == 0 {
		return refuse(ReasonBadValue, "a team needs a name and a key")
	}
	if s.teams[c.Name] != nil {
		return refuse(ReasonTeamExists, "team %s exists", c.Name)
	}
	for _, other := range s.teams {
		for _, h := range c.KeyHashes {
			if slices.Contains(other.KeyHashes, h) {
				return refuse(ReasonTeamExists, "team %s has the same key", other.Name)
			}
		}
	}
	put(t, s.teams, c.Name, &Team{Name: c.Name, KeyHashes: c.KeyHashes})
	return nil
}

// AllowTeam lets a team use a data hall, with a number of places and a priority.
type AllowTeam struct {
	Team  TeamName `json:"team"`
	Hall  HallName `json:"hall"`
	Share Share    `json:"share"`
}

func (c *AllowTeam) apply(s *State, t *tx, _ Offset) *Refusal {
	if c.Share.Places < 1 || c.Share.Priority < PriorityAlert || c.Share.Priority > PriorityBatch {
		return refuse(ReasonBadValue, "a share has at least one place and a known priority")
	}
	return s.editHalls(t, c.Team, func(halls map[HallName]Share) { halls[c.Hall] = c.Share })
}

// DenyTeam takes a data hall from a team.
type DenyTeam struct {
	Team TeamName `json:"team"`
	Hall HallName `json:"hall"`
}

func (c *DenyTeam) apply(s *State, t *tx, _ Offset) *Refusal {
	return s.editHalls(t, c.Team, func(halls map[HallName]Share) { delete(halls, c.Hall) })
}

// editHalls replaces a team by a copy whose halls have been edited.
func (s *State) editHalls(t *tx, name TeamName, edit func(map[HallName]Share)) *Refusal {
	old := s.teams[name]
	if old == nil {
		return refuse(ReasonNoTeam, "no team %s", name)
	}
	team := *old
	team.Halls = maps.Clone(old.Halls)
	if team.Halls == nil {
		team.Halls = map[HallName]Share{}
	}
	edit(team.Halls)
	put(t, s.teams, name, &team)
	return nil
}

// CreateService binds instances to a plain service.
type CreateService struct {
	Name      ServiceName  `json:"name"`
	Instances []InstanceID `json:"instances"`
	Keys      KeyMode      `json:"keys"`
}

func (c *CreateService) apply(s *State, t *tx, _ Offset) *Refusal {
	if c.Name == "" || len(c.Instances) == 0 || (c.Keys != KeysClaimed && c.Keys != KeysChecked) {
		return refuse(ReasonBadValue, "a service needs a name, instances and keys %s or %s", KeysClaimed, KeysChecked)
	}
	if s.services[c.Name] != nil {
		return refuse(ReasonServiceExists, "service %s exists", c.Name)
	}
	for _, id := range c.Instances {
		if a := s.instances[id]; a != nil {
			return refuse(ReasonInUse, "%s", a.describe())
		}
		if other := s.serviceOf(id); other != "" {
			return refuse(ReasonInUse, "%s serves %s", id, other)
		}
	}
	put(t, s.services, c.Name, &Service{Name: c.Name, Instances: c.Instances, Keys: c.Keys})
	return nil
}

// SetPolicy replaces the repair policy.
type SetPolicy struct {
	Policy Policy `json:"policy"`
}

func (c *SetPolicy) apply(s *State, t *tx, _ Offset) *Refusal {
	p := c.Policy
	if p.Downtime < 0 || p.Stranded < 0 || p.Restart <= 0 || p.Load <= 0 {
		return refuse(ReasonBadValue, "weights are not negative, durations are above zero")
	}
	old := s.policy
	t.undo = append(t.undo, func() { s.policy = old })
	s.policy = p
	return nil
}
