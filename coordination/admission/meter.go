package admission

import (
	"math"
	"time"
)

// meterWindow is the time constant of a meter.
const meterWindow = 5 * time.Second

// meterWarmup is the time from the first event before which a meter gives no rate.
const meterWarmup = 100 * time.Millisecond

// meter estimates a rate of events by an exponentially weighted count.
type meter struct {
	start time.Time
	last  time.Time
	sum   float64
}

// add counts an event.
func (m *meter) add(now time.Time) {
	if m.start.IsZero() {
		m.start, m.last = now, now
	}
	m.sum = m.sum*decay(now.Sub(m.last)) + 1
	m.last = now
}

// perSecond returns the rate, corrected for the short history of a new meter; 0 while there is none.
func (m *meter) perSecond(now time.Time) float64 {
	age := now.Sub(m.start)
	if m.start.IsZero() || age < meterWarmup {
		return 0
	}
	return m.sum * decay(now.Sub(m.last)) / (meterWindow.Seconds() * (1 - decay(age)))
}

// decay returns the weight of an event after a time.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(meterWindow))
}
