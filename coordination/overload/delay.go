package overload

import "time"

// maxLeftFraction is the part of a caller's remaining time that its retry delay takes at most.
const maxLeftFraction = 1.0 / 3

// RetryDelay returns how long a refused caller is told to wait: the time in which the callers already told to return are
// admitted at a rate per second, spread by a random number from 0 to 1. It is at least MinRetryDelay, unless a third of
// the caller's remaining time is less.
func (p *Policy) RetryDelay(waiting, rate float64, left time.Duration, random float64) time.Duration {
	least, most := p.MinRetryDelay.Seconds(), maxLeftFraction*left.Seconds()
	span := least
	if rate > 0 {
		span = max(2*waiting/rate-least, least)
	}
	delay := min(least+random*min(span, max(most-least, 0)), most)
	return time.Duration(max(delay, 0) * float64(time.Second))
}
