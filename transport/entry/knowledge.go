package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/state/catalog"
)

// keysMargin is subtracted from the time for which keys are trusted, to allow for the transit of a
// request to its instance.
const keysMargin = 400 * time.Millisecond

// Knowledge holds the configuration in force at a node and the time at which it was last confirmed
// to be current. It is safe for concurrent use.
//
// The age counts from the start of the last read that was answered with this configuration, so
// that a pause anywhere makes it look older, never younger.
type Knowledge struct {
	clock   clockwork.Clock
	decoder Decoder
	// within is the time for which keys are trusted, in nanoseconds; 0 means no limit.
	within atomic.Int64

	mu      sync.Mutex
	raw     []byte
	catalog atomic.Pointer[catalog.Catalog]
	fresh   atomic.Int64
}

// NewKnowledge returns a Knowledge without a configuration.
func NewKnowledge(decoder Decoder, strict bool, maxAge time.Duration, clock clockwork.Clock) *Knowledge {
	k := &Knowledge{clock: clock, decoder: decoder}
	k.SetBound(strict, maxAge)
	return k
}

// SetBound sets the time for which keys are trusted. If strict is false, they always are.
func (k *Knowledge) SetBound(strict bool, maxAge time.Duration) {
	if !strict {
		maxAge = 0
	}
	k.within.Store(int64(maxAge))
}

// Catalog returns the configuration in force, or nil if there is none yet.
func (k *Knowledge) Catalog() *catalog.Catalog { return k.catalog.Load() }

// Raw returns the encoded configuration, as it is in the store, and its version.
func (k *Knowledge) Raw() ([]byte, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.catalog.Load(); c != nil {
		return k.raw, c.Version
	}
	return nil, 0
}

// Learn decodes a configuration and puts it in force, unless the same or a newer version already
// is. It reports whether the configuration changed.
func (k *Knowledge) Learn(raw []byte) (bool, error) {
	c, err := k.decoder.Catalog(raw)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if old := k.catalog.Load(); old != nil && old.Version >= c.Version {
		return false, nil
	}
	k.raw = raw
	k.catalog.Store(c)
	return true, nil
}

// Confirm records that there was no newer configuration at the start of a read.
func (k *Knowledge) Confirm(startedAt time.Time) {
	for {
		old := k.fresh.Load()
		if steady.Nanos(startedAt) <= old || k.fresh.CompareAndSwap(old, steady.Nanos(startedAt)) {
			return
		}
	}
}

// Age returns the time since the configuration was last confirmed to be current, and false if it
// never was.
func (k *Knowledge) Age() (time.Duration, bool) {
	at := k.fresh.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(steady.Nanos(k.clock.Now()) - at), true
}

// KeysFresh reports whether the configuration is recent enough for its keys to be trusted.
func (k *Knowledge) KeysFresh() bool {
	maxAge := time.Duration(k.within.Load())
	if maxAge == 0 {
		return true
	}
	age, ok := k.Age()
	return ok && age < maxAge-keysMargin
}
