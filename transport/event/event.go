// Package event holds the decisions on requests that nodes log, one type for each, whose
// fields say what decided it. docs/OPERATIONS.md lists them for operators.
package event

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state"
)

// Decision is a decision on one attempt of a request, or on the request as a whole.
type Decision interface {
	log.Fielder
	// Name is the message of the log line.
	Name() string
}

// Request names a request in each of its lines.
type Request struct {
	// ID is the caller's, Fingerprint the same for all requests that ask for the same.
	ID          string
	Fingerprint quarantine.Fingerprint
	// Parts are the parts of its prompt that other requests may share.
	Parts []quarantine.Fingerprint
}

// AttemptFailed tells that an attempt was lost: its answer did not come, or broke off.
type AttemptFailed struct {
	Request
	Instance state.InstanceID
	Group    state.GroupName
	Epoch    state.Epoch
	What     Failure
	// Err is what the connection said, if anything.
	Err error
	// After is the time since the request was sent.
	After time.Duration
	// Held is the number of requests that this node holds at the instance.
	Held int64
	// LastEvent is the id of the last event of the stream that the caller was sent.
	LastEvent string
	Connection
}

// Connection describes the connection over which a request was sent.
type Connection struct {
	Address netip.AddrPort
	// Exchanges is the number of exchanges that it carried before, 0 on a new one, and Previous the id of the last one's
	// request. Skipped are the ids of the responses that were skipped because they belong to other requests.
	Exchanges int
	Previous  string
	Skipped   []string
}

// fields adds the fields of the connection to those of a decision.
func (c *Connection) fields(f log.Fields) log.Fields {
	f["address"], f["exchanges"], f["previous"], f["skipped"] = c.Address.String(), c.Exchanges, c.Previous, c.Skipped
	return f
}

// maxStated is the number of bytes that are logged of a value that an instance states.
const maxStated = 64

// cut returns the beginning of a value that an instance states.
func cut(text string) string { return text[:min(len(text), maxStated)] }

// Failure is what happened to an attempt that was lost.
type Failure string

// The failures of attempts.
const (
	Stalled   Failure = "stalled"
	Silent    Failure = "silent"
	TimeIsUp  Failure = "time is up"
	BrokenOff Failure = "broken off"
	Invalid   Failure = "invalid response"
	Unsealed  Failure = "no seal"
	// UnprovenRefusal is a refusal without the statement that the request has not run.
	UnprovenRefusal Failure = "unproven refusal"
)

// Name implements Decision.
func (e *AttemptFailed) Name() string { return "attempt-failed" }

// Fields implements log.Fielder.
func (e *AttemptFailed) Fields() log.Fields {
	f := log.Fields{
		"request": e.ID, "fingerprint": e.Fingerprint, "parts": e.Parts, "instance": e.Instance, "group": e.Group, "epoch": e.Epoch, "what": e.What,
		"ms": e.After.Milliseconds(), "held": e.Held, "event": e.LastEvent,
	}
	if e.Err != nil {
		f["error"] = e.Err.Error()
	}
	return e.fields(f)
}

// AttemptRefused tells that an instance turned a request away.
type AttemptRefused struct {
	Request
	Instance state.InstanceID
	// Responder is the instance that the answer names, if any; another one where an instance was started at the address of
	// the one that was meant.
	Responder state.InstanceID
	Status    int
	// Culprit is the address of the instance at fault, if the answer names one.
	Culprit string
	// Held are this node's requests at the instance, Load those of all nodes as far as is known.
	Held, Load int64
	// Cooldown is for how long the instance asked to be left alone.
	Cooldown time.Duration
	// Sends counts the sends of the request so far.
	Sends int
	Connection
}

// Name implements Decision.
func (e *AttemptRefused) Name() string { return "attempt-refused" }

// Fields implements log.Fielder.
func (e *AttemptRefused) Fields() log.Fields {
	return e.fields(log.Fields{
		"request": e.ID, "instance": e.Instance, "responder": cut(string(e.Responder)), "status": e.Status, "culprit": cut(e.Culprit), "held": e.Held, "load": e.Load,
		"cooldown_ms": e.Cooldown.Milliseconds(), "sends": e.Sends,
	})
}

// AttemptHeldBack tells that a request was picked for an instance and not sent after all.
type AttemptHeldBack struct {
	Request
	Instance state.InstanceID
	Err      error
	Sends    int
}

// Name implements Decision.
func (e *AttemptHeldBack) Name() string { return "attempt-held-back" }

// Fields implements log.Fielder.
func (e *AttemptHeldBack) Fields() log.Fields {
	return log.Fields{"request": e.ID, "instance": e.Instance, "error": e.Err.Error(), "sends": e.Sends}
}

