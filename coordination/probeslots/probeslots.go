// Package probeslots decides which probes of instances may be in flight at once.
//
// It answers the loss of a data hall or a domain: each of its instances keeps a slot for a whole timeout, and
// the probes of all other halls would wait behind them.
package probeslots

import "github.com/troutmast/troutmast/state"

// maxHallPart is the part of the slots that the instances of one hall may hold while there are other halls.
const maxHallPart = 0.5

// Slots counts the probes in flight. It is not safe for concurrent use.
type Slots struct {
	max    int
	halls  map[state.InstanceID]state.HallName
	byHall map[state.HallName]int
}

// New returns slots for at most maxProbes probes in flight.
func New(maxProbes int) *Slots {
	return &Slots{max: maxProbes, halls: map[state.InstanceID]state.HallName{}, byHall: map[state.HallName]int{}}
}

// instancesPerSlot is the number of instances for each slot in a large system. A silent instance needs a slot for
// two timeouts and costs no processor time meanwhile, so with few slots the loss of an eighth of 925 instances takes
// seconds to notice.
const instancesPerSlot = 8

// SetInstances sets the number of instances to probe. There are minimum slots, or more in a large system.
func (s *Slots) SetInstances(instances, minimum int) {
	s.max = max(minimum, instances/instancesPerSlot)
}

// TryAcquire takes a slot for a probe of an instance, and reports whether there was one. An instance holds one slot
// at most. A hall is limited only once another hall has been probed.
func (s *Slots) TryAcquire(id state.InstanceID, hall state.HallName) bool {
	if _, held := s.halls[id]; held || len(s.halls) >= s.max {
		return false
	}
	if _, known := s.byHall[hall]; !known {
		s.byHall[hall] = 0
	}
	if len(s.byHall) > 1 && float64(s.byHall[hall]) >= max(maxHallPart*float64(s.max), 1) {
		return false
	}
	s.halls[id] = hall
	s.byHall[hall]++
	return true
}

// Release returns the slot of an instance.
func (s *Slots) Release(id state.InstanceID) {
	hall, held := s.halls[id]
	if !held {
		return
	}
	delete(s.halls, id)
	s.byHall[hall]--
}
