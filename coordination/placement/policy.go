package placement

import "time"

// Policy holds the weights and timeouts of the planner.
type Policy struct {
	// SettleDelay is the minimum time since the newest instance of a domain was first seen
	// before groups are formed in that domain, because more instances may follow it.
	SettleDelay time.Duration `flag:"settle-delay" help:"minimum time since the newest instance of a domain was first seen before groups are formed there" min:"0s" max:"1m"`
	// JoinMargin is added to twice the load time of a model to give the time limit for a member to become ready.
	JoinMargin time.Duration `flag:"join-margin" help:"time added to twice the load time of a model to give the time limit for a member to become ready" min:"0s" max:"10m"`
	// OrderInterval is the minimum time between two equal orders to an instance.
	OrderInterval time.Duration `flag:"order-interval" help:"minimum time between two equal orders to an instance" min:"0s" max:"1m"`
	// UnknownMemberTimeout is how long a group that was recovered after a change of leader may
	// have a member that has never been seen.
	UnknownMemberTimeout time.Duration `flag:"unknown-member-timeout" help:"how long a recovered group may have a member that has never been seen" min:"0s" max:"1m"`
	// ReturnDelay is how long after a time at which none of its members could be reached a group is kept although
	// some members do not answer yet.
	ReturnDelay time.Duration `flag:"return-delay" help:"how long a group of which no member could be reached is kept while its members answer again" min:"0s" max:"1m"`
	// CloseTimeout is the maximum time that a group may take to close.
	CloseTimeout time.Duration `flag:"close-timeout" help:"maximum time that a group may take to close" min:"0s" max:"10m"`

	// Concavity is how fast the marginal utility of further groups of a model falls. It also is
	// the ratio of the desired instances of a model to those that its demand fills.
	Concavity float64 `flag:"concavity" help:"how fast the marginal utility of further groups of a model falls" min:"0.1" max:"20"`
	// MinGroupGain is the minimum utility of a group per instance; below it the instances
	// are kept as spares.
	MinGroupGain float64 `flag:"min-group-gain" help:"minimum utility of a group per instance" min:"0" max:"1"`
	// ScarcityRatio is the ratio of the marginal utilities of two models above which instances
	// are reserved for the scarcer one.
	ScarcityRatio float64 `flag:"scarcity-ratio" help:"ratio of marginal utilities above which instances are reserved for the scarcer model" min:"1" max:"1000"`
	// ChangingPart limits how many domains close groups for reallocation at a time: a further
	// domain may start while at most one in ChangingPart domains is doing so.
	ChangingPart int `flag:"changing-part" help:"a further domain may close groups for reallocation while at most one domain in this many is doing so" min:"1" max:"1000"`
	// DonorGain is the utility per instance that closing a group for reallocation must gain.
	DonorGain float64 `flag:"donor-gain" help:"utility per instance that closing a group for reallocation must gain" min:"0" max:"10"`
	// DonorAge is the minimum age of a group that may be closed for reallocation.
	DonorAge time.Duration `flag:"donor-age" help:"minimum age of a group that may be closed for reallocation" min:"0s" max:"10m"`

	// LoadWindow is the window over which loads from the weight store are counted, LoadPart the
	// fraction of the weight store's rate that may be used.
	LoadWindow time.Duration `flag:"load-window" help:"window over which loads from the weight store are counted" min:"1s" max:"1m"`
	LoadPart   float64       `flag:"load-part" help:"fraction of the weight store's rate that may be used" min:"0.05" max:"1"`
	// MinStagingGain is the minimum utility gain for which a model is staged on a host.
	MinStagingGain float64 `flag:"min-staging-gain" help:"minimum utility gain for which a model is staged on a host" min:"0" max:"10"`
	// StagingInterval is the minimum time between two evaluations of which models to stage.
	StagingInterval time.Duration `flag:"staging-interval" help:"minimum time between two evaluations of which models to stage on hosts" min:"0s" max:"1m"`
	// StagingTimeout is the maximum time for which an ordered staging counts as in progress.
	StagingTimeout time.Duration `flag:"staging-timeout" help:"maximum time for which an ordered staging counts as in progress" min:"1s" max:"1h"`
}

// DefaultPolicy returns the default settings of the planner.
func DefaultPolicy() Policy {
	return Policy{
		SettleDelay:          700 * time.Millisecond,
		JoinMargin:           4 * time.Second,
		OrderInterval:        700 * time.Millisecond,
		UnknownMemberTimeout: 2 * time.Second,
		ReturnDelay:          time.Second,
		CloseTimeout:         6 * time.Second,
		Concavity:            2.5,
		MinGroupGain:         0.04,
		ScarcityRatio:        2,
		ChangingPart:         3,
		DonorGain:            0.2,
		DonorAge:             6 * time.Second,
		LoadWindow:           5 * time.Second,
		LoadPart:             0.8,
		MinStagingGain:       0.01,
		StagingInterval:      300 * time.Millisecond,
		StagingTimeout:       40 * time.Second,
	}
}
