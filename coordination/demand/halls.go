package demand

import (
	"cmp"
	"math"
	"slices"

	"github.com/troutmast/troutmast/state"
)

// HallFlow is the load on one model of a service by the data hall in which the requests arrive.
type HallFlow struct {
	Service state.ServiceName `json:"s"`
	Model   string            `json:"m,omitempty"`
	// Requests is the rate of new requests of each hall, per second.
	Requests map[state.HallName]float64 `json:"r"`
}

// Total returns the rate of new requests of all halls, per second.
func (f *HallFlow) Total() float64 {
	var total float64
	for _, r := range f.Requests {
		total += r
	}
	return total
}

// HallSum adds up the flows of nodes by hall. It is not safe for concurrent use.
type HallSum struct {
	isCounted func(service state.ServiceName, model string) bool
	flows     map[flowKey]*HallFlow
}

// NewHallSum returns an empty sum of the flows for which isCounted returns true.
func NewHallSum(isCounted func(service state.ServiceName, model string) bool) *HallSum {
	return &HallSum{isCounted: isCounted, flows: map[flowKey]*HallFlow{}}
}

// Add adds the flows of a node in a hall.
func (s *HallSum) Add(hall state.HallName, flows []Flow) {
	for i := range flows {
		f := &flows[i]
		if !s.isCounted(f.Service, f.Model) {
			continue
		}
		sum := s.flows[f.key()]
		if sum == nil {
			sum = &HallFlow{Service: f.Service, Model: f.Model, Requests: map[state.HallName]float64{}}
			s.flows[f.key()] = sum
		}
		sum.Requests[hall] += f.Requests
	}
}

// maxHalls is the maximum number of halls of one flow. It bounds the size of the leader's answers.
const maxHalls = 64

// Flows returns the sums, sorted by service and model, in tenths of requests per second. A flow of more than maxHalls halls is left out.
func (s *HallSum) Flows() []HallFlow {
	var list []HallFlow
	for _, f := range s.flows {
		if len(f.Requests) > maxHalls {
			continue
		}
		for hall, r := range f.Requests {
			f.Requests[hall] = math.Round(10*r) / 10
		}
		list = append(list, *f)
	}
	slices.SortFunc(list, func(a, b HallFlow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list
}
