package caller

import (
	"errors"
	"net/http"

	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/state/fleet"
)

// quarantined returns the failure of a request that is held back because instances
// ended under earlier attempts of it, or under requests with a part of its prompt, or nil.
func (s *Server) quarantined(q *request) *Failure {
	now := s.c.Clock.Now()
	v := s.c.Quarantine.VerdictOn(q.identity, now)
	if !v.Quarantined(now) {
		return nil
	}
	f := notRun(http.StatusServiceUnavailable, CodeQuarantined, "%d instances ended under earlier attempts of this request, or under requests that share a part of its prompt (fingerprint %s)", v.IndependentEndings, q.identity.Fingerprint)
	f.RetryAfter = v.Until.Sub(now)
	return f
}

// lives returns the lives of the instances that a dispatch goes to, as last reported.
func (s *Server) lives(d *routing.Dispatch) []fleet.Incarnation {
	var list []fleet.Incarnation
	for _, id := range d.Group().Members {
		if e, ok := s.c.Evidence.Get(id); ok {
			list = append(list, fleet.Incarnation{ID: id, Life: e.Incarnation})
		}
	}
	return list
}

// learn records how an attempt ended, for the quarantine.
func (s *Server) learn(q *request, outcome retry.Outcome, err error) {
	switch {
	case err == nil:
		s.c.Quarantine.RecordComplete(q.identity, s.c.Clock.Now())
	case outcome == retry.Unknown && !errors.Is(err, errCallerGone):
		s.c.Quarantine.RecordInterruption(q.identity, q.lives, q.sentAt, s.c.Clock.Now())
		select {
		case s.c.Doubted <- struct{}{}:
		default:
		}
	}
}
