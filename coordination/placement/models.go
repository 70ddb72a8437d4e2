package placement

import (
	"slices"

	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// This file relates groups to the models of the configuration. The two change independently: instances keep their
// memberships and models across changes of the configuration, and may report models that no configuration ever had.

// servingGroup is an open group of a model of the configuration.
type servingGroup struct {
	*group
	// modelIndex is the index of the model in the configuration.
	modelIndex int
}

// modelIndex returns the index of a model in the configuration. It reports false if the configuration does not have the model.
func (s *step) modelIndex(name string) (int, bool) {
	i := slices.IndexFunc(s.engine.Models, func(m catalog.Model) bool { return m.Name == name })
	return i, i >= 0
}

// hasNoModel reports whether an instance has neither loaded nor staged a model of the configuration.
func (s *step) hasNoModel(m *Member) bool {
	return s.engine.Model(m.Model) == nil && !slices.ContainsFunc(m.Staged, func(name string) bool { return s.engine.Model(name) != nil })
}

// The reasons for which a group is outdated.
const (
	reasonNoModel  = "its model is not configured"
	reasonTooSmall = "its model needs more members"
	reasonTooLarge = "its model needs fewer members"
)

// outdatedReason returns the reason why the configuration rules out a group that may be intact, or an empty string: it no longer
// has the model, or has it with groups of another size. A larger group that serves is kept.
func (s *step) outdatedReason(key fleet.GroupKey, g *group) string {
	model := s.engine.Model(g.model)
	switch {
	case g.model == "":
		return ""
	case model == nil:
		return reasonNoModel
	case len(g.members) < model.GroupSize:
		return reasonTooSmall
	case len(g.members) > model.GroupSize && !s.hasOpened(key, g):
		return reasonTooLarge
	}
	return ""
}

// hasOpened reports whether the head of a group has been seen open or is closing.
func (s *step) hasOpened(key fleet.GroupKey, g *group) bool {
	head := s.headOf(g)
	return g.opened || head != nil && head.Membership.Key() == key && (head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing)
}

// retire drains an outdated group: it finishes its requests, and is dissolved once its head is closed. If the configuration has the
// model again before that, the group is opened again. With a stale configuration the group is left as it is.
func (s *step) retire(key fleet.GroupKey, g *group, head *Member) {
	if s.ConfigStale {
		return
	}
	if !g.retiring {
		g.retiring = true
		s.plan.Retired = append(s.plan.Retired, RetiredGroup{Key: key, Model: g.model, Reason: s.plan.ExcludedGroups[key]})
	}
	s.drain(key, g, head)
}

// RetiredGroup is a group that is given up because of a change of the configuration.
type RetiredGroup struct {
	Key    fleet.GroupKey
	Model  string
	Reason string
}
