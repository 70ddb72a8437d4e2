// Package millis converts the times in messages and configurations to durations.
package millis

import (
	"math"
	"time"
)

// limit is the largest number of milliseconds that fits a duration.
const limit = math.MaxInt64 / int64(time.Millisecond)

// Duration returns a number of milliseconds as a duration, or the nearest one that there is.
func Duration(ms int64) time.Duration {
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

// Scale returns a number of units as a duration, or the nearest one that there is. NaN is 0.
func Scale(v float64, unit time.Duration) time.Duration {
	ns := v * float64(unit)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(ns)
}
