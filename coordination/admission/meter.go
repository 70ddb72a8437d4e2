package admission

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the exponential decay.
const meterTimeConstant = 5 * time.Second

// meterWarmup is the minimum time since the first event for a rate to be reported.
const meterWarmup = 100 * time.Millisecond

// rateMeter estimates an event rate from an exponentially decaying count.
type rateMeter struct {
	firstEvent time.Time
	lastEvent  time.Time
	count      float64
}

// add records one event.
func (m *rateMeter) add(now time.Time) {
	if m.firstEvent.IsZero() {
		m.firstEvent, m.lastEvent = now, now
	}
	m.count = m.count*decay(now.Sub(m.lastEvent)) + 1
	m.lastEvent = now
}

// perSecond returns the rate, corrected for the bias of a new meter whose history is
// shorter than the window. It returns 0 during warm-up.
func (m *rateMeter) perSecond(now time.Time) float64 {
	age := now.Sub(m.firstEvent)
	if m.firstEvent.IsZero() || age < meterWarmup {
		return 0
	}
	return m.count * decay(now.Sub(m.lastEvent)) / (meterTimeConstant.Seconds() * (1 - decay(age)))
}

// decay returns the weight of an event of the given age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(meterTimeConstant))
}
