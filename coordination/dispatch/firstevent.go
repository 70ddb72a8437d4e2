package dispatch

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
)

// FirstEventTimes tracks how long requests for each model of a service wait for their first event. It answers the
// load of full groups: there, a request that waits says nothing about its group, and probes of all members by
// every node that has one would only add to the load. It is safe for concurrent use.
type FirstEventTimes struct {
	mu    sync.Mutex
	means map[Pool]time.Duration
}

const (
	// firstEventWeight is the weight of the newest time in the mean.
	firstEventWeight = 0.3
	// unusualWait is the multiple of the mean time from which on a wait for the first event is unusual.
	unusualWait = 2
)

// NewFirstEventTimes returns an empty FirstEventTimes.
func NewFirstEventTimes() *FirstEventTimes {
	return &FirstEventTimes{means: map[Pool]time.Duration{}}
}

// Record records that a request for a model got its first event after the given time.
func (f *FirstEventTimes) Record(service state.ServiceName, model string, took time.Duration) {
	key := Pool{service, model}
	f.mu.Lock()
	defer f.mu.Unlock()
	mean, known := f.means[key]
	if !known {
		f.means[key] = took
		return
	}
	f.means[key] = mean + time.Duration(firstEventWeight*float64(took-mean))
}

// Unusual returns the wait for the first event from which on a group may have stalled: minimum, or longer where
// requests for the model wait longer anyway.
func (f *FirstEventTimes) Unusual(service state.ServiceName, model string, minimum time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(minimum, unusualWait*f.means[Pool{service, model}])
}
