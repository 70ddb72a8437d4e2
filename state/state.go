// Package state holds the replicated state of a troutmast installation.
//
// The state is a pure fold over the records of the platform's log: every node
// that applies the same records in offset order reaches the same state and the
// same outcome for every record. The package uses no network, and no clock other
// than the times that the log gives to its records.
package state

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Offset is the position of a record in the platform's log; the first is 1.
type Offset uint64

// Epoch is the offset of the record that last changed the members or the model of a group, or the
// assignment of an instance.
type Epoch = Offset

// GroupName names a replica group.
type GroupName string

// InstanceID names a target instance as in the platform's list.
type InstanceID string

// HallName names a data hall.
type HallName string

// TeamName names a team of callers.
type TeamName string

// ServiceName names a plain service.
type ServiceName string

// GateMode is how a group is verified to be complete before a response is sent to the caller.
type GateMode string

// The gate modes.
const (
	// GateWindow accepts member reports that are younger than the evidence window.
	GateWindow GateMode = "window"
	// GateStrict probes every member again after the last byte of a complete response.
	GateStrict GateMode = "strict"
)

// KeyMode is who detects duplicate calls of a plain service.
type KeyMode string

// The key modes.
const (
	// KeysClaimed requires that each key is claimed in the log before the call is sent.
	KeysClaimed KeyMode = "claimed"
	// KeysChecked relies on the target to refuse a key that it has already executed.
	KeysChecked KeyMode = "checked"
)

// Priority ranks the requests of teams under admission control; a lower number goes first.
type Priority int

// The priority classes.
const (
	PriorityAlert Priority = iota
	PriorityNormal
	PriorityBatch
)

// Model is what the members of a group load.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Group is a replica group. A stored Group is immutable; changes replace it.
type Group struct {
	Name   GroupName `json:"name"`
	Epoch  Epoch     `json:"epoch"`
	Hall   HallName  `json:"hall"`
	Domain string    `json:"domain"`
	Model  Model     `json:"model"`
	Gate   GateMode  `json:"gate"`
	// Members are the instances by rank; an empty ID is a vacant rank.
	Members []InstanceID `json:"members"`
	// Drained is the offset of the record that drained the group; 0 while it accepts new requests.
	Drained Offset `json:"drained,omitempty"`
	// DrainedFor names the group for which a repair has drained this one.
	DrainedFor GroupName `json:"drained_for,omitempty"`
	// Releasing is set if the group is to be dissolved when its last request ends.
	Releasing bool `json:"releasing,omitempty"`
}

// Assignment is the group, epoch and rank that an instance is ordered to have. A stored Assignment is
// immutable.
type Assignment struct {
	Instance InstanceID `json:"instance"`
	Hall     HallName   `json:"hall"`
	Domain   string     `json:"domain"`
	// Group is empty while the instance is ordered to release its membership and its model.
	Group GroupName `json:"group,omitempty"`
	Epoch Epoch     `json:"epoch"`
	Rank  int       `json:"rank"`
}

// Share is the limit on requests in flight and the priority of one team in one data hall.
type Share struct {
	Places   int      `json:"places"`
	Priority Priority `json:"priority"`
}

// Team is a set of callers that share keys and limits. A stored Team is immutable; changes replace it.
type Team struct {
	Name      TeamName           `json:"name"`
	KeyHashes []string           `json:"key_hashes"`
	Halls     map[HallName]Share `json:"halls,omitempty"`
}

// Service is a plain service behind the entry nodes. A stored Service is immutable.
type Service struct {
	Name      ServiceName  `json:"name"`
	Instances []InstanceID `json:"instances"`
	Keys      KeyMode      `json:"keys"`
}

