package fleet

import "time"

// Notice is what a response of an instance states about further requests to it: a cooldown, a
// shutdown or a rate limit. Any response may carry one.
type Notice struct {
	// Cooldown is how long after the response the node that receives it must send no request to the
	// instance; 0 for none. CooldownFault is the error of parsing the cooldown.
	Cooldown      time.Duration
	CooldownFault error
	// Leaving is set if the instance shuts down soon and accepts no further request from any node.
	Leaving bool
	// RateLimit is the limit on the requests per second from all nodes together.
	RateLimit RateLimit
}
