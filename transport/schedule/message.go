// Package schedule lets nodes ask the leader which group gets a request.
package schedule

import (
	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/state"
)

// Procedure is the path of a node's request to the leader to schedule a request.
const Procedure = "/troutmast.Entry/Schedule"

// Request asks the leader which group gets a request.
type Request struct {
	Service   state.ServiceName  `json:"s"`
	Model     string             `json:"m"`
	Team      state.TeamName     `json:"t,omitempty"`
	Hall      state.HallName     `json:"h"`
	Prompt    int                `json:"p,omitempty"`
	GoalMS    int64              `json:"g,omitempty"`
	LeftMS    int64              `json:"l"`
	Priority  int                `json:"r,omitempty"`
	Returning bool               `json:"b,omitempty"`
	Resuming  bool               `json:"c,omitempty"`
	Halls     []state.HallName   `json:"a,omitempty"`
	Excluded  []state.InstanceID `json:"x,omitempty"`
	// Samples are the latencies of requests of the same pool that were scheduled before.
	Samples []Sample `json:"k,omitempty"`
}

// Sample is the time to the first event of a scheduled request, without the expected wait.
type Sample struct {
	Instance state.InstanceID `json:"i"`
	MS       int64            `json:"l"`
}

// Answer is the leader's decision on a request.
type Answer struct {
	// Decided is false if the sender must pick a group itself.
	Decided      bool              `json:"d,omitempty"`
	Instance     state.InstanceID  `json:"i,omitempty"`
	WaitMS       int64             `json:"w,omitempty"`
	Refused      bool              `json:"r,omitempty"`
	RetryAfterMS int64             `json:"a,omitempty"`
	Reason       scheduling.Reason `json:"y,omitempty"`
}

// newRequest returns the message for a request, with latencies of earlier ones.
func newRequest(r *scheduling.Request, samples []scheduling.Sample) *Request {
	m := &Request{
		Service: r.Service, Model: r.Model, Team: r.Team, Hall: r.Hall, Prompt: r.PromptTokens, GoalMS: r.Goal.Milliseconds(),
		LeftMS: r.TimeLeft.Milliseconds(), Priority: r.Priority, Returning: r.Returning, Resuming: r.Resuming, Halls: r.Halls, Excluded: r.Excluded,
	}
	for _, s := range samples {
		m.Samples = append(m.Samples, Sample{Instance: s.Instance, MS: s.Latency.Milliseconds()})
	}
	return m
}

// request returns the request that a message stands for.
func (m *Request) request() *scheduling.Request {
	return &scheduling.Request{
		Pool: scheduling.Pool{Service: m.Service, Model: m.Model}, Team: m.Team, Hall: m.Hall, PromptTokens: max(m.Prompt, 0), Goal: millis.Duration(m.GoalMS),
		TimeLeft: millis.Duration(m.LeftMS), Priority: m.Priority, Returning: m.Returning, Resuming: m.Resuming, Halls: m.Halls, Excluded: m.Excluded,
	}
}

// samples returns the latencies that a message holds.
func (m *Request) samples() []scheduling.Sample {
	list := make([]scheduling.Sample, 0, len(m.Samples))
	for _, s := range m.Samples {
		list = append(list, scheduling.Sample{Instance: s.Instance, Latency: millis.Duration(s.MS)})
	}
	return list
}

// newAnswer returns the message for a decision. It is empty if there is none.
func newAnswer(d scheduling.Decision, decided bool) *Answer {
	return &Answer{Decided: decided, Instance: d.Instance, WaitMS: d.Wait.Milliseconds(), Refused: d.Refused, RetryAfterMS: d.RetryAfter.Milliseconds(), Reason: d.Reason}
}

// decision returns the decision that a message stands for.
func (a *Answer) decision() scheduling.Decision {
	return scheduling.Decision{
		Instance: a.Instance, Wait: millis.Duration(a.WaitMS), Refused: a.Refused, RetryAfter: millis.Duration(a.RetryAfterMS), Reason: a.Reason,
	}
}
