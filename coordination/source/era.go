package source

import "time"

// eraShift is the place of the era in a position: 2^40 records of a topic fit below it.
const eraShift = 40

// Position orders what was written into a topic, also where the store came back from an older
// copy and gives the offsets since then out again: a later era comes after an earlier one.
func Position(era, offset int64) int64 { return era<<eraShift | offset }

// Era returns the era of a position.
func Era(position int64) int64 { return position >> eraShift }

// Offset returns the offset of a position.
func Offset(position int64) int64 { return position & (1<<eraShift - 1) }

// Reading is what an answer to a read means to a reader.
type Reading int

// The meanings of an answer.
const (
	// Stale is an answer of another era than the question was for: the offset that it was
	// asked from names other records. It says nothing, and all must be read anew.
	Stale Reading = iota
	// Further holds the records that were written since the last read.
	Further
	// All holds the newest record of each key.
	All
	// Restored holds the newest record of each key as of an older copy: it may lack what was
	// written after the copy was made, and show what was changed or dropped since.
	Restored
)

// Cursor is how far a reader of a topic has come. The zero value is a reader that has read nothing.
type Cursor struct {
	// Settle is how long after a restoration records are written again that the copy lacks.
	Settle time.Duration

	begun bool
	era   int64
	next  int64
	// again is when all is read once more after a restoration; zero for never.
	again time.Time
}

// From returns the offset to read from at a time, or -1 to read the newest record of each key.
func (c *Cursor) From(now time.Time) int64 {
	if !c.begun || !c.again.IsZero() && !now.Before(c.again) {
		return -1
	}
	return c.next
}

// Reset has all read anew: the records after the last read are gone.
func (c *Cursor) Reset() { c.next = -1 }

// Take records the answer to a read from an offset, and returns what it means.
func (c *Cursor) Take(from int64, t Tail, now time.Time) Reading {
	switch {
	case c.begun && t.Era < c.era:
		return Stale // on its way since before the restoration
	case from >= 0 && t.Era != c.era:
		c.next = -1
		return Stale
	case from >= 0:
		c.next = t.End
		return Further
	}
	restored := c.begun && t.Era != c.era
	if restored {
		c.again = now.Add(c.Settle)
	} else if !c.again.IsZero() && !now.Before(c.again) {
		c.again = time.Time{}
	}
	c.begun, c.era, c.next = true, t.Era, t.End
	if restored {
		return Restored
	}
	return All
}