// RequestForwarded records that a request is sent to another node, since this one does not reach the instances.
type RequestForwarded struct {
	Request
	Peer netip.AddrPort
	// Unreachable is the number of instances or groups that could serve the request and that this node does not reach.
	Unreachable int
	// Partitioned reports whether this node reaches no instance of the service.
	Partitioned bool
	// Attempts is the number of instances that may still run the request.
	Attempts int
	// Left is the time until the deadline.
	Left time.Duration
}

// Name implements Decision.
func (e *RequestForwarded) Name() string { return "request-forwarded" }

// Fields implements log.Fielder.
func (e *RequestForwarded) Fields() log.Fields {
	return log.Fields{
		"request": e.ID, "fingerprint": e.Fingerprint, "peer": e.Peer.String(), "unreachable": e.Unreachable, "partitioned": e.Partitioned,
		"attempts": e.Attempts, "left_ms": e.Left.Milliseconds(),
	}
}

// Progress is how far a request has come.
type Progress struct {
	// Origin is the name of the node that forwarded the request to this one, Peer the address of the
	// node that this one forwarded it to.
	Origin, Peer string
	Route        string
	Model        string
	// Sends counts the sends to instances, Runs those that may have run.
	Sends, Runs int
	// Timeout is the time that the caller gave the request, Took what it has taken so far.
	Timeout, Took time.Duration
	// Unread is how long the last bytes of the request waited in the socket buffer; after a freeze that is long.
	Unread time.Duration
}

// fields adds what is logged of the progress.
func (p *Progress) fields(f log.Fields) log.Fields {
	f["route"], f["model"], f["sends"], f["runs"] = p.Route, p.Model, p.Sends, p.Runs
	f["origin"], f["peer"] = p.Origin, p.Peer
	f["timeout_ms"], f["ms"], f["unread_ms"] = p.Timeout.Milliseconds(), p.Took.Milliseconds(), p.Unread.Milliseconds()
	return f
}

// RequestEnded tells that the node itself answered a request, or cut its answer.
type RequestEnded struct {
	Request
	Progress
	// Code is the reason.
	Code string
	// Tried are the instances that it was sent to, in order.
	Tried []state.InstanceID
	// Begun tells that a part of an answer had been passed on.
	Begun bool
	// Unreachable is the number of instances or groups that could serve the request and that this node does not reach.
	Unreachable int
}

// Name implements Decision.
func (e *RequestEnded) Name() string { return "request-ended" }

// Fields implements log.Fielder.
func (e *RequestEnded) Fields() log.Fields {
	return e.fields(log.Fields{"request": e.ID, "fingerprint": e.Fingerprint, "parts": e.Parts, "code": e.Code, "tried": e.Tried, "begun": e.Begun, "unreachable": e.Unreachable})
}

// RequestAnswered tells that a caller got the whole answer of an instance.
type RequestAnswered struct {
	Request
	Progress
	Instance state.InstanceID
	Group    state.GroupName
	// Prompt is the length of the prompt in tokens, Events the number of events of the answer.
	Prompt, Events int
	// Load is what the instance was known to hold when it was chosen.
	Load int64
	// First is the time until the first event, Gap the longest pause between two.
	First, Gap time.Duration
	// Late names the goal that was missed, if one was.
	Late string
}

// Name implements Decision.
func (e *RequestAnswered) Name() string { return "request-answered" }

// Fields implements log.Fielder.
func (e *RequestAnswered) Fields() log.Fields {
	return e.fields(log.Fields{
		"request": e.ID, "fingerprint": e.Fingerprint, "instance": e.Instance, "group": e.Group, "prompt": e.Prompt, "events": e.Events,
		"load": e.Load, "first_ms": e.First.Milliseconds(), "gap_ms": e.Gap.Milliseconds(), "late": e.Late,
	})
}

// CallerLeft tells that the caller of a request has closed its connection before it had the whole answer.
type CallerLeft struct {
	Request
	Progress
	// When is where the request was.
	When Stage
	// Begun tells that a part of an answer had been passed on.
	Begun bool
}

// Stage is where a request was when its caller left.
type Stage string

// The stages.
const (
	// BeforeSend means right before the request was sent to an instance or another node.
	BeforeSend Stage = "before send"
	// Waiting means while an instance or another node had the request, or between two attempts.
	Waiting Stage = "waiting"
)

// Name implements Decision.
func (e *CallerLeft) Name() string { return "caller-left" }

// Fields implements log.Fielder.
func (e *CallerLeft) Fields() log.Fields {
	return e.fields(log.Fields{"request": e.ID, "fingerprint": e.Fingerprint, "when": e.When, "begun": e.Begun})
}

// HandoverPanicked is a panic in a handover of a request. The attempt at the first instance is not affected.
type HandoverPanicked struct {
	Request
	// Panic is the value of the panic, Stack where it happened.
	Panic, Stack string
}

// Name implements Decision.
func (e *HandoverPanicked) Name() string { return "handover-panicked" }

// Fields implements log.Fielder.
func (e *HandoverPanicked) Fields() log.Fields {
	return log.Fields{"request": e.ID, "panic": e.Panic, "stack": e.Stack}
}
