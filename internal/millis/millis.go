// Package millis converts the milliseconds of messages to durations.
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
