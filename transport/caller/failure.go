package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/troutmast/troutmast/coordination/admission"
	"github.com/troutmast/troutmast/coordination/claim"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/protocol/target"
)

// Headers of an answer to a caller.
const (
	HeaderOutcome   = "Troutmast-Outcome"
	HeaderReason    = "Troutmast-Reason"
	HeaderRequestID = target.HeaderRequestID
	HeaderTimeout   = "Troutmast-Timeout"
)

// Code is the reason for which a request failed; each is counted.
type Code string

// The codes that do not come from admission.
const (
	CodeUnauthorized    Code = "unauthorized"
	CodeTeamNotAllowed  Code = "team-not-allowed"
	CodeBadRequest      Code = "bad-request"
	CodeBodyTooLarge    Code = "body-too-large"
	CodeNotFound        Code = "not-found"
	CodeNoState         Code = "node-without-state"
	CodeKeyRequired     Code = "key-required"
	CodeKeyBad          Code = "key-not-uuidv7"
	CodeKeyNotCovered   Code = "key-not-covered"
	CodeKeyConflict     Code = "key-of-another-call"
	CodeKeyUnknown      Code = "earlier-attempt-unknown"
	CodeResultDropped   Code = "result-not-kept"
	CodeClaimUnsettled  Code = "claim-not-settled"
	CodeDeadline        Code = "deadline-exceeded"
	CodeGroupLost       Code = "group-not-whole"
	CodeTargetFailed    Code = "target-failed"
	CodeTargetRefused   Code = "target-refused"
	CodeUnreachable     Code = "target-unreachable"
	CodeAnswerMismatch  Code = "answer-of-another-request"
	CodeAnswerTruncated Code = "answer-truncated"
	CodePeerFailed      Code = "peer-failed"
	CodeQuarantined     Code = "quarantined"
	CodeCoolingDown     Code = "cooling-down"
	CodeCallerLeft      Code = "caller-left"
)

// Codes lists every code that a caller can be told, for the operators' page.
func Codes() []Code {
	return []Code{
		CodeUnauthorized, CodeTeamNotAllowed, CodeBadRequest, CodeBodyTooLarge, CodeNotFound, CodeNoState,
		CodeKeyRequired, CodeKeyBad, CodeKeyNotCovered, CodeKeyConflict, CodeKeyUnknown, CodeResultDropped,
		CodeClaimUnsettled, CodeDeadline, CodeGroupLost, CodeTargetFailed, CodeTargetRefused, CodeUnreachable,
		CodeAnswerMismatch, CodeAnswerTruncated, CodePeerFailed, CodeQuarantined, CodeCoolingDown, CodeCallerLeft,
		CodeTicketBad, CodeTicketGone, CodeTicketLimit, CodeStopping,
		Code(admission.CodeTeamLimit), Code(admission.CodeQueueFull), Code(admission.CodeDeadlineTooNear),
		Code(admission.CodeDisplaced), Code(admission.CodeNoWholeGroup),
	}
}

// Failure is a final answer to a request that has no result.
type Failure struct {
	Status     int
	Outcome    retry.Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message) }

// defaultRetryAfter is what a caller is told to wait when nothing better is known.
const defaultRetryAfter = 2 * time.Second

// notRun returns a failure of a request that certainly was not run.
func notRun(status int, code Code, format string, args ...any) *Failure {
	f := &Failure{Status: status, Outcome: retry.NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		f.RetryAfter = admission.Jitter(defaultRetryAfter)
	}
	return f
}

// unknown returns a failure of a request of which it is not known whether it was run.
func unknown(status int, code Code, format string, args ...any) *Failure {
	f := notRun(status, code, format, args...)
	f.Outcome = retry.Unknown
	return f
}

// fromAdmission turns an error of admission into a failure.
func fromAdmission(err error) *Failure {
	var r *admission.Refusal
	if !errors.As(err, &r) {
		return notRun(http.StatusGatewayTimeout, CodeDeadline, "the request ended while it waited: %v", err)
	}
	status := http.StatusServiceUnavailable
	if r.Code == admission.CodeTeamLimit {
		status = http.StatusTooManyRequests
	}
	f := notRun(status, Code(r.Code), "no place for the request now")
	f.RetryAfter = r.RetryAfter
	return f
}

// fromClaim turns an error of a claim into a failure.
func fromClaim(err error) *Failure {
	switch {
	case errors.Is(err, claim.ErrInvalidKey):
		return notRun(http.StatusBadRequest, CodeKeyBad, "the key must be a UUIDv7")
	case errors.Is(err, claim.ErrKeyNotCovered):
		return notRun(http.StatusConflict, CodeKeyNotCovered, "the key is too old, or lies in the future")
	case errors.Is(err, claim.ErrKeyConflict):
		return notRun(http.StatusUnprocessableEntity, CodeKeyConflict, "the key was used for a different call")
	case errors.Is(err, claim.ErrResultUnknown):
		return unknown(http.StatusConflict, CodeKeyUnknown, "an earlier attempt with this key may have run")
	}
	return notRun(http.StatusServiceUnavailable, CodeClaimUnsettled, "the platform's log did not settle the key in time")
}

// attemptFailure says what a failed attempt at a target was.
func attemptFailure(outcome retry.Outcome, err error) *Failure {
	switch {
	case errors.Is(err, errGroupLost):
		return withOutcome(outcome, CodeGroupLost, "a member of the group went missing")
	case errors.Is(err, target.ErrRequestIDMismatch):
		return withOutcome(outcome, CodeAnswerMismatch, "the target answered another request")
	case errors.Is(err, errTruncated):
		return withOutcome(outcome, CodeAnswerTruncated, "the target's answer was cut short")
	case errors.Is(err, errTargetStatus):
		return withOutcome(outcome, CodeTargetFailed, "the target failed")
	case errors.Is(err, errCallerLeft):
		return withOutcome(outcome, CodeCallerLeft, "the caller closed its side of the connection before the request was sent")
	case errors.Is(err, errCoolingDown):
		return withOutcome(outcome, CodeCoolingDown, "the target wants no request for a while")
	case errors.Is(err, target.ErrNotRun):
		return withOutcome(outcome, CodeTargetRefused, "the target refused the request")
	case outcome == retry.NotRun:
		return withOutcome(outcome, CodeUnreachable, "the target could not be reached")
	}
	return withOutcome(outcome, CodeTargetFailed, "the connection to the target broke")
}

// withOutcome returns a 503 for what certainly was not run, a 502 otherwise.
func withOutcome(o retry.Outcome, code Code, message string) *Failure {
	if o == retry.NotRun {
		return notRun(http.StatusServiceUnavailable, code, "%s", message)
	}
	f := unknown(http.StatusBadGateway, code, "%s", message)
	f.Outcome = o
	return f
}

// errorBody is the JSON form of a failure, in the customary shape plus what troutmast adds.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    Code   `json:"code"`
	} `json:"error"`
	Outcome      retry.Outcome `json:"outcome"`
	RequestID    string        `json:"request_id"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

// body returns the JSON form of a failure.
func (f *Failure) body(requestID string) []byte {
	var b errorBody
	b.Error.Message = f.Message
	b.Error.Type = "troutmast_error"
	b.Error.Code = f.Code
	b.Outcome = f.Outcome
	b.RequestID = requestID
	b.RetryAfterMS = f.RetryAfter.Milliseconds()
	data, err := json.Marshal(b)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// write sends a failure as the whole answer.
func (f *Failure) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, string(f.Code))
	h.Set(HeaderRequestID, requestID)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(f.body(requestID))
}
