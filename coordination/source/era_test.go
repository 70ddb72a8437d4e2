package source_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// settle is how long after a restore records are written again.
const settle = 2 * time.Second

func TestPositionOrdersByEraThenOffset(t *testing.T) {
	g := NewWithT(t)
	g.Expect(source.Position(2, 3)).To(BeNumerically(">", source.Position(1, 1<<39)))
	g.Expect(source.Era(source.Position(7, 12))).To(BeEquivalentTo(7))
	g.Expect(source.Offset(source.Position(7, 12))).To(BeEquivalentTo(12))
}

func TestCursorRecord(t *testing.T) {
	type response struct {
		after   time.Duration
		tail    source.ReadResult
		from    int64
		reading source.ReadKind
	}
	for _, c := range []struct {
		name      string
		responses []response
		next      int64
	}{
		{"first read", []response{{0, source.ReadResult{Era: 4, NextOffset: 7}, -1, source.ReadFull}}, 7},
		{"incremental read", []response{{0, source.ReadResult{Era: 4, NextOffset: 7}, -1, source.ReadFull}, {0, source.ReadResult{Era: 4, NextOffset: 9}, 7, source.ReadIncremental}}, 9},
		{"store that reports no era", []response{{0, source.ReadResult{NextOffset: 7}, -1, source.ReadFull}, {0, source.ReadResult{NextOffset: 9}, 7, source.ReadIncremental}}, 9},
		{"store restored and grown past the old offset", []response{
			{0, source.ReadResult{Era: 4, NextOffset: 7}, -1, source.ReadFull}, {0, source.ReadResult{Era: 5, NextOffset: 12}, 7, source.ReadStale}, {0, source.ReadResult{Era: 5, NextOffset: 12}, -1, source.ReadRestored},
			{0, source.ReadResult{Era: 5, NextOffset: 13}, 12, source.ReadIncremental},
		}, 13},
		{"delayed response from before the restore", []response{
			{0, source.ReadResult{Era: 4, NextOffset: 7}, -1, source.ReadFull}, {0, source.ReadResult{Era: 5}, 7, source.ReadStale}, {0, source.ReadResult{Era: 5, NextOffset: 6}, -1, source.ReadRestored},
			{0, source.ReadResult{Era: 4, NextOffset: 9}, 6, source.ReadStale},
		}, 6},
		{"full read repeated once records have been written again", []response{
			{0, source.ReadResult{Era: 4, NextOffset: 7}, -1, source.ReadFull}, {0, source.ReadResult{Era: 5}, 7, source.ReadStale}, {0, source.ReadResult{Era: 5, NextOffset: 6}, -1, source.ReadRestored},
			{settle, source.ReadResult{Era: 5, NextOffset: 9}, -1, source.ReadFull}, {0, source.ReadResult{Era: 5, NextOffset: 10}, 9, source.ReadIncremental},
		}, 10},
		{"second restore before the settle time of the first has passed", []response{
			{0, source.ReadResult{Era: 4, NextOffset: 7}, -1, source.ReadFull}, {0, source.ReadResult{Era: 5}, 7, source.ReadStale}, {0, source.ReadResult{Era: 5, NextOffset: 6}, -1, source.ReadRestored},
			{settle / 2, source.ReadResult{Era: 6, NextOffset: 8}, 6, source.ReadStale}, {0, source.ReadResult{Era: 6, NextOffset: 8}, -1, source.ReadRestored},
			{settle / 2, source.ReadResult{Era: 6, NextOffset: 9}, 8, source.ReadIncremental}, {settle / 2, source.ReadResult{Era: 6, NextOffset: 9}, -1, source.ReadFull},
		}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cursor := &source.Cursor{SettleTime: settle}
			now := time.Unix(1000, 0)
			for _, a := range c.responses {
				now = now.Add(a.after)
				g.Expect(cursor.NextOffset(now)).To(BeEquivalentTo(a.from))
				g.Expect(cursor.Record(a.from, a.tail, now)).To(Equal(a.reading))
			}
			g.Expect(cursor.NextOffset(now)).To(BeEquivalentTo(c.next))
		})
	}
}
