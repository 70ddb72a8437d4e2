package scheduling

import (
	"sync"
	"time"
)

// Scheduler schedules the requests for all models. It is safe for concurrent use.
type Scheduler struct {
	policy Policy

	mu    sync.Mutex
	pools map[Pool]*pool
	// tokens bounds the requests that are scheduled per second, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// NewScheduler returns a Scheduler that knows no groups.
func NewScheduler(policy Policy) *Scheduler {
	return &Scheduler{policy: policy, pools: map[Pool]*pool{}}
}

// Update replaces what is known of all groups. It forgets the pools that no snapshot names.
func (s *Scheduler) Update(snapshots []Snapshot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := make(map[Pool]*pool, len(snapshots))
	for i := range snapshots {
		sn := &snapshots[i]
		p := s.pools[sn.Pool]
		if p == nil {
			p = newPool(&s.policy)
		}
		p.update(sn, now)
		pools[sn.Pool] = p
	}
	s.pools = pools
}

// Schedule decides on a request, after recording samples of the requests that the same node sent before. It
// reports false if the Scheduler knows no group for the request, or schedules as many requests as it may.
func (s *Scheduler) Schedule(r *Request, samples []Sample, now time.Time) (Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[r.Pool]
	if p == nil || !s.take(now) {
		return Decision{}, false
	}
	for _, sample := range samples {
		p.record(sample)
	}
	d := p.schedule(r, now)
	return d, d.Refused || d.Instance != ""
}

// burst is the time over which the rate limit of the scheduler may be exceeded.
const burst = 200 * time.Millisecond

// take takes a token from the rate limit. s.mu is held.
func (s *Scheduler) take(now time.Time) bool {
	most := max(s.policy.MaxRate*burst.Seconds(), 1)
	if s.refilledAt.IsZero() {
		s.tokens = most
	} else {
		s.tokens = min(s.tokens+s.policy.MaxRate*now.Sub(s.refilledAt).Seconds(), most)
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
