package state

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the result of applying one record. It is part of the state and of its digest.
type Outcome struct {
	ID       string `json:"id"`
	Offset   Offset `json:"offset"`
	Accepted bool   `json:"accepted"`
	Reason   Reason `json:"reason,omitempty"`
	Detail   string `json:"detail,omitempty"`
	By       string `json:"by,omitempty"`
	Text     string `json:"text,omitempty"`
}

// Apply folds the next entry of the log into the state.
//
// It returns the outcome of the record. On an error, ErrOffsetGap or ErrUnknownRecord,
// the entry has not been applied and the state is unchanged.
func (s *State) Apply(e Entry) (Outcome, error) {
	if e.Offset != s.offset+1 {
		return Outcome{}, fmt.Errorf("%w: got offset %d after offset %d", ErrOffsetGap, e.Offset, s.offset)
	}
	r, err := DecodeRecord(e.Data)
	if err != nil {
		return Outcome{}, fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	changes, err := decodeChanges(r)
	if err != nil {
		return Outcome{}, fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	s.offset = e.Offset
	// Peers pass on entries with times in microseconds. The time is truncated so that an entry has
	// the same time from every source.
	e.Time = e.Time.UTC().Truncate(time.Microsecond)
	if e.Time.After(s.now) {
		s.now = e.Time
	}
	s.evictExpired()
	return s.applyRecord(r, changes), nil
}

// decodeChanges returns the changes of a command, or an error before any of them is applied.
func decodeChanges(r *Record) ([]change, error) {
	list := make([]change, 0, len(r.Ops))
	for i := range r.Ops {
		c, err := r.Ops[i].change()
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}

// applyRecord applies a decoded record according to its kind.
func (s *State) applyRecord(r *Record, changes []change) Outcome {
	switch r.Kind {
	case KindClaims:
		for i := range r.Claims {
			s.applyClaim(&r.Claims[i], s.offset)
		}
	case KindVoid:
		return s.recordOutcome(r, s.applyVoid(r))
	case KindCommand:
		return s.recordOutcome(r, s.applyCommand(r, changes))
	}
	return Outcome{ID: r.ID, Offset: s.offset, Accepted: true}
}

// recordOutcome returns the outcome of a record and stores it, unless the id already has an
// outcome. Outcomes of invalid or expired ids are not stored.
func (s *State) recordOutcome(r *Record, err error) Outcome {
	if o, ok := s.outcomes[r.ID]; ok {
		return o
	}
	o := Outcome{ID: r.ID, Offset: s.offset, Accepted: err == nil, By: r.By, Text: r.Text}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		o.Reason, o.Detail = refusal.Reason, refusal.Detail
	}
	if o.Reason == ReasonBadID || o.Reason == ReasonIDExpired {
		return o
	}
	s.storeOutcome(o)
	return o
}

// storeOutcome stores an outcome until its id is refused for its age alone.
func (s *State) storeOutcome(o Outcome) {
	s.outcomes[o.ID] = o
	s.idQueue = append(s.idQueue, expiringID{ID: o.ID, At: s.now.Add(IDHorizon + 2*MaxSkew)})
}

// checkID refuses an id that is not a UUIDv7 or whose timestamp lies outside the retained history.
func (s *State) checkID(id string) *Refusal {
	at, ok := IDTime(id)
	if !ok {
		return refuse(ReasonBadID, "%q is no UUIDv7", id)
	}
	if !isWithinHorizon(at, s.now, IDHorizon) {
		return refuse(ReasonIDExpired, "the id is of %s, the log's time is %s", at.UTC(), s.now.UTC())
	}
	return nil
}

// applyVoid records an id as refused, so that its command has no effect if it is read later.
func (s *State) applyVoid(r *Record) error {
	for _, id := range []string{r.ID, r.Void} {
		if refusal := s.checkID(id); refusal != nil {
			return refusal
		}
	}
	if o, ok := s.outcomes[r.Void]; ok {
		return refuse(ReasonAlreadySettled, "%s was settled at %d", r.Void, o.Offset)
	}
	s.storeOutcome(Outcome{ID: r.Void, Offset: s.offset, Reason: ReasonVoided, Detail: "voided by " + r.By, By: r.By})
	return nil
}

// applyCommand applies all changes of a command or none.
func (s *State) applyCommand(r *Record, changes []change) error {
	if _, exists := s.outcomes[r.ID]; exists {
		return nil
	}
	if refusal := s.checkID(r.ID); refusal != nil {
		return refusal
	}
	if len(changes) == 0 {
		return refuse(ReasonEmptyCommand, "the command changes nothing")
	}
	if r.Unchanged != 0 && s.lastAccepted > r.Unchanged {
		return refuse(ReasonStateChanged, "the state changed at %d, after %d", s.lastAccepted, r.Unchanged)
	}
	t := &tx{}
	for i, c := range changes {
		if refusal := c.apply(s, t, s.offset); refusal != nil {
			t.rollback()
			refusal.Detail = fmt.Sprintf("statement %d: %s", i+1, refusal.Detail)
			return refusal
		}
	}
	s.lastAccepted = s.offset
	return nil
}
