package placement

import "time"

// Policy holds the weights and waiting times of the planner.
type Policy struct {
	// SettleDelay is how long a domain's newest instance must have been seen before
	// groups are formed of the domain: others may follow it.
	SettleDelay time.Duration `flag:"settle-delay" help:"how long a domain's newest instance must have been seen before groups are formed there" min:"0s" max:"1m"`
	// JoinMargin is added to twice the loading time that a member may take to become ready.
	JoinMargin time.Duration `flag:"join-margin" help:"time added to the loading time that a member may take to become ready" min:"0s" max:"10m"`
	// OrderInterval is the least time between two equal orders to an instance.
	OrderInterval time.Duration `flag:"order-interval" help:"least time between two equal orders to an instance" min:"0s" max:"1m"`
	// UnknownMemberTimeout is how long a group found after a change of the leader may
	// have a member that was never seen.
	UnknownMemberTimeout time.Duration `flag:"unknown-member-timeout" help:"how long a recovered group may have a member that was never seen" min:"0s" max:"1m"`
	// CloseTimeout bounds the closing of a group whose members are needed elsewhere.
	CloseTimeout time.Duration `flag:"close-timeout" help:"longest time that a group may take to close" min:"0s" max:"10m"`

	// Concavity is how quickly more groups of a model lose in value; with it a model
	// wants that many times the instances that its work would fill.
	Concavity float64 `flag:"concavity" help:"how quickly more groups of a model lose in value" min:"0.1" max:"20"`
	// MinGroupGain is what a group must be worth for each of its instances; below it
	// the instances are kept as spares.
	MinGroupGain float64 `flag:"min-group-gain" help:"least worth of a group for each of its instances" min:"0" max:"1"`
	// ScarcityRatio is how many times more an instance of one model must be worth than
	// one of another for instances to be kept for it.
	ScarcityRatio float64 `flag:"scarcity-ratio" help:"ratio of worths from which on instances are kept for the scarcer model" min:"1" max:"1000"`
	// ChangingPart bounds the domains that close groups for their members at a time:
	// beyond one, no more than one in so many.
	ChangingPart int `flag:"changing-part" help:"beyond one, one domain in so many closes groups for their members at a time" min:"1" max:"1000"`
	// DonorGain is what closing a group must gain for each of its instances.
	DonorGain float64 `flag:"donor-gain" help:"what closing a group must gain for each of its instances" min:"0" max:"10"`
	// DonorAge is how long a group stands before it may be closed for its members.
	DonorAge time.Duration `flag:"donor-age" help:"how long a group stands before it may be closed for its members" min:"0s" max:"10m"`

	// LoadWindow is the span over which loads are counted, LoadPart the part of the
	// weight store's rate that is used.
	LoadWindow time.Duration `flag:"load-window" help:"span over which loads from the weight store are counted" min:"1s" max:"1m"`
	LoadPart   float64       `flag:"load-part" help:"part of the weight store's rate that is used" min:"0.05" max:"1"`
	// MinStagingGain is what loading a model to a host must be worth.
	MinStagingGain float64 `flag:"min-staging-gain" help:"least worth of loading a model to a host" min:"0" max:"10"`
	// StagingInterval is the least time between two looks at what to load.
	StagingInterval time.Duration `flag:"staging-interval" help:"least time between two looks at what to load to hosts" min:"0s" max:"1m"`
	// StagingTimeout is how long an order to stage a model is trusted to be under way.
	StagingTimeout time.Duration `flag:"staging-timeout" help:"how long an order to stage a model is trusted to be under way" min:"1s" max:"1h"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy {
	return Policy{
		SettleDelay:          700 * time.Millisecond,
		JoinMargin:           4 * time.Second,
		OrderInterval:        700 * time.Millisecond,
		UnknownMemberTimeout: 2 * time.Second,
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
