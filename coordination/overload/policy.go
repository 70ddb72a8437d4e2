// Package overload decides which requests are admitted when more arrive than the groups of a model can start
// within the time that callers wait for their first event. All nodes compute the same plan from the same totals,
// so that they admit together what fits, without asking each other about single requests.
package overload

import "time"

// Policy configures admission.
type Policy struct {
	// Enabled switches admission on. Without it, a request is refused if its node knows of no group below the
	// limit on slots.
	Enabled bool `flag:"enabled" help:"whether nodes together admit what the groups have room for"`
	// SetPoint is the number of requests in progress per slot that admission fills groups up to.
	SetPoint float64 `flag:"set-point" help:"requests in progress per slot that admission fills groups up to" min:"0.05" max:"10"`
	// PromptLoad is the fraction of the prompt tokens that a group can process between decode steps that is
	// admitted; 0 means no limit. Closer to 1, prompts queue for each other.
	PromptLoad float64 `flag:"prompt-load" help:"fraction of the prompt tokens that a group can process between decode steps that is admitted; 0 means no limit" min:"0" max:"10"`
	// MaxInFlight is the number of requests in progress per slot from which on a group gets no request, whatever
	// the totals say.
	MaxInFlight float64 `flag:"max-in-flight" help:"requests in progress per slot from which on a group gets no request" min:"0.05" max:"10"`
	// Horizon is the span in which the free slots are filled. It must exceed the age of the totals, or nodes fill
	// the same slots twice.
	Horizon time.Duration `flag:"horizon" help:"span in which free slots are filled" min:"100ms" max:"1m"`
	// Slack is the demand above the room that still counts as fitting, in requests per second for the square root of the
	// demand. The rate of few requests in a short time is uncertain by that much: with a time constant of T seconds, the
	// standard deviation is the square root of the rate divided by 2T.
	Slack float64 `flag:"slack" help:"requests per second above the room that still count as fitting, for the square root of the demand" min:"0" max:"100"`
	// MinInUse is the number of requests in progress per slot below which demand counts as fitting, whatever its rate.
	// A short burst is over before the rate shows that it fits into the free slots.
	MinInUse float64 `flag:"min-in-use" help:"requests in progress per slot below which demand counts as fitting" min:"0" max:"10"`
	// MinReturn is the least time that a caller waited after a refusal to count as returning. It is below the
	// least retry delay by what the request may take on its way.
	MinReturn time.Duration `flag:"min-return" help:"least time that a caller waited after a refusal to count as returning" min:"1ms" max:"1m"`
	// MinRetryDelay is the least retry delay, one interval between status reports.
	MinRetryDelay time.Duration `flag:"min-retry-delay" help:"least retry delay of refused callers" min:"1ms" max:"1m"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		Enabled:       true,
		SetPoint:      0.8,
		PromptLoad:    0.7,
		MaxInFlight:   1.25,
		Horizon:       600 * time.Millisecond,
		Slack:         1.3,
		MinInUse:      0.3,
		MinReturn:     200 * time.Millisecond,
		MinRetryDelay: 250 * time.Millisecond,
	}
}
