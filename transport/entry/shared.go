package entry

import (
	"sync"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// totals is the part of an answer that sums up all nodes and the leader's decisions for all of them.
type totals struct {
	InProgress map[state.InstanceID]int `json:"held,omitempty"`
	Demand     []demand.Flow            `json:"demand,omitempty"`
	Avoid      []GroupEpoch             `json:"avoid,omitempty"`
	Staging    []Staging                `json:"staging,omitempty"`
	HallDemand []demand.HallFlow        `json:"hall_demand,omitempty"`
	// OpenBreakers are the incarnations whose breakers are open at several nodes.
	OpenBreakers []fleet.Incarnation `json:"breakers,omitempty"`
}

// sharedPart caches a packed part of the answers to status reports that is the same for all nodes.
type sharedPart struct {
	mu     sync.Mutex
	key    any
	packed peer.Packed
}

// pack returns the packed result of build. It packs it again only if the key, which must identify the result,
// differs from the one of the last call.
func (s *sharedPart) pack(key any, build func() any) (peer.Packed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed != nil && s.key == key {
		return s.packed, nil
	}
	packed, err := peer.Pack(build())
	if err != nil {
		return nil, err
	}
	s.key, s.packed = key, packed
	return packed, nil
}

// unpack fills the fields of an answer from its packed parts.
func (a *StatusAnswer) unpack() error {
	if err := a.PackedConfig.Unpack(&a.Config); err != nil {
		return err
	}
	if err := a.PackedNodes.Unpack(&a.Nodes); err != nil {
		return err
	}
	if len(a.Totals) > 0 {
		var t totals
		if err := a.Totals.Unpack(&t); err != nil {
			return err
		}
		a.HallDemand, a.OpenBreakers = t.HallDemand, t.OpenBreakers
		a.InProgress, a.Demand, a.Avoid, a.Staging = t.InProgress, t.Demand, t.Avoid, t.Staging
	}
	for _, batch := range a.ChangeBatches {
		var changes []roster.Change
		if err := batch.Unpack(&changes); err != nil {
			return err
		}
		a.Changes = append(a.Changes, changes...)
	}
	return nil
}
