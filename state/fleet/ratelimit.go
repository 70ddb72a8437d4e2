package fleet

// RateLimit is what one answer of an instance says of how many requests it takes from all
// nodes together. The zero value says nothing: no answer came, or none that can be read.
type RateLimit struct {
	// Said tells that an answer came and can be read.
	Said bool
	// Limited tells that the answer names a limit, PerSecond the requests a second.
	Limited   bool
	PerSecond float64
	// Fault is why the limit that the answer names cannot be read.
	Fault error
}

// Unlimited is an answer that names no limit.
func Unlimited() RateLimit { return RateLimit{Said: true} }

// LimitedTo is an answer that names a limit, in requests a second.
func LimitedTo(perSecond float64) RateLimit {
	return RateLimit{Said: true, Limited: true, PerSecond: perSecond}
}
