package fleet

import "time"

// Notice is what an instance says in an answer of whether and when it wants to be called
// again, beside what it was asked. Any answer may carry one.
type Notice struct {
	// Cooldown is for how long from the answer on it wants nothing of the node that it
	// answers; 0 if it does not ask for one. CooldownFault is why what it asks for cannot be read.
	Cooldown      time.Duration
	CooldownFault error
	// Leaving tells that it will end soon and wants no further request of any node.
	Leaving bool
	// RateLimit is how many requests a second it takes from all nodes together.
	RateLimit RateLimit
}
