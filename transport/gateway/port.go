// Package gateway serves callers according to the routes of a catalog: it admits a
// request, sends it to an instance or a replica group, relays the response, and
// resumes a stream on another group when its group fails.
package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Errors of a request whose headers cannot be parsed.
var (
	ErrNoID        = errors.New("gateway: request has no ID")
	ErrBadDeadline = errors.New("gateway: request deadline is not a non-negative number of milliseconds")
)

// Code is the reason for a response that the gateway generates itself.
type Code string

// The reasons. All but the first six guarantee that the request has not run and will not run.
const (
	CodeBadRequest   Code = "bad-request"
	CodeNoRoute      Code = "no-route"
	CodeBadKey       Code = "bad-key"
	CodeTooLarge     Code = "too-large"
	CodeTimeout      Code = "timeout"
	CodeResponseLost Code = "broken"

	CodeNoConfig  Code = "no-configuration"
	CodeKeysStale Code = "keys-may-be-stale"
	CodeNoTarget  Code = "no-target"
	// CodeNoModel means that the configuration of this node does not have the model of the request. A newer one may, so the
	// status is not a client error.
	CodeNoModel            Code = "no-model"
	CodeOverloaded         Code = "overloaded"
	CodeRefusedByTargets   Code = "refused-by-targets"
	CodeTargetsUnreachable Code = "targets-unreachable"
	CodeNoTimeLeft         Code = "no-time-left"
	CodeStopping           Code = "stopping"
	// CodeQuarantined means that instances ended while running earlier attempts of the request, or requests with the same
	// part in their prompts.
	// It guarantees that this attempt has not run and tells when to retry. The request may be
	// valid, so the status is not a client error.
	CodeQuarantined Code = "quarantined"
	// CodeCoolingDown means that every instance that could run the request has asked this node
	// for a cooldown.
	CodeCoolingDown Code = "cooling-down"
	// CodeRateLimited means that the instances that could run the request have reached their
	// rate limits, which count the requests of all nodes.
	CodeRateLimited Code = "rate-limited"
	// CodeForwardLimit means that this node forwards as many requests as it may, or that the other node serves as many
	// as it may. CodeForwardRefused means that the other node rejected the forwarded request as invalid.
	CodeForwardLimit   Code = "forward-limit"
	CodeForwardRefused Code = "forward-refused"
	// CodeEvacuated means that all instances that could run the request are in evacuated halls.
	CodeEvacuated Code = "evacuated"
	// CodeNoHome means that this node reaches no instance in a home region of the request, or that the home regions of the
	// route and the team have none in common.
	CodeNoHome Code = "no-home"
	// CodeMemory means that the node holds as many bytes for its callers as it may.
	CodeMemory Code = "memory"
)

// notRunCodes are the reasons that guarantee that the request has not run and will not run.
var notRunCodes = []Code{
	CodeNoConfig, CodeKeysStale, CodeNoTarget, CodeNoModel, CodeOverloaded, CodeRefusedByTargets, CodeTargetsUnreachable, CodeNoTimeLeft, CodeStopping,
	CodeQuarantined, CodeCoolingDown, CodeRateLimited, CodeForwardLimit, CodeForwardRefused, CodeEvacuated, CodeNoHome, CodeMemory,
}

// RequestInfo holds the properties that a request states in its headers.
type RequestInfo struct {
	ID    string
	Key   string
	Model string
	// LastEventID is the ID of the last stream event that the caller has received.
	LastEventID string
	// PromptTokens is the number of prompt tokens, ResponseTokens the number of response tokens that the
	// caller expects. 0 means unknown.
	PromptTokens   int
	ResponseTokens int
	// PromptParts are the IDs of the parts of the prompt in order, if it states any. Requests with the same part have
	// its ID in common.
	PromptParts []string
	// Timeout is the caller's time-out. 0 means none.
	Timeout time.Duration
}

// ForwardInfo holds the properties of a request that are forwarded to an instance.
type ForwardInfo struct {
	Instance    state.InstanceID
	Team        state.TeamName
	LastEventID string
	// TimeLeft is the time left until the deadline.
	TimeLeft time.Duration
	// Priority is the priority of the request, 0 being the highest. A negative value is not forwarded.
	Priority int
}

// ReplyInfo holds the properties that an instance states in the head of its response.
type ReplyInfo struct {
	// NotRun reports whether the instance did not run the request.
	NotRun bool
	// PromisesNotRun reports whether the status tells callers that the request has not run and will not run, whether or not the instance
	// says so itself.
	PromisesNotRun bool
	// Instance is the ID of the responding instance, or empty if the response does not name it.
	Instance state.InstanceID
	// FaultyAddress is the address of the instance at fault, or empty if the response does not name it.
	FaultyAddress string
	// HasSeal reports whether the response carries its seal. A success without one is not trusted.
	HasSeal bool
	fleet.Notice
}

// HeaderCodec maps the properties of requests and responses to the headers and status codes of a platform.
type HeaderCodec interface {
	// ParseRequest returns the properties that a request states.
	ParseRequest(h http.Header) (RequestInfo, error)
	// SetForwardHeaders sets the headers of a request to an instance.
	SetForwardHeaders(h http.Header, f ForwardInfo)
	// ResponseID returns the ID of the request that a response belongs to.
	ResponseID(h http.Header) string
	// ParseReply returns the properties that a response states.
	ParseReply(status int, h http.Header) ReplyInfo
	// RemoveNodeHeaders removes the headers of an instance's response that are meant for the node only.
	RemoveNodeHeaders(status int, h http.Header)
	// StatusCode returns the status code for a reason.
	StatusCode(c Code) int
	// SetRetryAfter sets the time after which the caller may retry.
	SetRetryAfter(h http.Header, d time.Duration)
	// SetRequestID sets the ID of the request that a response belongs to.
	SetRequestID(h http.Header, id string)
}
