package cooldown

import "time"

// Policy bounds what instances may ask of a node.
type Policy struct {
	// Max is the longest cooldown that an instance gets: a wrong figure must not take it out
	// of use for days. It is far above the seconds that instances ask for.
	Max time.Duration `flag:"max" help:"longest cooldown that an instance gets" min:"1s" max:"24h"`
	// Calls is how many orders and questions may reach an instance in one cooldown before
	// questions wait for its end: as many as show that it no longer answers.
	Calls int `flag:"calls" help:"orders and questions in a cooldown after which questions wait" min:"0" max:"100"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy {
	return Policy{Max: 10 * time.Minute, Calls: 2}
}
