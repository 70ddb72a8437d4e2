// Package window counts what happened within a sliding span of time.
package window

import (
	"time"

	"github.com/troutmast/troutmast/internal/steady"
)

// parts is the number of spans into which a window is divided. One more is kept, so that
// what happened within the window is never forgotten too early.
const parts = 20

// Counter counts events within a window of time of some length; its zero value is empty. All
// calls must name the same length. It is not safe for concurrent use.
type Counter struct {
	spans [parts + 1]span
}

// span is the count of one part of a window.
type span struct {
	number int64
	count  uint32
}

// number returns which part of the windows of a length a time belongs to.
func number(now time.Time, length time.Duration) int64 {
	return steady.Nanos(now) / max(int64(length)/parts, 1)
}

// Add counts an event that happens now.
func (c *Counter) Add(now time.Time, length time.Duration) {
	n := number(now, length)
	s := &c.spans[(n%(parts+1)+parts+1)%(parts+1)]
	if s.number != n {
		*s = span{number: n}
	}
	s.count++
}

// Remove takes back an event that was added at a time, unless it is older than the window.
func (c *Counter) Remove(at time.Time, length time.Duration) {
	n := number(at, length)
	s := &c.spans[(n%(parts+1)+parts+1)%(parts+1)]
	if s.number == n && s.count > 0 {
		s.count--
	}
}

// Within returns the number of events in the window that ends now, and in up to a part of
// its length before.
func (c *Counter) Within(now time.Time, length time.Duration) int {
	n := number(now, length)
	total := 0
	for _, s := range c.spans {
		if s.number >= n-parts && s.number <= n {
			total += int(s.count)
		}
	}
	return total
}
