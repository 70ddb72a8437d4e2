package partition

import (
	"slices"
	"sync"

	"github.com/troutmast/troutmast/state"
)

// Monitor holds a Detector for each service. It is safe for concurrent use.
type Monitor struct {
	policy Policy

	mu        sync.Mutex
	detectors map[state.ServiceName]*Detector
}

// NewMonitor returns a Monitor that detects no partition yet.
func NewMonitor(p Policy) *Monitor {
	return &Monitor{policy: p, detectors: map[state.ServiceName]*Detector{}}
}

// Detector returns the Detector of a service.
func (m *Monitor) Detector(service state.ServiceName) *Detector {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.detectors[service]
	if d == nil {
		d = NewDetector(m.policy)
		m.detectors[service] = d
	}
	return d
}

// Partitioned returns the services of which the node reaches no instance, or less than half of those that other
// nodes reach, in order.
func (m *Monitor) Partitioned() []state.ServiceName {
	return m.filter(func(d *Detector) bool { return d.partitioned.Load() || d.mostlyFar.Load() })
}

// Review returns the services with new evidence of other nodes since the last call, and those for which SetMostlyFar
// is in force, in order.
func (m *Monitor) Review() []state.ServiceName {
	return m.filter(func(d *Detector) bool { return d.reachedByPeer.Swap(false) || d.mostlyFar.Load() })
}

// filter returns the services whose detectors fulfil a condition, in order.
func (m *Monitor) filter(condition func(*Detector) bool) []state.ServiceName {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []state.ServiceName
	for service, d := range m.detectors {
		if condition(d) {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}
