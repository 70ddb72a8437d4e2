package state

import "time"

// ClaimKey identifies one call that must be executed at most once.
type ClaimKey struct {
	Team    TeamName    `json:"team"`
	Service ServiceName `json:"service"`
	// Key is the caller's UUIDv7; its timestamp gives the age of the key.
	Key string `json:"key"`
}

// Claim is the recorded state of a call that must be executed at most once.
type Claim struct {
	ClaimKey
	// Holder is the only attempt that may execute the call.
	Holder string `json:"holder"`
	// Request is a digest of the call's method, path and body.
	Request string `json:"request"`
	Offset  Offset `json:"offset"`
	// Released is set once the holder has reported that the call was never sent.
	Released bool `json:"released,omitempty"`
	// Result is nil until the holder has recorded the result of the call.
	Result *ClaimResult `json:"result,omitempty"`
}

// ClaimResult is the recorded end of a claimed call.
type ClaimResult struct {
	// Status is the HTTP status of the target's response; 0 if the holder does not know it.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped is set if the body was too large to store.
	BodyDropped bool `json:"dropped,omitempty"`
}

// ClaimOp does one of three things: it claims a key, records the result of its call, or releases it.
type ClaimOp struct {
	Key     ClaimKey `json:"key"`
	Holder  string   `json:"holder"`
	Request string   `json:"request,omitempty"`
	// Result, if set, records the result of the call.
	Result *ClaimResult `json:"result,omitempty"`
	// NotRun, if set, releases the key: the call was never sent.
	NotRun bool `json:"not_run,omitempty"`
}

// Retention times of claims and record ids, and the tolerated skew, by the clock of the log.
const (
	// ClaimHorizon is the maximum age of a key when it is claimed, and the base of the retention
	// time of claims.
	ClaimHorizon = 10 * time.Minute
	// IDHorizon is the maximum age of a record's id when it is applied, and the base of the
	// retention time of outcomes.
	IDHorizon = 2 * time.Hour
	// MaxSkew is how far the timestamp of an id or key may be ahead of the log's clock.
	MaxSkew = time.Minute
)

// expiringID is a record id and the time after which its outcome is evicted.
type expiringID struct {
	ID string
	At time.Time
}

// expiringKey is a claimed key and the time after which its claim is evicted.
type expiringKey struct {
	Key ClaimKey
	At  time.Time
}

// IsKeyInHorizon reports whether the timestamp of a key lies within the retained claim history.
func (s *State) IsKeyInHorizon(key string) bool {
	at, ok := IDTime(key)
	return ok && isWithinHorizon(at, s.now, ClaimHorizon)
}

// isWithinHorizon reports whether at is at most horizon before now and at most MaxSkew after it.
func isWithinHorizon(at, now time.Time, horizon time.Duration) bool {
	return !at.Before(now.Add(-horizon)) && !at.After(now.Add(MaxSkew))
}

// applyClaim applies one claim operation; the first holder of a key keeps it.
//
// A holder that releases a key cannot claim it again, so a claim of its own that
// reaches the log after the release has no effect.
func (s *State) applyClaim(op *ClaimOp, at Offset) {
	if !s.IsKeyInHorizon(op.Key.Key) {
		return
	}
	c, exists := s.claims[op.Key]
	isHolder := exists && c.Holder == op.Holder
	isOpen := isHolder && c.Result == nil && !c.Released
	switch {
	case op.NotRun:
		if isOpen || !exists {
			s.setClaim(Claim{ClaimKey: op.Key, Holder: op.Holder, Offset: at, Released: true}, exists)
		}
	case op.Result != nil:
		if isOpen {
			c.Result = op.Result
			s.claims[op.Key] = c
		}
	case !exists || (c.Released && !isHolder):
		s.setClaim(Claim{ClaimKey: op.Key, Holder: op.Holder, Request: op.Request, Offset: at}, exists)
	}
}

// setClaim stores a claim and, for a new key, schedules its eviction.
func (s *State) setClaim(c Claim, exists bool) {
	s.claims[c.ClaimKey] = c
	if !exists {
		s.keyQueue = append(s.keyQueue, expiringKey{Key: c.ClaimKey, At: s.now.Add(ClaimHorizon + 2*MaxSkew)})
	}
}

// evictExpired evicts expired claims and outcomes.
//
// A key or id is evicted only once it is refused for its age alone, so that
// eviction never lets a duplicate take effect.
func (s *State) evictExpired() {
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
