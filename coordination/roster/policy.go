package roster

import "time"

// Policy sets how a Roster interprets probe failures and silence.
type Policy struct {
	// LostFailures is how many consecutive probes must fail for an instance to count
	// as unreachable. A single lost packet must not keep requests away from it.
	LostFailures int `flag:"lost-failures" help:"consecutive failed probes after which an instance counts as unreachable" min:"1" max:"100"`
	// MaxSilence is how long an instance that no node reaches may be silent, from the first failed probe, before it counts
	// as lost although nothing shows that it has ended. The default exceeds the pauses of instances that are well.
	MaxSilence time.Duration `flag:"max-silence" help:"how long an instance may be silent before it counts as lost without evidence that it has ended" min:"0s" max:"1m"`
	// MaxUnconnected is the same for an instance that accepts no connections. Processes that pause still accept them.
	MaxUnconnected time.Duration `flag:"max-unconnected" help:"how long an instance may accept no connections before it counts as lost" min:"0s" max:"1m"`
	// MinProbeSpacing is the minimum time between two failed probes that are counted separately.
	MinProbeSpacing time.Duration `flag:"min-probe-spacing" help:"minimum time between two failed probes that are counted separately" min:"0s" max:"10s"`
	// RetryInterval is the time until an instance that became unreachable is probed again. It doubles with each
	// probe that fails, up to RetryIntervalMax.
	RetryInterval    time.Duration `flag:"retry-interval" help:"time until an instance that became unreachable is probed again" min:"10ms" max:"1m"`
	RetryIntervalMax time.Duration `flag:"retry-interval-max" help:"maximum time between two probes of an unreachable instance" min:"10ms" max:"10m"`
	// MaxMembershipAge is the maximum age at which a membership counts as known.
	MaxMembershipAge time.Duration `flag:"known-age" help:"maximum age at which a membership counts as known" min:"100ms" max:"1m"`
	// IndirectInterval is the minimum time between two indirect probes of an instance.
	IndirectInterval time.Duration `flag:"indirect-interval" help:"minimum time between two probes of an instance by way of other nodes" min:"10ms" max:"1m"`
	// UnlistedGrace is how long an instance that was removed from the list still gets
	// requests. With 0.8 s, leaving instances got requests too late (docs/FINDINGS.md).
	UnlistedGrace time.Duration `flag:"unlisted-grace" help:"how long an instance that was removed from the list still gets requests" min:"0s" max:"10s"`
	// UnlistedTimeout is how long an instance that was removed from the list may go without
	// answering before it counts as lost.
	UnlistedTimeout time.Duration `flag:"unlisted-timeout" help:"how long an instance that was removed from the list may go without answering before it counts as lost" min:"0s" max:"1m"`
	// GoneMargin is added to the stall time before a silent process counts as ended.
	GoneMargin time.Duration `flag:"gone-margin" help:"time after the stall time until a silent process counts as ended" min:"0s" max:"1m"`
	// StaleReportWindow is how long after an order a report or list entry may still show the
	// membership from before the order.
	StaleReportWindow time.Duration `flag:"order-echo" help:"how long after an order the membership from before it may still be reported" min:"0s" max:"1m"`
	// ForgetAfter is how long an ended instance is kept in the roster.
	ForgetAfter time.Duration `flag:"forget-after" help:"how long an ended instance is kept in the roster" min:"1s" max:"1h"`
	// ForgetLeavingAfter is the same for an instance that was leaving. It is longer than such an
	// instance continues to serve, so that the instance does not count as usable when a network
	// partition heals.
	ForgetLeavingAfter time.Duration `flag:"forget-leaving-after" help:"how long an ended instance that was leaving is kept in the roster" min:"1s" max:"24h"`
}

// DefaultPolicy returns the default policy of a node.
func DefaultPolicy() Policy {
	return Policy{
		LostFailures:      2,
		MaxSilence:        2 * time.Second,
		MaxUnconnected:    200 * time.Millisecond,
		MinProbeSpacing:   20 * time.Millisecond,
		RetryInterval:     time.Second,
		RetryIntervalMax:  4 * time.Second,
		MaxMembershipAge:  1500 * time.Millisecond,
		IndirectInterval:  500 * time.Millisecond,
		UnlistedGrace:     300 * time.Millisecond,
		UnlistedTimeout:   time.Second,
		GoneMargin:        1500 * time.Millisecond,
		StaleReportWindow: 600 * time.Millisecond,
		ForgetAfter:       20 * time.Second,

		ForgetLeavingAfter: 5 * time.Minute,
	}
}
