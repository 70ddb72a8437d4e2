// Package bounds brings the numbers of a message into their ranges.
package bounds

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrRange means that numbers of a message were out of range. They have been replaced by the nearest ones in it.
var ErrRange = errors.New("bounds: numbers out of range")

const (
	// maxAgeMS is the maximum age in milliseconds. It is far from the largest duration, so that no sum overflows.
	maxAgeMS = 1 << 40
	// ageSlackMS is by how much an age may be below 0, in milliseconds: an event may be recorded while the message that
	// states its age is made up.
	ageSlackMS = 1000
	// MaxCount is the maximum number of requests, grants or nodes.
	MaxCount = 1 << 20
	// maxRate is the maximum rate of requests or tokens, per second.
	maxRate = 1e12
)

// Check collects the names of the fields whose numbers were out of range. The zero value is ready to use.
type Check struct{ fields []string }

// Replaced records that the value of a field was replaced.
func (c *Check) Replaced(field string) {
	if !slices.Contains(c.fields, field) {
		c.fields = append(c.fields, field)
	}
}

// Err returns an error that names the fields, or nil if all numbers were in range.
func (c *Check) Err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrRange, strings.Join(c.fields, ", "))
}

// Clamp brings a number into a range.
func Clamp[T int | int64 | float64](c *Check, field string, v *T, lowest, highest T) {
	if *v >= lowest && *v <= highest {
		return
	}
	*v = min(max(*v, lowest), highest)
	c.Replaced(field)
}

// Age brings an age in milliseconds into its range. An age below 0 would make data look newer than the message.
func (c *Check) Age(field string, ms *int64) {
	Clamp(c, field, ms, -ageSlackMS, maxAgeMS)
	*ms = max(*ms, 0)
}

// Count brings a number of requests, grants or nodes into its range.
func (c *Check) Count(field string, n *int) { Clamp(c, field, n, 0, MaxCount) }

// Rate brings a rate of requests or tokens into its range.
func (c *Check) Rate(field string, perSecond *float64) { Clamp(c, field, perSecond, 0, maxRate) }

// Counts brings the numbers of a map into their range.
func Counts[K ~string](c *Check, field string, m map[K]int) {
	for key, n := range m {
		if c.Count(field, &n); n != m[key] {
			m[key] = n
		}
	}
}
