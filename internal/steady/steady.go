// Package steady turns times into numbers that jumps of the time of day do not change.
package steady

import "time"

// base is a moment of this process.
var base = time.Now()

// Nanos returns the nanoseconds from a fixed moment of this process to t, by
// the steady clock where t has a reading of it. It is never 0 for a time of
// this process.
func Nanos(t time.Time) int64 { return int64(t.Sub(base)) + int64(time.Hour) }
