package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/state/catalog"
)

// keysMargin is taken off the time for which keys are trusted, for the way of a request to its instance.
const keysMargin = 400 * time.Millisecond

// Knowledge is the configuration in force at a node, and how old the node's
// knowledge of it may be; safe for concurrent use.
//
// The age counts from the moment at which the question was asked that was last
// answered with this configuration, so that a pause anywhere makes it look
// older, never younger.
type Knowledge struct {
	clock   clockwork.Clock
	decoder Decoder
	// within is for how long keys are trusted, in nanoseconds; 0 is without bound.
	within atomic.Int64

	mu      sync.Mutex
	raw     []byte
	catalog atomic.Pointer[catalog.Catalog]
	fresh   atomic.Int64
}

// NewKnowledge returns a Knowledge without configuration.
func NewKnowledge(decoder Decoder, strict bool, within time.Duration, clock clockwork.Clock) *Knowledge {
	k := &Knowledge{clock: clock, decoder: decoder}
	k.SetBound(strict, within)
	return k
}

// SetBound changes for how long keys are trusted; without strict, they always are.
func (k *Knowledge) SetBound(strict bool, within time.Duration) {
	if !strict {
		within = 0
	}
	k.within.Store(int64(within))
}

// Catalog returns the configuration, or nil while none is known.
func (k *Knowledge) Catalog() *catalog.Catalog { return k.catalog.Load() }

// Raw returns the configuration as the store holds it, and its version.
func (k *Knowledge) Raw() ([]byte, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.catalog.Load(); c != nil {
		return k.raw, c.Version
	}
	return nil, 0
}

// Learn puts a configuration in force, unless that one or a newer one already is, and reports whether it did.
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

// Confirm takes in that no newer configuration was there when a question was asked.
func (k *Knowledge) Confirm(asked time.Time) {
	for {
		old := k.fresh.Load()
		if steady.Nanos(asked) <= old || k.fresh.CompareAndSwap(old, steady.Nanos(asked)) {
			return
		}
	}
}

// Age returns how old the knowledge may be; false when none was ever had.
func (k *Knowledge) Age() (time.Duration, bool) {
	at := k.fresh.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(steady.Nanos(k.clock.Now()) - at), true
}

// KeysFresh reports whether keys can still be trusted.
func (k *Knowledge) KeysFresh() bool {
	within := time.Duration(k.within.Load())
	if within == 0 {
		return true
	}
	age, ok := k.Age()
	return ok && age < within-keysMargin
}
