package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
)

// This file decides how many of the requests that arrive under overload are sent to groups. It answers a load that
// all nodes together bring to groups that are nearly full, while each node knows the requests of the others only
// from reports that are some hundred milliseconds old. With a fixed limit on the known load, all nodes sent all
// requests to the few groups below it until the next reports arrived, and none to them for a second after: batches
// overflowed and ran empty in turn, and first events came after 600 to 900 ms.

// holdTime is the mean time that a request for a model occupies a slot of a group. It is safe for concurrent use.
type holdTime struct {
	mu    sync.Mutex
	mean  time.Duration
	count int
}

// holdTimeSamples is the number of requests over which the mean is taken.
const holdTimeSamples = 20

// record records that a request occupied a slot for a duration.
func (h *holdTime) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count = min(h.count+1, holdTimeSamples)
	h.mean += (d - h.mean) / time.Duration(h.count)
}

// leaving returns the fraction of the requests in progress that end within a span. It is 0 before the first request
// has ended.
func (h *holdTime) leaving(span time.Duration) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mean <= 0 {
		return 0
	}
	return min(float64(span)/float64(h.mean), 1)
}

// room returns how many requests all nodes together may send to the group within the spread horizon: the free part
// of its slots, and those that requests in progress leave meanwhile.
func (c *Candidate) room(now time.Time) float64 {
	if limit, paced := c.paceLimit(); paced && !c.load.pacer.canSend(now, limit) {
		return 0
	}
	policy := &c.table.policy
	load := float64(c.Load())
	room := policy.FullAt*float64(c.Slots) - load + load*c.hold.leaving(policy.SpreadHorizon)
	return max(min(room, c.promptRoom()), 0)
}

// maxPromptLoad is the fraction of the prompt tokens that a group can read which nodes send it. Closer to 1, prompts
// wait for each other for longer than callers wait for their first event.
const maxPromptLoad = 0.8

// promptRoom returns how many prompts of the mean length the group can read within the spread horizon without
// queueing. Long prompts fill a group long before its slots are taken.
func (c *Candidate) promptRoom() float64 {
	demand := (*c.table.demand.Load())[poolKey{c.Service, c.Model}]
	if c.maxPromptRate == 0 || demand.meanPrompt == 0 {
		return math.Inf(1)
	}
	return maxPromptLoad * c.maxPromptRate * c.table.policy.SpreadHorizon.Seconds() / demand.meanPrompt
}

// Admit reports whether the groups for which avoid returns false have room for a new request. If more requests
// arrive at all nodes than there is room for, each node admits the same fraction of them at random. Requests are
// also admitted if there is no such group, or for a plain service.
func (t *Table) Admit(service state.ServiceName, model string, now time.Time, avoid func(*Candidate) bool) bool {
	groups, total := 0, 0.0
	for _, c := range t.Candidates(service, model) {
		if c.Size > 0 && !avoid(c) {
			groups++
			total += c.room(now)
		}
	}
	arrivals := max(t.RequestRate(service, model)*t.policy.SpreadHorizon.Seconds(), 1)
	return groups == 0 || total >= arrivals || t.random()*arrivals < total
}

// SetRandom sets the source of random numbers from 0 to 1, for tests.
func (t *Table) SetRandom(random func() float64) { t.random = random }
