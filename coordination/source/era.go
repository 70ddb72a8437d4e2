package source

import "time"

// offsetBits is the number of bits of the offset in a position: an era has room for 2^40 records of a topic.
const offsetBits = 40

// Position combines an era and an offset into one number that orders the records of a topic.
// A restore from a backup begins a new era, whose positions are above all earlier ones although
// its offsets are reused.
func Position(era, offset int64) int64 { return era<<offsetBits | offset }

// Era returns the era of a position.
func Era(position int64) int64 { return position >> offsetBits }

// Offset returns the offset of a position.
func Offset(position int64) int64 { return position & (1<<offsetBits - 1) }

// ReadKind classifies the response to a read.
type ReadKind int

// Classes of responses.
const (
	// ReadStale is a response of another era than the read was for, in which the requested offset
	// refers to other records. The reader must discard it. After a restore, the cursor
	// then requests the newest record of each key.
	ReadStale ReadKind = iota
	// ReadIncremental holds the records written since the last read.
	ReadIncremental
	// ReadFull holds the newest record of each key.
	ReadFull
	// ReadRestored holds the newest record of each key after a restore from a backup. It may lack
	// records written after the backup was made, and hold records changed or deleted since.
	ReadRestored
)

// Cursor tracks the progress of a reader of a topic. The zero value has read nothing.
type Cursor struct {
	// SettleTime is how long after a restore to wait until writers have written again the records that the backup lacks.
	SettleTime time.Duration

	started bool
	era     int64
	next    int64
	// rereadAt is when to read the newest record of each key once more after a restore; zero if not scheduled.
	rereadAt time.Time
}

// NextOffset returns the offset to read from at time now, or -1 to read the newest record of each key.
func (c *Cursor) NextOffset(now time.Time) int64 {
	if !c.started || !c.rereadAt.IsZero() && !now.Before(c.rereadAt) {
		return -1
	}
	return c.next
}

// Reset makes the next read return the newest record of each key, because the records after the last read are gone.
func (c *Cursor) Reset() { c.next = -1 }

// Record records the response to a read from offset from and returns its class.
func (c *Cursor) Record(from int64, t ReadResult, now time.Time) ReadKind {
	switch {
	case c.started && t.Era < c.era:
		return ReadStale // delayed response from before the restore
	case from >= 0 && t.Era != c.era:
		c.next = -1
		return ReadStale
	case from >= 0:
		c.next = t.NextOffset
		return ReadIncremental
	}
	restored := c.started && t.Era != c.era
	if restored {
		c.rereadAt = now.Add(c.SettleTime)
	} else if !c.rereadAt.IsZero() && !now.Before(c.rereadAt) {
		c.rereadAt = time.Time{}
	}
	c.started, c.era, c.next = true, t.Era, t.NextOffset
	if restored {
		return ReadRestored
	}
	return ReadFull
}
