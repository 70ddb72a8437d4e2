package roster

import "time"

// Policy bounds what a Roster concludes from failures and silence.
type Policy struct {
	// LostFailures is how many questions in a row must fail for an instance to count
	// as lost. One lost packet must not end a group.
	LostFailures int `flag:"lost-failures" help:"failed questions in a row after which an instance counts as lost" min:"1" max:"100"`
	// MinProbeSpacing is the least time between two questions that count as two.
	MinProbeSpacing time.Duration `flag:"min-probe-spacing" help:"least time between two failed questions that count as two" min:"0s" max:"10s"`
	// KnownAge is the age up to which a membership counts as known.
	KnownAge time.Duration `flag:"known-age" help:"age up to which a membership counts as known" min:"100ms" max:"1m"`
	// IndirectInterval is the least time between two questions to other nodes about an instance.
	IndirectInterval time.Duration `flag:"indirect-interval" help:"least time between two questions to other nodes about an instance" min:"10ms" max:"1m"`
	// UnlistedGrace is how long an instance that the list has dropped goes on taking
	// requests. With 0.8 s a leaving instance got requests too late (docs/FINDINGS.md).
	UnlistedGrace time.Duration `flag:"unlisted-grace" help:"how long an instance that the list has dropped goes on taking requests" min:"0s" max:"10s"`
	// UnlistedTimeout is how long an instance may be missing in the list before it must answer questions.
	UnlistedTimeout time.Duration `flag:"unlisted-timeout" help:"how long an instance may be missing in the list before it must answer questions" min:"0s" max:"1m"`
	// GoneMargin is added to the stall time before a silent process counts as ended.
	GoneMargin time.Duration `flag:"gone-margin" help:"time after the stall time until a silent process counts as ended" min:"0s" max:"1m"`
	// OrderEcho is for how long after an order the state before it may still be reported.
	OrderEcho time.Duration `flag:"order-echo" help:"how long after an order the state before it may still be reported" min:"0s" max:"1m"`
	// ForgetAfter is how long an ended instance is remembered.
	ForgetAfter time.Duration `flag:"forget-after" help:"how long an ended instance is remembered" min:"1s" max:"1h"`
	// ForgetLeavingAfter is the same for an instance that was leaving: longer than such an
	// instance serves on, so that it is not taken for a usable one when a cut ends.
	ForgetLeavingAfter time.Duration `flag:"forget-leaving-after" help:"how long an ended instance that was leaving is remembered" min:"1s" max:"24h"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy {
	return Policy{
		LostFailures:     2,
		MinProbeSpacing:  20 * time.Millisecond,
		KnownAge:         1500 * time.Millisecond,
		IndirectInterval: 500 * time.Millisecond,
		UnlistedGrace:    300 * time.Millisecond,
		UnlistedTimeout:  time.Second,
		GoneMargin:       1500 * time.Millisecond,
		OrderEcho:        600 * time.Millisecond,
		ForgetAfter:      20 * time.Second,

		ForgetLeavingAfter: 5 * time.Minute,
	}
}
