package localhealth_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/localhealth"
)

var start = time.Unix(1000, 0)

func TestDelayedAfterLateTimer(t *testing.T) {
	for _, c := range []struct {
		name    string
		delay   time.Duration
		since   time.Duration
		now     time.Duration
		delayed bool
	}{
		{"on time", 10 * time.Millisecond, -100 * time.Millisecond, 10 * time.Millisecond, false},
		{"late after the probe", 90 * time.Millisecond, -100 * time.Millisecond, time.Second, true},
		{"late just before the probe", 90 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, true},
		{"late long before the probe", 90 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var m localhealth.Monitor
			m.RecordDelay(c.delay, start)
			NewWithT(t).Expect(m.DelayedSince(start.Add(c.since), start.Add(c.now))).To(Equal(c.delayed))
		})
	}
}

func TestOverloadedAfterRepeatedLateTimers(t *testing.T) {
	g := NewWithT(t)
	var m localhealth.Monitor
	now := start
	for range 5 {
		m.RecordDelay(60*time.Millisecond, now)
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(m.Overloaded(now)).To(BeFalse())
	m.RecordDelay(60*time.Millisecond, now)
	g.Expect(m.Overloaded(now)).To(BeTrue())
	g.Expect(m.Overloaded(now.Add(3 * time.Second))).To(BeFalse())
}

func TestDetectedLate(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration
		overran bool
	}{
		{"before its deadline", -time.Millisecond, false},
		{"shortly after its deadline", 3 * time.Millisecond, false},
		{"long after its deadline", 20 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(localhealth.DetectedLate(start, start.Add(c.after))).To(Equal(c.overran))
		})
	}
}
