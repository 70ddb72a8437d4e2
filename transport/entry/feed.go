package entry

import (
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/internal/steady"
)

// feed tracks how recent the configuration and the instance list are that the leader relays. A
// node that gets them in time need not read the store itself. Both times are the starts of the
// leader's own reads, so that a pause anywhere makes the data look older, never younger.
type feed struct {
	config atomic.Int64
	list   atomic.Int64
}

// never is the age of data that the leader has not relayed.
const never = time.Hour

// take records the times as of which the leader relayed the configuration and the instance list.
func (f *feed) take(configAsOf, listAsOf time.Time) {
	f.config.Store(steady.Nanos(configAsOf))
	f.list.Store(steady.Nanos(listAsOf))
}

// configAge returns the maximum age of the relayed configuration.
func (f *feed) configAge(now time.Time) time.Duration { return ageOf(f.config.Load(), now) }

// listAge returns the maximum age of the relayed instance list.
func (f *feed) listAge(now time.Time) time.Duration { return ageOf(f.list.Load(), now) }

// ageOf returns the age of a time in nanoseconds of the steady clock, and never for 0.
func ageOf(at int64, now time.Time) time.Duration {
	if at == 0 {
		return never
	}
	return time.Duration(steady.Nanos(now) - at)
}
