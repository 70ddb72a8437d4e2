// Package scheduling places requests on the replica groups of a model from one place.
//
// A group processes prompts one after another, so a request that is sent to a busy group waits for all
// prompts before it. Nodes that choose groups themselves know each other's requests only from status
// reports that are some hundred milliseconds old, which is longer than a prompt takes. A Scheduler sees
// all requests for a model and tracks for each group when the prompts sent to it will have been
// processed. It sends each request to the group where it waits least, and refuses requests that would
// get their first event too late wherever they went. It answers loads close to and above the
// capacity of the groups.
//
// A Scheduler keeps no state that must last: a new one knows the requests in progress from the nodes'
// status reports, and is off by at most the prompts of the last moments.
package scheduling

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Pool identifies the groups of one model of a service.
type Pool struct {
	Service state.ServiceName
	Model   string
}

// Request is a request to be scheduled.
type Request struct {
	Pool
	Team state.TeamName
	// Hall is the data hall in which the request arrived.
	Hall         state.HallName
	PromptTokens int
	// Goal is the target for the time to the first event; 0 if there is none. TimeLeft is the time until the deadline.
	Goal, TimeLeft time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Returning reports whether the request was refused before, Resuming whether it continues a
	// stream that has begun. A resuming request is never refused.
	Returning, Resuming bool
	// Halls are the only data halls whose groups may get the request; empty if all may.
	Halls []state.HallName
	// Excluded are the heads that must not get the request.
	Excluded []state.InstanceID
}

// allows reports whether a group may get the request.
func (r *Request) allows(g *group) bool {
	return !slices.Contains(r.Excluded, g.Head) && (len(r.Halls) == 0 || slices.Contains(r.Halls, g.Hall))
}

// goal returns the target for the time to the first event. Without one, a request may wait for half of its time.
func (r *Request) goal() time.Duration {
	if r.Goal > 0 {
		return r.Goal
	}
	return r.TimeLeft / 2
}

// Decision says where a request goes.
type Decision struct {
	// Instance is the head of the group that gets the request; empty if there is none.
	Instance state.InstanceID
	// Wait is the expected wait for the prompts sent to the group before.
	Wait time.Duration
	// Refused reports whether the request must be refused. RetryAfter is the delay to tell its caller.
	Refused    bool
	RetryAfter time.Duration
	// Reason is why the request was refused.
	Reason Reason
}

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	// WaitTooLong means that the request would get its first event after its goal at every group.
	WaitTooLong Reason = "wait"
	// AboveShare means the same for a team that takes more than its share of the model, below the wait
	// up to which others are admitted.
	AboveShare Reason = "team"
	// LowerPriority means the same for a request of lower priority.
	LowerPriority Reason = "priority"
)

// Sample is the time to the first event of a request that was scheduled, without the expected wait.
type Sample struct {
	Instance state.InstanceID
	Latency  time.Duration
}

// Group is what is known of a group at the time of a snapshot.
type Group struct {
	Head state.InstanceID
	Hall state.HallName
	// Slots is the size of the group's batch, InFlight the number of requests of all nodes that were in
	// progress at it according to their last reports.
	Slots, InFlight int
	Engine
}

// Engine describes how a group processes requests.
type Engine struct {
	// PrefillTimePerToken is the prefill time of a prompt token.
	PrefillTimePerToken time.Duration
	// StepTime is the duration of a decode step, StepTimePerRequest what each request in the batch adds to it.
	StepTime, StepTimePerRequest time.Duration
	// StepsPerPass is the number of decode steps between two pieces of prefill, each of at most
	// TokensPerPass prompt tokens. 0 tokens means no limit.
	StepsPerPass, TokensPerPass int
}

// passTime returns the duration of the decode steps of one pass with n requests in the batch.
func (e *Engine) passTime(n float64) time.Duration {
	step := float64(e.StepTime) + n*float64(e.StepTimePerRequest)
	return time.Duration(float64(e.StepsPerPass) * step)
}

// prefillTime returns the time in which a group with n requests in its batch processes a prompt,
// including the decode steps in between.
func (e *Engine) prefillTime(tokens int, n float64) time.Duration {
	t := time.Duration(tokens) * e.PrefillTimePerToken
	if e.TokensPerPass > 0 {
		t += time.Duration(float64(e.passTime(n)) * float64(tokens) / float64(e.TokensPerPass))
	}
	return t
}

// Snapshot is what the leader knows of the groups of a pool from the last status reports of all nodes.
type Snapshot struct {
	Pool
	Groups []Group
	// ReportInterval is the time between two status reports of a node.
	ReportInterval time.Duration
}
