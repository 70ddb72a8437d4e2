package state

import "time"

// ClaimKey identifies one call that may not be repeated.
type ClaimKey struct {
	Team    TeamName    `json:"team"`
	Service ServiceName `json:"service"`
	// Key is the caller's UUIDv7; the time inside it is the key's age.
	Key string `json:"key"`
}

// Claim is what is known of a call that may not be repeated.
type Claim struct {
	ClaimKey
	// Holder is the attempt that alone may run the call.
	Holder string `json:"holder"`
	// Request is a digest of the call's method, path and body.
	Request string `json:"request"`
	Offset  Offset `json:"offset"`
	// Released is set when the holder has said that the call certainly never left.
	Released bool `json:"released,omitempty"`
	// Result is nil until the holder has recorded how the call ended.
	Result *Result `json:"result,omitempty"`
}

// Result is how a claimed call ended.
type Result struct {
	// Status is the HTTP status that the target answered; 0 when the holder does not know.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped is set when the body was too large to keep.
	Dropped bool `json:"dropped,omitempty"`
}

// ClaimOp claims a key, records its result, or gives it back; one of the three.
type ClaimOp struct {
	Key     ClaimKey `json:"key"`
	Holder  string   `json:"holder"`
	Request string   `json:"request,omitempty"`
	// Result, when set, records the end of the call.
	Result *Result `json:"result,omitempty"`
	// NotRun, when set, gives the key back: the call certainly never left.
	NotRun bool `json:"not_run,omitempty"`
}

// Bounds of what the state remembers, measured by the log's own clock.
const (
	// ClaimHorizon is how long a claim is kept, and how old a key may be when it is claimed.
	ClaimHorizon = 10 * time.Minute
	// IDHorizon is how long the id of a record is kept, and how old it may be when it is applied.
	IDHorizon = 2 * time.Hour
	// MaxSkew is how far an id or key may lie ahead of the log's clock.
	MaxSkew = time.Minute
)

// expiring is a record id and the time from which it may be forgotten.
type expiring struct {
	ID string
	At time.Time
}

// expiringKey is a claimed key and the time from which it may be forgotten.
type expiringKey struct {
	Key ClaimKey
	At  time.Time
}

// KeyCovered reports whether the claim history reaches back to the age of a key.
func (s *State) KeyCovered(key string) bool {
	at, ok := IDTime(key)
	return ok && covered(at, s.now, ClaimHorizon)
}

// covered reports whether a time lies within the horizon before now and not too far ahead.
func covered(at, now time.Time, horizon time.Duration) bool {
	return !at.Before(now.Add(-horizon)) && !at.After(now.Add(MaxSkew))
}

// applyClaim settles one claim operation; the first holder of a key keeps it.
//
// A holder that gives a key back can never claim it again, so a claim of its
// own that reaches the log later than the release has no effect.
func (s *State) applyClaim(op *ClaimOp, at Offset) {
	if !s.KeyCovered(op.Key.Key) {
		return
	}
	c, known := s.claims[op.Key]
	mine := known && c.Holder == op.Holder
	open := mine && c.Result == nil && !c.Released
	switch {
	case op.NotRun:
		if open || !known {
			s.setClaim(Claim{ClaimKey: op.Key, Holder: op.Holder, Offset: at, Released: true}, known)
		}
	case op.Result != nil:
		if open {
			c.Result = op.Result
			s.claims[op.Key] = c
		}
	case !known || (c.Released && !mine):
		s.setClaim(Claim{ClaimKey: op.Key, Holder: op.Holder, Request: op.Request, Offset: at}, known)
	}
}

// setClaim stores a claim and, for a new key, when it may be forgotten.
func (s *State) setClaim(c Claim, known bool) {
	s.claims[c.ClaimKey] = c
	if !known {
		s.keyQueue = append(s.keyQueue, expiringKey{Key: c.ClaimKey, At: s.now.Add(ClaimHorizon + 2*MaxSkew)})
	}
}

// forget drops claims and outcomes that can no longer be repeated.
//
// A key or id is forgotten only after its own age alone makes the fold refuse
// it, so that forgetting never lets a repeat through.
func (s *State) forget() {
	n := 0
	for n < len(s.keyQueue) && s.keyQueue[n].At.Before(s.now) {
		delete(s.claims, s.keyQueue[n].Key)
		n++
	}
	s.keyQueue = s.keyQueue[n:]
	n = 0
	for n < len(s.idQueue) && s.idQueue[n].At.Before(s.now) {
		delete(s.outcomes, s.idQueue[n].ID)
		n++
	}
	s.idQueue = s.idQueue[n:]
}
