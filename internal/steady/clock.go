package steady

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// tolerance is how far the time of day may move against the steady clock before a
// suspension is looked for: the adjustments of a synchronized clock stay far below it.
const tolerance = 20 * time.Millisecond

// Clock is the system's clock, whose times count the spans in which the machine was
// suspended: the steady clock of the system stands still meanwhile, so that whatever a
// node knows would look younger than it is. Every age that another party relies on is
// measured by it. Timers run on as the system's do, and so end late by a suspension.
//
// A suspension shows at the first time that is read after it: the time of day counts it and
// the steady clock does not. Only then the clock that counts both is asked, which costs a
// system call. Safe for concurrent use.
type Clock struct {
	clockwork.Clock
	read      func() reading
	suspended func() (time.Duration, error)
	woke      func(time.Duration)

	// slept is the time of all suspensions since the clock was made, in nanoseconds, drift the
	// last known distance of the time of day from the steady clock.
	slept atomic.Int64
	drift atomic.Int64
	mu    sync.Mutex
	// before is the system's count of suspensions when the clock was made.
	before time.Duration
}

// NewClock returns the system's clock.
func NewClock() *Clock { return newClock(readSystem, suspendedSinceBoot) }

// newClock returns a clock that reads the time and the count of suspensions by functions.
func newClock(read func() reading, suspended func() (time.Duration, error)) *Clock {
	c := &Clock{Clock: clockwork.NewRealClock(), read: read, suspended: suspended}
	c.drift.Store(read().drift())
	if before, err := suspended(); err == nil {
		c.before = before
	}
	return c
}

// suspendedSinceBoot returns for how long the machine was suspended since it started.
func suspendedSinceBoot() (time.Duration, error) {
	var steady, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

// reading is a time with a reading of the steady clock, and the time of day at the
// same moment in Unix nanoseconds.
type reading struct {
	time time.Time
	day  int64
}

// readSystem reads the system's clocks.
func readSystem() reading {
	t := time.Now()
	return reading{time: t, day: t.UnixNano()}
}

// drift returns how far the time of day is from the steady clock, in nanoseconds.
func (r reading) drift() int64 { return r.day - int64(r.time.Sub(base)) }

// OnWake sets a function that is told the length of each suspension once it is noticed.
func (c *Clock) OnWake(f func(time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woke = f
}

// Now returns the time, later than the system's own by all suspensions.
func (c *Clock) Now() time.Time {
	r := c.read()
	if moved := time.Duration(r.drift() - c.drift.Load()).Abs(); moved > tolerance {
		c.look(r.drift())
	}
	return r.time.Add(time.Duration(c.slept.Load()))
}

// Since returns the time that has passed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// look finds out whether the machine was suspended, or its time of day was set.
func (c *Clock) look(drift int64) {
	c.mu.Lock()
	suspended, err := c.suspended()
	c.drift.Store(drift)
	slept := suspended - c.before - time.Duration(c.slept.Load())
	if err != nil || slept <= tolerance {
		c.mu.Unlock()
		return
	}
	c.slept.Add(int64(slept))
	woke := c.woke
	c.mu.Unlock()
	if woke != nil {
		go woke(slept)
	}
}
