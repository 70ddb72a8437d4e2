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
	// Requests is the rate of new requests, PromptTokens the rate of their prompt tokens
	// and OutputTokens the rate of output tokens that they are expected to produce.
	Requests     float64 `json:"r"`
	PromptTokens float64 `json:"p,omitempty"`
	OutputTokens float64 `json:"a,omitempty"`
	// Classes is the recent rate by class, and Waiting the number of callers that were told to return and are not due
	// yet. Both are set only by nodes that decide on admission. Nodes of earlier builds send neither.
	Classes []ClassFlow `json:"c,omitempty"`
	Waiting float64     `json:"w,omitempty"`
}

// flowKey identifies a flow.
type flowKey struct {
	service state.ServiceName
	model   string
}

// key returns the service and model of the flow.
func (f *Flow) key() flowKey { return flowKey{f.Service, f.Model} }

// Meter measures the flows that arrive at one node. It is safe for concurrent use.
type Meter struct {
	policy Policy
	mu     sync.Mutex
	flows  map[flowKey]*flowSum
	// classes holds the recent requests of each flow by class, returns the callers told to return.
	classes map[flowKey]map[Class]*classSum
	returns map[flowKey]*returnCount
}

// flowSum holds exponentially decaying sums for one flow. Its Flow fields are sums, not rates.
type flowSum struct {
	Flow
	updatedAt time.Time
}

// decayTo decays the sums up to now.
func (c *flowSum) decayTo(now time.Time, decay time.Duration) {
	elapsed := now.Sub(c.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / decay.Seconds())
	c.Requests *= factor
	c.PromptTokens *= factor
	c.OutputTokens *= factor
	c.updatedAt = now
}

// NewMeter returns an empty Meter.
func NewMeter(policy Policy) *Meter {
	return &Meter{policy: policy, flows: map[flowKey]*flowSum{}, classes: map[flowKey]map[Class]*classSum{}, returns: map[flowKey]*returnCount{}}
}

// Add counts one new request with its prompt tokens and expected output tokens.
func (m *Meter) Add(service state.ServiceName, model string, prompt, answer int, now time.Time) {
	k := flowKey{service, model}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.flows[k]
	if c == nil {
		c = &flowSum{Flow: Flow{Service: service, Model: model}, updatedAt: now}
		m.flows[k] = c
	}
	c.decayTo(now, m.policy.Decay)
	c.Requests++
	c.PromptTokens += float64(prompt)
	c.OutputTokens += float64(answer)
}

// minReportedRate is the rate, in requests per second, below which a flow is not reported.
const minReportedRate = 0.01

// Flows returns the measured flows, sorted by service and model.
func (m *Meter) Flows(now time.Time) []Flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Flow
	for k, c := range m.flows {
		c.decayTo(now, m.policy.Decay)
		f := c.Flow
		f.Requests /= m.policy.Decay.Seconds()
		f.PromptTokens /= m.policy.Decay.Seconds()
		f.OutputTokens /= m.policy.Decay.Seconds()
		f.Classes, f.Waiting = m.classFlows(k, now), m.waiting(k, now)
		if f.Requests >= minReportedRate {
			list = append(list, f)
		}
	}
	return sortFlows(list)
}

// Sum adds up the flows of several nodes. The result is sorted by service and model.
func Sum(lists ...[]Flow) []Flow {
	total := map[flowKey]*Flow{}
	classes := map[flowKey]classTotals{}
	for _, list := range lists {
		for _, f := range list {
			t := total[f.key()]
			if t == nil {
				t = &Flow{Service: f.Service, Model: f.Model}
				total[f.key()] = t
				classes[f.key()] = classTotals{}
			}
			classes[f.key()].add(&f)
			t.Waiting += f.Waiting
			t.Requests += f.Requests
			t.PromptTokens += f.PromptTokens
			t.OutputTokens += f.OutputTokens
		}
	}
	list := make([]Flow, 0, len(total))
	for k, f := range total {
		f.Classes = classes[k].bounded()
		list = append(list, *f)
	}
	return sortFlows(list)
}

// sortFlows sorts flows in place by service and model and returns them.
func sortFlows(list []Flow) []Flow {
	slices.SortFunc(list, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// OccupiedSlots returns the mean number of batch slots that the requests for each model
// of an engine service occupy, in groups with TimeFactor 1. It returns nil while the
// measured request rate of the service is below MinRate.
func (p Policy) OccupiedSlots(service state.ServiceName, engine *catalog.Engine, flows []Flow) []float64 {
	slots := make([]float64, len(engine.Models))
	var requests float64
	for _, f := range flows {
		i := slices.IndexFunc(engine.Models, func(m catalog.Model) bool { return f.Service == service && m.Name == f.Model })
		if i < 0 {
			continue
		}
		slots[i] = occupiedSlots(engine, f)
		requests += f.Requests
	}
	if requests < p.MinRate {
		return nil
	}
	return slots
}

// occupiedSlots returns the mean number of batch slots that a flow occupies, in groups with
// TimeFactor 1 whose batches are half full. A group does nothing else during the prefill
// of a prompt, so prefill occupies all of its slots.
func occupiedSlots(engine *catalog.Engine, f Flow) float64 {
	stepTime := engine.StepTime.Seconds() + engine.StepTimePerRequest.Seconds()*float64(engine.BatchSlots)/2
	outputTokens := f.OutputTokens
	if outputTokens == 0 {
		outputTokens = f.Requests * engine.MeanResponseTokens
	}
	slots := outputTokens * stepTime
	if engine.PrefillTokensPerSecond > 0 {
		slots += float64(max(engine.BatchSlots, 1)) * f.PromptTokens / engine.PrefillTokensPerSecond
	}
	return slots
}
