package gateway

import "time"

// Policy holds the times and limits of answering a request.
type Policy struct {
	// DefaultTimeout bounds a request that names no deadline on a route without a time-out.
	DefaultTimeout time.Duration `flag:"default-timeout" help:"time for a request that names no deadline on a route without a time-out" min:"1s" max:"1h"`
	// MinTimeLeft is the time left under which a request is no longer sent.
	MinTimeLeft time.Duration `flag:"min-time-left" help:"time left under which a request is no longer sent" min:"0s" max:"10s"`
	// NetworkAllowance is taken off the time that an instance is told, for the way.
	NetworkAllowance time.Duration `flag:"network-allowance" help:"time taken off the deadline that an instance is told" min:"0s" max:"1s"`
	// ExtraSends is how many more instances than may run a request it may be sent to.
	ExtraSends int `flag:"extra-sends" help:"how many more instances than may run a request it may be sent to" min:"0" max:"100"`

	// ResumeWait is how long a begun stream waits for a group to go on at, ResumePoll
	// the time between two looks for one.
	ResumeWait time.Duration `flag:"resume-wait" help:"how long a begun stream waits for a group to go on at" min:"0s" max:"1m"`
	ResumePoll time.Duration `flag:"resume-poll" help:"time between two looks for a group for a begun stream" min:"1ms" max:"10s"`

	// RetryAfter is when callers are told to come back if nothing better is known,
	// OverloadRetryAfter where all groups are full, RepairRetryAfter where there is none.
	// Each is drawn out by up to a half, so that callers do not come back together.
	RetryAfter         time.Duration `flag:"retry-after" help:"when refused callers are told to come back" min:"0s" max:"1m"`
	OverloadRetryAfter time.Duration `flag:"overload-retry-after" help:"when callers are told to come back where all groups are full" min:"0s" max:"1m"`
	RepairRetryAfter   time.Duration `flag:"repair-retry-after" help:"when callers are told to come back where there is no group" min:"0s" max:"1m"`

	// RateLimitRetryAfterMax bounds when callers are told to come back to instances with rate limits.
	RateLimitRetryAfterMax time.Duration `flag:"rate-limit-retry-after-max" help:"latest time at which callers are told to come back to instances with rate limits" min:"0s" max:"1m"`

	// FirstSilence is how long a group may take to the first event before it is
	// checked, EventSilence how long a stream may be silent after that.
	FirstSilence time.Duration `flag:"first-silence" help:"time without a first event after which a group is checked" min:"10ms" max:"1m"`
	EventSilence time.Duration `flag:"event-silence" help:"time without a further event after which a group is checked" min:"10ms" max:"1m"`
	// SilentAfter is how long a stream may bring no further event before it is taken up at
	// another group, though its own lives: half of the time after which callers give a stream
	// up. 0 is never.
	SilentAfter time.Duration `flag:"silent-after" help:"time without a further event after which a stream is taken up elsewhere; 0 is never" min:"0s" max:"1m"`
	// CheckInterval is the least time between two checks of one group.
	CheckInterval time.Duration `flag:"check-interval" help:"least time between two checks of one group" min:"10ms" max:"1m"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy {
	return Policy{
		DefaultTimeout:     time.Minute,
		MinTimeLeft:        20 * time.Millisecond,
		NetworkAllowance:   5 * time.Millisecond,
		ExtraSends:         2,
		ResumeWait:         1500 * time.Millisecond,
		ResumePoll:         50 * time.Millisecond,
		RetryAfter:         300 * time.Millisecond,
		OverloadRetryAfter: 700 * time.Millisecond,
		RepairRetryAfter:   1200 * time.Millisecond,

		RateLimitRetryAfterMax: 3 * time.Second,
		FirstSilence:           600 * time.Millisecond,
		EventSilence:           250 * time.Millisecond,
		SilentAfter:            1200 * time.Millisecond,
		CheckInterval:          300 * time.Millisecond,
	}
}