// Policy sets the two costs of a broken group and the expected times that the repair planner uses.
type Policy struct {
	// Downtime is the cost of one second without a working group.
	Downtime float64 `json:"downtime"`
	// Stranded is the cost of one instance that is in no working group for one second.
	Stranded float64 `json:"stranded"`
	// Restart is the expected time until a failed instance has restarted.
	Restart time.Duration `json:"restart"`
	// Load is the expected time for a group to load its model.
	Load time.Duration `json:"load"`
	// Automatic is set if nodes may propose repairs without an operator.
	Automatic bool `json:"automatic"`
}

// DefaultPolicy returns the policy that applies until an operator sets one.
func DefaultPolicy() Policy {
	return Policy{
		Downtime:  1,
		Stranded:  1,
		Restart:   2 * time.Minute,
		Load:      30 * time.Second,
		Automatic: true,
	}
}

// State is the result of applying the log; it is not safe for concurrent use.
type State struct {
	offset Offset
	now    time.Time
	// lastAccepted is the offset of the last accepted command.
	lastAccepted Offset
	groups       map[GroupName]*Group
	instances    map[InstanceID]*Assignment
	teams        map[TeamName]*Team
	services     map[ServiceName]*Service
	policy       Policy
	evacuations  map[HallName]*Evacuation
	outcomes     map[string]Outcome
	idQueue      []expiringID
	claims       map[ClaimKey]Claim
	keyQueue     []expiringKey
}

// New returns the state before the first record.
func New() *State {
	return &State{
		groups:    map[GroupName]*Group{},
		instances: map[InstanceID]*Assignment{},
		teams:     map[TeamName]*Team{},
		services:  map[ServiceName]*Service{},
		policy:    DefaultPolicy(),
		outcomes:  map[string]Outcome{},
		claims:    map[ClaimKey]Claim{},

		evacuations: map[HallName]*Evacuation{},
	}
}

// Offset returns the offset of the last record applied.
func (s *State) Offset() Offset { return s.offset }

// LastAcceptedOffset returns the offset of the last accepted command.
func (s *State) LastAcceptedOffset() Offset { return s.lastAccepted }

// LogTime returns the latest log time of the entries applied.
func (s *State) LogTime() time.Time { return s.now }

// Policy returns the current repair policy.
func (s *State) Policy() Policy { return s.policy }

// Group returns the group of that name, or nil.
func (s *State) Group(name GroupName) *Group { return s.groups[name] }

// Assignment returns the assignment of an instance, or nil if it is free.
func (s *State) Assignment(id InstanceID) *Assignment { return s.instances[id] }

// Team returns the team of that name, or nil.
func (s *State) Team(name TeamName) *Team { return s.teams[name] }

// Service returns the service of that name, or nil.
func (s *State) Service(name ServiceName) *Service { return s.services[name] }

// Outcome returns the outcome of the record with an id, and whether it is known.
func (s *State) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes[id]
	return o, ok
}

// Claim returns the claim of a key, and whether there is one.
func (s *State) Claim(key ClaimKey) (Claim, bool) {
	c, ok := s.claims[key]
	return c, ok
}

// Groups returns all groups, sorted by name.
func (s *State) Groups() []*Group { return sortedValues(s.groups) }

// Assignments returns the assignments of all assigned or releasing instances, sorted by instance ID.
func (s *State) Assignments() []*Assignment { return sortedValues(s.instances) }

// Teams returns all teams, sorted by name.
func (s *State) Teams() []*Team { return sortedValues(s.teams) }

// Services returns all services, sorted by name.
func (s *State) Services() []*Service { return sortedValues(s.services) }

// Evacuations returns the evacuations of all evacuated halls, sorted by hall.
func (s *State) Evacuations() []*Evacuation { return sortedValues(s.evacuations) }

// Outcomes returns all retained outcomes, sorted by offset and id.
//
// A void record gives two ids an outcome at the same offset, so ties are broken by id.
func (s *State) Outcomes() []Outcome {
	list := slices.Collect(maps.Values(s.outcomes))
	slices.SortFunc(list, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// sortedValues returns the values of a map, sorted by key.
func sortedValues[K ~string, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}
