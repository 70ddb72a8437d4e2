package fleet

// RateLimit is the rate limit that an instance states in one response. It applies to the requests
// of all nodes together. The zero value means that there was no response, or none that can be parsed.
type RateLimit struct {
	// Said is set if there was a response that can be parsed.
	Said bool
	// Limited is set if the response states a limit, PerSecond is that limit in requests per second.
	Limited   bool
	PerSecond float64
	// Fault is the error of parsing the limit in the response.
	Fault error
}

// Unlimited returns the RateLimit of a response that states no limit.
func Unlimited() RateLimit { return RateLimit{Said: true} }

// LimitedTo returns the RateLimit of a response that states a limit in requests per second.
func LimitedTo(perSecond float64) RateLimit {
	return RateLimit{Said: true, Limited: true, PerSecond: perSecond}
}
