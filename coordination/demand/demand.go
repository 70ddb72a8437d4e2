// Package demand measures the work that callers ask for, by service and model,
// so that groups are placed and requests spread by what comes and not by what
// was expected at the start.
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

// Flow is the work that is asked of one model of a service, per second.
type Flow struct {
	Service state.ServiceName `json:"s"`
	Model   string            `json:"m,omitempty"`
	// Requests are new requests, Prompt the tokens they bring, Answer those they are expected to get.
	Requests float64 `json:"r"`
	Prompt   float64 `json:"p,omitempty"`
	Answer   float64 `json:"a,omitempty"`
}

// key names one flow.
type key struct {
	service state.ServiceName
	model   string
}

// key returns what the flow belongs to.
func (f *Flow) key() key { return key{f.Service, f.Model} }

// Meter measures the flows that one node sees; safe for concurrent use.
type Meter struct {
	policy Policy
	mu     sync.Mutex
	cells  map[key]*cell
}

// cell holds sums that decay with time.
type cell struct {
	Flow
	at time.Time
}

// fade lets a cell's sums decay up to a time.
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

// NewMeter returns a Meter that has seen nothing.
func NewMeter(policy Policy) *Meter { return &Meter{policy: policy, cells: map[key]*cell{}} }

// Add counts one new request with its numbers of tokens.
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

// least is the number of requests a second below which a flow is not told.
const least = 0.01

// Flows returns the measured flows, in order.
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

// Sum adds up the flows of several nodes.
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

// sorted orders flows by service and model.
func sorted(list []Flow) []Flow {
	slices.SortFunc(list, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// WorkOf returns how many places of groups of pace 1 the requests for each model
// of an engine service hold on average, or nil while too little was measured.
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

// held returns how many places of groups of pace 1 a flow holds on average, in
// batches that are half full. A group that reads a prompt does nothing else, so
// that reading holds all of its places.
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
