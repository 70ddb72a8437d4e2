package entry

import (
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/internal/steady"
)

// feed is how far what the placing node tells of the store reaches: a node that
// is told in time need not read the store itself. Both times are those of the
// placing node's own questions, so that a pause anywhere makes them look older.
type feed struct {
	config atomic.Int64
	list   atomic.Int64
}

// never is the age of what was never told.
const never = time.Hour

// take notes that the placing node told of the store as of two times.
func (f *feed) take(config, list time.Time) {
	f.config.Store(steady.Nanos(config))
	f.list.Store(steady.Nanos(list))
}

// configAge returns how old the configuration that was told may be.
func (f *feed) configAge(now time.Time) time.Duration { return ageOf(f.config.Load(), now) }

// listAge returns how old the list that was told may be.
func (f *feed) listAge(now time.Time) time.Duration { return ageOf(f.list.Load(), now) }

// ageOf returns the age of a time on the steady clock, 0 being none.
func ageOf(at int64, now time.Time) time.Duration {
	if at == 0 {
		return never
	}
	return time.Duration(steady.Nanos(now) - at)
}
