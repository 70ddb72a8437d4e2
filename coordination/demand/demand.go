// Package demand measures the load that callers generate, by service and model.
// Placement and load balancing use the measured load instead of the expected
// load in the configuration.
package demand

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// Flow is the load on one model of a service, per second.
type Flow struct {
	Service state.ServiceName `json:"s"`
	Model   string            `json:"m,omitempty"`
	// Requests is the rate of new requests, Prompt the rate of their prompt tokens and
	// Answer the rate of output tokens that they are expected to produce.
	Requests float64 `json:"r"`
	Prompt   float64 `json:"p,omitempty"`
	Answer   float64 `json:"a,omitempty"`
}

// key identifies a flow.
type key struct {
	service state.ServiceName
	model   string
}

// key returns the service and model of the flow.
func (f *Flow) key() key { return key{f.Service, f.Model} }

// Meter measures the flows that arrive at one node. It is safe for concurrent use.
type Meter struct {
	policy Policy
	mu     sync.Mutex
	cells  map[key]*cell
}

// cell holds exponentially decaying sums for one flow. Its Flow fields are sums, not rates.
type cell struct {
	Flow
	at time.Time
}

// fade decays the sums up to now.
func (c *cell) fade(now time.Time, decay time.Duration) {
	past := now.Sub(c.at)
	if past <= 0 {
		return
	}
	left := math.Exp(-past.Seconds() / decay.Seconds())
	c.Requests *= left
	c.Prompt *= left
	c.Answer *= left
	c.at = now
}

// NewMeter returns an empty Meter.
func NewMeter(policy Policy) *Meter { return &Meter{policy: policy, cells: map[key]*cell{}} }

// Add counts one new request with its prompt tokens and expected output tokens.
func (m *Meter) Add(service state.ServiceName, model string, prompt, answer int, now time.Time) {
	k := key{service, model}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.cells[k]
	if c == nil {
		c = &cell{Flow: Flow{Service: service, Model: model}, at: now}
		m.cells[k] = c
	}
	c.fade(now, m.policy.Decay)
	c.Requests++
	c.Prompt += float64(prompt)
	c.Answer += float64(answer)
}

// least is the rate, in requests per second, below which a flow is not reported.
const least = 0.01

// Flows returns the measured flows, sorted by service and model.
func (m *Meter) Flows(now time.Time) []Flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Flow
	for _, c := range m.cells {
		c.fade(now, m.policy.Decay)
		f := c.Flow
		f.Requests /= m.policy.Decay.Seconds()
		f.Prompt /= m.policy.Decay.Seconds()
		f.Answer /= m.policy.Decay.Seconds()
		if f.Requests >= least {
			list = append(list, f)
		}
	}
	return sorted(list)
}

// Sum adds up the flows of several nodes. The result is sorted by service and model.
func Sum(lists ...[]Flow) []Flow {
	total := map[key]*Flow{}
	for _, list := range lists {
		for _, f := range list {
			t := total[f.key()]
			if t == nil {
				t = &Flow{Service: f.Service, Model: f.Model}
				total[f.key()] = t
			}
			t.Requests += f.Requests
			t.Prompt += f.Prompt
			t.Answer += f.Answer
		}
	}
	list := make([]Flow, 0, len(total))
	for _, f := range total {
		list = append(list, *f)
	}
	return sorted(list)
}

// sorted sorts flows in place by service and model and returns them.
func sorted(list []Flow) []Flow {
	slices.SortFunc(list, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// WorkOf returns the mean number of batch slots that the requests for each model
// of an engine service occupy, in groups with Pace 1. It returns nil while the
// measured request rate of the service is below MinRate.
func (p Policy) WorkOf(service state.ServiceName, engine *catalog.Engine, flows []Flow) []float64 {
	work := make([]float64, len(engine.Models))
	var requests float64
	for _, f := range flows {
		i := slices.IndexFunc(engine.Models, func(m catalog.Model) bool { return f.Service == service && m.Name == f.Model })
		if i < 0 {
			continue
		}
		work[i] = held(engine, f)
		requests += f.Requests
	}
	if requests < p.MinRate {
		return nil
	}
	return work
}

// held returns the mean number of batch slots that a flow occupies, in groups with
// Pace 1 whose batches are half full. A group does nothing else during the prefill
// of a prompt, so prefill occupies all of its slots.
func held(engine *catalog.Engine, f Flow) float64 {
	token := engine.Step.Seconds() + engine.PerSequence.Seconds()*float64(engine.Slots)/2
	answer := f.Answer
	if answer == 0 {
		answer = f.Requests * engine.UsualAnswer
	}
	places := answer * token
	if engine.ReadPerSecond > 0 {
		places += float64(max(engine.Slots, 1)) * f.Prompt / engine.ReadPerSecond
	}
	return places
}
