package ratelimit

import "time"

// Policy holds the parameters for enforcing rate limits.
type Policy struct {
	// Window is the period over which requests to a limited instance are counted. Requests sent
	// before a limit began or was lowered count against it.
	Window time.Duration `flag:"window" help:"period over which requests to an instance with a rate limit are counted" min:"1s" max:"1m"`
	// Burst is the size of the token bucket, as the time in which the rate fills it.
	Burst time.Duration `flag:"burst" help:"largest burst to an instance with a rate limit, as a period of its rate" min:"0s" max:"10s"`
	// GrantTTL is the lifetime of a grant at its node. CollectTimeout is how long an issued grant
	// waits for the node's next status report. Both bound the requests that are sent under a
	// rate that no longer applies.
	GrantTTL       time.Duration `flag:"grant-for" help:"lifetime of a grant to send to an instance with a rate limit" min:"50ms" max:"10s"`
	CollectTimeout time.Duration `flag:"pick-up-within" help:"how long a grant waits for the next status report of its node" min:"50ms" max:"10s"`
	// ColdGrantTTL is the lifetime of a grant for a cold instance. ColdUse is the fraction of the bound on the
	// requests to a cold instance in one second that is used: nodes that start on both sides of a network
	// partition make the shares of the sides add up to somewhat more than one.
	ColdGrantTTL time.Duration `flag:"cold-grant-for" help:"lifetime of a grant to send to a cold instance" min:"50ms" max:"10s"`
	ColdUse      float64       `flag:"cold-use" help:"fraction of the bound on requests to a cold instance that is used" min:"0.01" max:"1"`
	// ColdLease is how long after an answer to its status report a node counts toward the share of the
	// limits of cold instances that the leader allocates.
	ColdLease time.Duration `flag:"cold-lease" help:"how long after an answer a node counts toward the share of the limits of cold instances that a leader allocates" min:"100ms" max:"1m"`
	// MaxRate bounds the rate at which grants are issued for an instance, in requests a second.
	MaxRate float64 `flag:"max-rate" help:"highest rate at which requests are sent to an instance with a rate limit, in requests a second" min:"1" max:"100000"`
	// ProbeShare is the fraction of the rate that the leader's probes use. MinProbeInterval
	// and MaxProbeInterval bound the resulting interval between two probes. An instance that
	// did not answer is probed again after ProbeRetryInterval.
	ProbeShare         float64       `flag:"question-part" help:"fraction of an instance's rate limit that probes use" min:"0.001" max:"1"`
	MinProbeInterval   time.Duration `flag:"question-min" help:"minimum time between two probes of an instance with a rate limit" min:"100ms" max:"1m"`
	MaxProbeInterval   time.Duration `flag:"question-max" help:"maximum time between two probes of an instance with a rate limit" min:"100ms" max:"10m"`
	ProbeRetryInterval time.Duration `flag:"question-retry" help:"time after which an instance with a rate limit that did not answer is probed again" min:"100ms" max:"1m"`
	// ReportFor is how long a node's status reports include a change that an instance announced
	// to that node.
	ReportFor time.Duration `flag:"report-for" help:"how long status reports to the leader include a changed rate limit" min:"0s" max:"1m"`
	// EndedTTL is how long the end of a limit is kept, so that delayed reports of the limit do
	// not restore it.
	EndedTTL time.Duration `flag:"ended-for" help:"how long the end of a rate limit is kept" min:"1s" max:"1h"`
}

// DefaultPolicy returns the default policy of a node.
func DefaultPolicy() Policy {
	return Policy{
		Window:             4 * time.Second,
		Burst:              time.Second,
		GrantTTL:           time.Second,
		CollectTimeout:     500 * time.Millisecond,
		ColdGrantTTL:       400 * time.Millisecond,
		ColdUse:            0.95,
		ColdLease:          1200 * time.Millisecond,
		MaxRate:            1000,
		ProbeShare:         0.125,
		MinProbeInterval:   2 * time.Second,
		MaxProbeInterval:   4 * time.Second,
		ProbeRetryInterval: time.Second,
		ReportFor:          2 * time.Second,
		EndedTTL:           time.Minute,
	}
}
