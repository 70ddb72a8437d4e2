package cooldown

import "time"

// Policy bounds the cooldowns that instances may request.
type Policy struct {
	// MaxDuration bounds the length of a cooldown, so that a wrong value does not take an
	// instance out of service for days. It is far above the seconds that instances ask for.
	MaxDuration time.Duration `flag:"max" help:"maximum length of a cooldown" min:"1s" max:"24h"`
	// MaxCalls is the number of orders and probes in one cooldown after which probes wait for its
	// end. That many calls suffice to detect that an instance no longer answers.
	MaxCalls int `flag:"calls" help:"number of orders and probes in a cooldown after which probes wait for its end" min:"0" max:"100"`
}

// DefaultPolicy returns the default policy of a node.
func DefaultPolicy() Policy {
	return Policy{MaxDuration: 10 * time.Minute, MaxCalls: 2}
}
