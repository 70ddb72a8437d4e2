package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/state/catalog"
)

// keyTransitMargin is subtracted from the time for which keys are trusted, to allow for the transit of a
// request to its instance.
const keyTransitMargin = 400 * time.Millisecond

// ConfigState holds the configuration in force at a node and the time at which it was last confirmed
// to be current. It is safe for concurrent use.
//
// The age counts from the start of the last read that was answered with this configuration, so
// that a pause anywhere makes it look older, never younger.
type ConfigState struct {
	clock   clockwork.Clock
	decoder Decoder
	// maxKeyAge is the time for which keys are trusted, in nanoseconds; 0 means no limit.
	maxKeyAge atomic.Int64

	mu          sync.Mutex
	encoded     []byte
	catalog     atomic.Pointer[catalog.Catalog]
	confirmedAt atomic.Int64
}

// NewConfigState returns a ConfigState without a configuration.
func NewConfigState(decoder Decoder, strict bool, maxAge time.Duration, clock clockwork.Clock) *ConfigState {
	k := &ConfigState{clock: clock, decoder: decoder}
	k.SetMaxKeyAge(strict, maxAge)
	return k
}

// SetMaxKeyAge sets the time for which keys are trusted. If strict is false, they always are.
func (k *ConfigState) SetMaxKeyAge(strict bool, maxAge time.Duration) {
	if !strict {
		maxAge = 0
	}
	k.maxKeyAge.Store(int64(maxAge))
}

// Catalog returns the configuration in force, or nil if there is none yet.
func (k *ConfigState) Catalog() *catalog.Catalog { return k.catalog.Load() }

// Encoded returns the encoded configuration, as it is in the store, and its version.
func (k *ConfigState) Encoded() ([]byte, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.catalog.Load(); c != nil {
		return k.encoded, c.Version
	}
	return nil, 0
}

// Apply decodes a configuration and puts it in force, unless the same or a newer version already
// is. It reports whether the configuration changed.
func (k *ConfigState) Apply(raw []byte) (bool, error) {
	c, err := k.decoder.Catalog(raw)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if old := k.catalog.Load(); old != nil && old.Version >= c.Version {
		return false, nil
	}
	k.encoded = raw
	k.catalog.Store(c)
	return true, nil
}

// RecordConfirmation records that there was no newer configuration at the start of a read.
func (k *ConfigState) RecordConfirmation(startedAt time.Time) {
	for {
		old := k.confirmedAt.Load()
		if steady.Nanos(startedAt) <= old || k.confirmedAt.CompareAndSwap(old, steady.Nanos(startedAt)) {
			return
		}
	}
}

// Age returns the time since the configuration was last confirmed to be current, and false if it
// never was.
func (k *ConfigState) Age() (time.Duration, bool) {
	at := k.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(steady.Nanos(k.clock.Now()) - at), true
}

// KeysFresh reports whether the configuration is recent enough for its keys to be trusted.
func (k *ConfigState) KeysFresh() bool {
	maxAge := time.Duration(k.maxKeyAge.Load())
	if maxAge == 0 {
		return true
	}
	age, ok := k.Age()
	return ok && age < maxAge-keyTransitMargin
}
