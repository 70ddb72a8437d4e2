package state

import (
	"fmt"
	"slices"
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
	EvacuateHall  *EvacuateHall  `json:"evacuate_hall,omitempty"`
}

// change is one kind of operation on the state.
type change interface {
	// apply checks the preconditions and makes the change through tx.
	apply(s *State, tx *tx, at Offset) *Refusal
}

// change returns the one change of the Op, or ErrUnknownRecord if it has none or several.
func (o *Op) change() (change, error) {
	var changes []change
	add := func(c change, set bool) {
		if set {
			changes = append(changes, c)
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
	add(o.EvacuateHall, o.EvacuateHall != nil)
	if len(changes) != 1 {
		return nil, fmt.Errorf("%w: operation has %d changes, expected 1", ErrUnknownRecord, len(changes))
	}
	return changes[0], nil
}

// tx is the undo log of a command.
type tx struct {
	undo []func()
}

// rollback undoes every change in reverse order.
func (t *tx) rollback() {
	for _, f := range slices.Backward(t.undo) {
		f()
	}
}

// put stores a value in a map, or deletes the key if v is nil, and records the undo in t.
func put[K comparable, V any](t *tx, m map[K]*V, k K, v *V) {
	old := m[k]
	t.undo = append(t.undo, func() { setOrDelete(m, k, old) })
	setOrDelete(m, k, v)
}

// setOrDelete stores a value in a map, or deletes the key if v is nil.
func setOrDelete[K comparable, V any](m map[K]*V, k K, v *V) {
	if v == nil {
		delete(m, k)
		return
	}
	m[k] = v
}
