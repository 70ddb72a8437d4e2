package steady

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// machine is a machine whose clocks a test moves.
type machine struct {
	steady, set, suspended time.Duration
	broken                 bool
}

// read returns the machine's time; the time of day counts what was slept.
func (m *machine) read() reading {
	return reading{time: base.Add(m.steady), day: base.UnixNano() + int64(m.steady+m.set+m.suspended)}
}

// count returns how long the machine has been suspended.
func (m *machine) count() (time.Duration, error) {
	if m.broken {
		return 0, errors.New("no such clock")
	}
	return time.Hour + m.suspended, nil
}

func TestTimesCountSuspensionsOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		move func(m *machine)
		// passes is the time that passes by the clock.
		passes time.Duration
		wakes  []time.Duration
	}{
		{"time passes", func(m *machine) { m.steady += 3 * time.Second }, 3 * time.Second, nil},
		{"the machine is suspended", func(m *machine) { m.suspended += 4 * time.Second }, 4 * time.Second, []time.Duration{4 * time.Second}},
		{"the time of day is set forward", func(m *machine) { m.set += 4 * time.Second }, 0, nil},
		{"the time of day is set back", func(m *machine) { m.set -= 4 * time.Second }, 0, nil},
		{"it is suspended, and the time of day set", func(m *machine) { m.suspended += 4 * time.Second; m.set += time.Minute }, 4 * time.Second, []time.Duration{4 * time.Second}},
		{"the count cannot be read", func(m *machine) { m.suspended += 4 * time.Second; m.broken = true }, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			m := &machine{}
			clock := newClock(m.read, m.count)
			wakes := make(chan time.Duration, 4)
			clock.OnWake(func(d time.Duration) { wakes <- d })
			for range 2 { // twice in a row
				before := clock.Now()
				c.move(m)
				g.Expect(clock.Since(before)).To(Equal(c.passes))
				g.Expect(clock.Until(before)).To(Equal(-c.passes))
				for _, w := range c.wakes {
					g.Eventually(wakes).Should(Receive(Equal(w)))
				}
				g.Expect(wakes).To(BeEmpty())
			}
		})
	}
}

func TestTheSystemsClockIsRead(t *testing.T) {
	g := NewWithT(t)
	suspended, err := suspendedSinceBoot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(suspended).To(BeNumerically(">=", 0))
	c := NewClock()
	g.Expect(time.Until(c.Now())).To(BeNumerically("~", 0, time.Second))
}
