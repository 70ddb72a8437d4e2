package statelog

import "github.com/troutmast/troutmast/state"

// View is the part of the state that the request path needs. It is immutable.
type View struct {
	// Offset is the offset of the last command that changed the state.
	Offset         state.Offset
	Policy         state.Policy
	Groups         []*state.Group
	GroupsByName   map[state.GroupName]*state.Group
	Assignments    map[state.InstanceID]*state.Assignment
	TeamsByKeyHash map[string]*state.Team
	Services       map[state.ServiceName]*state.Service
	Evacuations    map[state.HallName]*state.Evacuation
}

// NewView copies the part of the state that the request path needs.
func NewView(s *state.State) *View {
	v := &View{
		Offset:         s.LastAcceptedOffset(),
		Policy:         s.Policy(),
		Groups:         s.Groups(),
		GroupsByName:   map[state.GroupName]*state.Group{},
		Assignments:    map[state.InstanceID]*state.Assignment{},
		TeamsByKeyHash: map[string]*state.Team{},
		Services:       map[state.ServiceName]*state.Service{},
		Evacuations:    map[state.HallName]*state.Evacuation{},
	}
	for _, g := range v.Groups {
		v.GroupsByName[g.Name] = g
	}
	for _, a := range s.Assignments() {
		v.Assignments[a.Instance] = a
	}
	for _, t := range s.Teams() {
		for _, h := range t.KeyHashes {
			v.TeamsByKeyHash[h] = t
		}
	}
	for _, svc := range s.Services() {
		v.Services[svc.Name] = svc
	}
	for _, e := range s.Evacuations() {
		v.Evacuations[e.Hall] = e
	}
	return v
}
