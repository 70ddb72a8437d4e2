package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/troutmast/troutmast/coordination/admission"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/protocol/target"
)

// errCoolingDown means that a request was not sent since its instance wants none for a while.
var errCoolingDown = errors.New("caller: the instance is cooling down")

// mayLeave reports why a request must not leave for the group that it was booked at, or nil.
// It is asked once a connection is there: a dial may take long.
func (s *Server) mayLeave(q *request, d *routing.Dispatch) error {
	if err := q.checkCaller(); err != nil {
		return err
	}
	now := s.c.Clock.Now()
	if !d.IsValid(now) {
		return errGroupLost
	}
	if _, cooling := s.c.CoolingDown(d.Candidate(), now); cooling {
		return errCoolingDown
	}
	return nil
}

// heed records for how long an instance wants no further request, if its answer says so.
func (s *Server) heed(q *request, d *routing.Dispatch, ans *target.Response, err error) {
	asked, fault := time.Duration(0), error(nil)
	var refusal *target.NotRunError
	switch {
	case errors.As(err, &refusal):
		asked, fault = refusal.Cooldown, refusal.CooldownFault
	case ans != nil:
		asked, fault = ans.Cooldown, ans.CooldownFault
	}
	if fault != nil {
		s.c.Count("cooldown.unreadable")
		s.note(q, "the cooldown that %s asks for is not read: %v", d.Candidate().Name, fault)
	}
	if asked <= 0 {
		return
	}
	s.c.Count("cooldown.asked")
	now := s.c.Clock.Now()
	until, began := s.c.Cool(d.Candidate(), asked, now)
	if began {
		s.c.Count("cooldown.began")
	}
	s.note(q, "%s asked for a cooldown; it is sent nothing for %s", d.Candidate().Name, until.Sub(now).Round(time.Millisecond))
}

// comeBack sets when a caller should come back, where all groups that could take its
// request are cooling down: once the first is free again.
func (s *Server) comeBack(f *Failure, pool string) *Failure {
	now := s.c.Clock.Now()
	until, all := s.c.FirstFree(pool, now)
	if !all {
		return f
	}
	f.Code = CodeCoolingDown
	f.Message = fmt.Sprintf("all instances that could run the request want none for %s", until.Sub(now).Round(time.Millisecond))
	f.RetryAfter = admission.Jitter(until.Sub(now))
	return f
}
