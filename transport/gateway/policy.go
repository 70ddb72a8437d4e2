package gateway

import "time"

// Policy holds the time-outs and limits for serving a request.
type Policy struct {
	// DefaultTimeout is the time-out of a request without a deadline on a route without a time-out.
	DefaultTimeout time.Duration `flag:"default-timeout" help:"time-out of a request without a deadline on a route without a time-out" min:"1s" max:"1h"`
	// MinTimeLeft is the least time left before the deadline at which a request is still sent.
	MinTimeLeft time.Duration `flag:"min-time-left" help:"least time left before the deadline at which a request is still sent" min:"0s" max:"10s"`
	// NetworkAllowance is subtracted from the time left that is forwarded to an instance, to
	// allow for network latency.
	NetworkAllowance time.Duration `flag:"network-allowance" help:"network latency subtracted from the time left that is forwarded to an instance" min:"0s" max:"1s"`
	// ReturningTimeout is the part of a route's time-out below which the time-out that a caller states shows that
	// it has already waited for a retry delay. First attempts of some callers state up to 15% less than the route.
	ReturningTimeout float64 `flag:"returning-timeout" help:"part of a route's time-out below which a caller's time-out marks a retry" min:"0" max:"1"`
	// ExtraSends is the number of sends of a request allowed beyond the route's maximum of attempts.
	ExtraSends int `flag:"extra-sends" help:"sends of a request allowed beyond the route's maximum of attempts" min:"0" max:"100"`

	// ResumeWait is how long an interrupted stream waits for a group to resume on, counted from
	// its last event. ResumePoll is the interval between two searches for one.
	ResumeWait time.Duration `flag:"resume-wait" help:"how long an interrupted stream waits for a group to resume on" min:"0s" max:"1m"`
	ResumePoll time.Duration `flag:"resume-poll" help:"interval between two searches for a group to resume a stream on" min:"1ms" max:"10s"`

	// RetryAfter is the default retry delay of refused callers, OverloadRetryAfter the delay when
	// all groups are full, RepairRetryAfter the delay when there is no group. Jitter adds up to
	// half of each, so that callers do not retry at the same time.
	RetryAfter         time.Duration `flag:"retry-after" help:"default retry delay of refused callers" min:"0s" max:"1m"`
	OverloadRetryAfter time.Duration `flag:"overload-retry-after" help:"retry delay of callers when all groups are full" min:"0s" max:"1m"`
	RepairRetryAfter   time.Duration `flag:"repair-retry-after" help:"retry delay of callers when there is no group" min:"0s" max:"1m"`

	// RateLimitRetryAfterMax is the maximum retry delay when all instances are rate-limited, before jitter.
	RateLimitRetryAfterMax time.Duration `flag:"rate-limit-retry-after-max" help:"maximum retry delay of callers when instances are rate-limited" min:"0s" max:"1m"`

	// FirstSilence is the time without a first event after which a group is probed, unless requests for
	// its model wait longer anyway; EventSilence is the time without a further event.
	FirstSilence time.Duration `flag:"first-silence" help:"time without a first event after which a group is probed" min:"10ms" max:"1m"`
	EventSilence time.Duration `flag:"event-silence" help:"time without a further event after which a group is probed" min:"10ms" max:"1m"`
	// SilentAfter is the time without a further event after which another group is asked to resume a stream,
	// even if its own group answers probes. The default is half of the time after which
	// callers give a stream up. 0 disables this.
	SilentAfter time.Duration `flag:"silent-after" help:"time without a further event after which another group is asked to resume a stream; 0 disables this" min:"0s" max:"1m"`
	// StallWait is the time without data after which a request that cannot be repeated is cancelled if a member of its
	// group has ended. The default exceeds the pauses of instances that are well.
	StallWait time.Duration `flag:"stall-wait" help:"time without data after which a request that cannot be repeated is cancelled if a member of its group has ended" min:"0s" max:"1m"`
	// CheckInterval is the least time between two probes of one group.
	CheckInterval time.Duration `flag:"check-interval" help:"least time between two probes of one group" min:"10ms" max:"1m"`
}

// DefaultPolicy returns the default policy of a node.
func DefaultPolicy() Policy {
	return Policy{
		DefaultTimeout:     time.Minute,
		MinTimeLeft:        20 * time.Millisecond,
		NetworkAllowance:   5 * time.Millisecond,
		ReturningTimeout:   0.85,
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
		StallWait:              2 * time.Second,
		CheckInterval:          300 * time.Millisecond,
	}
}
