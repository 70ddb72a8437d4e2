// Package state holds the agreed state of a troutmast installation.
//
// The state is a pure fold over the records of the platform's log: every node
// that applies the same records in offset order reaches the same state and the
// same outcome for every record. The package knows no network, and no clock but
// the times that the log itself gave to its records.
package state

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Offset is the position of a record in the platform's log; the first is 1.
type Offset uint64

// Epoch is the offset of the record that last assigned a group or an instance.
type Epoch = Offset

// GroupName names a replica group.
type GroupName string

// InstanceID names one target instance as the platform's list does.
type InstanceID string

// HallName names a data hall.
type HallName string

// TeamName names a team of callers.
type TeamName string

// ServiceName names a plain service.
type ServiceName string

// GateMode says how the wholeness of a group is checked before an answer is let out.
type GateMode string

// The gate modes.
const (
	// GateWindow accepts evidence that is younger than the evidence window.
	GateWindow GateMode = "window"
	// GateStrict probes every member again after the last byte of a whole answer.
	GateStrict GateMode = "strict"
)

// KeyMode says who detects a repeated call of a plain service.
type KeyMode string

// The key modes.
const (
	// KeysClaimed has every key claimed in the log before the call is sent.
	KeysClaimed KeyMode = "claimed"
	// KeysChecked trusts the target to refuse a key it has already run.
	KeysChecked KeyMode = "checked"
)

// Priority orders teams when places are short; a lower number goes first.
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

// Group is a replica group; a stored Group is never changed, only replaced.
type Group struct {
	Name   GroupName `json:"name"`
	Epoch  Epoch     `json:"epoch"`
	Hall   HallName  `json:"hall"`
	Domain string    `json:"domain"`
	Model  Model     `json:"model"`
	Gate   GateMode  `json:"gate"`
	// Members are the instances by rank; an empty one is a vacant seat.
	Members []InstanceID `json:"members"`
	// Drained is the offset since which the group takes no new request; 0 when it does.
	Drained Offset `json:"drained,omitempty"`
	// DrainedFor names the group for which a repair has drained this one.
	DrainedFor GroupName `json:"drained_for,omitempty"`
	// Releasing is set once the group is to dissolve when its last request ends.
	Releasing bool `json:"releasing,omitempty"`
}

// Assignment is what one instance is ordered to be; a stored one is never changed.
type Assignment struct {
	Instance InstanceID `json:"instance"`
	Hall     HallName   `json:"hall"`
	Domain   string     `json:"domain"`
	// Group is empty while the instance is ordered to release what it holds.
	Group GroupName `json:"group,omitempty"`
	Epoch Epoch     `json:"epoch"`
	Rank  int       `json:"rank"`
}

// Share is what one team may use in one data hall.
type Share struct {
	Places   int      `json:"places"`
	Priority Priority `json:"priority"`
}

// Team is a set of callers that share keys and limits; never changed, only replaced.
type Team struct {
	Name      TeamName           `json:"name"`
	KeyHashes []string           `json:"key_hashes"`
	Halls     map[HallName]Share `json:"halls,omitempty"`
}

// Service is a plain service behind the entry nodes; never changed, only replaced.
type Service struct {
	Name      ServiceName  `json:"name"`
	Instances []InstanceID `json:"instances"`
	Keys      KeyMode      `json:"keys"`
}

// Policy weighs the two costs of a broken group and bounds the repair planner.
type Policy struct {
	// Downtime is the cost of one second without a working group.
	Downtime float64 `json:"downtime"`
	// Stranded is the cost of one instance that holds no working group for one second.
	Stranded float64 `json:"stranded"`
	// Restart is the expected time until a failed instance is back.
	Restart time.Duration `json:"restart"`
	// Load is the expected time for a group to load its model.
	Load time.Duration `json:"load"`
	// Automatic lets nodes propose repairs on their own.
	Automatic bool `json:"automatic"`
}

// DefaultPolicy returns the policy that is in force until an operator sets one.
func DefaultPolicy() Policy {
	return Policy{
		Downtime:  1,
		Stranded:  1,
		Restart:   2 * time.Minute,
		Load:      30 * time.Second,
		Automatic: true,
	}
}

// State is the folded state; it is not safe for concurrent use.
type State struct {
	offset Offset
	now    time.Time
	// lastAccepted is the offset of the last command that changed something.
	lastAccepted Offset
	groups       map[GroupName]*Group
	instances    map[InstanceID]*Assignment
	teams        map[TeamName]*Team
	services     map[ServiceName]*Service
	policy       Policy
	outcomes     map[string]Outcome
	idQueue      []expiring
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
	}
}

// Offset returns the offset of the last record applied.
func (s *State) Offset() Offset { return s.offset }

// LastAccepted returns the offset of the last command that changed something.
func (s *State) LastAccepted() Offset { return s.lastAccepted }

// Now returns the greatest log time seen.
func (s *State) Now() time.Time { return s.now }

// Policy returns the repair policy in force.
func (s *State) Policy() Policy { return s.policy }

// Group returns the group of that name, or nil.
func (s *State) Group(name GroupName) *Group { return s.groups[name] }

// Assignment returns what the instance is ordered to be, or nil when it is free.
func (s *State) Assignment(id InstanceID) *Assignment { return s.instances[id] }

// Team returns the team of that name, or nil.
func (s *State) Team(name TeamName) *Team { return s.teams[name] }

// Service returns the service of that name, or nil.
func (s *State) Service(name ServiceName) *Service { return s.services[name] }

// Outcome returns the outcome of the record with that id.
func (s *State) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes[id]
	return o, ok
}

// Claim returns the claim of a key.
func (s *State) Claim(key ClaimKey) (Claim, bool) {
	c, ok := s.claims[key]
	return c, ok
}

// Groups returns all groups in the order of their names.
func (s *State) Groups() []*Group { return sortedValues(s.groups) }

// Assignments returns all assigned or releasing instances in the order of their ids.
func (s *State) Assignments() []*Assignment { return sortedValues(s.instances) }

// Teams returns all teams in the order of their names.
func (s *State) Teams() []*Team { return sortedValues(s.teams) }

// Services returns all services in the order of their names.
func (s *State) Services() []*Service { return sortedValues(s.services) }

// Outcomes returns the outcomes of all remembered records in offset order.
//
// A void settles two ids at one offset, so the id decides the order among equals.
func (s *State) Outcomes() []Outcome {
	list := slices.Collect(maps.Values(s.outcomes))
	slices.SortFunc(list, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// sortedValues returns the values of a map in the order of its keys.
func sortedValues[K ~string, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}
