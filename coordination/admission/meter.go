package admission

import (
	"math"
	"time"
)

// meterWindow is the time constant of the exponential decay.
const meterWindow = 5 * time.Second

// meterWarmup is the minimum time since the first event for a rate to be reported.
const meterWarmup = 100 * time.Millisecond

// meter estimates an event rate from an exponentially decaying count.
type meter struct {
	start time.Time
	last  time.Time
	sum   float64
}

// add records one event.
func (m *meter) add(now time.Time) {
	if m.start.IsZero() {
		m.start, m.last = now, now
	}
	m.sum = m.sum*decay(now.Sub(m.last)) + 1
	m.last = now
}

// perSecond returns the rate, corrected for the bias of a new meter whose history is
// shorter than the window. It returns 0 during warm-up.
func (m *meter) perSecond(now time.Time) float64 {
	age := now.Sub(m.start)
	if m.start.IsZero() || age < meterWarmup {
		return 0
	}
	return m.sum * decay(now.Sub(m.last)) / (meterWindow.Seconds() * (1 - decay(age)))
}

// decay returns the weight of an event of the given age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(meterWindow))
}
