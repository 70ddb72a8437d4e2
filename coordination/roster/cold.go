package roster

import (
	"time"

	"github.com/troutmast/troutmast/state"
)

// coldState is what is known of the time for which an instance remains cold.
type coldState struct {
	// until is when the instance stops being cold at the latest; zero if it is warm.
	until time.Time
	// readAt is when the entry was read that states until.
	readAt time.Time
	// relayed is the value of until at the last change that other nodes need to know.
	relayed time.Time
	// wasCold is set once the instance has been cold.
	wasCold bool
	// assumedUntil is when the instance stops being cold unless an entry read from settledAt on says otherwise.
	assumedUntil time.Time
	settledAt    time.Time
}

// coldReliefMin is how much earlier than other nodes know an instance must be warm for this to be relayed. The delays
// between the writing and the reading of an entry vary by as much, so a smaller difference says nothing.
const coldReliefMin = 250 * time.Millisecond

// set records the remaining cold time that an entry read at readAt states, counted from now; readAt is zero if it is not
// known. It reports whether other nodes need to know: the instance is cold for longer than they know, or is
// warm clearly earlier.
func (c *coldState) set(left time.Duration, now, readAt time.Time) bool {
	until := time.Time{}
	if left > 0 {
		until = now.Add(left)
	}
	if readAt.Before(c.settledAt) && now.Before(c.assumedUntil) && until.Before(c.assumedUntil) {
		return false
	}
	c.until, c.readAt, c.assumedUntil = until, readAt, time.Time{}
	c.wasCold = c.wasCold || left > 0
	isLonger := until.After(now) && until.After(c.relayed)
	isShorter := c.relayed.After(now) && c.relayed.Sub(until) > coldReliefMin
	if isLonger || isShorter {
		c.relayed = until
		return true
	}
	return false
}

// assume records that the instance is cold until a time unless an entry read from settledAt on says otherwise. It
// reports whether that extends the time for which it is known to be cold.
func (c *coldState) assume(until, settledAt time.Time) bool {
	c.assumedUntil, c.settledAt = until, settledAt
	if !until.After(c.until) {
		return false
	}
	c.until, c.relayed, c.wasCold = until, until, true
	return true
}

// left returns how long an instance remains cold, and the age of the entry that states so. Both are 0 if it has
// not been cold.
func (c *coldState) left(now time.Time) (left, age time.Duration) {
	if !c.wasCold {
		return 0, 0
	}
	if !c.readAt.IsZero() {
		age = max(now.Sub(c.readAt), 1)
	}
	return max(c.until.Sub(now), 0), age
}

// setRelayed records the remaining cold time that another node relays, counted from its receipt. Without an age, the
// entry may have been read at any time. A change without either comes from a node that knows nothing of cold times.
func (c *coldState) setRelayed(change *Change, now time.Time) {
	if change.ColdAge > 0 {
		c.set(change.ColdLeft, now, now.Add(-change.ColdAge))
	} else if change.ColdLeft > 0 {
		c.set(change.ColdLeft, now, time.Time{})
	}
}

// SetColdStarts sets how long the instances of each service are cold after a start under traffic. Services that are
// missing are never cold.
func (r *Roster) SetColdStarts(coldStarts map[state.ServiceName]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldStarts = coldStarts
}

// assumeStarted records that an instance counts as cold after a start that no list entry shows yet. r.mu must be held.
func (r *Roster) assumeStarted(e *entry, now time.Time) {
	if d := r.coldStarts[e.listed.Service]; d > 0 {
		e.cold.assume(now.Add(d), now)
	}
}

// coldUntil returns when an instance stops being cold, or zero if that has no consequences for its service. r.mu must be held.
func (r *Roster) coldUntil(e *entry) time.Time {
	if r.coldStarts[e.listed.Service] == 0 {
		return time.Time{}
	}
	return e.cold.until
}

// AssumeHallCold makes all instances of a hall count as cold from now on, each as after a start, unless an entry read from
// settledAt on says otherwise. Entries read earlier may have been written before now.
func (r *Roster) AssumeHallCold(hall state.HallName, settledAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.listed.Hall != hall {
			continue
		}
		if d := r.coldStarts[e.listed.Service]; d > 0 && e.cold.assume(now.Add(d), settledAt) {
			r.markChanged(e)
		}
	}
}
