package state

import (
	"maps"
	"slices"
)

// CreateTeam adds a team; its keys are stored as hexadecimal SHA-256 hashes.
type CreateTeam struct {
	Name      TeamName `json:"name"`
	KeyHashes []string `json:"key_hashes"`
}

// apply implements change.
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

// AllowTeam lets a team use a data hall with a limit on requests in flight and a priority.
type AllowTeam struct {
	Team  TeamName `json:"team"`
	Hall  HallName `json:"hall"`
	Share Share    `json:"share"`
}

// apply implements change.
func (c *AllowTeam) apply(s *State, t *tx, _ Offset) *Refusal {
	if c.Share.Places < 1 || c.Share.Priority < PriorityAlert || c.Share.Priority > PriorityBatch {
		return refuse(ReasonBadValue, "a share has at least one place and a known priority")
	}
	return s.editHalls(t, c.Team, func(halls map[HallName]Share) { halls[c.Hall] = c.Share })
}

// DenyTeam ends the access of a team to a data hall.
type DenyTeam struct {
	Team TeamName `json:"team"`
	Hall HallName `json:"hall"`
}

// apply implements change.
func (c *DenyTeam) apply(s *State, t *tx, _ Offset) *Refusal {
	return s.editHalls(t, c.Team, func(halls map[HallName]Share) { delete(halls, c.Hall) })
}

// editHalls replaces a team by a copy to whose halls edit has been applied.
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

// apply implements change.
func (c *CreateService) apply(s *State, t *tx, _ Offset) *Refusal {
	if c.Name == "" || len(c.Instances) == 0 || (c.Keys != KeysClaimed && c.Keys != KeysChecked) {
		return refuse(ReasonBadValue, "a service needs a name, instances and keys %s or %s", KeysClaimed, KeysChecked)
	}
	if s.services[c.Name] != nil {
		return refuse(ReasonServiceExists, "service %s exists", c.Name)
	}
	for _, id := range c.Instances {
		if a := s.instances[id]; a != nil {
			return refuse(ReasonInstanceInUse, "%s", a.describe())
		}
		if other := s.serviceOf(id); other != "" {
			return refuse(ReasonInstanceInUse, "%s serves %s", id, other)
		}
	}
	put(t, s.services, c.Name, &Service{Name: c.Name, Instances: c.Instances, Keys: c.Keys})
	return nil
}

// SetPolicy replaces the repair policy.
type SetPolicy struct {
	Policy Policy `json:"policy"`
}

// apply implements change.
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
