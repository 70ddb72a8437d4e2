package state

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what became of one record.
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
// It returns the outcome of a command or void record. An error means that the
// fold stopped before the entry: ErrGap or ErrUnknownRecord.
func (s *State) Apply(e Entry) (Outcome, error) {
	if e.Offset != s.offset+1 {
		return Outcome{}, fmt.Errorf("%w: offset %d offered after %d", ErrGap, e.Offset, s.offset)
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
	// Peers hand entries on in microseconds: every source must give the same time.
	e.Time = e.Time.UTC().Truncate(time.Microsecond)
	if e.Time.After(s.now) {
		s.now = e.Time
	}
	s.forget()
	return s.applyRecord(r, changes), nil
}

// decodeChanges returns the changes of a command; it fails before anything is changed.
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

// applyRecord dispatches on the kind of a record that is understood.
func (s *State) applyRecord(r *Record, changes []change) Outcome {
	switch r.Kind {
	case KindClaims:
		for i := range r.Claims {
			s.applyClaim(&r.Claims[i], s.offset)
		}
	case KindVoid:
		return s.settle(r, s.void(r))
	case KindCommand:
		return s.settle(r, s.command(r, changes))
	}
	return Outcome{ID: r.ID, Offset: s.offset, Accepted: true}
}

// settle remembers the outcome of a record, unless its id was settled before.
func (s *State) settle(r *Record, err error) Outcome {
	if o, ok := s.outcomes[r.ID]; ok {
		return o
	}
	o := Outcome{ID: r.ID, Offset: s.offset, Accepted: err == nil, By: r.By, Text: r.Text}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		o.Reason, o.Detail = refusal.Reason, refusal.Detail
	}
	if o.Reason == ReasonBadID || o.Reason == ReasonExpired {
		return o
	}
	s.remember(o)
	return o
}

// remember keeps an outcome until its id is refused for its age alone.
func (s *State) remember(o Outcome) {
	s.outcomes[o.ID] = o
	s.idQueue = append(s.idQueue, expiring{ID: o.ID, At: s.now.Add(IDHorizon + 2*MaxSkew)})
}

// checkID refuses an id that is no UUIDv7 or whose age the history does not cover.
func (s *State) checkID(id string) *Refusal {
	at, ok := IDTime(id)
	if !ok {
		return refuse(ReasonBadID, "%q is no UUIDv7", id)
	}
	if !covered(at, s.now, IDHorizon) {
		return refuse(ReasonExpired, "the id is of %s, the log's time is %s", at.UTC(), s.now.UTC())
	}
	return nil
}

// void settles an id as refused before its command was seen.
func (s *State) void(r *Record) error {
	for _, id := range []string{r.ID, r.Void} {
		if refusal := s.checkID(id); refusal != nil {
			return refusal
		}
	}
	if o, ok := s.outcomes[r.Void]; ok {
		return refuse(ReasonAlreadySettled, "%s was settled at %d", r.Void, o.Offset)
	}
	s.remember(Outcome{ID: r.Void, Offset: s.offset, Reason: ReasonVoided, Detail: "voided by " + r.By, By: r.By})
	return nil
}

// command applies the changes of a command, all or none.
func (s *State) command(r *Record, changes []change) error {
	if _, done := s.outcomes[r.ID]; done {
		return nil
	}
	if refusal := s.checkID(r.ID); refusal != nil {
		return refusal
	}
	if len(changes) == 0 {
		return refuse(ReasonEmpty, "the command changes nothing")
	}
	if r.Unchanged != 0 && s.lastAccepted > r.Unchanged {
		return refuse(ReasonOffset, "the state changed at %d, after %d", s.lastAccepted, r.Unchanged)
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
